//! Ownership of the cells: each entry watches the cells' rows, takes cells that nobody owns, and
//! writes heartbeats for the cells that it owns.
//!
//! Taking a cell is always safe, since the agents refuse orders of the previous owner once they
//! know the new epoch. So an entry may take a cell over on mere suspicion; the rules here only
//! decide how soon it does. `docs/design/claims.md` has the order.

mod takeover;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use compact_str::CompactString;
use tokio::sync::Notify;
use xxhash_rust::xxh3;

use crate::backoff;
use crate::controller::cell_state::{State, Suspicion};
use crate::controller::roll;
use crate::decide::head;
use crate::id;
use crate::wire::platform::{self, Commit, Condition, Revision, Transaction, Write};
use crate::wire::rows;

/// How long an owner's heartbeat has to stay unchanged before its cell is taken over, if the owner
/// is only silent.
pub const SILENT_AFTER: time::Duration = time::Duration::from_secs(3);

/// Pause between checks of the cells while an owner is suspected or a cell has no owner.
const SUSPECT_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Shortest and longest pause between attempts while the table fails; it grows with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// The entry that may own cells, as it is written into the rows of its cells.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The entry's id.
    pub entry: id::EntryId,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Address at which other entries reach it (host and port).
    pub addr: CompactString,
}

/// A cell that this entry owns.
#[derive(Clone, Copy, Debug)]
pub struct OwnedCell {
    /// The cell's number.
    pub cell: id::Cell,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// The revision of the cell's row that names this entry.
    pub revision: Revision,
    /// When the operation on the table that proved the ownership began.
    pub begun: time::Instant,
    /// Until when the previous owner may have started work before its claims were written.
    pub unclaimed_starts_until: time::Instant,
}

/// Callbacks of the ownership loop.
pub struct Events {
    /// This entry owns a cell, or owns it in a new epoch.
    pub owned: Box<dyn Fn(OwnedCell) + Send + Sync>,
    /// A cell is owned by another entry; called at every check of the cells.
    pub owned_by_other: Box<dyn Fn(id::Cell, &rows::Owner) + Send + Sync>,
    /// A heartbeat that began at the time given proved the ownership of a cell.
    pub proved: Box<dyn Fn(id::Cell, time::Instant) + Send + Sync>,
    /// The watched rows were read and have changed since the last read.
    pub head_changed: Box<dyn Fn(&[platform::Row]) + Send + Sync>,
}

/// What one entry knows of the ownership of all cells, and the loop that takes and keeps cells for
/// it.
pub struct Ownership {
    table: platform::Table,
    candidate: Candidate,
    cells: u16,
    events: Events,
    roll: roll::Roll,
    states: Mutex<HashMap<id::Cell, State>>,
    cell_moves: Mutex<CellMoves>,
    /// The latest reads of the watched rows, by this entry and by others.
    watch_state: Mutex<head::WatchState>,
    /// Sets the pauses between attempts while the table fails.
    backoff: Mutex<backoff::Backoff>,
    /// Makes the loop check the cells at once.
    wake: Notify,
}

/// When this entry last took cells.
#[derive(Debug, Default)]
struct CellMoves {
    /// When it last took any cell.
    taken_at: Option<time::Instant>,
    /// When it last took a cell from an entry that owned too many; before the first time, when it
    /// first found such an entry.
    pulled_at: Option<time::Instant>,
}

/// Opens the ownership of one entry over `cells` cells; nothing happens until [`Ownership::run`].
pub fn open(
    table: platform::Table,
    candidate: Candidate,
    cells: u16,
    events: Events,
) -> Arc<Ownership> {
    Arc::new(Ownership {
        roll: roll::open(table.clone(), candidate.entry.clone()),
        cell_moves: Mutex::default(),
        table,
        candidate,
        cells,
        events,
        states: Mutex::default(),
        watch_state: Mutex::default(),
        backoff: Mutex::new(backoff::open(MIN_PAUSE, MAX_PAUSE)),
        wake: Notify::new(),
    })
}

