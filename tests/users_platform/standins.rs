//! Stand-ins of the users' platform, by its pages: the store, and a worker that runs tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use lovagemill::mutex;
use lovagemill::platform::http::{self, ConnectionLimits, Reply};
use lovagemill::wire::http::{Call, Client};
use serde_json::{json, Value};

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 500,
    max_head: 0,
    idle_timeout: Duration::from_secs(60),
};

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn body(req: Request<Incoming>) -> Value {
    let bytes = req.into_body().collect().await.map(|body| body.to_bytes());
    bytes
        .ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .unwrap_or(Value::Null)
}

fn query(req: &Request<Incoming>) -> HashMap<String, String> {
    let pairs = req.uri().query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%20", " ")))
        .collect()
}

/// The store: rows of tables, with versions and a feed.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<Rows>>,
    away: Arc<AtomicBool>,
    /// How long each answer takes, in milliseconds.
    slow_ms: Arc<AtomicU64>,
}

/// Rows by table, part and key: the value, and the version.
type Keyed = BTreeMap<RowKey, (String, u64)>;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: Keyed,
    /// Rows that were removed, and at which version.
    gone: BTreeMap<RowKey, u64>,
    version: u64,
    oldest: u64,
    /// Rows that answers held, by table.
    served: BTreeMap<String, usize>,
}

impl Rows {
    fn remove(&mut self, key: RowKey) {
        self.version += 1;
        self.rows.remove(&key);
        self.gone.insert(key, self.version);
    }
}

impl Store {
    pub async fn open() -> Store {
        let state: Arc<Mutex<Rows>> = Arc::default();
        let away: Arc<AtomicBool> = Arc::default();
        let slow_ms: Arc<AtomicU64> = Arc::default();
        let (rows, gone, slow) = (state.clone(), away.clone(), slow_ms.clone());
        let began = Instant::now();
        let answer = move |req| {
            let (rows, gone) = (rows.clone(), gone.clone());
            let slow = Duration::from_millis(slow.load(Ordering::SeqCst));
            async move {
                tokio::time::sleep(slow).await;
                if gone.load(Ordering::SeqCst) {
                    return http::empty(503);
                }
                serve(&rows, req, began).await
            }
        };
        let addr = http::bind(any_port(), || LIMITS, answer)
            .await
            .expect("a free port");
        Store {
            addr,
            state,
            away,
            slow_ms,
        }
    }

    /// The operator writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [{"name": "svc", "enforces_capacity": true}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                "header_timeout_ms": 1000, "idle_timeout_ms": 15000},
        });
        let mut state = mutex::lock(&self.state);
        state.version += 1;
        let row = (STANDARD.encode(config.to_string()), state.version);
        state
            .rows
            .insert(("op".into(), String::new(), "config".into()), row);
    }

    /// The operator evacuates a failure domain.
    pub fn evacuate(&self, domain: &str) {
        let mut state = mutex::lock(&self.state);
        state.version += 1;
        let row = (STANDARD.encode("{}"), state.version);
        let key = ("op".into(), String::new(), format!("evacuate/{domain}"));
        state.rows.insert(key, row);
    }

    /// The operator takes an evacuated failure domain back.
    pub fn take_back(&self, domain: &str) {
        let key = ("op".into(), String::new(), format!("evacuate/{domain}"));
        mutex::lock(&self.state).remove(key);
    }

    /// Drops the history: watches from before hear that it is gone.
    pub fn compact(&self) {
        let mut state = mutex::lock(&self.state);
        state.version += 1;
        state.oldest = state.version;
        state.gone.clear();
    }

    /// Waits until somebody has written into a table.
    pub async fn wait_for_rows(&self, table: &str) {
        while !mutex::lock(&self.state)
            .rows
            .keys()
            .any(|(of, ..)| of == table)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// How many rows of a table answers have held so far.
    pub fn rows_served(&self, table: &str) -> usize {
        let state = mutex::lock(&self.state);
        state.served.get(table).copied().unwrap_or(0)
    }

    pub fn set_slow(&self, long: Duration) {
        self.slow_ms
            .store(long.as_millis() as u64, Ordering::SeqCst);
    }

    pub fn set_unavailable(&self, away: bool) {
        self.away.store(away, Ordering::SeqCst);
    }
}

