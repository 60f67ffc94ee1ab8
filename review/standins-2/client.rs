//! Clients that hand jobs in, and the record of what they sent and were answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::clock;
use crate::http::{self, Call};

/// The host and the prefix of the one queue.
pub const HOST: &str = "trips.example";
pub const PREFIX: &str = "/trips/";

/// How long clients wait for an answer; the header says so.
const PATIENCE_MS: u64 = 6_500;

/// A job of one step.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub tasks: u32,
    pub cpu: u64,
    /// How long each task runs.
    pub ms: u64,
}

/// What was sent and answered, one line each.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    pub fn note(&self, line: String) {
        self.0.lock().unwrap().push((clock::now_ms(), line));
    }

    /// Returns all lines with their times.
    pub fn lines(&self) -> Vec<(u64, String)> {
        self.0.lock().unwrap().clone()
    }
}

/// Hands a job in at an entry, on a thread of its own. Returns the status; none without an answer.
pub fn submit(entry: SocketAddr, job: Job, record: &Record) -> JoinHandle<Option<u16>> {
    let record = record.clone();
    thread::spawn(move || {
        record.note(format!(
            "sent POST {} of {} tasks to {entry}",
            job.id, job.tasks
        ));
        let body = format!(
            "{{\"spec\":\"{} {}\",\"best_effort\":true,\"steps\":[{{\"count\":{},\"cpu\":{},\"mem_mb\":64,\
             \"est_runtime_ms\":{}}}]}}",
            job.ms, job.cpu, job.tasks, job.cpu, job.ms
        );
        let patience = PATIENCE_MS.to_string();
        let call = Call {
            method: "POST",
            path: &format!("{PREFIX}{}", job.id),
            headers: &[("host", HOST), ("x-lovagemill-deadline-ms", &patience)],
            body: &body,
        };
        let answer = http::call(entry, &call, Duration::from_millis(PATIENCE_MS));
        match answer {
            Ok(answer) => {
                record.note(format!(
                    "answered {} {} {}",
                    job.id, answer.status, answer.body
                ));
                Some(answer.status)
            }
            Err(e) => {
                record.note(format!("no answer for {}: {e}", job.id));
                None
            }
        }
    })
}

/// Cancels a job at an entry; returns whether the cancelling was acknowledged with a 2xx or 410.
pub fn cancel(entry: SocketAddr, id: &str, record: &Record) -> bool {
    record.note(format!("sent DELETE {id} to {entry}"));
    let call = Call {
        method: "DELETE",
        path: &format!("{PREFIX}{id}"),
        headers: &[("host", HOST)],
        body: "",
    };
    match http::call(entry, &call, Duration::from_millis(PATIENCE_MS)) {
        Ok(answer) => {
            record.note(format!("cancelling of {id} answered {}", answer.status));
            matches!(answer.status, 200..=299 | 410)
        }
        Err(e) => {
            record.note(format!("no answer to the cancelling of {id}: {e}"));
            false
        }
    }
}
