//! One run at an agent, from its arrival to its end.

use std::time;

use crate::decide::besteffort::message::{EntryIncarnation, Run, Start};

/// How far a run is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// No room yet.
    Waiting,
    /// The order is on its way.
    Starting,
    /// It runs.
    Running,
    /// The order had no answer; a stop will settle it.
    StartUnconfirmed,
    /// A stop was answered; the next listing tells how it ended.
    StopConfirmed,
}

/// A run that an agent holds for an entry.
#[derive(Clone, Debug)]
pub(super) struct HeldRun {
    pub(super) start: Start,
    pub(super) entry: EntryIncarnation,
    pub(super) state: State,
    /// Since when it waits or runs.
    pub(super) since: time::Duration,
    /// Since when it has to end: withdrawn, past its deadline, or its entry silent.
    pub(super) must_end_since: Option<time::Duration>,
    /// When the last stop was sent, or answered while closing.
    pub(super) stop_at: time::Duration,
    pub(super) percent: u8,
    /// When the listing with that was asked for.
    pub(super) percent_at: time::Duration,
}

impl HeldRun {
    /// The order in which starts wait for room.
    pub(super) fn queue_key(&self) -> (u32, u64, Run) {
        let start = &self.start;
        (start.priority, start.urgency_ms, start.run.clone())
    }
}
