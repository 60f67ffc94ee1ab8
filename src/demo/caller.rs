//! Callers: submit over real HTTP, resubmit under the same key, and check every answer.

use std::sync::Arc;
use std::time;

use hyper::Method;
use rand::Rng;
use serde_json::value::to_raw_value;

use crate::demo;
use crate::demo::report::Tally;
use crate::demo::workload::Arrival;
use crate::key;
use crate::refusal::Refusal;
use crate::standin::backend::{Input, Output};
use crate::standin::truth::Truth;
use crate::submission;
use crate::task;
use crate::wire::caller;
use crate::wire::http;

/// Longest that a caller waits for one answer.
const PATIENCE: time::Duration = time::Duration::from_secs(15);

/// How often a caller submits under one key before it gives up.
const MAX_TRIES: u32 = 6;

/// Pause before a caller that lost its answer submits again.
const RESUBMIT_AFTER: time::Duration = time::Duration::from_millis(100);

/// Largest answer that a caller takes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Whom callers call, and what they know of it.
#[derive(Clone)]
pub struct Target {
    /// The entries (host and port).
    pub entries: Vec<String>,
    /// One-way latency to them, part of the ideal.
    pub one_way: time::Duration,
    /// Slots in all, part of the ideal.
    pub slots: u32,
    /// What really happened, where the backend servers are stand-ins of this process.
    pub truth: Option<Truth>,
}

/// A caller; clones share its connections.
#[derive(Clone)]
pub struct Caller {
    http: http::Client,
    target: Arc<Target>,
    tally: Arc<Tally>,
}

/// Opens a caller.
pub fn open(target: Target, tally: Arc<Tally>) -> Caller {
    Caller {
        http: http::open(MAX_ANSWER),
        target: Arc::new(target),
        tally,
    }
}

/// How one try ended.
enum Tried {
    Complete(caller::JobAnswer),
    Refused(Refusal),
    Lost,
}

impl Caller {
    /// Submits one arrival until it has an ending, and tallies it.
    pub async fn submit(&self, arrival: Arrival, aged: bool) {
        let key = demo::mint(aged);
        let (path, body) = body(&arrival);
        let begun = time::Instant::now();
        for _ in 0..MAX_TRIES {
            match self.attempt(&key, path, &body).await {
                Tried::Complete(answer) => {
                    self.check(&arrival, &key, &answer);
                    let ideal = self.ideal(&arrival);
                    self.tally.complete(&arrival, begun.elapsed(), ideal);
                    return;
                }
                Tried::Refused(refusal) => {
                    self.refused(&arrival, &key, &refusal);
                    return;
                }
                Tried::Lost => {
                    self.tally.resubmitted();
                    tokio::time::sleep(RESUBMIT_AFTER).await;
                }
            }
        }
        self.tally.gave_up(&arrival);
    }

    async fn attempt(&self, key: &str, path: &str, body: &[u8]) -> Tried {
        let entries = &self.target.entries;
        let at = rand::rng().random_range(0..entries.len());
        let uri = format!("http://{}{path}", entries[at]);
        let call =
            http::Call::new(Method::POST, uri, body.to_vec()).header(caller::IDEMPOTENCY_KEY, key);
        let Ok(answer) = self.http.call(call, PATIENCE).await else {
            return Tried::Lost;
        };
        if answer.status.is_success() {
            return match serde_json::from_slice(&answer.body) {
                Ok(answer) => Tried::Complete(answer),
                Err(_) => Tried::Lost,
            };
        }
        match serde_json::from_slice::<Refusal>(&answer.body) {
            Ok(refusal) if refusal.code == crate::code::Code::ForwardLost => Tried::Lost,
            Ok(refusal) if refusal.code == crate::code::Code::Draining => Tried::Lost,
            Ok(refusal) => Tried::Refused(refusal),
            Err(_) => Tried::Lost,
        }
    }

    /// Holds an answer against what was asked: every task once, each with its own answer.
    fn check(&self, arrival: &Arrival, key: &str, answer: &caller::JobAnswer) {
        let job = key::scoped(&arrival.customer, key);
        if answer.answers.len() != arrival.tasks.len() {
            self.tally.partial();
        }
        for (i, raw) in answer.answers.iter().enumerate() {
            let expected = Output {
                job: job.clone(),
                task: i as u32,
                value: arrival.value.wrapping_add(i as u64),
            };
            if serde_json::from_str::<Output>(raw.get()).ok() != Some(expected) {
                self.tally.foreign();
            }
        }
    }

    fn refused(&self, arrival: &Arrival, key: &str, refusal: &Refusal) {
        self.tally.refused(arrival, refusal);
        if !refusal.not_run {
            return;
        }
        let job = key::scoped(&arrival.customer, key);
        if self
            .target
            .truth
            .as_ref()
            .is_some_and(|truth| truth.starts_of(&job) > 0)
        {
            self.tally.false_not_run();
        }
        self.tally.said_not_run(job);
    }

    /// The shortest time in which a dispatcher without any cost could answer.
    fn ideal(&self, arrival: &Arrival) -> time::Duration {
        let longest = arrival.tasks.iter().copied().max().unwrap_or(0);
        let spread = arrival.tasks.iter().sum::<u64>() / u64::from(self.target.slots.max(1));
        2 * self.target.one_way + time::Duration::from_millis(longest.max(spread))
    }
}

/// The path and body of an arrival.
fn body(arrival: &Arrival) -> (&'static str, Vec<u8>) {
    if arrival.request {
        let req = caller::Request {
            customer: arrival.customer.clone(),
            class: arrival.class.clone(),
            idempotent: arrival.idempotent,
            kind: "request".into(),
            run_ms: arrival.tasks[0],
            needs: task::Needs::default(),
            input: input(arrival, 0),
        };
        return ("/v1/requests", serde_json::to_vec(&req).unwrap_or_default());
    }
    let task = |i: usize| submission::Task {
        kind: "check".into(),
        run_ms: arrival.tasks[i],
        needs: task::Needs::default(),
        input: input(arrival, i),
    };
    let job = submission::Job {
        customer: arrival.customer.clone(),
        class: arrival.class.clone(),
        tasks: (0..arrival.tasks.len()).map(task).collect(),
    };
    ("/v1/jobs", serde_json::to_vec(&job).unwrap_or_default())
}

fn input(arrival: &Arrival, i: usize) -> Box<serde_json::value::RawValue> {
    let input = Input {
        ms: arrival.tasks[i],
        value: arrival.value.wrapping_add(i as u64),
    };
    to_raw_value(&input).expect("an input is plain JSON")
}
