//! What entries and agents tell each other of load and speed, on messages that leave anyway.

use serde::{Deserialize, Serialize};

/// Most classes in one message, the most urgent first. It bounds a message however many classes operators define.
pub const MAX_CLASSES: usize = 8;

/// The work of one class that waits at an entry.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassWaiting {
    /// Urgency of the class; 0 goes first.
    pub priority: u32,
    /// Room that the waiting tasks need in all, in thousandths of a core.
    pub cpu: u64,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// The latest start of the first task that still meets its target, in milliseconds on the agent's clock.
    pub urgency_ms: u64,
}

/// What an entry states of the work that waits there. Work that is past its target is the last row, with
/// [`LATE_PRIORITY`](crate::decide::besteffort::job::LATE_PRIORITY).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Statement {
    /// The classes with waiting work, the most urgent first; at most [`MAX_CLASSES`].
    pub classes: Vec<ClassWaiting>,
    /// Number of agents that the entry is linked to, over which this work is spread.
    pub links: u32,
}

/// What an agent tells an entry of one class.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassDemand {
    /// Urgency of the class; 0 goes first.
    pub priority: u32,
    /// Room that waits at other entries and falls to this agent, in thousandths of a core.
    pub others_cpu: u64,
    /// Room of this class that was started here in a second, over all entries, in thousandths of a core.
    pub starts_per_s: u64,
}

/// What an agent tells an entry of the load on its backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Room that the present runs free in a second, in thousandths of a core.
    pub frees_per_s: u64,
    /// The classes with work that waits or was started lately, the most urgent first; at most [`MAX_CLASSES`].
    pub classes: Vec<ClassDemand>,
}

/// What an agent tells an entry of the speed of its backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pace {
    /// Run time in percent of what was estimated for a backend server of median speed.
    pub percent: u32,
    /// Number of runs behind it, at most 255.
    pub runs: u8,
}
