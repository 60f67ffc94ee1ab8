//! A small deployment on loopback: the store, the project's programs, and workers, with a record of what happens.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{map, Json};
use crate::store::Store;
use crate::worker::epoch_us;
use crate::Verdict;

const ENTRY: &str = "target/round/lovagemill-platform-entry";
const AGENT: &str = "target/round/lovagemill-platform-agent";

pub const SERVICE: &str = "svc";
pub const HOST: &str = "school.example";
pub const PREFIX: &str = "/trips/";

/// Processor time of a worker in thousandths of a core, as in the small deployments.
pub const WORKER_CPU: u64 = 32_000;

/// Processor time of a task in thousandths of a core, as in the small deployments.
pub const TASK_CPU: u64 = 3_100;

/// The longest work of a task in the small deployments (`route-clearance`), in milliseconds.
pub const LONGEST_WORK_MS: u64 = 3_600;

/// How long callers wait for an answer, in milliseconds.
pub const CALLERS_WAIT_MS: &str = "5000";

/// Headers of a caller's request.
pub const HEADERS: [(&str, &str); 2] = [
    ("host", HOST),
    ("x-lovagemill-deadline-ms", CALLERS_WAIT_MS),
];

/// `cancel_ms` and `stop_grace_ms` of the small deployments.
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 50;

/// The zones of the entries, and those of the workers.
const ENTRY_ZONES: [&str; 3] = ["za", "zb", "zc"];
const WORKER_ZONES: [&str; 7] = ["za", "zb", "zc", "za", "zb", "zc", "za"];

/// One run of a task at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub number: u64,
    pub began_us: u64,
    /// None while it runs.
    pub ended_us: Option<u64>,
    pub how: String,
}

/// A heartbeat of a worker that its agent has acknowledged.
#[derive(Clone, Debug)]
pub struct Beat {
    pub worker: String,
    pub at_us: u64,
}

/// All that was seen, and the file it is written to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_us: u64,
    runs: Arc<Mutex<Vec<Run>>>,
    beats: Arc<Mutex<Vec<Beat>>>,
}

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            began_us: epoch_us(),
            runs: Arc::default(),
            beats: Arc::default(),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(epoch_us(), text);
    }

    fn note_at(&self, at_us: u64, text: impl AsRef<str>) {
        let at = at_us.saturating_sub(self.began_us) as f64 / 1e6;
        let _ = writeln!(
            self.file.lock().expect("a lock"),
            "{at:10.4} {}",
            text.as_ref()
        );
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("a lock").clone()
    }

    /// Takes a line that a worker has written.
    fn worker_line(&self, line: &str) {
        let mut words = line.splitn(6, ' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let (what, at_us) = (word(), word().parse().unwrap_or(0));
        let (worker, task, number, rest) = (word(), word(), word().parse().unwrap_or(0), word());
        match what.as_str() {
            "began" => {
                self.note_at(
                    at_us,
                    format!("worker {worker}: run {number} of {task} begins ({rest})"),
                );
                let run = Run {
                    worker,
                    task,
                    number,
                    began_us: at_us,
                    ended_us: None,
                    how: String::new(),
                };
                self.runs.lock().expect("a lock").push(run);
            }
            "ended" => {
                self.note_at(
                    at_us,
                    format!("worker {worker}: run {number} of {task} ends ({rest})"),
                );
                let mut runs = self.runs.lock().expect("a lock");
                let run = runs
                    .iter_mut()
                    .rev()
                    .find(|run| run.worker == worker && run.task == task && run.number == number);
                if let Some(run) = run {
                    run.ended_us = Some(at_us);
                    run.how = rest;
                }
            }
            "beat" => {
                let (status, cpu) = (task, number);
                self.note_at(
                    at_us,
                    format!("worker {worker}: heartbeat with a room of {cpu}, status {status}"),
                );
                if status == "200" {
                    self.beats
                        .lock()
                        .expect("a lock")
                        .push(Beat { worker, at_us });
                }
            }
            "room" => self.note_at(at_us, format!("worker {worker}: its room is {task} now")),
            _ => {}
        }
    }

    /// Waits for the next heartbeat of a worker that its agent acknowledges; none if none comes in time.
    pub fn next_beat(&self, worker: &str, limit: Duration) -> Option<Beat> {
        let from = epoch_us();
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let beats = self.beats.lock().expect("a lock").clone();
            let found = beats
                .into_iter()
                .find(|beat| beat.worker == worker && beat.at_us > from);
            if found.is_some() {
                return found;
            }
            thread::sleep(Duration::from_millis(2));
        }
        None
    }

    /// Ends all runs of a worker that was killed.
    fn worker_died(&self, worker: &str) {
        let now = epoch_us();
        self.note_at(now, format!("worker {worker}: dead"));
        for run in self.runs.lock().expect("a lock").iter_mut() {
            if run.worker == worker && run.ended_us.is_none() {
                run.ended_us = Some(now);
                run.how = "crashed".to_owned();
            }
        }
    }

    /// Pairs of runs of one task that were at work at the same time, for more than `slack`.
    pub fn overlaps(&self, slack: Duration) -> Vec<(Run, Run)> {
        let now = epoch_us();
        let mut by_task: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        let mut found = Vec::new();
        for runs in by_task.values() {
            for (n, one) in runs.iter().enumerate() {
                for other in &runs[n + 1..] {
                    let begin = one.began_us.max(other.began_us) + slack.as_micros() as u64;
                    let end = one
                        .ended_us
                        .unwrap_or(now)
                        .min(other.ended_us.unwrap_or(now));
                    if begin < end {
                        found.push((one.clone(), other.clone()));
                    }
                }
            }
        }
        found
    }
}

