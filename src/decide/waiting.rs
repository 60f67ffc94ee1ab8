//! A task that waits in a queue for a slot of a worker.

use std::time;

use crate::task;

/// A waiting task with what the queue needs to know of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingTask {
    /// Identifies the task.
    pub id: task::Id,
    /// Estimated run time.
    pub estimate: time::Duration,
    /// Resources that the task takes on a worker.
    pub needs: task::Needs,
}
