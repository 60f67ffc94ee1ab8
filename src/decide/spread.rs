//! Decides which cells an entry takes, so that the cells spread evenly over the live entries
//! without a coordinator.
//!
//! Every entry reads the same rows and decides by itself. The entry that holds fewest cells takes a
//! vacant cell first; each entry tries the cells in an order of its own; and an entry that holds
//! too few takes over one cell at a time from the entry that holds most, which is called a pull.
//! Taking a cell is always safe (`docs/design/claims.md`), so a wrong assumption about which
//! entries are alive costs an extra takeover and breaks no guarantee. Rendezvous hashing alone
//! would leave some entries with three or four of sixteen cells and others with none.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time;

use xxhash_rust::xxh3;

use crate::id;

/// How long an entry waits before it takes a vacant cell, for each cell that it holds more than the
/// entry with the fewest cells.
pub const VACANT_WAIT_STEP: time::Duration = time::Duration::from_millis(400);

/// Longest wait before taking a vacant cell, so that a cell isn't left for an entry that has died.
pub const MAX_VACANT_WAIT: time::Duration = time::Duration::from_secs(2);

/// Least time between two pulls of one entry. Each pull costs the cell a takeover.
pub const MIN_PULL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// An entry may pull a cell from another one that holds at least this many cells more.
const MIN_SURPLUS: usize = 2;

/// The live entries and the cells that each holds, as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    held: BTreeMap<id::EntryId, Vec<id::Cell>>,
}

impl Holdings {
    /// Collects the live entries and the owners by cell. The cells of an owner that isn't alive
    /// count for nobody, so that no entry leaves a cell to it or pulls one from it.
    pub fn gather<'a>(
        alive: impl IntoIterator<Item = &'a id::EntryId>,
        owners: impl IntoIterator<Item = (id::Cell, &'a id::EntryId)>,
    ) -> Holdings {
        let nothing = |id: &id::EntryId| (id.clone(), Vec::new());
        let mut held: BTreeMap<_, Vec<_>> = alive.into_iter().map(nothing).collect();
        for (cell, owner) in owners {
            if let Some(cells) = held.get_mut(owner) {
                cells.push(cell);
            }
        }
        Holdings { held }
    }

    /// Records that an entry has taken a cell.
    pub fn add(&mut self, entry: &id::EntryId, cell: id::Cell) {
        self.held.entry(entry.clone()).or_default().push(cell);
    }

    /// Returns the number of cells that an entry holds.
    pub fn cell_count(&self, entry: &id::EntryId) -> usize {
        self.held.get(entry).map_or(0, Vec::len)
    }

    /// Returns how long an entry waits before it takes a vacant cell, so that entries with fewer
    /// cells can take it first.
    pub fn vacancy_wait(&self, me: &id::EntryId) -> time::Duration {
        let least = self.held.values().map(Vec::len).min().unwrap_or(0);
        let more = self.cell_count(me).saturating_sub(least);
        VACANT_WAIT_STEP
            .saturating_mul(more as u32)
            .min(MAX_VACANT_WAIT)
    }

    /// Returns whether an entry may take a cell that has been vacant since `vacant`. The wait also
    /// counts from `taken`, when the entry last took a cell; otherwise it would take a second one
    /// at once.
    pub fn may_take(
        &self,
        me: &id::EntryId,
        now: time::Instant,
        vacant: time::Instant,
        taken: Option<time::Instant>,
    ) -> bool {
        let since = taken.map_or(vacant, |taken| taken.max(vacant));
        now.saturating_duration_since(since) >= self.vacancy_wait(me)
    }

    /// Returns the cell that an entry should pull next, from the entry that holds most. Returns
    /// `None` if that entry doesn't hold at least `MIN_SURPLUS` cells more.
    pub fn cell_to_pull(&self, me: &id::EntryId) -> Option<id::Cell> {
        let (donor, cells) = self.held.iter().max_by_key(|(_, cells)| cells.len())?;
        if donor == me || cells.len() < self.cell_count(me) + MIN_SURPLUS {
            return None;
        }
        cells
            .iter()
            .copied()
            .min_by_key(|cell| preference(me, *cell))
    }
}

/// Returns all cells in the order in which an entry tries to take them. Every entry has its own
/// order, so that entries that start at the same time seldom try for the same cell.
pub fn cell_order(me: &id::EntryId, cells: u16) -> Vec<id::Cell> {
    let mut all: Vec<id::Cell> = (0..cells).collect();
    all.sort_by_key(|cell| preference(me, *cell));
    all
}

/// Returns the key by which an entry orders cells: the weight of rendezvous hashing, highest first.
fn preference(entry: &id::EntryId, cell: id::Cell) -> (Reverse<u64>, id::Cell) {
    let weight = xxh3::xxh3_64_with_seed(entry.as_bytes(), cell.into());
    (Reverse(weight), cell)
}
