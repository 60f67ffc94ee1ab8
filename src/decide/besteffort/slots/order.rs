//! What an agent asks of its backend server, and what comes of it.

use compact_str::CompactString;

use crate::decide::besteffort::message::{How, Run};

/// What the agent asks of one life of its backend server. An order that leaves late must not reach
/// another life: its run was given up with the one that it was meant for, and its task may already
/// run elsewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Begin a run.
    Start {
        /// The life that is meant.
        life: CompactString,
        /// The run.
        run: Run,
        /// What it works on.
        input: CompactString,
        /// The end of its lease, on the backend server's clock in milliseconds.
        until: u64,
    },
    /// End a run, or make sure that it never begins.
    Stop {
        /// The life that is meant.
        life: CompactString,
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
    Unwell,
    /// Nobody can tell; it may even begin later.
    Unknown,
}

impl StartAnswer {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartAnswer::Accepted => "accepted",
            StartAnswer::Refused => "refused",
            StartAnswer::Unwell => "unwell",
            StartAnswer::Unknown => "unknown",
        }
    }
}

/// What a backend server says that it has.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs at work, with hundredths done.
    pub running: Vec<(Run, u8)>,
    /// Ends that were not acknowledged before.
    pub ended: Vec<(Run, How)>,
    /// The number of the last of them; 0 where there is none.
    pub last_end: u64,
}
