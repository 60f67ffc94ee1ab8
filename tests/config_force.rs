//! Changes of the configuration: each is accepted once or refused, an accepted one comes into force
//! in every process, and no process goes back to an older version.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hyper::Method;
use lovagemill::class;
use lovagemill::code::Code;
use lovagemill::controller::config;
use lovagemill::count;
use lovagemill::entry;
use lovagemill::id;
use lovagemill::wire::http;
use lovagemill::wire::link;
use lovagemill::wire::peer;
use lovagemill::wire::platform::{self, Row};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use support::memory::{Fault, MemoryPlatform, Operation};
use support::path;

/// Callbacks that do nothing.
fn ignored_events() -> config::Events {
    config::Events {
        changed: Box::new(|_| {}),
        behind: Box::new(|_| {}),
    }
}

/// The document in the table, with its version.
fn stored_document(memory: &MemoryPlatform) -> class::Versioned {
    let row = memory.store.lock().unwrap().get("config").unwrap();
    serde_json::from_str(&row.value).unwrap()
}

/// Returns a platform and the flag that makes all of its operations fail.
fn platform_with_switch(memory: &MemoryPlatform) -> (Arc<AtomicBool>, platform::Platform) {
    let cut: Arc<AtomicBool> = Arc::default();
    let cutting = cut.clone();
    let faults = move |_| {
        if cutting.load(Ordering::SeqCst) {
            Fault::Down
        } else {
            Fault::None
        }
    };
    (cut, memory.platform_with_faults(Box::new(faults)))
}

/// Guards against an accepted change that is lost. Several operators change the same version at
/// once, and some of the table's answers are lost after the write took effect. Each version must be
/// accepted at most once, and an accepted change must be in the table.
#[test]
fn racing_operators_and_lost_answers_accept_each_version_once() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let accepted: Arc<Mutex<BTreeMap<id::Version, i64>>> = Arc::default();
        let mut operators = Vec::new();
        for operator in 0..6 {
            let mut rng = SmallRng::seed_from_u64(operator);
            let faults = move |_| match rng.random_range(0..10) {
                0 => Fault::Down,
                1 => Fault::AnswerLost,
                2 => Fault::RequestLost,
                _ => Fault::None,
            };
            let config = config::open(memory.platform_with_faults(Box::new(faults)).table);
            let (memory, accepted) = (memory.clone(), accepted.clone());
            operators.push(tokio::spawn(async move {
                for change in 0..6 {
                    let target = 1_000 + 100 * operator as i64 + change;
                    let base = stored_document(&memory).version;
                    let document = path::document(target);
                    if let Ok(version) = config.change(base, document).await {
                        let before = accepted.lock().unwrap().insert(version, target);
                        assert_eq!(before, None, "version {version} was accepted twice");
                    }
                }
            }));
        }
        for operator in operators {
            operator.await.unwrap();
        }
        let accepted = accepted.lock().unwrap();
        assert!(!accepted.is_empty());
        let last = stored_document(&memory);
        if let Some(target) = accepted.get(&last.version) {
            assert_eq!(last.document.classes[0].target_ms, *target);
        }
        assert!(accepted.keys().max() <= Some(&last.version));
    });
}

#[test]
fn change_whose_answer_was_lost_is_accepted_once_it_is_seen() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let faults = |operation| match operation {
            Operation::Write => Fault::AnswerLost,
            Operation::Read => Fault::None,
        };
        let config = config::open(memory.platform_with_faults(Box::new(faults)).table);
        assert_eq!(config.change(1, path::document(900)).await, Ok(2));
        assert_eq!(stored_document(&memory).version, 2);
        assert_eq!(config.version(), 2, "in force where it was accepted");
    });
}

/// Guards against a change that is reported as refused although it was in force. The answer to the
/// write is lost, and another operator changes the configuration before the first one reads the
/// table to find out whether its own change took effect.
#[test]
fn change_whose_answer_was_lost_is_found_under_a_later_one() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let faults = |operation| match operation {
            Operation::Write => Fault::AnswerLost,
            Operation::Read => Fault::None,
        };
        let mut table = memory.platform_with_faults(Box::new(faults)).table;
        let (reading, looking) = (table.get.clone(), memory.clone());
        table.get = Arc::new(move |key| {
            let read = reading(key);
            let memory = looking.clone();
            Box::pin(async move {
                if stored_document(&memory).version == 2 {
                    let other = config::open(memory.platform().table);
                    assert_eq!(other.change(2, path::document(800)).await, Ok(3));
                }
                read.await
            })
        });
        let config = config::open(table);
        assert_eq!(config.change(1, path::document(900)).await, Ok(2));
        assert_eq!(stored_document(&memory).version, 3);
    });
}