/// Ids of the processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started and still runs.
pub fn kill_all() {
    for id in STARTED.lock().expect("a lock").drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .stderr(Stdio::null())
            .status();
    }
}

/// Notes a process, also in the folder's file `pids`, from which `run.sh` ends what is left.
fn started(child: &Child, dir: &Path) {
    STARTED.lock().expect("a lock").push(child.id());
    let pids = File::options()
        .create(true)
        .append(true)
        .open(dir.join("pids"));
    let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
}

/// A process that is killed when this is dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    /// Sends a signal, such as `-STOP`, to the process by its id.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED
            .lock()
            .expect("a lock")
            .retain(|id| *id != self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// A `side` machine: the agent and the worker beside it.
pub struct Side {
    pub agent: Process,
    pub announce: SocketAddr,
    pub worker: Option<Process>,
    /// Where the worker takes its room from.
    room: Option<ChildStdin>,
    pub worker_addr: SocketAddr,
    pub zone: String,
    pub lives: u64,
}

pub struct Lab {
    dir: PathBuf,
    /// Whether workers reject what doesn't fit.
    guards: bool,
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub sides: Vec<Side>,
}

/// Returns free ports on the loopback address.
fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

fn addr(addr: SocketAddr) -> Json {
    addr.to_string().as_str().into()
}

/// A route of the configuration as the small deployments have it.
fn route(prefix: &str) -> Json {
    map([
        (
            "name",
            format!("r{}", prefix.replace('/', "-")).as_str().into(),
        ),
        ("host", HOST.into()),
        ("path_prefix", prefix.into()),
        ("type", "unsafe".into()),
        ("timeout_ms", 1_500.into()),
        ("slo_ms", 60.into()),
        ("priority", 0.into()),
        ("service", SERVICE.into()),
        ("attempts", 3.into()),
        ("stretch", Json::Num(1.6)),
    ])
}

impl Lab {
    fn open(dir: &Path, record: Record, guards: bool) -> Lab {
        let store = Store::open();
        let lab = Lab {
            dir: dir.to_owned(),
            guards,
            record,
            store,
            entries: Vec::new(),
            sides: Vec::new(),
        };
        lab.configure(1, vec![route(PREFIX)]);
        lab
    }

    /// Opens a deployment with three entries and seven workers; none if the entries don't get ready.
    /// `guards` tells whether workers reject what doesn't fit.
    pub fn open_small(dir: &Path, record: Record, guards: bool) -> Option<Lab> {
        let mut lab = Lab::open(dir, record, guards);
        for zone in ENTRY_ZONES {
            lab.add_entry(zone);
        }
        for zone in WORKER_ZONES {
            lab.add_side(zone);
            let rack = format!("r1-{}", lab.sides.len().div_ceil(3));
            lab.start_worker(lab.sides.len() - 1, &["a", &rack]);
        }
        lab.wait_until_ready(Duration::from_secs(20)).then_some(lab)
    }

    fn configure(&self, version: u64, routes: Vec<Json>) {
        let service = map([
            ("name", SERVICE.into()),
            ("health_path", "/health".into()),
            ("max_conns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", Json::Bool(false)),
            ("enforces_capacity", Json::Bool(self.guards)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = map([
            ("max_header_bytes", 16_384.into()),
            ("max_body_bytes", 262_144.into()),
            ("header_timeout_ms", 3_000.into()),
            ("idle_timeout_ms", 15_000.into()),
        ]);
        let config = map([
            ("version", version.into()),
            ("routes", routes.into()),
            ("services", vec![service].into()),
            ("limits", limits),
        ]);
        self.store.put("op", "config", &config.to_string());
    }

    /// Judges jobs by id and the time at which their cancelling was acknowledged: their tasks have to be gone
    /// `cancel_ms` and `stop_grace_ms` later.
    pub fn judge_cancelled(&self, cancelled: &[(String, u64)]) -> Verdict {
        let runs = self.record.runs();
        let mut verdict = Verdict::Held;
        for (id, at_us) in cancelled {
            let gone_by = at_us + (CANCEL_MS + STOP_GRACE_MS) * 1_000;
            for run in runs.iter().filter(|run| run.task.starts_with(id.as_str())) {
                let end = run.ended_us.unwrap_or_else(epoch_us);
                if end > gone_by {
                    let after = (end - at_us) as f64 / 1e6;
                    self.record.note(format!("BROKEN: run {} of {} on {} was still at work {after:.3} s after the acknowledgement",
                        run.number, run.task, run.worker));
                    verdict = Verdict::Broken;
                }
            }
        }
        verdict
    }

    /// Starts a program with settings under the names of `deploy/entry.json` and `deploy/agent.json`.
    fn start(&self, program: &str, name: &str, settings: &Json) -> Process {
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        self.spawn(program, name)
    }

    /// Starts a program whose settings lie in the folder.
    fn spawn(&self, program: &str, name: &str) -> Process {
        let path = self.dir.join(format!("{name}.json"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .expect("a log");
        let child = Command::new(program)
            .env("LOVAGEMILL_BOOT", &path)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        started(&child, &self.dir);
        self.record
            .note(format!("{name} starts, process {}", child.id()));
        Process {
            child,
            name: name.to_owned(),
        }
    }

    fn add_entry(&mut self, zone: &str) {
        let name = format!("front-{zone}-{}", self.entries.len() + 1);
        let [callers, ready, metrics] = free_addrs();
        let settings = map([
            ("name", name.as_str().into()),
            ("failure_domain", zone.into()),
            ("callers", addr(callers)),
            ("ready", addr(ready)),
            ("metrics", addr(metrics)),
            ("store", addr(self.store.addr)),
            ("far", Json::Num(1.5)),
            ("in_force_ms", 2_000.into()),
            ("resubmit_ms", 1_300.into()),
            ("stop_within_s", 6.into()),
        ]);
        let process = self.start(ENTRY, &name, &settings);
        self.entries.push(Entry {
            process,
            callers,
            ready,
        });
    }

    /// Adds an agent; its worker is started by [`Lab::start_worker`].
    fn add_side(&mut self, zone: &str) {
        let name = format!("side-{zone}-{}", self.sides.len() + 1);
        let [announce, worker_addr, links, metrics] = free_addrs();
        let settings = map([
            ("name", name.as_str().into()),
            ("failure_domain", zone.into()),
            ("announce", addr(announce)),
            ("backend", addr(worker_addr)),
            ("links", addr(links)),
            ("metrics", addr(metrics)),
            ("store", addr(self.store.addr)),
            ("resubmit_ms", 1_300.into()),
            ("longest_lease_ms", 1_000.into()),
            ("stop_within_s", 6.into()),
        ]);
        let agent = self.start(AGENT, &name, &settings);
        self.sides.push(Side {
            agent,
            announce,
            worker: None,
            room: None,
            worker_addr,
            zone: zone.to_owned(),
            lives: 0,
        });
    }

    /// Starts the next life of a side's worker, with a new id; returns the id.
    fn start_worker(&mut self, side: usize, labels: &[&str]) -> String {
        let record = self.record.clone();
        let side = &mut self.sides[side];
        side.lives += 1;
        let id = format!("i-{}-{}", side.agent.name, side.lives);
        let mut child = Command::new(std::env::current_exe().expect("our own path"))
            .args([
                "worker",
                &side.worker_addr.to_string(),
                &side.announce.to_string(),
                &id,
                SERVICE,
                &side.zone,
            ])
            .arg(labels.join(","))
            .arg(WORKER_CPU.to_string())
            .arg(self.guards.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the worker starts");
        started(&child, &self.dir);
        record.note(format!(
            "worker {id} starts with the labels {labels:?}, process {}",
            child.id()
        ));
        let lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let writing = record.clone();
        let name = id.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                writing.worker_line(&line);
            }
            writing.worker_died(&name);
        });
        side.room = child.stdin.take();
        side.worker = Some(Process {
            child,
            name: id.clone(),
        });
        id
    }

    /// Waits until every entry says that it is ready; returns whether that came in time.
    /// Changes the room of a side's worker, in thousandths of a core.
    pub fn set_room(&mut self, side: usize, cpu: u64) {
        if let Some(room) = &mut self.sides[side].room {
            let _ = writeln!(room, "{cpu}");
        }
    }

    /// Kills a side's agent.
    pub fn kill_agent(&mut self, side: usize) {
        let agent = &mut self.sides[side].agent;
        self.record.note(format!("{} is killed", agent.name));
        agent.kill();
    }

    /// Starts a side's agent again, with the settings that it had.
    pub fn restart_agent(&mut self, side: usize) {
        let name = self.sides[side].agent.name.clone();
        self.sides[side].agent = self.spawn(AGENT, &name);
    }

    fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |entry: &Entry| {
            http::call(
                entry.ready,
                Duration::from_secs(1),
                "GET",
                "/-/ready",
                &[("host", "r")],
                "",
            )
            .is_ok_and(|answer| answer.status == 200)
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        // Entries link to the remaining agents within this time.
        thread::sleep(Duration::from_secs(2));
        true
    }
}

/// A best-effort job of one step, whose tasks work for `ms` milliseconds each.
pub fn job(tasks: u64, ms: u64) -> String {
    let step = map([
        ("count", tasks.into()),
        ("cpu", TASK_CPU.into()),
        ("mem_mb", 64.into()),
        ("est_runtime_ms", ms.into()),
    ]);
    let spec = format!("ms={ms} cpu={TASK_CPU}");
    map([
        ("spec", spec.as_str().into()),
        ("steps", vec![step].into()),
        ("best_effort", Json::Bool(true)),
    ])
    .to_string()
}
