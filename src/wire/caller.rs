//! The messages that callers and operators exchange with an entry over HTTP. `docs/API.md`
//! describes them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;
use crate::submission;
use crate::task;

/// Header that carries the submission key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Largest submission that is accepted, in bytes.
pub const MAX_BODY: usize = 4 * 1024 * 1024;

/// The body of `POST /v1/requests`: a job of a single task.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The client account that sends the request.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// The class of work that the request belongs to.
    pub class: id::ClassName,
    /// True if running the task twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// As in [`Task`](submission::Task).
    #[serde(default)]
    pub kind: CompactString,
    /// As in [`Task`](submission::Task).
    #[serde(default)]
    pub run_ms: u64,
    /// As in [`Task`](submission::Task).
    #[serde(default)]
    pub needs: task::Needs,
    /// As in [`Task`](submission::Task).
    pub input: Box<RawValue>,
}

impl Request {
    /// Returns the job with the request's single task.
    pub fn into_job(self) -> submission::Job {
        submission::Job {
            client_account: self.client_account,
            class: self.class,
            tasks: vec![submission::Task {
                kind: self.kind,
                run_ms: self.run_ms,
                needs: self.needs,
                input: self.input,
            }],
        }
    }
}

/// The body of the answer to a complete job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobAnswer {
    /// The submission key that the caller chose.
    pub key: CompactString,
    /// Always `complete`; a failure is answered by a [`Refusal`](crate::refusal::Refusal) instead.
    pub state: CompactString,
    /// The answers of all tasks, in the order of the tasks in the job.
    pub answers: Vec<Box<RawValue>>,
}
