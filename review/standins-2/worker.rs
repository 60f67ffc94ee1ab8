//! A stand-in for a worker beside an agent, as PROTOCOL.md describes it under "Running tasks" and "Service
//! discovery". The `spec` of a task says how long it runs and what it takes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clock;
use crate::http::{self, reply, Call, Reply, Request};
use crate::json::{quote, Json};

/// How often a worker sends a heartbeat (`heartbeat_ms` of the sheets).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The longest lease (`hold_max_ms`).
const MAX_LEASE_MS: u64 = 1_000;

/// How long the worker takes to end a run that is stopped; `stop_grace_ms` allows 50 ms.
const STOP_MS: u64 = 20;

/// What a worker is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    /// Thousandths of a core.
    pub cpu: u64,
    pub mem_mb: u64,
}

/// One run of one task, as the worker saw it; times are those of [`clock::now_ms`].
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began_ms: u64,
    /// None while it runs.
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

struct Running {
    cpu: u64,
    began_ms: u64,
    until_ms: u64,
    /// When a run that is being stopped ends.
    stops_at_ms: Option<u64>,
    record: usize,
}

#[derive(Default)]
struct State {
    running: BTreeMap<(String, u64), Running>,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    token: u64,
    /// The end of the lease, by the worker's clock.
    lease_ms: u64,
    seq: u64,
    draining: bool,
    records: Vec<RunRecord>,
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub addr: SocketAddr,
    pub kind: Kind,
    state: Arc<Mutex<State>>,
    /// The worker's clock starts here.
    first_ms: u64,
}

impl Worker {
    /// Serves a worker, and announces it to the agent at `announce`.
    pub fn open(addr: SocketAddr, announce: SocketAddr, kind: Kind) -> io::Result<Worker> {
        let worker = Worker {
            addr,
            kind,
            state: Arc::default(),
            first_ms: 500_000,
        };
        let serving = worker.clone();
        http::serve(
            addr,
            Arc::new(move |request| Some(serving.answer(&request))),
        )?;
        let ending = worker.clone();
        thread::spawn(move || loop {
            ending.state.lock().unwrap().end_due(ending.now_ms());
            thread::sleep(Duration::from_millis(1));
        });
        let announcing = worker.clone();
        thread::spawn(move || loop {
            announcing.send_heartbeat(announce);
            thread::sleep(HEARTBEAT);
        });
        Ok(worker)
    }