impl Ownership {
    /// Notes that the owner of a cell in an epoch is suspected to be gone.
    pub fn suspect(&self, cell: id::Cell, epoch: id::Epoch, suspicion: Suspicion) {
        self.update_state(cell, |state| state.suspicion = Some((epoch, suspicion)));
        self.wake.notify_one();
    }

    /// Notes that the owner of a cell was heard again, so that it is no longer suspected.
    pub fn clear_suspicion(&self, cell: id::Cell) {
        self.update_state(cell, |state| state.suspicion = None);
    }

    /// Makes the loop check the cells at once, for example because another entry answered a message
    /// with "not the owner".
    pub fn check_now(&self) {
        self.wake.notify_one();
    }

    /// Notes that this entry no longer owns a cell, because another entry has it.
    pub fn cell_lost(&self, cell: id::Cell) {
        self.update_state(cell, |state| state.owned = None);
        self.wake.notify_one();
    }

    /// Forgets that this entry owns a cell, so that the next check reports the ownership again.
    pub fn forget_cell(&self, cell: id::Cell) {
        self.update_state(cell, |state| {
            state.owned = None;
            state.last_epoch = None;
        });
    }

    /// Gives up all cells that this entry owns, so that other entries find them without an owner,
    /// and takes no cell until [`Ownership::resume_taking`].
    pub async fn resign(&self) {
        if self.has_several_cells() {
            self.roll.leave().await;
        }
        for cell in 0..self.cells {
            let state = self.update_state(cell, |state| {
                state.resigned = true;
                state.clone()
            });
            let Some((epoch, revision)) = state.owned else {
                continue;
            };
            let vacant = rows::Owner {
                entry: CompactString::default(),
                incarnation: 0,
                addr: CompactString::default(),
                epoch,
            };
            let value = serde_json::to_string(&vacant).unwrap_or_default();
            let tx = Transaction::put_if(&rows::cell(cell), revision, value);
            // If the write failed, this entry still owns the cell, or a later check finds it
            // without an owner.
            if (self.table.commit)(tx).await.is_ok() {
                self.update_state(cell, |state| state.owned = None);
            }
        }
    }

    /// Takes cells again, because no other entry took them after [`Ownership::resign`].
    pub fn resume_taking(&self) {
        for cell in 0..self.cells {
            self.update_state(cell, |state| state.resigned = false);
        }
        self.wake.notify_one();
    }

    /// Notes that an operation which began at `begun` proved the ownership and changed the row of
    /// the cell's heartbeat, so that the next heartbeat is due later.
    pub fn note_proof(&self, cell: id::Cell, begun: time::Instant) {
        self.update_state(cell, |state| {
            state.proved_at = state.proved_at.max(Some(begun))
        });
    }

    /// Notes the digest of the watched rows that another entry read, and the age of that read.
    pub fn note_digest(&self, digest: head::Digest, age: time::Duration) {
        let is_news = self
            .watch_state()
            .record_remote_read(time::Instant::now(), digest, age);
        if is_news {
            self.wake.notify_one();
        }
    }

    /// Returns the digest of the watched rows and the age of the read behind it, for other entries.
    pub fn newest_digest(&self) -> Option<(head::Digest, time::Duration)> {
        self.watch_state().known_digest(time::Instant::now())
    }

