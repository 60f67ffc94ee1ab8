//! What callers, operators and metrics' readers get from the two programs as they run.

use std::collections::BTreeSet;
use std::process::Command;
use std::time::Duration;

use hyper::Method;
use lovagemill::platform::store;
use lovagemill::wire::http::{self, Call, Client};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::processes::{self, Process};
use crate::standins::{Store, Worker};
use crate::{block_on, lines, path, text};

/// Longest that a call of a test waits; nothing depends on it but a hang.
const LIMIT: Duration = Duration::from_secs(30);

/// A store, a backend server with its agent, and an entry that gives it work.
struct System {
    store: Store,
    agent: Process,
    entry: Process,
    client: Client,
}

async fn open() -> System {
    let store = Store::open().await;
    let route = json!({"name": "trips", "host": "school.example", "path_prefix": "/trips/",
        "timeout_ms": 30_000, "slo_ms": 5_000, "service": "svc", "attempts": 2, "stretch": 3.0});
    store.configure(1, &[route]);
    let worker = Worker::open("i-0").await;
    let client = http::open(1024 * 1024);
    let agent = processes::agent_in("z", "formats-agent", store.addr, worker.addr);
    worker.announce(agent.addr("announce"), client.clone());
    let entry = processes::entry("formats-entry", store.addr);
    entry.wait_for_line(|line| {
        line["message"] == "agent changed its mind about new work" && line["takes_work"] == true
    });
    // Before it is settled, it refuses nothing for want of a backend server that suits.
    while get(&client, &entry.addr("ready")).await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    System {
        store,
        agent,
        entry,
        client,
    }
}

/// Reads what is served at an address: the status and the body.
async fn get(client: &Client, addr: &str) -> (u16, String) {
    let call = Call::new(Method::GET, format!("http://{addr}/"), "");
    let answer = client.call(call, LIMIT).await.expect("an answer");
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    (answer.status.as_u16(), body)
}

impl System {
    /// Sends a request of the example on a connection of its own; returns the answer's status, head and body.
    async fn ask(&self, line: &Value) -> (u16, String, String) {
        let asked = line["request"].as_str().expect("a request");
        let body = line["body"].to_string();
        let length = body.len();
        let waits = line["deadline_ms"].as_u64();
        let waits = waits.map(|ms| format!("x-lovagemill-deadline-ms: {ms}\r\n"));
        let waits = waits.unwrap_or_default();
        let req = format!(
            "{asked} HTTP/1.1\r\nhost: school.example\r\nconnection: close\r\n\
            {waits}content-length: {length}\r\n\r\n{body}"
        );
        let stream = TcpStream::connect(self.entry.addr("callers")).await;
        let mut stream = stream.expect("the entry listens");
        stream.write_all(req.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        read.expect("an answer");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        let status = head.split(' ').nth(1).expect("a status");
        (
            status.parse().expect("a status"),
            head.to_lowercase(),
            body.to_owned(),
        )
    }

    /// Sends a request of the example and requires the answer that stands beside it.
    async fn exchange(&self, line: &Value) {
        let (found, head, body) = self.ask(line).await;
        let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
        assert_eq!((found, &body), (status(line), &line["answer"]), "{line}");
        let is_json = head.contains("content-type: application/json");
        assert_eq!(is_json, !body.is_null(), "{line}");
        let is_put_off = head.contains("retry-after: ");
        assert_eq!(is_put_off, line["retry_after"] == true, "{line}");
    }
}

fn status(line: &Value) -> u16 {
    line["status"].as_u64().expect("a status") as u16
}

/// A sample with its labels, without its value.
fn sample(line: &str) -> &str {
    match line.starts_with('#') {
        true => line,
        false => line.rsplit_once(' ').map_or(line, |(sample, _)| sample),
    }
}

/// Requires that a page has every line of an example. It is read again while some are missing, such
/// as the age of a link that is being opened anew.
async fn check_page(client: &Client, of: &Process, name: &str) {
    let expected = text(name);
    let expected: BTreeSet<&str> = expected.lines().collect();
    let mut page = String::new();
    for _ in 0..100 {
        page = get(client, &of.addr("metrics")).await.1;
        let found: BTreeSet<&str> = page.lines().map(sample).collect();
        if expected.is_subset(&found) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let found: BTreeSet<&str> = page.lines().map(sample).collect();
    let lost: Vec<_> = expected.difference(&found).collect();
    panic!("{name}: {lost:#?} in\n{page}");
}

/// Requires the same fields with the same kinds of values; texts have to be the same, apart from the
/// module that wrote the line.
fn check_line(found: &Value, expected: &Value) {
    let fields = |line: &Value| -> Vec<(String, Value)> {
        let fields = line.as_object().expect("an object").iter();
        let fields = fields.map(|(name, value)| {
            let is_number = value.is_number();
            let value = if is_number { json!(0) } else { value.clone() };
            (
                name.clone(),
                if name == "target" { json!("") } else { value },
            )
        });
        fields.collect()
    };
    assert_eq!(fields(found), fields(expected));
}

#[test]
fn answers_logs_and_metrics_keep_their_names() {
    block_on(async {
        let system = open().await;
        for line in lines("platform_callers.jsonl") {
            system.exchange(&line).await;
        }
        let line = system
            .entry
            .wait_for_line(|line| line["message"] == "job answered");
        check_line(&line, &lines("platform_job_answered.jsonl")[0]);

        // While a job runs, and when its caller withdraws it.
        let [submit, active, delete] = &lines("platform_callers_active.jsonl")[..] else {
            panic!("three requests");
        };
        let withdraw = async {
            while system.ask(active).await.0 != status(active) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.exchange(active).await;
            system.exchange(delete).await;
        };
        tokio::join!(system.exchange(submit), withdraw);

        // A caller that doesn't wait gets no complete job.
        let hasty = json!({"request": "POST /trips/00000000000000f0", "deadline_ms": 1,
            "body": submit["body"]});
        assert_ne!(system.ask(&hasty).await.0, 200);

        // A heartbeat that a later one has overtaken.
        let uri = format!(
            "http://{}/-/instances/i-0/heartbeat",
            system.agent.addr("announce")
        );
        let beat = json!({"service": "svc", "state": "ready", "seq": 1, "born": 1_790_000_000_000_u64,
            "labels": [], "capacity": {"cpu": 1}});
        let call = Call::new(Method::POST, uri, beat.to_string());
        let answer = system.client.call(call, LIMIT).await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 200);

        for line in lines("platform_callers_crash.jsonl") {
            system.exchange(&line).await;
        }
        check_page(&system.client, &system.entry, "platform_metrics_entry.txt").await;
        check_page(&system.client, &system.agent, "platform_metrics_agent.txt").await;
        let rows = store::open(system.store.addr);
        let key = "formats-agent/crashes";
        while rows
            .read_row("agents", "z", key)
            .await
            .expect("rows")
            .rows
            .is_empty()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// What a command prints of the lines of the example.
fn command(args: &[&str]) -> String {
    let file = path("platform_job_answered.jsonl");
    let command = Command::new(env!("CARGO_BIN_EXE_lovagemill"))
        .args(args)
        .arg(file)
        .output();
    let out = command.expect("it starts");
    assert!(out.status.success(), "{args:?}");
    String::from_utf8_lossy(&out.stdout).into_owned()
}

#[test]
fn commands_read_the_fields_of_the_logs() {
    assert_eq!(command(&["losses"]), text("platform_losses.txt"));
    let job = "0000000000000003";
    assert_eq!(command(&["explain", job]), text("platform_explain.txt"));
}
