//! Who owns which cell: watches the cells' rows, takes those that nobody owns, beats for its own.
//!
//! Taking a cell is always safe, since the agents refuse the owner before; so an entry takes over
//! on suspicion, and the only question is how soon. `docs/design/claims.md` has the order.

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

/// Beats that have to fail to come before a cell is taken from an owner that is only silent.
pub const SILENT_AFTER: time::Duration = time::Duration::from_secs(3);

/// Pause between looks while an owner is suspected.
const RETRY: time::Duration = time::Duration::from_millis(150);

/// Pauses while the table fails, growing from the first to the second with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// What an entry is to the ownership.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id.
    pub entry: id::EntryId,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Where others reach it (host and port).
    pub addr: CompactString,
}

/// A cell that this entry owns.
#[derive(Clone, Copy, Debug)]
pub struct OwnedCell {
    /// The cell.
    pub cell: id::Cell,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// The revision of the cell's row.
    pub revision: Revision,
    /// When the operation began that showed the ownership.
    pub begun: time::Instant,
    /// Until when the owner before may have started work ahead of its claims.
    pub unclaimed_starts_until: time::Instant,
}

/// What the loop reports.
pub struct Events {
    /// A cell is owned by this entry.
    pub owned: Box<dyn Fn(OwnedCell) + Send + Sync>,
    /// The cell is owned by another entry.
    pub owned_by_other: Box<dyn Fn(id::Cell, &rows::Owner) + Send + Sync>,
    /// The owner was seen in the table by an operation that began at the time given.
    pub proved: Box<dyn Fn(id::Cell, time::Instant) + Send + Sync>,
    /// The watched rows were read and have changed since the last read.
    pub head_changed: Box<dyn Fn(&[platform::Row]) + Send + Sync>,
}

/// The ownership of one entry.
pub struct Ownership {
    table: platform::Table,
    candidate: Candidate,
    cells: u16,
    events: Events,
    roll: roll::Roll,
    inner: Mutex<HashMap<id::Cell, State>>,
    moves: Mutex<Moves>,
    sight: Mutex<head::Sight>,
    outage: Mutex<backoff::Backoff>,
    wake: Notify,
}

/// When cells last came to this entry.
#[derive(Debug, Default)]
struct Moves {
    taken: Option<time::Instant>,
    pulled: Option<time::Instant>,
}

/// Opens the ownership of one entry.
pub fn open(
    table: platform::Table,
    candidate: Candidate,
    cells: u16,
    events: Events,
) -> Arc<Ownership> {
    Arc::new(Ownership {
        roll: roll::open(table.clone(), candidate.entry.clone()),
        moves: Mutex::default(),
        table,
        candidate,
        cells,
        events,
        inner: Mutex::default(),
        sight: Mutex::default(),
        outage: Mutex::new(backoff::open(MIN_PAUSE, MAX_PAUSE)),
        wake: Notify::new(),
    })
}

impl Ownership {
    /// Reports that the owner of a cell in an epoch seems to be gone.
    pub fn suspect(&self, cell: id::Cell, epoch: id::Epoch, suspicion: Suspicion) {
        self.change(cell, |state| state.suspicion = Some((epoch, suspicion)));
        self.wake.notify_one();
    }

    /// Reports that the owner of a cell is heard again.
    pub fn clear_suspicion(&self, cell: id::Cell) {
        self.change(cell, |state| state.suspicion = None);
    }

    /// Looks at the cells at once, for example because a message was answered "not the owner".
    pub fn check_now(&self) {
        self.wake.notify_one();
    }

    /// Forgets that a cell was owned; another entry has it.
    pub fn cell_lost(&self, cell: id::Cell) {
        self.change(cell, |state| state.owned = None);
        self.wake.notify_one();
    }

    /// Forgets that a cell was owned until the next look finds it again.
    pub fn forget_cell(&self, cell: id::Cell) {
        self.change(cell, |state| {
            state.owned = None;
            state.served = None;
        });
    }

