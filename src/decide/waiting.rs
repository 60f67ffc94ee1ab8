//! A task that waits for a worker.

use std::time;

use crate::task;

/// A task that waits, as a queue orders it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingTask {
    /// The task.
    pub id: task::Id,
    /// How long it is thought to run.
    pub estimate: time::Duration,
    /// What it takes of a worker.
    pub needs: task::Needs,
}
