//! The state of one run at an agent, from its arrival to its end.

use std::time;

use crate::decide::besteffort::message::{EntryIncarnation, Run, Start};

/// How far a run has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// It waits for room at the agent.
    Waiting,
    /// The start was sent to the backend server and isn't answered yet.
    Starting,
    /// The backend server has accepted the start.
    Running,
    /// The start had no answer, so that nobody knows whether the run began; a stop makes sure of its end.
    StartUnconfirmed,
    /// The backend server has answered a stop; the next listing tells how the run ended.
    StopConfirmed,
}

/// A run that an agent holds for an entry.
#[derive(Clone, Debug)]
pub(super) struct HeldRun {
    pub(super) start: Start,
    pub(super) entry: EntryIncarnation,
    pub(super) state: State,
    /// When it arrived; once its start was sent, the time of the start or of its acceptance.
    pub(super) since: time::Duration,
    /// When it first had to end: it was withdrawn, its deadline passed, its entry went silent, its start had no
    /// answer, or the agent stopped.
    pub(super) must_end_since: Option<time::Duration>,
    /// When the last stop was sent or, in [`State::StopConfirmed`], answered.
    pub(super) stop_at: time::Duration,
    /// How much of the run was done at the last listing that contained it.
    pub(super) percent: u8,
    /// When the listing with `percent` came in.
    pub(super) percent_at: time::Duration,
}

impl HeldRun {
    /// Returns the key by which waiting runs are sorted. The smallest gets room first: by priority, then
    /// urgency.
    pub(super) fn queue_key(&self) -> (u32, u64, Run) {
        let start = &self.start;
        (start.priority, start.urgency_ms, start.run.clone())
    }
}
