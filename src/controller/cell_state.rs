//! What an entry knows of one cell's ownership, and when it has to prove its own.

use std::time;

use crate::id;
use crate::wire::platform::Revision;

/// Age of the last proof of ownership after which an owner beats. It is a little longer than
/// claims are gathered for, whose writes are proofs and beats as well.
pub const BEAT: time::Duration = time::Duration::from_millis(1_100);

/// What is suspected of an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// It refuses connections: its process is gone.
    Refusing,
    /// Nothing is heard of it.
    Silent,
}

/// What an entry knows of one cell's ownership.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The epoch and revision under which this entry owns it.
    pub owned: Option<(id::Epoch, Revision)>,
    /// Numbers the beats.
    pub beats: u64,
    /// When the last operation began that proved the ownership.
    pub proved: Option<time::Instant>,
    /// What is suspected of the owner of which epoch.
    pub suspicion: Option<(id::Epoch, Suspicion)>,
    /// The beat of the owner of which epoch as last seen, and since when it has not changed.
    pub beat_seen: Option<(id::Epoch, Revision, time::Instant)>,
    /// Whether this entry takes it no more.
    pub resigned: bool,
    /// The last epoch under which this entry owned it.
    pub served: Option<id::Epoch>,
    /// Since when the cell has been seen without an owner.
    pub vacant: Option<time::Instant>,
}

impl State {
    /// Time until a beat is due, if the cell is owned.
    pub fn beat_due_in(&self, now: time::Instant) -> Option<time::Duration> {
        self.owned?;
        let due = self.proved.map_or(now, |at| at + BEAT);
        Some(due.saturating_duration_since(now))
    }

    /// Begins a beat, if one is due: the epoch and revision, and the beat's number.
    pub fn begin_beat(&mut self, now: time::Instant) -> Option<(id::Epoch, Revision, u64)> {
        if !self.beat_due_in(now)?.is_zero() {
            return None;
        }
        let (epoch, revision) = self.owned?;
        self.beats += 1;
        Some((epoch, revision, self.beats))
    }

    /// Tells whether the cell is to be looked at again soon.
    pub fn is_pending(&self) -> bool {
        self.suspicion.is_some() || self.vacant.is_some()
    }
}
