//! The state of one cell as an entry sees it, and when its owner has to write a heartbeat.

use std::time;

use crate::id;
use crate::wire::platform::Revision;

/// Age of the last proof of ownership after which an owner writes a heartbeat. It is a little
/// longer than the time for which claims are gathered, because writing claims proves the ownership
/// and changes the heartbeat too.
pub const HEARTBEAT_AFTER: time::Duration = time::Duration::from_millis(1_100);

/// Why an owner is suspected to be gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// It refuses connections, so its process is gone.
    Refusing,
    /// No message of it arrives.
    Silent,
}

/// What an entry knows of the ownership of one cell.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The epoch in which this entry owns the cell and the revision of the cell's row; none if it
    /// doesn't own the cell.
    pub owned: Option<(id::Epoch, Revision)>,
    /// Number of heartbeats that this entry began for the cell; written with each, so that they
    /// differ.
    pub heartbeats: u64,
    /// When the last operation on the table that proved the ownership began.
    pub proved_at: Option<time::Instant>,
    /// The epoch of the owner that is suspected, and why.
    pub suspicion: Option<(id::Epoch, Suspicion)>,
    /// The heartbeat of a suspected owner: the owner's epoch, the revision last seen, and when this
    /// revision was first seen.
    pub heartbeat_seen: Option<(id::Epoch, Revision, time::Instant)>,
    /// Whether this entry has resigned, so that it doesn't take the cell until it resumes.
    pub resigned: bool,
    /// The last epoch in which this entry owned the cell.
    pub last_epoch: Option<id::Epoch>,
    /// Since when the cell is seen without a live owner; none if it has one.
    pub vacant_since: Option<time::Instant>,
}

impl State {
    /// Returns the time until a heartbeat is due, if this entry owns the cell.
    pub fn heartbeat_due_in(&self, now: time::Instant) -> Option<time::Duration> {
        self.owned?;
        let due = self.proved_at.map_or(now, |at| at + HEARTBEAT_AFTER);
        Some(due.saturating_duration_since(now))
    }

    /// Begins a heartbeat if one is due. Returns the epoch and revision of the ownership and the
    /// heartbeat's number.
    pub fn begin_heartbeat(&mut self, now: time::Instant) -> Option<(id::Epoch, Revision, u64)> {
        if !self.heartbeat_due_in(now)?.is_zero() {
            return None;
        }
        let (epoch, revision) = self.owned?;
        self.heartbeats += 1;
        Some((epoch, revision, self.heartbeats))
    }

    /// Tells whether the cell has to be checked again soon.
    pub fn needs_recheck(&self) -> bool {
        self.suspicion.is_some() || self.vacant_since.is_some()
    }
}
