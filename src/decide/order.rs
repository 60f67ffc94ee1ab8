//! What the owner of a cell asks of an agent.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;
use crate::task;

/// One thing that an owner asks of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Start a task.
    Start(Start),
    /// Withdraw a job: what waits vanishes, what runs is stopped where that can be done.
    Cancel(id::JobKey),
    /// A job's answers have reached their caller and need not be kept.
    Acknowledge(id::JobKey),
    /// Tell how these tasks stand; what was never seen is refused for good.
    Resolve(Vec<Attempt>),
    /// Nothing else was said for a while.
    Heartbeat,
}

/// A task, and how often any task of its job was handed out by the owner so far.
///
/// The number tells a start that is still on its way from one that was sent after the agent had
/// refused the task, so that the same agent may take it after all.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// The task.
    pub id: task::Id,
    /// Counts the starts of the job's tasks in this epoch.
    pub attempt: u32,
}

impl Start {
    /// Names the task and the start.
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
    /// Counts the starts of the job's tasks in this epoch.
    pub attempt: u32,
    /// Its client account.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// Milliseconds until its answer is worthless.
    pub deadline_ms: u64,
    /// What it takes of the worker.
    #[serde(default)]
    pub needs: task::Needs,
    /// Its input.
    pub input: Box<RawValue>,
    /// The trace that it belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<CompactString>,
}
