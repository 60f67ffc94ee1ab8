//! What callers and operators send and get over HTTP; `docs/API.md` is its page.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::id;
use crate::submission;
use crate::task;

/// Header that carries the submission key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Largest submission that is taken, in bytes.
pub const MAX_BODY: usize = 4 * 1024 * 1024;

/// `POST /v1/requests`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Who asks.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// The class of work.
    pub class: id::ClassName,
    /// Whether running it twice would do no harm.
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
    /// The job of one task that this request is.
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

/// The body of an answered job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobAnswer {
    /// The caller's key.
    pub key: CompactString,
    /// Always `complete`; failures are a [`Refusal`](crate::refusal::Refusal).
    pub state: CompactString,
    /// Every task's answer, in the order of the tasks.
    pub answers: Vec<Box<RawValue>>,
}
