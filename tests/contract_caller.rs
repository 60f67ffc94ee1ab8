//! The contract with callers: each bad input gets its numbered code and a correct statement whether
//! it ran, and the entry still serves the next caller.

mod support;

use std::path::Path;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use support::memory::MemoryPlatform;
use support::path;

#[derive(Deserialize)]
struct Table {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    #[serde(default = "post")]
    method: String,
    #[serde(default = "jobs")]
    path: String,
    key: Option<String>,
    #[serde(default)]
    body: String,
    /// How many times the body is repeated within the one request.
    #[serde(default = "once")]
    repeat: usize,
    /// The body of a submission under the same key that is sent first and completes.
    first: Option<String>,
    #[serde(default)]
    manner: Manner,
    /// The expected status; without one, no answer is expected.
    status: Option<u16>,
    /// The expected code of the refusal; without one, the body of the answer isn't checked.
    code: Option<String>,
    #[serde(default)]
    not_run: bool,
}

/// How the caller sends its request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Manner {
    /// Sends the whole request and waits for the answer.
    #[default]
    Whole,
    /// Sends half of the body and closes its side of the connection.
    HalfClosed,
    /// Sends half of the body and nothing more.
    Stalled,
    /// Sends the whole request and closes the connection.
    Gone,
}

fn post() -> String {
    "POST".to_owned()
}

fn jobs() -> String {
    "/v1/jobs".to_owned()
}

fn once() -> usize {
    1
}

fn request(case: &Case, body: &str) -> (String, String) {
    let Case { method, path, .. } = case;
    let key = case.key.as_ref();
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\n{key}Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    (head, body.to_owned())
}

/// Sends a request in the case's manner; returns the status and the body of the answer, if any.
async fn exchange(addr: std::net::SocketAddr, case: &Case, body: &str) -> Option<(u16, String)> {
    let (head, body) = request(case, body);
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let half = &body.as_bytes()[..body.len() / 2];
    match case.manner {
        // The write may fail: a server that has already refused needn't read the rest.
        Manner::Whole => drop(stream.write_all(body.as_bytes()).await),
        Manner::HalfClosed => {
            stream.write_all(half).await.unwrap();
            stream.shutdown().await.unwrap();
        }
        Manner::Stalled => stream.write_all(half).await.unwrap(),
        Manner::Gone => {
            stream.write_all(body.as_bytes()).await.unwrap();
            return None;
        }
    }
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf).await;
    let text = String::from_utf8(buf).unwrap();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some((status, body.to_owned()))
}

const GOOD_JOB: &str =
    r#"{"customer":"merredin","class":"check","tasks":[{"input":{"ms":1,"value":7}}]}"#;

fn good_job(key: String) -> Case {
    Case {
        name: "a good job".to_owned(),
        method: post(),
        path: jobs(),
        key: Some(key),
        body: GOOD_JOB.to_owned(),
        repeat: 1,
        first: None,
        manner: Manner::Whole,
        status: Some(200),
        code: None,
        not_run: false,
    }
}

async fn check(system: &path::System, case: &Case) {
    let addr = system.entry.http_addr();
    if let Some(first) = &case.first {
        let (status, body) = exchange(addr, case, first).await.unwrap();
        assert_eq!(status, 200, "{}: {body}", case.name);
    }
    let started = system.truth.tasks_started();
    let answer = exchange(addr, case, &case.body.repeat(case.repeat)).await;
    let Some((status, body)) = answer else {
        assert_eq!(case.status, None, "{}: no answer", case.name);
        return;
    };
    assert_eq!(Some(status), case.status, "{}: {body}", case.name);
    let Some(code) = &case.code else {
        return;
    };
    let refusal: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(refusal["code"], code.as_str(), "{}: {body}", case.name);
    assert_eq!(refusal["not_run"], case.not_run, "{}: {body}", case.name);
    assert_eq!(system.truth.tasks_started(), started, "{}: ran", case.name);
}

fn run(file: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(file)?)?;
    support::block_on(async {
        let system = path::open(&MemoryPlatform::open()).await;
        for (number, case) in table.case.iter().enumerate() {
            check(&system, case).await;
            check(&system, &good_job(format!("after-{number}"))).await;
        }
        assert_eq!(system.truth.started_twice(), Vec::new());
    });
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/contracts", pattern = r"^caller\.toml$" },
}