async fn serve(state: &Mutex<Rows>, req: Request<Incoming>, began: Instant) -> Reply {
    let now_ms = began.elapsed().as_millis() as u64;
    let asked = query(&req);
    let text = |name: &str| asked.get(name).cloned().unwrap_or_default();
    match req.uri().path() {
        "/-/rows-get" => {
            let mut state = mutex::lock(state);
            let (table, from) = (text("table"), text("from"));
            let to = asked.get("to").cloned();
            let part = text("part");
            let rows = state.rows.iter().filter(|((of, within, key), _)| {
                *of == table
                    && *within == part
                    && *key >= from
                    && to.as_ref().is_none_or(|to| key < to)
            });
            let rows: Vec<Value> = rows.map(row).collect();
            *state.served.entry(table).or_default() += rows.len();
            http::json(
                200,
                &json!({"rows": rows, "has_more": false, "ver": state.version, "now_ms": now_ms}),
            )
        }
        "/-/rows-parts" => {
            let (table, after) = (text("table"), text("after"));
            let state = mutex::lock(state);
            let of = state.rows.keys().filter(|(of, ..)| *of == table);
            let parts = of.map(|(_, part, _)| part).filter(|part| **part > after);
            let parts: BTreeSet<&String> = parts.collect();
            http::json(
                200,
                &json!({"parts": parts, "ver": state.version, "now_ms": now_ms}),
            )
        }
        "/-/rows-feed" => {
            let after: u64 = text("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                {
                    let mut state = mutex::lock(state);
                    if after < state.oldest {
                        return http::empty(410);
                    }
                    let table = text("table");
                    let rows = state
                        .rows
                        .iter()
                        .filter(|((of, ..), (_, ver))| *of == table && *ver > after);
                    let mut rows: Vec<Value> = rows.map(row).collect();
                    let gone = state.gone.iter();
                    let gone = gone.filter(|((of, ..), ver)| *of == table && **ver > after);
                    rows.extend(gone.map(tombstone));
                    if !rows.is_empty() || Instant::now() >= until {
                        *state.served.entry(table).or_default() += rows.len();
                        return http::json(
                            200,
                            &json!({"rows": rows, "ver": state.version, "now_ms": now_ms}),
                        );
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        "/-/rows-tx" => {
            let change = body(req).await;
            let mut state = mutex::lock(state);
            state.version += 1;
            let version = state.version;
            let name =
                |row: &Value, field: &str| row[field].as_str().unwrap_or_default().to_owned();
            for row in change["set_keys"].as_array().into_iter().flatten() {
                let key = (name(row, "table"), name(row, "part"), name(row, "key"));
                state.rows.insert(key, (name(row, "value"), version));
            }
            for row in change["remove"].as_array().into_iter().flatten() {
                state.remove((name(row, "table"), name(row, "part"), name(row, "key")));
            }
            let version = state.version;
            http::json(200, &json!({"ver": version, "now_ms": now_ms}))
        }
        _ => http::empty(404),
    }
}

fn row(((table, part, key), (value, ver)): (&RowKey, &(String, u64))) -> Value {
    json!({"table": table, "part": part, "key": key, "value": value, "ver": ver})
}

fn tombstone(((table, part, key), ver): (&RowKey, &u64)) -> Value {
    json!({"table": table, "part": part, "key": key, "ver": ver, "tombstone": true})
}

/// One run that a worker had.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
}

#[derive(Default)]
struct Work {
    running: BTreeMap<(String, u64), (Instant, Duration)>,
    finished: Vec<(u64, String, u64, &'static str)>,
    number: u64,
    token: u64,
    lease: u64,
    log: Vec<RunRecord>,
    life: Life,
}

/// One life of a worker: what counts anew when it comes back under its id.
#[derive(Clone, Copy)]
struct Life {
    /// The millisecond of its start, by a time of day that may have been set back meanwhile.
    born: u64,
    began: Instant,
    /// What its clock showed then.
    first_ms: u64,
    /// The number of its last heartbeat.
    seq: u64,
    leaving: bool,
}

impl Default for Life {
    fn default() -> Life {
        Life {
            born: 1_790_000_000_000,
            began: Instant::now(),
            first_ms: 1_000_000,
            // So many that a next life's stay below them for as long as a test takes.
            seq: 1_000_000,
            leaving: false,
        }
    }
}

/// A worker beside an agent: runs each task for as many milliseconds as its input says.
#[derive(Clone)]
pub struct Worker {
    pub addr: SocketAddr,
    pub id: String,
    work: Arc<Mutex<Work>>,
}

impl Worker {
    pub async fn open(id: &str) -> Worker {
        let worker = Worker {
            addr: any_port(),
            id: id.into(),
            work: Arc::default(),
        };
        let serving = worker.clone();
        let answer = move |req| {
            let worker = serving.clone();
            async move { worker.answer(req).await }
        };
        let addr = http::bind(any_port(), || LIMITS, answer)
            .await
            .expect("a free port");
        let settling = worker.clone();
        tokio::spawn(async move {
            loop {
                settling.settle();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        Worker { addr, ..worker }
    }

    /// Announces itself to an agent from now on.
    pub fn announce(&self, agent: String, client: Client) {
        let worker = self.clone();
        tokio::spawn(async move {
            loop {
                let uri = format!("http://{agent}/-/instances/{}/heartbeat", worker.id);
                let life = {
                    let life = &mut mutex::lock(&worker.work).life;
                    life.seq += 1;
                    *life
                };
                let state = if life.leaving { "draining" } else { "ready" };
                let beat = json!({"service": "svc", "addr": worker.addr.to_string(), "zone": "z",
                    "version": "v1", "slots": 8, "state": state, "born": life.born,
                    "cold_left_ms": 0, "labels": ["a", "r1-1"], "seq": life.seq,
                    "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0}});
                let call = Call::new(Method::POST, uri, beat.to_string());
                // The agent may be away for a while.
                let _ = client.call(call, Duration::from_secs(1)).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }

    pub fn leave(&self) {
        mutex::lock(&self.work).life.leaving = true;
    }

    /// Crashes and is back at once under its id: it runs and knows nothing, and counts anew, its clock
    /// from `first_ms`. The time of day was set back meanwhile.
    pub fn restart(&self, first_ms: u64) {
        let mut work = mutex::lock(&self.work);
        for ran in work.log.iter_mut().filter(|ran| ran.ended.is_none()) {
            ran.ended = Some(Instant::now());
            ran.how = "crashed";
        }
        let life = Life {
            born: work.life.born - 1,
            first_ms,
            seq: 0,
            ..Life::default()
        };
        *work = Work {
            log: std::mem::take(&mut work.log),
            life,
            ..Work::default()
        };
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        mutex::lock(&self.work).log.clone()
    }

    fn clock_ms(&self) -> u64 {
        mutex::lock(&self.work).clock_ms()
    }

    fn settle(&self) {
        let mut work = mutex::lock(&self.work);
        let now = work.clock_ms();
        let lapsed = now > work.lease;
        let over = work
            .running
            .iter()
            .filter(|(_, (began, long))| lapsed || began.elapsed() >= *long);
        let over: Vec<(String, u64)> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            work.end(&key, if lapsed { "lapsed" } else { "done" });
        }
    }

    async fn answer(self, req: Request<Incoming>) -> Reply {
        let meant = req.headers().get("x-lovagemill-expect-instance").cloned();
        if meant.is_some_and(|meant| meant != self.id.as_str()) {
            return http::empty(421);
        }
        let path = req.uri().path().to_owned();
        let order = body(req).await;
        self.settle();
        let token = order["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut work = mutex::lock(&self.work);
            if token < work.token {
                return http::json(
                    409,
                    &json!({"clock_ms": work.clock_ms(), "reason": "fence"}),
                );
            }
            work.token = token;
            work.lease = work.lease.max(order["deadline_ms"].as_u64().unwrap_or(0));
        }
        let key = || {
            let task = order["task"].as_str().unwrap_or_default().to_owned();
            (task, order["run"].as_u64().unwrap_or(0))
        };
        match path.as_str() {
            "/-/run-start" => self.start(key(), &order),
            "/-/run-stop" => {
                mutex::lock(&self.work).end(&key(), "stopped");
                http::json(200, &json!({"clock_ms": self.clock_ms()}))
            }
            "/-/hold" => self.hold(&order).await,
            _ => http::empty(404),
        }
    }

    /// An input of `crash` crashes the worker shortly after its start.
    fn start(&self, key: (String, u64), order: &Value) -> Reply {
        if order["spec"] == "crash" {
            let worker = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(10)).await;
                worker.restart(500);
            });
        }
        let now = self.clock_ms();
        if order["deadline_ms"].as_u64().unwrap_or(0) <= now {
            return http::json(409, &json!({"clock_ms": now, "reason": "late"}));
        }
        let long = order["spec"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1_000);
        let mut work = mutex::lock(&self.work);
        work.log.push(RunRecord {
            task: key.0.clone(),
            began: Instant::now(),
            ended: None,
            how: "",
        });
        work.running
            .insert(key, (Instant::now(), Duration::from_millis(long)));
        http::json(200, &json!({"clock_ms": now}))
    }

    async fn hold(&self, order: &Value) -> Reply {
        let acknowledged = order["ack_cursor"].as_u64().unwrap_or(0);
        mutex::lock(&self.work)
            .finished
            .retain(|(number, ..)| *number > acknowledged);
        let until = Instant::now() + Duration::from_millis(order["wait_ms"].as_u64().unwrap_or(0));
        while mutex::lock(&self.work).finished.is_empty() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
            self.settle();
        }
        let work = mutex::lock(&self.work);
        let running: Vec<Value> = work
            .running
            .keys()
            .map(|(task, run)| json!([task, run, "", 50, 1000]))
            .collect();
        let finished = work
            .finished
            .iter()
            .map(|(n, task, run, how)| json!([n, task, run, how, ""]));
        let finished: Vec<Value> = finished.collect();
        http::json(
            200,
            &json!({"clock_ms": work.clock_ms(), "born": work.life.born, "running": running,
                "finished": finished}),
        )
    }
}

impl Work {
    fn clock_ms(&self) -> u64 {
        self.life.first_ms + self.life.began.elapsed().as_millis() as u64
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        if self.running.remove(key).is_none() {
            return;
        }
        self.number += 1;
        self.finished.push((self.number, key.0.clone(), key.1, how));
        let mut log = self.log.iter_mut().rev();
        if let Some(ran) = log.find(|ran| ran.task == key.0 && ran.ended.is_none()) {
            ran.ended = Some(Instant::now());
            ran.how = how;
        }
    }
}