    /// Checks the cells and writes heartbeats when they are due or when the loop is woken; never
    /// returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let woken = tokio::time::timeout(self.next_due_in(), self.wake.notified()).await;
            // While the table is down the pauses between attempts grow, whatever woke the loop.
            tokio::time::sleep(self.with_backoff(|backoff| backoff.left())).await;
            if woken.is_ok() || self.any_needs_recheck() || self.read_due_in().is_zero() {
                self.check_cells().await;
            }
            self.send_heartbeats().await;
        }
    }

    /// Returns the time until the next check or heartbeat is due.
    fn next_due_in(&self) -> time::Duration {
        let suspicious = self.any_needs_recheck().then_some(SUSPECT_PAUSE);
        let heartbeat = self.heartbeat_due_in();
        let soonest = [suspicious, heartbeat].into_iter().flatten().min();
        let read = self.read_due_in();
        soonest.map_or(read, |soonest| soonest.min(read))
    }

    /// Tells whether a cell that this entry doesn't own has to be checked again soon.
    fn any_needs_recheck(&self) -> bool {
        let states = self.states.lock().expect("the ownership is whole");
        states
            .values()
            .any(|state| state.owned.is_none() && state.needs_recheck())
    }

    /// Returns the time until the watched rows have to be read again.
    fn read_due_in(&self) -> time::Duration {
        let owns = {
            let states = self.states.lock().expect("the ownership is whole");
            states.values().any(|state| state.owned.is_some())
        };
        // If there are several cells to spread, every entry has to see which ones the others own.
        let watches = owns || self.has_several_cells();
        self.watch_state()
            .next_read_in(time::Instant::now(), watches)
    }

    /// Returns the time until the next heartbeat is due, if this entry owns a cell.
    fn heartbeat_due_in(&self) -> Option<time::Duration> {
        let now = time::Instant::now();
        let states = self.states.lock().expect("the ownership is whole");
        states
            .values()
            .filter_map(|state| state.heartbeat_due_in(now))
            .min()
    }

    /// Writes a heartbeat for every owned cell whose last proof of ownership is old enough. The
    /// write is conditional on the cell's row, so it also shows whether this entry still owns the
    /// cell.
    async fn send_heartbeats(&self) {
        for cell in 0..self.cells {
            let now = time::Instant::now();
            let due = self.update_state(cell, |state| state.begin_heartbeat(now));
            let Some((epoch, revision, heartbeat)) = due else {
                continue;
            };
            let tx = Transaction {
                conditions: vec![Condition {
                    key: rows::cell(cell),
                    revision,
                }],
                writes: vec![Write {
                    key: rows::heartbeat(cell),
                    value: Some(format!("[{epoch},{heartbeat}]")),
                }],
            };
            let committed = (self.table.commit)(tx).await;
            match self.note_answer(committed) {
                Ok(Commit::Done(_)) => {
                    self.note_proof(cell, now);
                    (self.events.proved)(cell, now);
                }
                Ok(Commit::Conflict(_)) => self.cell_lost(cell),
                Err(_) => {}
            }
        }
    }

    /// Applies a change to the state of a cell and returns its result.
    fn update_state<T>(&self, cell: id::Cell, f: impl FnOnce(&mut State) -> T) -> T {
        let mut states = self.states.lock().expect("the ownership is whole");
        f(states.entry(cell).or_default())
    }

    /// Notes whether the table answered, which sets the pause before the next attempt.
    fn note_answer<T>(&self, answer: Result<T, platform::Error>) -> Result<T, platform::Error> {
        self.with_backoff(|backoff| backoff.note(answer.is_ok()));
        answer
    }

    /// Applies a function to the backoff and returns its result.
    fn with_backoff<T>(&self, f: impl FnOnce(&mut backoff::Backoff) -> T) -> T {
        f(&mut self.backoff.lock().expect("the backoff is whole"))
    }

    fn watch_state(&self) -> MutexGuard<'_, head::WatchState> {
        self.watch_state.lock().expect("the watch state is whole")
    }
}

/// Digests the keys and revisions of rows to 53 bits, the most that a JSON number holds exactly in
/// other languages.
fn rows_digest(rows: &[platform::Row]) -> head::Digest {
    let mut hasher = xxh3::Xxh3::new();
    for row in rows {
        hasher.update(row.key.as_bytes());
        hasher.update(&row.revision.to_be_bytes());
    }
    hasher.digest() >> 11
}

/// Finds the owner of a cell in the rows read.
fn owner_of(found: &[platform::Row], cell: id::Cell) -> Option<rows::Owner> {
    let key = rows::cell(cell);
    let row = found.iter().find(|row| row.key == key)?;
    serde_json::from_str(&row.value).ok()
}
