//! Between an agent and the backend server beside it, over HTTP.
//!
//! A backend server announces itself to its agent (`POST /v1/announce`) every second, and again
//! with `leaving` when it stops. The agent runs a task by `POST /run` with the input as the body
//! and the headers named here; the whole answer is one JSON body.

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::code;
use crate::task;
use crate::trace;
use crate::wire::http;

/// Largest answer of a task that is taken, in bytes.
pub const MAX_ANSWER: usize = 1024 * 1024;

/// Header: the scoped submission key.
pub const JOB: &str = "lovagemill-job";
/// Header: the task's index in its job.
pub const INDEX: &str = "lovagemill-task";
/// Header: the client account.
pub const CLIENT_ACCOUNT: &str = "lovagemill-customer";
/// Header: milliseconds until the answer is worthless.
pub const DEADLINE: &str = "lovagemill-deadline-ms";

/// What a backend server tells its agent of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where its HTTP listens (host and port).
    pub addr: CompactString,
    /// Tasks that it runs at a time.
    pub slots: u32,
    /// Connections that it takes at a time.
    pub connections: u32,
    /// What it has for tasks.
    #[serde(default)]
    pub capacity: task::Needs,
    /// True once it stops: nothing new may be sent.
    #[serde(default)]
    pub leaving: bool,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The backend server (host and port).
    pub addr: CompactString,
    /// The task.
    pub id: task::Id,
    /// Its client account.
    pub client_account: CompactString,
    /// Milliseconds until its answer is worthless.
    pub deadline_ms: u64,
    /// Its input.
    pub input: Box<RawValue>,
    /// The trace that it belongs to, if any.
    pub traceparent: Option<CompactString>,
}

/// Runs one task and waits for its whole answer.
///
/// Never tries twice: once the request has left, the task may have started.
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
        Ok(answer) => read(&answer),
        Err(http::Error::NotSent | http::Error::Refused) => {
            task::Outcome::Failed(code::Code::WorkerBusy)
        }
        Err(http::Error::TimedOut) => task::Outcome::Failed(code::Code::TaskTimeout),
        Err(http::Error::TooLarge) => task::Outcome::Failed(code::Code::AnswerTooLarge),
        Err(http::Error::Broken) => task::Outcome::Failed(code::Code::AnswerTruncated),
    }
}

fn read(answer: &http::Answer) -> task::Outcome {
    if !answer.status.is_success() {
        return task::Outcome::Failed(code::Code::TaskFailed);
    }
    match serde_json::from_slice::<Box<RawValue>>(&answer.body) {
        Ok(value) => task::Outcome::Done(value),
        Err(_) => task::Outcome::Failed(code::Code::AnswerTruncated),
    }
}
