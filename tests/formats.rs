//! Examples of what the entry, the agent and the command line write and read, in `tests/formats/`.
//!
//! Guards against a change of the code that changes a name outside of it: processes of different
//! versions talk to each other, and rows in the table outlive the process that wrote them. A field
//! or variant that is renamed in the code alone gives another text, or fails to read the old one.

#[path = "formats/live.rs"]
mod live;
#[path = "formats/record.rs"]
mod record;
#[path = "formats/reports.rs"]
mod reports;
mod support;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time;

use bytes::Bytes;
use lovagemill::class;
use lovagemill::cli::failure::Failure;
use lovagemill::code::Code;
use lovagemill::count::{self, Kind, Usage};
use lovagemill::decide::{fleet, inherit, queue};
use lovagemill::entry::{operate, status};
use lovagemill::logging;
use lovagemill::metrics;
use lovagemill::refusal::Refusal;
use lovagemill::standin::{backend as standin, truth};
use lovagemill::submission;
use lovagemill::task;
use lovagemill::wire::{agent, backend, caller, http, objects, peer, platform, rows};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Value};

use support::memory::MemoryPlatform;

/// Time limit of a call; only a part that hangs makes it matter.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Set for the child process that writes log lines, to the name of the function that it calls.
const LOG_CHILD: &str = "FORMATS_LOG_CHILD";

/// Decodes a text and encodes the value again; none where it can't be read.
type Trip = fn(&str) -> Option<String>;

fn trip<T: DeserializeOwned + Serialize>(text: &str) -> Option<String> {
    let value: T = serde_json::from_str(text).ok()?;
    Some(serde_json::to_string(&value).unwrap())
}

/// The files of examples, one a line, with what decodes and encodes them.
const TRIPS: &[(&str, Trip)] = &[
    ("agent_down", trip::<agent::Down>),
    ("agent_hello", trip::<agent::Hello>),
    ("agent_state", trip::<fleet::State>),
    ("agent_up", trip::<agent::Up>),
    ("announcement", trip::<backend::Announcement>),
    ("config", trip::<class::Versioned>),
    ("config_accepted", trip::<operate::Accepted>),
    ("config_change", trip::<operate::Change>),
    ("job", trip::<submission::Job>),
    ("job_answer", trip::<caller::JobAnswer>),
    ("life", trip::<inherit::AgentIncarnation>),
    ("mistake", trip::<class::Mistake>),
    ("peer_down", trip::<peer::Down>),
    ("peer_hello", trip::<peer::Hello>),
    ("peer_up", trip::<peer::Up>),
    ("placement", trip::<fleet::Placement>),
    ("policy", trip::<queue::Policy>),
    ("refusal", trip::<Refusal>),
    ("request", trip::<caller::Request>),
    ("row_agent", trip::<rows::Agent>),
    ("row_claims", trip::<Vec<inherit::StoredClaim>>),
    ("row_config_head", trip::<rows::ConfigHead>),
    ("row_owner", trip::<rows::Owner>),
    ("standin_counts", trip::<truth::Snapshot>),
    ("standin_input", trip::<standin::Input>),
    ("standin_output", trip::<standin::Output>),
    ("status", trip::<status::Status>),
    ("table_commit", trip::<platform::Commit>),
    ("table_key", trip::<platform::Key>),
    ("table_row", trip::<platform::Row>),
    ("table_transaction", trip::<platform::Transaction>),
];

fn dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/formats")
}