    /// Hands all owned cells over: others find them without an owner. Takes none from now on.
    pub async fn resign(&self) {
        if self.spreads() {
            self.roll.leave().await;
        }
        for cell in 0..self.cells {
            let state = self.change(cell, |state| {
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
            // Where the write failed the cell is still owned, or a later look finds it vacant.
            if (self.table.commit)(tx).await.is_ok() {
                self.change(cell, |state| state.owned = None);
            }
        }
    }

    /// Takes cells again, after [`Ownership::resign`] found nobody else to take them.
    pub fn resume_taking(&self) {
        for cell in 0..self.cells {
            self.change(cell, |state| state.resigned = false);
        }
        self.wake.notify_one();
    }

    /// Notes that an operation which began at `begun` proved the ownership and changed the beat's
    /// row, so that no beat of its own is due for a while.
    pub fn note_proof(&self, cell: id::Cell, begun: time::Instant) {
        self.change(cell, |state| state.proved = state.proved.max(Some(begun)));
    }

    /// Notes what another entry read of the watched rows.
    pub fn note_digest(&self, digest: head::Digest, age: time::Duration) {
        let news = self.sight().hear(time::Instant::now(), digest, age);
        if news {
            self.wake.notify_one();
        }
    }

    /// What other entries may be told of the watched rows.
    pub fn newest_digest(&self) -> Option<(head::Digest, time::Duration)> {
        self.sight().tell(time::Instant::now())
    }

    /// Watches for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            let woken = tokio::time::timeout(self.pause(), self.wake.notified()).await;
            // A table that is down is asked at a falling pace, whoever wants to know.
            tokio::time::sleep(self.outage(|outage| outage.left())).await;
            if woken.is_ok() || self.is_suspicious() || self.look_due_in().is_zero() {
                self.look_at_cells().await;
            }
            self.beat_for_cells().await;
        }
    }

    fn pause(&self) -> time::Duration {
        let suspicious = self.is_suspicious().then_some(RETRY);
        let beat = self.beat_due_in();
        let soonest = [suspicious, beat].into_iter().flatten().min();
        let look = self.look_due_in();
        soonest.map_or(look, |soonest| soonest.min(look))
    }

    fn is_suspicious(&self) -> bool {
        let inner = self.inner.lock().expect("the ownership is whole");
        inner
            .values()
            .any(|state| state.owned.is_none() && state.is_pending())
    }

    fn look_due_in(&self) -> time::Duration {
        let owns = {
            let inner = self.inner.lock().expect("the ownership is whole");
            inner.values().any(|state| state.owned.is_some())
        };
        // Where there are cells to spread, every entry has to see what the others hold.
        let watches = owns || self.spreads();
        self.sight().due_in(time::Instant::now(), watches)
    }

    fn beat_due_in(&self) -> Option<time::Duration> {
        let now = time::Instant::now();
        let inner = self.inner.lock().expect("the ownership is whole");
        inner
            .values()
            .filter_map(|state| state.beat_due_in(now))
            .min()
    }

    /// Beats for every owned cell that nothing else proved lately, and learns from the condition
    /// whether it is still owned.
    async fn beat_for_cells(&self) {
        for cell in 0..self.cells {
            let now = time::Instant::now();
            let due = self.change(cell, |state| state.begin_beat(now));
            let Some((epoch, revision, beat)) = due else {
                continue;
            };
            let tx = Transaction {
                conditions: vec![Condition {
                    key: rows::cell(cell),
                    revision,
                }],
                writes: vec![Write {
                    key: rows::beat(cell),
                    value: Some(format!("[{epoch},{beat}]")),
                }],
            };
            let committed = (self.table.commit)(tx).await;
            match self.note(committed) {
                Ok(Commit::Done(_)) => {
                    self.note_proof(cell, now);
                    (self.events.proved)(cell, now);
                }
                Ok(Commit::Conflict(_)) => self.cell_lost(cell),
                Err(_) => {}
            }
        }
    }

    fn change<T>(&self, cell: id::Cell, f: impl FnOnce(&mut State) -> T) -> T {
        let mut inner = self.inner.lock().expect("the ownership is whole");
        f(inner.entry(cell).or_default())
    }

    /// Notes whether the table answered, for the pause before it is asked again.
    fn note<T>(&self, answer: Result<T, platform::Error>) -> Result<T, platform::Error> {
        self.outage(|outage| outage.note(answer.is_ok()));
        answer
    }

    fn outage<T>(&self, f: impl FnOnce(&mut backoff::Backoff) -> T) -> T {
        f(&mut self.outage.lock().expect("the outage is whole"))
    }

    fn sight(&self) -> MutexGuard<'_, head::Sight> {
        self.sight.lock().expect("the sight is whole")
    }
}

/// Sums up rows by their revisions, in 53 bits, which JSON numbers of other languages hold.
fn digest(rows: &[platform::Row]) -> head::Digest {
    let mut hasher = xxh3::Xxh3::new();
    for row in rows {
        hasher.update(row.key.as_bytes());
        hasher.update(&row.revision.to_be_bytes());
    }
    hasher.digest() >> 11
}

/// The owner of a cell, by the rows found.
fn owner_of(found: &[platform::Row], cell: id::Cell) -> Option<rows::Owner> {
    let key = rows::cell(cell);
    let row = found.iter().find(|row| row.key == key)?;
    serde_json::from_str(&row.value).ok()
}
