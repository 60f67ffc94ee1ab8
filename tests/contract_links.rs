//! The contracts of the links: what an agent and an owner make of messages that are old, doubled,
//! meant for somebody else, or not to be read at all.

mod support;

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use lovagemill::standin::truth::Truth;
use lovagemill::wire::link;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::mpsc;

use support::memory::MemoryPlatform;
use support::path;

/// Characters that make a message larger than a link takes.
const OVERSIZE: usize = 33 * 1024 * 1024;

#[derive(Deserialize)]
struct Table {
    /// The server under test: `agent` or `entry`.
    server: String,
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    /// The hello, as JSON.
    hello: String,
    /// Messages, as JSON; `$INC` stands for the agent's life, `$PAD` for more than a link takes.
    #[serde(default)]
    send: Vec<String>,
    /// Items that come back, in any order, as far as they are named here.
    expect: Vec<String>,
    /// Starts that the backend server has seen in the end, over all cases so far.
    starts: Option<u64>,
    /// True where the server closes the link.
    #[serde(default)]
    closes: bool,
}

/// A raw client of a link: whatever JSON goes out and comes in.
struct Client {
    tx: mpsc::UnboundedSender<Value>,
    left: mpsc::UnboundedReceiver<()>,
    got: Arc<Mutex<Vec<Value>>>,
    slots: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
}

async fn connect(addr: &str, hello: &str) -> Client {
    let got: Arc<Mutex<Vec<Value>>> = Arc::default();
    let slots: Arc<AtomicU64> = Arc::default();
    let closed: Arc<AtomicBool> = Arc::default();
    let (taking, loading, closing) = (got.clone(), slots.clone(), closed.clone());
    let (tx, rx) = mpsc::unbounded_channel();
    let (leaving, left) = mpsc::unbounded_channel();
    let peer = link::ClientHandlers {
        on_message: Arc::new(move |message: Value| {
            let load = message["load"]["slots"].as_u64();
            loading.store(load.unwrap_or(0), Ordering::SeqCst);
            let items = message.get("notices").or(message.get("items"));
            let items = items.and_then(Value::as_array).cloned();
            taking.lock().unwrap().extend(items.unwrap_or_default());
        }),
        group: Arc::new(move |mut messages: Vec<Value>| {
            assert_eq!(messages.len(), 1, "the test sends one at a time");
            leaving.send(()).unwrap();
            messages.remove(0)
        }),
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: |_| 1,
        on_closed: Box::new(move || closing.store(true, Ordering::SeqCst)),
    };
    let hello: Value = serde_json::from_str(hello).unwrap();
    // A hello that is refused shows as a link that never comes about.
    if link::connect(addr, hello, rx, peer).await.is_err() {
        closed.store(true, Ordering::SeqCst);
    }
    Client {
        tx,
        left,
        got,
        slots,
        closed,
    }
}

impl Client {
    fn incarnation(&self) -> Option<String> {
        let got = self.got.lock().unwrap();
        let welcome = got.iter().find_map(|item| item.get("welcome"))?;
        Some(welcome["incarnation"].to_string())
    }

    /// What came back, heartbeats apart, as short texts in a fixed order.
    fn items(&self) -> Vec<String> {
        let got = self.got.lock().unwrap();
        let items = got.iter().filter(|item| *item != "heartbeat");
        let mut items: Vec<String> = items.map(short).collect();
        items.sort();
        items
    }
}

/// The parts of an item that don't differ between runs.
fn short(item: &Value) -> String {
    if item.get("welcome").is_some() {
        return "welcome".to_owned();
    }
    if let Some(answer) = item.get("answer") {
        return format!("answer {}/{}", answer["id"]["job"], answer["id"]["index"]);
    }
    if let Some(ending) = item.get("ending") {
        let code = &ending[1]["failed"]["code"];
        return match code.as_str() {
            Some(code) => format!("ending {} {code}", ending[0]),
            None => format!("ending {} complete", ending[0]),
        };
    }
    if let Some(config) = item.get("config") {
        return format!("config {}", config["version"]);
    }
    if item.get("versions").is_some() {
        return "versions".to_owned();
    }
    item.to_string()
}

impl Client {
    async fn send(&mut self, message: &str) {
        let life = self.incarnation().unwrap_or_default();
        let message = message.replace("$INC", &life);
        let message = message.replace("$PAD", &"x".repeat(OVERSIZE));
        let message = serde_json::from_str(&message).unwrap();
        if self.tx.send(message).is_ok() {
            self.left.recv().await;
        }
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

async fn check(addr: &str, truth: &Truth, before: u64, case: &Case) {
    let mut client = connect(addr, &case.hello).await;
    if case.send.iter().any(|message| message.contains("$INC")) {
        support::until(&case.name, || client.incarnation().is_some()).await;
    }
    for message in &case.send {
        client.send(message).await;
    }
    let mut expect = case.expect.clone();
    expect.sort();
    support::until(&case.name, || client.items().len() >= expect.len()).await;
    assert_eq!(client.items(), expect, "{}", case.name);
    if let Some(starts) = case.starts {
        assert_eq!(truth.tasks_started() - before, starts, "{}", case.name);
    }
    if case.closes {
        support::until(&case.name, || client.is_closed()).await;
    }
    assert_eq!(client.is_closed(), case.closes, "{}: closed", case.name);
}

/// Starts tasks until one is answered: the agent has joined and its backend server is there.
async fn join(addr: &str) {
    let hello = r#"{"entry":"e","cell":0,"epoch":5,"link":1}"#;
    let mut client = connect(addr, hello).await;
    support::until("slots", || client.slots.load(Ordering::SeqCst) == 4).await;
    for number in 0.. {
        let start = r#"{"cell":0,"epoch":5,"incarnation":$INC,"link":1,"orders":[{"start":
            {"id":{"job":"york/join-$N","index":0},"attempt":1,"customer":"york","deadline_ms":9000,
            "input":{"ms":1,"value":1}}}]}"#;
        let seen = client.items().len();
        client.send(&start.replace("$N", &number.to_string())).await;
        support::until("an answer", || client.items().len() > seen).await;
        if client.items().iter().any(|item| item.starts_with("answer")) {
            return;
        }
    }
}

fn run(file: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(file)?)?;
    support::block_on(async {
        let memory = MemoryPlatform::open();
        if table.server == "agent" {
            let truth = Truth::default();
            let (agent, _backend) = path::open_agent(&memory, &truth).await;
            let addr = agent.link_addr().to_string();
            join(&addr).await;
            check_all(&addr, &truth, &table).await;
        } else {
            let path = path::open(&memory).await;
            let addr = path.entry.peer_addr().to_string();
            check_all(&addr, &path.truth, &table).await;
        }
    });
    Ok(())
}

async fn check_all(addr: &str, truth: &Truth, table: &Table) {
    let before = truth.tasks_started();
    for case in &table.case {
        check(addr, truth, before, case).await;
    }
    assert_eq!(truth.started_twice(), Vec::new());
}

datatest_stable::harness! {
    { test = run, root = "tests/contracts", pattern = r"^link_.*\.toml$" },
}
