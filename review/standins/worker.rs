//! A stand-in for one life of a worker, as a process of its own.
//!
//! It registers at the agent beside it, carries out the agent's orders, and writes a line to standard output for each
//! run that begins or ends. A task's `spec` says how long it works and what it needs, such as `ms=900 cpu=3100`.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{map, Json};

/// `heartbeat_ms` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `hold_max_ms` of the small deployments.
const LONGEST_LEASE_MS: u64 = 1_000;

/// Most ends in one listing.
const MAX_ENDS_LISTED: usize = 500;

/// The clock of a worker starts anywhere.
const FIRST_CLOCK_MS: u64 = 480_000;

/// What a worker is told at its start.
pub struct Settings {
    pub addr: SocketAddr,
    /// The `control` address of its machine.
    pub agent: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Whether it rejects what does not fit.
    pub guards: bool,
}

struct Run {
    began: Instant,
    work: Duration,
    cpu: u64,
}

#[derive(Default)]
struct State {
    /// By task and number of the run.
    running: BTreeMap<(String, u64), Run>,
    /// The highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    /// Number, task, run and how.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    token: u64,
    /// End of the lease by the worker's clock.
    lease_ms: u64,
}

struct Worker {
    cfg: Settings,
    /// Its room, which may shrink and grow while it runs.
    cpu: AtomicU64,
    began: Instant,
    state: Mutex<State>,
    ended: Condvar,
}

