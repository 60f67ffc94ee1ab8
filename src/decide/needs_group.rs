//! The waiting tasks that have the same needs: one line for each client account, in order.

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::decide::line;
use crate::id;

/// The position of a line among the others; lines of light client accounts come first.
///
/// Slot time is stored as the bits of its `f64`, which have a total order; for values that aren't
/// negative it is the order of the numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// A light client account, with the time by which the first task of its line should start.
    Light(time::Instant),
    /// A heavy client account, with the bits of its weighted used slot time.
    Heavy(u64),
}

impl Rank {
    /// Returns the key by which ranks are sorted. With `heavy_first` heavy ones sort before light
    /// ones.
    pub fn sort_key(self, heavy_first: bool) -> (bool, Rank) {
        (heavy_first && matches!(self, Rank::Light(_)), self)
    }
}

/// The lines of all waiting tasks that have the same needs.
#[derive(Clone, Debug, Default)]
pub struct NeedsGroup {
    /// Each client account's line, with the rank under which `sorted` lists it; `None` if it isn't
    /// listed.
    pub lines: HashMap<id::ClientAccount, (Option<Rank>, line::Line)>,
    /// The client accounts whose lines aren't empty, by rank.
    pub sorted: BTreeSet<(Rank, id::ClientAccount)>,
}

impl NeedsGroup {
    /// Returns the rank and client account of the line that goes first: with `heavy_first` the
    /// first heavy one, if there is any.
    pub fn first(&self, heavy_first: bool) -> Option<(Rank, &id::ClientAccount)> {
        let heavy = (Rank::Heavy(0), id::ClientAccount::default());
        let first_heavy = || self.sorted.range(heavy..).next();
        let first = heavy_first.then(first_heavy).flatten();
        let (rank, name) = first.or_else(|| self.sorted.first())?;
        Some((*rank, name))
    }
}
