//! A task: its id, what it needs of a worker, and how it ended.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::code;
use crate::id;

/// Names one task over the whole system.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The job, with its client account's prefix.
    pub job: id::JobKey,
    /// The task's place in the job.
    pub index: id::TaskIndex,
}

/// What a task takes from its worker while it runs, beside one slot and one connection.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Needs {
    /// Processors, in thousandths of one.
    pub processor_milli: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Needs {
    /// Tells whether these needs fit into what is left.
    pub fn fit(&self, left: &Needs) -> bool {
        self.processor_milli <= left.processor_milli
            && self.memory_mb <= left.memory_mb
            && self.accelerators <= left.accelerators
    }

    /// Adds another task's needs.
    pub fn add(&mut self, other: &Needs) {
        self.processor_milli += other.processor_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// Takes a task's needs away, never below nothing.
    pub fn sub(&mut self, other: &Needs) {
        self.processor_milli = self.processor_milli.saturating_sub(other.processor_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

/// How one task ended.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server's whole answer, as JSON.
    Done(Box<RawValue>),
    /// It ended otherwise; the code tells whether it ran.
    Failed(code::Code),
}