fn example(file: &str) -> String {
    fs::read_to_string(dir().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// Compares a text with the example; leaves the text in the target directory where they differ.
fn check(file: &str, found: &str) {
    let expected = example(file);
    if found == expected {
        return;
    }
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    fs::write(&left, found).unwrap();
    let pairs = found.lines().chain([""]).zip(expected.lines().chain([""]));
    for (i, (found, expected)) in pairs.enumerate() {
        assert_eq!(found, expected, "{file}, line {}: {left:?}", i + 1);
    }
    panic!("{file} has another number of lines: {left:?}");
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

/// Every value that differs from the one given by the name of one field.
fn misspelt(value: &Value) -> Vec<Value> {
    let mut all = Vec::new();
    match value {
        Value::Object(fields) => {
            // A field that is null is taken for one that is missing.
            for (name, field) in fields.iter().filter(|(_, field)| !field.is_null()) {
                let mut other = fields.clone();
                other.remove(name);
                other.insert(format!("{name}_"), field.clone());
                all.push(other.into());
                for inner in misspelt(field) {
                    let mut other = fields.clone();
                    other.insert(name.clone(), inner);
                    all.push(other.into());
                }
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                for inner in misspelt(item) {
                    let mut other = items.clone();
                    other[i] = inner;
                    all.push(other.into());
                }
            }
        }
        _ => {}
    }
    all
}

/// Hides what differs from run to run: numbers and addresses.
fn shape(value: Value) -> Value {
    match value {
        Value::Number(_) => json!(0),
        Value::String(text) if text.starts_with("127.0.0.1:") => json!("ADDR"),
        Value::Array(items) => items.into_iter().map(shape).collect(),
        Value::Object(fields) => {
            let shaped = fields.into_iter().map(|(name, field)| (name, shape(field)));
            Value::Object(shaped.collect())
        }
        other => other,
    }
}

#[test]
fn examples_are_decoded_and_encoded_alike() {
    for (name, trip) in TRIPS {
        for line in example(&format!("{name}.jsonl")).lines() {
            let encoded = trip(line).unwrap_or_else(|| panic!("{name}: can't be read: {line}"));
            let expected = parse(line);
            assert_eq!(parse(&encoded), expected, "{name}");
            for other in misspelt(&expected) {
                let encoded = trip(&other.to_string());
                let differs = encoded.is_none_or(|encoded| parse(&encoded) != expected);
                assert!(differs, "{name}: read all the same: {other}");
            }
        }
    }
}

/// A file that nothing reads would hold no name. Those named `platform_*` are read by `tests/formats_platform.rs`.
#[test]
fn every_file_of_examples_is_read() {
    let stem = |entry: fs::DirEntry| {
        let path = entry.path();
        let is_trip = path.extension().is_some_and(|e| e == "jsonl");
        let stem = path.file_stem().unwrap().to_str().unwrap().to_owned();
        (is_trip && !stem.starts_with("platform_")).then_some(stem)
    };
    let files = fs::read_dir(dir()).unwrap();
    let found: BTreeSet<_> = files.filter_map(|entry| stem(entry.unwrap())).collect();
    let read = TRIPS.iter().map(|(name, _)| name.to_string());
    assert_eq!(found, read.collect::<BTreeSet<_>>());
}

#[test]
fn the_configuration_file() {
    let text = example("config.toml");
    let document = class::Document::parse(text.as_bytes()).unwrap();
    let config: class::Versioned = serde_json::from_str(&example("config.jsonl")).unwrap();
    assert_eq!(document, config.document);
    assert_eq!(toml::to_string(&document).unwrap(), text);
}

/// Every code as callers get it, with the HTTP status.
#[test]
fn refusals() {
    let mut out = String::new();
    for code in Code::ALL {
        let refusal = serde_json::to_string(&Refusal::new(*code)).unwrap();
        out += &format!("{} {refusal}\n", code.status());
        assert_eq!(code.to_string().parse(), Ok(*code));
    }
    check("refusals.txt", &out);
}

/// What the command line makes of a refused answer, with and without mistakes.
#[test]
fn refused_answers_on_the_command_line() {
    let refused = example("refused.txt");
    let texts = refused.lines().map(|line| Failure::read(line).to_string());
    let texts: Vec<_> = texts.collect();
    check("refused_printed.txt", &(texts.join("\n\n") + "\n"));
}

#[test]
fn keys_of_rows_and_names_of_headers() {
    let keys = [
        rows::CONFIG.into(),
        rows::HEAD.into(),
        rows::CONFIG_VERSION.into(),
        rows::CELLS.into(),
        rows::ENTRIES.into(),
        rows::members(3),
        rows::cell(3),
        rows::heartbeat(3),
        rows::entry("entry-1"),
        rows::agents(3),
        rows::agent(3, "agent-0"),
        rows::claims(3),
        rows::claim(3, 7, 12),
        lovagemill::key::scoped("york", "k1"),
        caller::IDEMPOTENCY_KEY.into(),
        lovagemill::trace::TRACEPARENT.into(),
    ];
    check("keys.txt", &(keys.join("\n") + "\n"));
}

/// The names and types on a page of metrics, sorted, without the values of this run.
fn names(page: &str) -> String {
    let name = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name}\n"),
        _ => format!("{line}\n"),
    };
    let names: BTreeSet<_> = page.lines().map(name).collect();
    names.into_iter().collect()
}

/// Each kind of message and of usage is counted under its own name.
#[test]
fn counts_of_messages() {
    let messages = count::Messages::default();
    let kinds = [
        Kind::Submit,
        Kind::Reply,
        Kind::Forward,
        Kind::Start,
        Kind::Answer,
        Kind::Control,
        Kind::Backend,
        Kind::TableWrite,
        Kind::TableRead,
        Kind::Object,
    ];
    for (n, kind) in (1..).zip(kinds) {
        messages.add(kind, n);
    }
    messages.add_delayed(Usage::Read);
    messages.add_refused(Usage::Write);
    let mut page = metrics::Page::open();
    page.messages(&messages);
    let text = page.text();
    let mut lines: Vec<_> = text.lines().collect();
    lines.sort_unstable();
    check("counts.txt", &(lines.join("\n") + "\n"));
}

/// Writes log lines in the child process that [`log_lines`] starts; does nothing else.
#[test]
fn log_child() {
    match std::env::var(LOG_CHILD).as_deref() {
        Ok("init") => logging::init("lovagemill-entry"),
        Ok("spawn") => logging::spawn("lovagemill-agent"),
        _ => return,
    }
    log::info!(target: "example", n = 3_u64, below = -2_i64, share = 0.5, ready = true, entry = "e";
        "with fields");
    log::warn!(target: "example", "without");
    log::debug!(target: "example", "not shown");
    logging::drain();
}

#[test]
fn log_lines() {
    let mut out = String::new();
    for how in ["init", "spawn"] {
        let mut child = Command::new(std::env::current_exe().unwrap());
        child.args(["log_child", "--exact", "--nocapture", "--test-threads=1"]);
        let output = child.env(LOG_CHILD, how).env_remove("RUST_LOG").output();
        let output = output.unwrap();
        let written = [output.stderr, output.stdout].concat();
        for line in String::from_utf8(written).unwrap().lines() {
            let Some(at) = line.find('{') else { continue };
            let mut line = parse(&line[at..]);
            assert!(line["time_ms"].is_u64(), "{line}");
            line["time_ms"] = json!(0);
            out += &format!("{line}\n");
        }
    }
    check("log.txt", &out);
}

/// What leaves towards a backend server and towards the platform.
#[test]
fn requests_of_the_processes() {
    let run_answers = vec!["{\"value\":9}"];
    let (addr, backend_requests) = record::requests(run_answers);
    let answers = vec!["null", "[]", "{\"done\":9}", "", "{}", ""];
    let (platform_addr, platform_requests) = record::requests(answers);
    let run = backend::Run {
        addr: addr.into(),
        id: task::Id {
            job: "york/k1".into(),
            index: 2,
        },
        client_account: "york".into(),
        deadline_ms: LIMIT.as_millis() as u64,
        input: RawValue::from_string("{\"ms\":5}".to_owned()).unwrap(),
        traceparent: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".into()),
    };
    support::block_on(async {
        backend::run(&http::open(1024), run).await;
        let p = platform::connect(&platform_addr, LIMIT, count::Messages::default());
        (p.table.get)("config".into()).await.unwrap();
        (p.table.scan)("head/".into()).await.unwrap();
        let tx = platform::Transaction::put_if("config", 8, "{}".to_owned());
        (p.table.commit)(tx).await.unwrap();
        (p.objects.put)("input-1".into(), Bytes::from("{}"))
            .await
            .unwrap();
        (p.objects.get)("input-1".into()).await.unwrap();
        (p.objects.remove)("input-1".into()).await.unwrap();
    });
    let out = backend_requests.join().unwrap() + &platform_requests.join().unwrap();
    check("requests.txt", &out);
}

/// What the command line sends to an entry.
#[test]
fn requests_of_the_command_line() {
    let file = |name: &str| dir().join(name).to_str().unwrap().to_owned();
    let (job, request, config) = (
        file("job.jsonl"),
        file("request.jsonl"),
        file("config.toml"),
    );
    let config_answer = "{\"version\":6,\"document\":{}}";
    let cases: [(&[&str], Vec<&'static str>); 7] = [
        (&["submit", "--key", "k1", &job], vec!["{}"]),
        (&["request", "--key", "k1", &request], vec!["{}"]),
        (&["cancel", "--customer", "york", "k1"], vec!["{}"]),
        (&["status"], vec!["{}"]),
        (&["config", "show"], vec![config_answer]),
        (
            &["config", "set", &config],
            vec![config_answer, "{\"version\":7}"],
        ),
        (&["drain"], vec!["{}"]),
    ];
    let mut out = String::new();
    for (args, answers) in cases {
        let (addr, requests) = record::requests(answers);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lovagemill"));
        command.env_clear().args(args).args(["--entry", &addr]);
        let output = command.output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!stderr.contains("LM6001"), "{args:?}: {stderr}");
        out += &requests.join().unwrap();
    }
    check("command_line.txt", &out);
}

/// What stands for a value in the object store, and the value that it stands for.
#[test]
fn references_to_objects() {
    let memory = MemoryPlatform::open();
    let objects = memory.platform().objects;
    let value = RawValue::from_string("{\"value\":9}".to_owned()).unwrap();
    support::block_on(async {
        let (name, reference) = objects::store(&objects, "input", &value).await.unwrap();
        assert!(name.starts_with("input-"));
        let text = reference.get().replace(name.as_str(), "NAME");
        check("reference.txt", &(text + "\n"));
        let loaded = objects::load(&objects, reference).await.unwrap();
        assert_eq!(loaded.get(), value.get());
    });
}