#[test]
fn change_that_may_yet_take_effect_is_neither_accepted_nor_refused() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let faults = |operation| match operation {
            Operation::Write => Fault::RequestLost,
            Operation::Read => Fault::None,
        };
        let config = config::open(memory.platform_with_faults(Box::new(faults)).table);
        let ended = config.change(1, path::document(900)).await;
        assert_eq!(ended, Err((Code::ChangeUnknown, Vec::new())));
        assert_eq!(
            config.version(),
            0,
            "nothing is in force that isn't written"
        );
    });
}

#[test]
fn mistaken_document_never_reaches_the_table() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let config = config::open(memory.platform().table);
        let before = memory.operations();
        let (code, mistakes) = config.change(1, path::document(-5)).await.unwrap_err();
        assert_eq!(code, Code::ConfigInvalid);
        assert_eq!(mistakes.len(), 1);
        assert_eq!(memory.operations(), before);
    });
}

/// Guards against a process that goes back to an older version: a slow read returns the older
/// document after a faster read returned the newer one.
#[test]
fn late_read_does_not_bring_an_older_version_back() {
    support::block_on(async {
        let reads: Arc<AtomicU64> = Arc::default();
        let counting = reads.clone();
        let mut table = MemoryPlatform::open().platform().table;
        table.get = Arc::new(move |key| {
            let number = counting.fetch_add(1, Ordering::SeqCst);
            let version = if number == 0 { 3 } else { 2 };
            let value = class::Versioned {
                version,
                document: path::document(version as i64),
            };
            let row = Row {
                key,
                value: serde_json::to_string(&value).unwrap(),
                revision: version,
            };
            Box::pin(async move { Ok(Some(row)) })
        });
        let config = config::open(table);
        tokio::spawn(config.clone().run(ignored_events()));
        support::until("a version", || config.version() == 3).await;
        config.note_version(4);
        support::until("a late read", || reads.load(Ordering::SeqCst) >= 2).await;
        config.accept_document(class::Versioned::default());
        assert_eq!(config.version(), 3);
        assert_eq!(config.get().unwrap().document.classes[0].target_ms, 3);
    });
}

async fn open(id: &str, platform: platform::Platform) -> entry::Entry {
    let cfg = path::entry_config(id);
    let messages = count::Messages::default();
    entry::open(cfg, platform, messages).await.unwrap()
}

async fn get(entry: &entry::Entry, path: &str) -> (u16, Value) {
    let uri = format!("http://{}{path}", entry.http_addr());
    let call = http::Call::new(Method::GET, uri, "");
    let answer = http::open(1 << 20).call(call, support::HANG).await.unwrap();
    let body = serde_json::from_slice(&answer.body).unwrap();
    (answer.status.as_u16(), body)
}

async fn owner_ready_status(entry: &entry::Entry) -> u16 {
    let uri = format!("http://{}/readyz/owner", entry.http_addr());
    let call = http::Call::new(Method::GET, uri, "");
    let answer = http::open(1024).call(call, support::HANG).await.unwrap();
    answer.status.as_u16()
}

