//! How cells spread over the entries that are alive, without anybody who hands them out.
//!
//! Every entry looks at the same rows and decides for itself: a vacant cell is taken soonest by
//! the entry that holds fewest, each entry looks at the cells in an order of its own, and an entry
//! that holds too few pulls one cell at a time from the one that holds most. Taking a cell is
//! always safe (`docs/design/claims.md`), so a wrong guess about who is alive costs a takeover and
//! never a promise. Weighed against it: cells by rendezvous hashing alone, which leaves some
//! entries with three or four cells of sixteen and others with none.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time;

use xxhash_rust::xxh3;

use crate::id;

/// Wait before a vacant cell is taken, for every cell held more than by the one with fewest.
pub const VACANT_WAIT_STEP: time::Duration = time::Duration::from_millis(400);

/// Longest wait before a vacant cell is taken, so that a cell is never left to the dead.
pub const MAX_VACANT_WAIT: time::Duration = time::Duration::from_secs(2);

/// Least pause of one entry between two pulls. Each pull costs the cell a takeover.
pub const MIN_PULL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Cells that an entry must hold more than another before one is pulled from it.
const MIN_SURPLUS: usize = 2;

/// Who is alive and holds which cells, as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    held: BTreeMap<id::EntryId, Vec<id::Cell>>,
}

impl Holdings {
    /// Gathers the entries that are alive, and the owners by cell. An owner that isn't alive holds
    /// nothing here, so that nobody waits for it or pulls from it.
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

    /// Notes that an entry has taken a cell.
    pub fn add(&mut self, entry: &id::EntryId, cell: id::Cell) {
        self.held.entry(entry.clone()).or_default().push(cell);
    }

    /// How many cells an entry holds.
    pub fn cell_count(&self, entry: &id::EntryId) -> usize {
        self.held.get(entry).map_or(0, Vec::len)
    }

    /// How long an entry leaves a vacant cell to those that hold fewer.
    pub fn vacancy_wait(&self, me: &id::EntryId) -> time::Duration {
        let least = self.held.values().map(Vec::len).min().unwrap_or(0);
        let more = self.cell_count(me).saturating_sub(least);
        VACANT_WAIT_STEP
            .saturating_mul(more as u32)
            .min(MAX_VACANT_WAIT)
    }

    /// Tells whether an entry may take a cell that has been vacant since a time. Its own last
    /// taking counts as well, or it would take a second cell the moment after the first.
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

    /// The cell that an entry pulls next, from the one that holds most, if that one holds enough
    /// more than it.
    pub fn cell_to_pull(&self, me: &id::EntryId) -> Option<id::Cell> {
        let (donor, cells) = self.held.iter().max_by_key(|(_, cells)| cells.len())?;
        if donor == me || cells.len() < self.cell_count(me) + MIN_SURPLUS {
            return None;
        }
        cells.iter().copied().min_by_key(|cell| rank(me, *cell))
    }
}

/// The order in which an entry looks at cells. Every entry has its own, so that entries that start
/// at the same moment seldom try for the same cell.
pub fn cell_order(me: &id::EntryId, cells: u16) -> Vec<id::Cell> {
    let mut all: Vec<id::Cell> = (0..cells).collect();
    all.sort_by_key(|cell| rank(me, *cell));
    all
}

/// Rendezvous hashing: the entry's weight for a cell, heaviest first.
fn rank(entry: &id::EntryId, cell: id::Cell) -> (Reverse<u64>, id::Cell) {
    let weight = xxh3::xxh3_64_with_seed(entry.as_bytes(), cell.into());
    (Reverse(weight), cell)
}
