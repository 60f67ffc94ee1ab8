//! What processes that run write and serve.

use std::collections::BTreeSet;
use std::sync::Arc;

use hyper::Method;
use lovagemill::wire::{caller, http, link, platform, rows};
use serde_json::{json, Value};
use tokio::sync::mpsc;

use super::support::memory::MemoryPlatform;
use super::support::{self, path};
use super::{check, example, names, parse, record, shape, LIMIT};

/// What an agent and an entry exchange around their messages: methods, parameters, subscriptions.
#[test]
fn lines_of_a_link() {
    let (tx, mut seen) = mpsc::unbounded_channel();
    let (up, down) = (tx.clone(), tx);
    let service = link::ServerHandlers {
        on_open: Arc::new(move |hello: Value, tx: link::Sender<Value>| {
            tx.send(hello).unwrap();
            // A link whose sender is dropped closes.
            let group = move |items: Vec<Value>| json!([tx.is_closed(), items]);
            Arc::new(group) as link::Group<Value, Value>
        }),
        on_message: Arc::new(move |_: Value| down.send("down").unwrap()),
        on_sent: Arc::new(|_: &Value, _| {}),
        estimate_bytes: |_: &Value| 1,
    };
    let (closed, lines) = support::block_on(async {
        let server = link::bind(path::any_port(), service).await.unwrap();
        let spy = record::Spy::open(server.addr());
        let (items, rx) = mpsc::unbounded_channel();
        items.send(json!("item")).unwrap();
        let peer = link::ClientHandlers {
            on_message: Arc::new(move |_: Value| up.send("up").unwrap()),
            group: Arc::new(|items: Vec<Value>| json!(items)),
            on_sent: Arc::new(|_: &Value, _| {}),
            estimate_bytes: |_: &Value| 1,
            on_closed: Box::new(|| {}),
        };
        let hello = json!("hello");
        link::connect(&spy.addr.to_string(), hello, rx, peer)
            .await
            .unwrap();
        let both = BTreeSet::from([seen.recv().await.unwrap(), seen.recv().await.unwrap()]);
        let lines = spy.lines();
        drop(items);
        (both, lines)
    });
    assert_eq!(closed, BTreeSet::from(["down", "up"]));
    let mut out = String::new();
    for line in lines {
        let mut line = parse(&line);
        for place in ["/params/subscription", "/result"] {
            if let Some(id) = line.pointer_mut(place) {
                *id = json!("SUBSCRIPTION");
            }
        }
        out += &format!("{line}\n");
    }
    check("link.txt", &out);
}

async fn call(method: Method, addr: &str, path: &str, body: &str) -> (u16, String) {
    let call = http::Call::new(method, format!("http://{addr}{path}"), body.to_owned());
    let call = call.header(caller::IDEMPOTENCY_KEY, path.rsplit('/').next().unwrap());
    let answer = http::open(1024 * 1024).call(call, LIMIT).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    (answer.status.as_u16(), text)
}

/// What an entry and an agent answer on their paths, and the rows that they write.
#[test]
fn served_by_an_entry_and_an_agent() {
    let change = json!({ "base": 1, "document": path::document(20_000) }).to_string();
    let mistaken = json!({ "base": 2, "document": {} }).to_string();
    let task = json!({ "input": { "ms": 1, "value": 9 } });
    let job = json!({ "customer": "york", "class": "check", "tasks": [task] }).to_string();
    let request = json!({ "customer": "york", "class": "check", "input": { "ms": 1, "value": 9 } });
    let (request, leaving) = (request.to_string(), example("announcement.jsonl"));
    let entry = [
        ("GET", "/healthz", ""),
        ("GET", "/readyz", ""),
        ("GET", "/readyz/owner", ""),
        ("PUT", "/v1/config", &change),
        ("PUT", "/v1/config", &change),
        ("PUT", "/v1/config", &mistaken),
        ("GET", "/v1/config", ""),
        ("POST", "/v1/jobs", &job),
        ("POST", "/v1/requests", &request),
        ("DELETE", "/v1/jobs/k2?customer=york", ""),
        ("GET", "/v1/status", ""),
        ("GET", "/metrics", ""),
        ("POST", "/v1/drain", ""),
    ];
    let agent = [
        ("GET", "/healthz", ""),
        ("GET", "/metrics", ""),
        ("POST", "/v1/announce", &leaving),
        ("GET", "/elsewhere", ""),
    ];
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let parts = path::open(&memory).await;
        let entry_addr = parts.entry.http_addr().to_string();
        let agent_addr = parts.agent.announce_addr().to_string();
        let mut out = String::new();
        let calls = entry.map(|call| ("entry", &entry_addr, call)).into_iter();
        let calls = calls.chain(agent.map(|call| ("agent", &agent_addr, call)));
        for (who, addr, (method, path, body)) in calls {
            // The claims of these jobs were written before their tasks started.
            if path == "/v1/drain" {
                check("rows.txt", &rows_of(&memory));
            }

            let (status, text) = call(method.parse().unwrap(), addr, path, body).await;
            let text = match serde_json::from_str(&text) {
                Ok(value) => shape(value).to_string(),
                Err(_) => names(&text),
            };
            out += &format!("{who} {method} {path}\n{status} {}\n\n", text.trim_end());
        }
        check("served.txt", &out);
    });
}

/// The rows, but for those by which entries show each other now and then that they are alive.
fn rows_of(memory: &MemoryPlatform) -> String {
    let rows = memory.store.lock().unwrap().scan("");
    let line = |row: &platform::Row| match serde_json::from_str(&row.value) {
        Ok(value) => format!("{} {}\n", row.key, shape(value)),
        Err(_) => format!("{} {}\n", row.key, row.value),
    };
    let lasting = rows
        .iter()
        .filter(|row| !row.key.starts_with(rows::ENTRIES));
    lasting.map(line).collect()
}