async fn change(entry: &entry::Entry, base: u64, target_ms: i64) -> Value {
    let document = serde_json::to_value(path::document(target_ms)).unwrap();
    let body = serde_json::json!({ "base": base, "document": document }).to_string();
    let uri = format!("http://{}/v1/config", entry.http_addr());
    let call = http::Call::new(Method::PUT, uri, body);
    let answer = http::open(1 << 20).call(call, support::HANG).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

async fn until_version(entry: &entry::Entry, version: u64) {
    while get(entry, "/v1/config").await.1["version"] != version {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against an entry that keeps serving with old targets for as long as it can't reach the
/// table. Its links to other entries worked, but they carried only the number of the newer version.
#[test]
fn entry_that_cant_read_the_table_gets_the_document_from_a_peer() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let first = open("entry-0", memory.platform()).await;
        support::until("an owner", || first.owns_any()).await;
        let (cut, platform) = platform_with_switch(&memory);
        let second = open("entry-1", platform).await;
        support::until("the second is ready", || second.is_ready()).await;
        cut.store(true, Ordering::SeqCst);
        assert_eq!(change(&first, 1, 700).await["version"], 2);
        until_version(&second, 2).await;
        // The other direction is covered by
        // `owner_that_cant_read_the_table_gets_the_document_from_a_peer`.
        let status = get(&second, "/v1/status").await.1;
        assert_eq!(status["stragglers"], serde_json::json!([]));
        assert_eq!(status["other_versions"]["entry-0"], 2);
        assert_eq!(owner_ready_status(&first).await, 200);
        assert_eq!(owner_ready_status(&second).await, 503);
    });
}

/// Guards against an accepted change that comes into force nowhere. The entry that made it dies
/// after the table's answer and before its first message to the others. The owner finds the change
/// when it next reads the watched rows, and its messages make the others read the document.
#[test]
fn change_of_an_entry_that_died_is_found() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let owner = open("entry-0", memory.platform()).await;
        support::until("an owner", || owner.owns_any()).await;
        let second = open("entry-1", memory.platform()).await;
        support::until("the second is ready", || second.is_ready()).await;
        let dead = config::open(memory.platform().table);
        assert_eq!(dead.change(1, path::document(700)).await, Ok(2));
        until_version(&owner, 2).await;
        until_version(&second, 2).await;
    });
}

/// Guards against an owner that keeps old targets: it can't reach the table, and a change is made
/// at another entry.
#[test]
fn owner_that_cant_read_the_table_gets_the_document_from_a_peer() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let (cut, platform) = platform_with_switch(&memory);
        let owner = open("entry-0", platform).await;
        support::until("an owner", || owner.owns_any()).await;
        let second = open("entry-1", memory.platform()).await;
        support::until("the second is ready", || second.is_ready()).await;
        while get(&owner, "/v1/status").await.1["other_versions"]["entry-1"] != 1 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        cut.store(true, Ordering::SeqCst);
        assert_eq!(change(&second, 1, 700).await["version"], 2);
        until_version(&owner, 2).await;
    });
}

#[test]
fn nothing_is_served_before_there_is_a_version_and_a_restart_finds_the_newest() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let entry = open("entry-0", memory.platform()).await;
        let (status, body) = get(&entry, "/v1/config").await;
        assert_eq!((status, &body["code"]), (503, &Value::from("LM2005")));
        assert!(!entry.is_ready());
        assert_eq!(change(&entry, 0, 700).await["version"], 1);
        assert_eq!(change(&entry, 1, 800).await["version"], 2);
        support::until("it serves", || entry.is_ready()).await;
        entry.kill();
        let again = open("entry-0", memory.platform()).await;
        support::until("it serves", || again.is_ready()).await;
        assert_eq!(get(&again, "/v1/config").await.1["version"], 2);
    });
}

#[test]
fn entry_that_stays_behind_shows_as_a_straggler() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let owner = open("entry-0", memory.platform()).await;
        support::until("an owner", || owner.owns_any()).await;
        let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
        let ends = link::ClientHandlers {
            on_message: Arc::new(|_: Value| {}),
            group: Arc::new(|items: Vec<peer::DownItem>| peer::Down {
                entry: "entry-9".into(),
                link: 5,
                config: 1,
                items,
            }),
            on_sent: Arc::new(|_, _| {}),
            estimate_bytes: |_| 1,
            on_closed: Box::new(|| {}),
        };
        let hello = peer::Hello {
            entry: "entry-9".into(),
            link: 5,
        };
        let addr = owner.peer_addr().to_string();
        link::connect(&addr, hello, rx, ends).await.unwrap();
        tx.send(peer::DownItem::Heartbeat).unwrap();
        assert_eq!(change(&owner, 1, 700).await["version"], 2);
        while get(&owner, "/v1/status").await.1["stragglers"] != serde_json::json!(["entry-9"]) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
}
