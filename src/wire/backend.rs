//! The HTTP interface between an agent and its backend server.
//!
//! A backend server announces itself to its agent (`POST /v1/announce`) every second, and again
//! with `leaving` when it stops. The agent runs a task by `POST /run`, with the input as the body
//! and the task's identity, client account and deadline in the headers defined here. The complete
//! body of the answer is one JSON value.

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::code;
use crate::task;
use crate::trace;
use crate::wire::http;

/// Largest answer of a task that is accepted, in bytes.
pub const MAX_ANSWER: usize = 1024 * 1024;

/// Header of a run that carries the scoped submission key.
pub const JOB: &str = "lovagemill-job";
/// Header of a run that carries the task's index in its job.
pub const INDEX: &str = "lovagemill-task";
/// Header of a run that carries the client account.
pub const CLIENT_ACCOUNT: &str = "lovagemill-customer";
/// Header of a run that carries the milliseconds until the answer is of no more use to the caller.
pub const DEADLINE: &str = "lovagemill-deadline-ms";

/// The message by which a backend server reports its address and capacity to its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address of its HTTP server (host and port).
    pub addr: CompactString,
    /// Number of tasks that it runs at the same time.
    pub slots: u32,
    /// Number of connections that it accepts at the same time.
    pub connections: u32,
    /// Memory, processors and accelerators that it has for tasks.
    #[serde(default)]
    pub capacity: task::Needs,
    /// True once it stops; no further tasks may be sent to it.
    #[serde(default)]
    pub leaving: bool,
}

/// The request for one run of a task on a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Address of the backend server (host and port).
    pub addr: CompactString,
    /// The task, by its job and its index in that.
    pub id: task::Id,
    /// The client account that submitted the task.
    pub client_account: CompactString,
    /// Milliseconds until its answer is of no more use; the run is given up then.
    pub deadline_ms: u64,
    /// The input of the task, which is the body of the request.
    pub input: Box<RawValue>,
    /// The trace context of the task, if it belongs to a trace.
    pub traceparent: Option<CompactString>,
}

/// Runs one task and waits for its complete answer.
///
/// It never retries: the task may have started as soon as the request was sent.
pub async fn run(client: &http::Client, run: Run) -> task::Outcome {
    let limit = std::time::Duration::from_millis(run.deadline_ms);
    let body = Bytes::from(Box::<str>::from(run.input).into_string());
    let mut call = http::Call::new(Method::POST, format!("http://{}/run", run.addr), body)
        .header(JOB, run.id.job.as_str())
        .header(INDEX, run.id.index.to_string())
        .header(CLIENT_ACCOUNT, run.client_account.as_str())
        .header(DEADLINE, run.deadline_ms.to_string());
    if let Some(parent) = &run.traceparent {
        call = call.header(trace::TRACEPARENT, parent.as_str());
    }
    match client.call(call, limit).await {
        Ok(answer) => read_outcome(&answer),
        Err(http::Error::NotSent | http::Error::Refused) => {
            task::Outcome::Failed(code::Code::WorkerBusy)
        }
        Err(http::Error::TimedOut) => task::Outcome::Failed(code::Code::TaskTimeout),
        Err(http::Error::TooLarge) => task::Outcome::Failed(code::Code::AnswerTooLarge),
        Err(http::Error::Broken) => task::Outcome::Failed(code::Code::AnswerTruncated),
    }
}

fn read_outcome(answer: &http::Answer) -> task::Outcome {
    if !answer.status.is_success() {
        return task::Outcome::Failed(code::Code::TaskFailed);
    }
    match serde_json::from_slice::<Box<RawValue>>(&answer.body) {
        Ok(value) => task::Outcome::Done(value),
        Err(_) => task::Outcome::Failed(code::Code::AnswerTruncated),
    }
}