fn field(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words
        .find(|(other, _)| *other == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Time since 1970 in microseconds, the clock of all records.
pub fn epoch_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

/// Serves until the process is killed.
pub fn run(cfg: Settings) {
    let listener = bind(cfg.addr);
    let worker = Arc::new(Worker {
        cpu: AtomicU64::new(cfg.cpu),
        cfg,
        began: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
    });
    let serving = worker.clone();
    http::serve(listener, move |req| serving.answer(&req));
    let ending = worker.clone();
    thread::spawn(move || loop {
        ending.end_due();
        thread::sleep(Duration::from_millis(2));
    });
    let sized = worker.clone();
    thread::spawn(move || sized.follow_room());
    let mut seq = 0;
    loop {
        seq += 1;
        worker.announce(seq);
        thread::sleep(HEARTBEAT);
    }
}

/// Binds the address, which the life before may have left a moment ago.
fn bind(addr: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(addr) {
            return listener;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("can't listen at {addr}");
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.began.elapsed().as_millis() as u64
    }

    /// Takes each line of standard input as the new room.
    fn follow_room(&self) {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Ok(cpu) = line.trim().parse() {
                self.cpu.store(cpu, Ordering::SeqCst);
                println!("room {} {} {cpu}", epoch_us(), self.cfg.id);
            }
        }
    }

    fn announce(&self, seq: u64) {
        let cfg = &self.cfg;
        let cpu = self.cpu.load(Ordering::SeqCst);
        let labels: Vec<Json> = cfg
            .labels
            .iter()
            .map(|label| label.as_str().into())
            .collect();
        let capacity = map([
            ("cpu", cpu.into()),
            ("mem_mb", cfg.mem_mb.into()),
            ("gpu", 0.into()),
        ]);
        let body = map([
            ("service", cfg.service.as_str().into()),
            ("addr", cfg.addr.to_string().as_str().into()),
            ("zone", cfg.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("clock_ms", self.clock_ms().into()),
            ("seq", seq.into()),
        ]);
        let path = format!("/-/instances/{}/heartbeat", cfg.id);
        let sent = http::call(
            cfg.agent,
            Duration::from_secs(1),
            "POST",
            &path,
            &[("host", "agent")],
            &body.to_string(),
        );
        let status = sent.map_or(0, |answer| answer.status);
        println!("beat {} {} {status} {cpu}", epoch_us(), cfg.id);
    }

    fn end_due(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.state.lock().expect("a lock");
        let lapsed = now_ms > state.lease_ms;
        let due = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.began.elapsed() >= run.work);
        let due: Vec<(String, u64)> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            state.end(&key, if lapsed { "lapsed" } else { "done" }, &self.cfg.id);
            self.ended.notify_all();
        }
    }

    fn answer(&self, req: &Request) -> Answer {
        if req
            .header("x-lovagemill-expect-instance")
            .is_some_and(|id| id != self.cfg.id)
        {
            return Answer::empty(421);
        }
        self.end_due();
        let order = Json::parse(&req.body).unwrap_or(Json::Null);
        let token = order.get("fencing_token").number().unwrap_or(0);
        {
            let mut state = self.state.lock().expect("a lock");
            if token < state.token {
                return self.refusal("fence");
            }
            state.token = token;
            let asked = order.get("deadline_ms").number().unwrap_or(0);
            state.lease_ms = state
                .lease_ms
                .max(asked.min(self.clock_ms() + LONGEST_LEASE_MS));
        }
        let task = order.get("task").text().unwrap_or_default().to_owned();
        let key = (task, order.get("run").number().unwrap_or(0));
        match req.path.as_str() {
            "/-/run-start" => self.start(key, &order),
            "/-/run-stop" => {
                let mut state = self.state.lock().expect("a lock");
                state.close(&key);
                state.end(&key, "stopped", &self.cfg.id);
                self.ended.notify_all();
                self.accepted()
            }
            "/-/hold" => self.hold(&order),
            _ => Answer::empty(404),
        }
    }

    fn accepted(&self) -> Answer {
        Answer::json(map([("clock_ms", self.clock_ms().into())]))
    }

    fn refusal(&self, reason: &str) -> Answer {
        let body = map([
            ("clock_ms", self.clock_ms().into()),
            ("reason", reason.into()),
        ]);
        Answer {
            status: 409,
            body: body.to_string(),
        }
    }

    fn start(&self, key: (String, u64), order: &Json) -> Answer {
        let spec = order.get("spec").text().unwrap_or_default();
        let cpu = field(spec, "cpu").unwrap_or(0);
        let mut state = self.state.lock().expect("a lock");
        if state.running.contains_key(&key) {
            return self.accepted();
        }
        if state.closed.get(&key.0).is_some_and(|run| *run >= key.1) {
            return self.refusal("old");
        }
        if order.get("deadline_ms").number().unwrap_or(0) <= self.clock_ms() {
            return self.refusal("late");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if self.cfg.guards && used + cpu > self.cpu.load(Ordering::SeqCst) {
            return self.refusal("room");
        }
        println!(
            "began {} {} {} {} {}",
            epoch_us(),
            self.cfg.id,
            key.0,
            key.1,
            spec
        );
        let work = Duration::from_millis(field(spec, "ms").unwrap_or(100));
        state.running.insert(
            key,
            Run {
                began: Instant::now(),
                work,
                cpu,
            },
        );
        self.accepted()
    }

    fn hold(&self, order: &Json) -> Answer {
        let cursor = order.get("ack_cursor").number().unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(order.get("wait_ms").number().unwrap_or(0));
        let mut state = self.state.lock().expect("a lock");
        state.finished.retain(|(n, ..)| *n > cursor);
        while state.finished.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).expect("a lock").0;
        }
        let running = state.running.iter().map(|((task, run), at)| {
            let percent = (at.began.elapsed().as_secs_f64() / at.work.as_secs_f64().max(0.001)
                * 100.0)
                .min(99.0);
            Json::List(vec![
                task.as_str().into(),
                (*run).into(),
                "".into(),
                (percent as u64).into(),
                at.cpu.into(),
            ])
        });
        let running: Vec<Json> = running.collect();
        let finished = state
            .finished
            .iter()
            .take(MAX_ENDS_LISTED)
            .map(|(n, task, run, how)| {
                Json::List(vec![
                    (*n).into(),
                    task.as_str().into(),
                    (*run).into(),
                    (*how).into(),
                    "".into(),
                ])
            });
        let finished: Vec<Json> = finished.collect();
        Answer::json(map([
            ("clock_ms", self.clock_ms().into()),
            ("running", running.into()),
            ("finished", finished.into()),
        ]))
    }
}

impl State {
    fn close(&mut self, (task, run): &(String, u64)) {
        let highest = self.closed.entry(task.clone()).or_default();
        *highest = (*highest).max(*run);
    }

    fn end(&mut self, key: &(String, u64), how: &'static str, id: &str) {
        if self.running.remove(key).is_none() {
            return;
        }
        self.close(key);
        self.last_end += 1;
        self.finished
            .push((self.last_end, key.0.clone(), key.1, how));
        println!("ended {} {} {} {} {}", epoch_us(), id, key.0, key.1, how);
    }
}
