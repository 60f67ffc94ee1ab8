//! The waiting tasks that take alike of a worker: one line for each client account, in order.

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::decide::line;
use crate::id;

/// Where a line stands among the others; light ones come first. A float that isn't negative sorts
/// as its bits do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// By when its first task should start.
    Light(time::Instant),
    /// The bits of the slot time that its client account has used.
    Heavy(u64),
}

impl Rank {
    /// Sorts ranks; heavy ones come first where the light ones yield.
    pub fn sort_key(self, yields: bool) -> (bool, Rank) {
        (yields && matches!(self, Rank::Light(_)), self)
    }
}

/// Waiting tasks that take alike of a worker.
#[derive(Clone, Debug, Default)]
pub struct NeedsGroup {
    /// Each with the rank under which it is listed.
    pub lines: HashMap<id::ClientAccount, (Option<Rank>, line::Line)>,
    /// The lines that aren't empty, by rank.
    pub order: BTreeSet<(Rank, id::ClientAccount)>,
}

impl NeedsGroup {
    /// The line that goes first; a heavy one where the light ones yield.
    pub fn head(&self, yields: bool) -> Option<(Rank, &id::ClientAccount)> {
        let heavy = (Rank::Heavy(0), id::ClientAccount::default());
        let first_heavy = || self.order.range(heavy..).next();
        let first = yields.then(first_heavy).flatten();
        let (rank, name) = first.or_else(|| self.order.first())?;
        Some((*rank, name))
    }
}