    /// Returns all runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.lock().unwrap().records.clone()
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    fn send_heartbeat(&self, announce: SocketAddr) -> bool {
        let (seq, state) = {
            let mut state = self.state.lock().unwrap();
            state.seq += 1;
            (state.seq, if state.draining { "draining" } else { "ready" })
        };
        let kind = &self.kind;
        let labels: Vec<String> = kind.labels.iter().map(|label| quote(label)).collect();
        let body = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"seq\":{seq}}}",
            quote(&kind.service),
            self.addr,
            quote(&kind.zone),
            kind.cpu,
            kind.mem_mb,
            labels.join(","),
            self.now_ms()
        );
        let call = Call {
            method: "POST",
            path: &format!("/-/instances/{}/heartbeat", kind.id),
            headers: &[],
            body: &body,
        };
        let sent = http::call(announce, &call, Duration::from_secs(1));
        sent.is_ok_and(|answer| answer.status == 200)
    }

    fn now_ms(&self) -> u64 {
        self.first_ms + clock::now_ms()
    }

    fn answer(&self, request: &Request) -> Reply {
        if request
            .header("x-lovagemill-expect-instance")
            .is_some_and(|id| id != self.kind.id)
        {
            return reply(421, "");
        }
        let order = Json::parse(&request.body);
        let now = self.now_ms();
        let key = (
            order.get("task").text().to_owned(),
            order.get("run").number().unwrap_or(0),
        );
        let token = order.get("fencing_token").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            state.end_due(now);
            if token < state.token {
                return refusal(now, "fence");
            }
            state.token = token;
        }
        match request.path.as_str() {
            "/-/run-start" => self.start(key, &order, now),
            "/-/run-stop" => {
                let mut state = self.state.lock().unwrap();
                state.stop(&key, now);
                reply(200, format!("{{\"clock_ms\":{now}}}"))
            }
            "/-/hold" => self.hold(&order, now),
            _ => reply(404, ""),
        }
    }

    fn start(&self, key: (String, u64), order: &Json, now: u64) -> Reply {
        let mut state = self.state.lock().unwrap();
        let until = order.get("deadline_ms").number().unwrap_or(0);
        if state.running.contains_key(&key) {
            return reply(200, format!("{{\"clock_ms\":{now}}}"));
        }
        let (run_ms, cpu) = decode_spec(order.get("spec").text());
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        let refused = if until <= now {
            Some("late")
        } else if state.closed.get(&key.0).is_some_and(|run| *run >= key.1) {
            Some("old")
        } else if used + cpu > self.kind.cpu {
            Some("room")
        } else {
            None
        };
        if refused != Some("late") {
            state.lease_ms = state.lease_ms.max(until.min(now + MAX_LEASE_MS));
        }
        if let Some(reason) = refused {
            return refusal(now, reason);
        }
        let record = state.records.len();
        state.records.push(RunRecord {
            worker: self.kind.id.clone(),
            task: key.0.clone(),
            run: key.1,
            began_ms: clock::now_ms(),
            ended_ms: None,
            how: "",
        });
        let running = Running {
            cpu,
            began_ms: now,
            until_ms: now + run_ms,
            stops_at_ms: None,
            record,
        };
        state.running.insert(key, running);
        reply(200, format!("{{\"clock_ms\":{now}}}"))
    }

    fn hold(&self, order: &Json, now: u64) -> Reply {
        let acknowledged = order.get("ack_cursor").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if let Some(until) = order.get("deadline_ms").number() {
                state.lease_ms = state.lease_ms.max(until.min(now + MAX_LEASE_MS));
            }
            state.finished.retain(|(number, ..)| *number > acknowledged);
        }
        let wait = order.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let mut state = self.state.lock().unwrap();
            let now = self.now_ms();
            state.end_due(now);
            if !state.finished.is_empty() || Instant::now() >= until {
                return state.listing(now);
            }
            drop(state);
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Returns how long a task runs, in milliseconds, and the thousandths of a core that it takes.
fn decode_spec(spec: &str) -> (u64, u64) {
    let mut words = spec.split(' ').map(|word| word.parse().unwrap_or(1_000));
    (words.next().unwrap_or(1_000), words.next().unwrap_or(1_000))
}

fn refusal(now: u64, reason: &str) -> Reply {
    reply(
        409,
        format!("{{\"clock_ms\":{now},\"reason\":\"{reason}\"}}"),
    )
}

impl State {
    /// Ends the runs that are done or stopped, and all runs once the lease is over.
    fn end_due(&mut self, now: u64) {
        let lapsed = now > self.lease_ms;
        let due = self.running.iter().filter_map(|(key, run)| {
            if lapsed {
                Some((key.clone(), "lapsed"))
            } else if run.stops_at_ms.is_some_and(|at| now >= at) {
                Some((key.clone(), "stopped"))
            } else if now >= run.until_ms {
                Some((key.clone(), "done"))
            } else {
                None
            }
        });
        let due: Vec<_> = due.collect();
        for (key, how) in due {
            self.end(&key, how);
        }
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        let Some(run) = self.running.remove(key) else {
            return;
        };
        self.close(key);
        self.ends += 1;
        self.finished.push((self.ends, key.0.clone(), key.1, how));
        let record = &mut self.records[run.record];
        record.ended_ms = Some(clock::now_ms());
        record.how = how;
    }

    fn close(&mut self, (task, run): &(String, u64)) {
        let highest = self.closed.entry(task.clone()).or_default();
        *highest = (*highest).max(*run);
    }

    fn stop(&mut self, key: &(String, u64), now: u64) {
        self.close(key);
        if let Some(run) = self.running.get_mut(key) {
            run.stops_at_ms.get_or_insert(now + STOP_MS);
        }
    }

    fn listing(&self, now: u64) -> Reply {
        let running = self.running.iter().map(|((task, run), state)| {
            let age = now.saturating_sub(state.began_ms);
            let percent = (age * 100 / (state.until_ms - state.began_ms).max(1)).min(99);
            format!("[{},{run},\"\",{percent},{}]", quote(task), state.cpu)
        });
        let running: Vec<String> = running.collect();
        let finished = self.finished.iter().take(500);
        let finished = finished.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let finished: Vec<String> = finished.collect();
        reply(
            200,
            format!(
                "{{\"clock_ms\":{now},\"running\":[{}],\"finished\":[{}]}}",
                running.join(","),
                finished.join(",")
            ),
        )
    }
}
