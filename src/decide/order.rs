//! The messages from the owner of a cell to an agent.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;
use crate::task;

/// One message of an owner to an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Starts a task.
    Start(Start),
    /// Cancels a job: no further task of it starts, and running ones are stopped if they can be.
    Cancel(id::JobKey),
    /// The owner has the ending of a job, and the job's claim is in the table, so the agent need
    /// not keep the answers.
    Acknowledge(id::JobKey),
    /// Asks for the states of these tasks. The agent withdraws those that it has never started: it
    /// refuses their starts up to the given one.
    Resolve(Vec<Attempt>),
    /// Shows that the owner is alive when it has had no other message to send for a while.
    Heartbeat,
}

/// One start of a task: the task, and the number of the start.
///
/// The number distinguishes a start that is still in transit from one that was sent after the agent
/// had refused the task, so that the same agent may still run the later one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// The task.
    pub id: task::Id,
    /// Number of this start among the starts of the job's tasks in this epoch.
    pub attempt: u32,
}

impl Start {
    /// Returns the task and the number of this start.
    pub fn attempt(&self) -> Attempt {
        Attempt {
            id: self.id.clone(),
            attempt: self.attempt,
        }
    }
}

/// The start of one task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Start {
    /// The task.
    pub id: task::Id,
    /// Number of this start among the starts of the job's tasks in this epoch.
    pub attempt: u32,
    /// The client account of the task's job.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// Milliseconds until the job's deadline, after which an answer is of no use.
    pub deadline_ms: u64,
    /// Resources that the task takes on the worker.
    #[serde(default)]
    pub needs: task::Needs,
    /// Input that the backend server gets.
    pub input: Box<RawValue>,
    /// W3C trace context of the trace that the task belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<CompactString>,
}
