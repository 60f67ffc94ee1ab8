//! What an agent asks of its backend server, and what comes of it.

use compact_str::CompactString;

use crate::decide::besteffort::message::{Run, RunOutcome, ServerIncarnation};

/// Whom an order or a question is meant for.
///
/// An order that leaves late must not reach another life of the backend server: its run was given up with
/// the one that it was meant for, and its task may already run elsewhere. Where the next life has another
/// id, it refuses what names the one before. Where it has the same, nothing in the order's own words tells
/// them apart but the fence: the first question to the new life brings a larger one, and what was decided
/// for the one before is refused from then on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipient {
    /// The life that is meant; any where its id is empty.
    pub incarnation: ServerIncarnation,
    /// Lives that the agent had taken up when this was decided.
    pub fence: u64,
}

/// What the agent asks of one life of its backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Begin a run.
    Start {
        /// Whom it is meant for.
        to: Recipient,
        /// The run.
        run: Run,
        /// What it works on.
        input: CompactString,
        /// The end of its lease, on the backend server's clock in milliseconds.
        lease_until_ms: u64,
    },
    /// End a run, or make sure that it never begins.
    Stop {
        /// Whom it is meant for.
        to: Recipient,
        /// The run.
        run: Run,
    },
}

/// What came of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// It runs.
    Accepted,
    /// It doesn't run and never will.
    Refused,
    /// The backend server turned it away since it is unwell; nothing ran.
    Unhealthy,
    /// Nobody can tell; it may even begin later.
    Unknown,
}

impl StartAnswer {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartAnswer::Accepted => "accepted",
            StartAnswer::Refused => "refused",
            StartAnswer::Unhealthy => "unwell",
            StartAnswer::Unknown => "unknown",
        }
    }
}

/// What a backend server says that it has.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// When the life that answers began; none where it doesn't say.
    pub born_ms: Option<u64>,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs at work, with hundredths done.
    pub running: Vec<(Run, u8)>,
    /// Ends that were not acknowledged before.
    pub ended: Vec<(Run, RunOutcome)>,
    /// The number of the last of them; 0 where there is none.
    pub last_end: u64,
}
