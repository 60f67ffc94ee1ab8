//! Orders of an agent to its backend server, and the answers to them.

use compact_str::CompactString;

use crate::decide::besteffort::message::{Run, RunOutcome, ServerIncarnation};

/// The incarnation that an order or a listing request is meant for.
///
/// An order that is sent late must not be carried out by another incarnation: its run was given up together
/// with the incarnation it was meant for, and its task may already run elsewhere. An incarnation with another
/// id refuses an order that names the one before. One with the same id can tell such orders by the fence only:
/// the first request to the new incarnation carries a larger fence, and from then on the backend server refuses
/// what was decided for the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipient {
    /// The only incarnation that may carry out the order or answer the request; any may if the id is empty.
    pub incarnation: ServerIncarnation,
    /// The number of incarnations that the agent had accepted when it decided the order.
    pub fence: u64,
}

/// An order to one incarnation of the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Begin a run.
    Start {
        /// The incarnation that shall begin it.
        to: Recipient,
        /// The run to begin.
        run: Run,
        /// The input of its task.
        input: CompactString,
        /// The end of the lease on the backend server, in milliseconds of the backend server's clock.
        lease_until_ms: u64,
    },
    /// End a run, or make sure that it never begins.
    Stop {
        /// The incarnation that shall end it.
        to: Recipient,
        /// The run to end.
        run: Run,
    },
}

/// The outcome of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has begun.
    Accepted,
    /// The run hasn't begun and never will.
    Refused,
    /// The backend server is unhealthy and turned the start away; the run hasn't begun.
    Unhealthy,
    /// There was no answer: the run may have begun, or may begin later.
    Unknown,
}

impl StartAnswer {
    /// The value of the label `answer` in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartAnswer::Accepted => "accepted",
            StartAnswer::Refused => "refused",
            StartAnswer::Unhealthy => "unwell",
            StartAnswer::Unknown => "unknown",
        }
    }
}

/// The runs that a backend server has, as it lists them.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// When the incarnation that answers began, in milliseconds since 1970; none if it doesn't say.
    pub born_ms: Option<u64>,
    /// The backend server's clock, in milliseconds.
    pub clock_ms: u64,
    /// Running runs, and how much of each is done, in percent.
    pub running: Vec<(Run, u8)>,
    /// Runs that have ended, with their outcomes, whose ends the agent hasn't acknowledged yet. The backend
    /// server numbers these ends.
    pub ended: Vec<(Run, RunOutcome)>,
    /// The number of the last end in `ended`; 0 if there is none.
    pub last_end: u64,
}
