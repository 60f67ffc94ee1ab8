//! Callers: submit over real HTTP, resubmit under the same key, and check every answer.

use std::sync::{Arc, Mutex};
use std::time;

use hyper::Method;
use rand::Rng;
use serde_json::value::to_raw_value;

use crate::clock;
use crate::demo::ended::Ended;
use crate::demo::tally::{self, Tally};
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

/// How long a caller submits under one key before it gives up.
const GIVE_UP: time::Duration = time::Duration::from_secs(30);

/// Pause before a caller that lost its answer submits again.
const RESUBMIT_AFTER: time::Duration = time::Duration::from_millis(100);

/// Largest answer that a caller takes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Addresses of the entries (host and port), as the balancer has them; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Addrs {
    inner: Arc<Mutex<Vec<String>>>,
}

impl Addrs {
    /// Replaces the addresses.
    pub fn set(&self, addrs: Vec<String>) {
        *self.inner.lock().expect("the addresses are whole") = addrs;
    }

    /// All addresses.
    pub fn all(&self) -> Vec<String> {
        self.inner.lock().expect("the addresses are whole").clone()
    }

    /// Draws an address, another than the last one where there is another.
    fn draw(&self, last: Option<&str>) -> String {
        let mut addrs = self.all();
        if addrs.len() > 1 {
            addrs.retain(|addr| Some(addr.as_str()) != last);
        }
        let at = rand::rng().random_range(0..addrs.len());
        addrs.swap_remove(at)
    }
}

/// Whom callers call, and what they know of it.
#[derive(Clone)]
pub struct Target {
    /// The entries.
    pub entries: Addrs,
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
        let key = mint(aged);
        let begun = time::Instant::now();
        let (ended, tries) = self.run(&arrival, &key).await;
        let took = begun.elapsed();
        let ideal = self.ideal(&arrival);
        let job = key::scoped(&arrival.client_account, &key);
        let flight = tally::Flight {
            begun,
            took,
            ideal,
            tries,
        };
        self.tally.ended(&arrival, job, &ended, flight);
    }

    /// Submits an arrival under a key until it has an ending, which is checked. Returns it and the
    /// number of tries.
    pub async fn run(&self, arrival: &Arrival, key: &str) -> (Ended, u32) {
        let (path, body) = body(arrival);
        let begun = time::Instant::now();
        let mut last = None;
        let mut tries = 0;
        while begun.elapsed() < GIVE_UP {
            let entry = self.target.entries.draw(last.as_deref());
            tries += 1;
            match self.attempt(&entry, key, path, &body).await {
                Tried::Complete(answer) => {
                    self.check(arrival, key, &answer);
                    return (Ended::Complete, tries);
                }
                Tried::Refused(refusal) => {
                    self.check_refusal(&arrival.client_account, key, &refusal);
                    return (Ended::Refused(refusal), tries);
                }
                Tried::Lost => {
                    last = Some(entry);
                    tokio::time::sleep(RESUBMIT_AFTER).await;
                }
            }
        }
        (Ended::GaveUp, tries)
    }

    /// Withdraws a job through any entry, and checks what is said of it.
    pub async fn cancel(&self, account: &str, key: &str) {
        let entry = self.target.entries.draw(None);
        let uri = format!("http://{entry}/v1/jobs/{key}?customer={account}");
        if let Some(truth) = &self.target.truth {
            truth.cancelled(&key::scoped(account, key));
        }
        let call = http::Call::new(Method::DELETE, uri, Vec::new());
        let Ok(answer) = self.http.call(call, PATIENCE).await else {
            return;
        };
        if let Ok(refusal) = serde_json::from_slice::<Refusal>(&answer.body) {
            self.check_refusal(account, key, &refusal);
        }
    }

    /// Sends anything to one entry, for operators; none where no whole answer came.
    pub async fn call(&self, entry: &str, call: http::Call) -> Option<http::Answer> {
        let call = http::Call {
            uri: format!("http://{entry}{}", call.uri),
            ..call
        };
        self.http.call(call, PATIENCE).await.ok()
    }

    /// The entries, as the balancer has them.
    pub fn entries(&self) -> &Addrs {
        &self.target.entries
    }

    async fn attempt(&self, entry: &str, key: &str, path: &str, body: &[u8]) -> Tried {
        let uri = format!("http://{entry}{path}");
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
        let job = key::scoped(&arrival.client_account, key);
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

    /// Holds a "not run" against what has run, now and once more at the end.
    fn check_refusal(&self, account: &str, key: &str, refusal: &Refusal) {
        if !refusal.not_run {
            return;
        }
        self.tally
            .said_not_run(key::scoped(account, key), refusal.code);
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
            client_account: arrival.client_account.clone(),
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
        client_account: arrival.client_account.clone(),
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

/// Mints a submission key; one that tells its age, or a plain random one.
pub fn mint(aged: bool) -> String {
    if aged {
        key::mint(clock::since_epoch(), rand::random())
    } else {
        format!("{:032x}", rand::random::<u128>())
    }
}
