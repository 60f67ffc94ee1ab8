//! The platform's store and workers as clients see them: what each answer, and each way of giving
//! none, is taken for.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Request;
use lovagemill::besteffort::agent::{BackendServer, ListCall, ListingError};
use lovagemill::decide::besteffort::message::{Run, RunOutcome, ServerIncarnation};
use lovagemill::decide::besteffort::slots::{Recipient, StartAnswer};
use lovagemill::mutex;
use lovagemill::platform::http as platform_http;
use lovagemill::platform::routes;
use lovagemill::platform::store::{self, Error, Store};
use lovagemill::platform::worker;
use serde_json::{json, Value};

use support::script::{Script, ScriptedServer, ServerAction};

/// Whom the orders of the tests are meant for.
fn life() -> Recipient {
    Recipient {
        incarnation: ServerIncarnation::with_id("i-1"),
        fence: 1,
    }
}

fn script(server: ServerAction, status: u16, body: &str) -> Script {
    Script {
        server,
        status,
        body: body.into(),
        repeat: 1,
        length: None,
        twice: false,
    }
}

fn run() -> Run {
    Run {
        job: "00000000000000aa".into(),
        task: 3,
        number: 7,
    }
}

async fn worker_at(script: Script) -> (ScriptedServer, BackendServer) {
    let server = ScriptedServer::bind(script).await;
    let addr = server.addr().parse().expect("an address");
    (server, worker::open(addr))
}

async fn store_at(script: Script) -> (ScriptedServer, Store) {
    let server = ScriptedServer::bind(script).await;
    let addr = server.addr().parse().expect("an address");
    (server, store::open(addr))
}

/// A start that may have been carried out counts as refused, its task starts elsewhere, and both run.
/// Only what proves that nothing ran is a refusal.
#[test]
fn answers_to_a_start() {
    support::block_on(async {
        let late = r#"{"clock_ms":5,"reason":"late"}"#;
        let fence = r#"{"clock_ms":5,"reason":"fence"}"#;
        let cases = [
            (
                script(ServerAction::Answer, 200, r#"{"clock_ms":5}"#),
                StartAnswer::Accepted,
            ),
            (
                script(ServerAction::Answer, 409, late),
                StartAnswer::Refused,
            ),
            (
                script(ServerAction::Answer, 409, fence),
                StartAnswer::Refused,
            ),
            (
                script(ServerAction::Answer, 409, "no json"),
                StartAnswer::Refused,
            ),
            (script(ServerAction::Answer, 400, ""), StartAnswer::Refused),
            (script(ServerAction::Answer, 421, ""), StartAnswer::Refused),
            (
                script(ServerAction::Answer, 429, ""),
                StartAnswer::Unhealthy,
            ),
            (
                script(ServerAction::Answer, 503, ""),
                StartAnswer::Unhealthy,
            ),
            (script(ServerAction::Answer, 500, ""), StartAnswer::Unknown),
            (script(ServerAction::Refuse, 0, ""), StartAnswer::Refused),
            (
                script(ServerAction::CloseBefore, 0, ""),
                StartAnswer::Unknown,
            ),
            (
                script(ServerAction::CloseAfter, 0, ""),
                StartAnswer::Unknown,
            ),
            (script(ServerAction::Hang, 0, ""), StartAnswer::Unknown),
        ];
        for (script, expected) in cases {
            let shown = format!("{script:?}");
            let (_server, worker) = worker_at(script).await;
            let answer = (worker.start)(life(), run(), CompactString::from("input"), 99).await;
            assert_eq!(answer, expected, "{shown}");
        }
    });
}

/// A caller waits 50 ms longer than needed for one task in twenty: its start was lost on the way to a
/// worker that is well. It is sent once more, and both together are one start: only a success counts,
/// since the first may still be carried out whatever the second is answered.
#[test]
fn a_start_that_is_lost_is_sent_once_more() {
    support::block_on(async {
        for (status, expected) in [(200, StartAnswer::Accepted), (409, StartAnswer::Unknown)] {
            let again = script(
                ServerAction::Answer,
                status,
                r#"{"clock_ms":5,"reason":"room"}"#,
            );
            let first = script(ServerAction::Hang, 0, "");
            let server = ScriptedServer::bind_sequence(vec![first, again]).await;
            let worker = worker::open(server.addr().parse().expect("an address"));
            let answer = (worker.start)(life(), run(), CompactString::from("input"), 99).await;
            assert_eq!(answer, expected);
            assert_eq!(server.requests(), 2);
        }
    });
}

/// A stop is certain only if it was answered with success.
#[test]
fn answers_to_a_stop() {
    support::block_on(async {
        let cases = [
            (script(ServerAction::Answer, 200, r#"{"clock_ms":5}"#), true),
            (
                script(ServerAction::Answer, 409, r#"{"reason":"fence"}"#),
                false,
            ),
            (script(ServerAction::Answer, 503, ""), false),
            (script(ServerAction::Refuse, 0, ""), false),
            (script(ServerAction::CloseAfter, 0, ""), false),
            (script(ServerAction::Hang, 0, ""), false),
        ];
        for (script, expected) in cases {
            let shown = format!("{script:?}");
            let (_server, worker) = worker_at(script).await;
            assert_eq!((worker.stop)(life(), run()).await, expected, "{shown}");
        }
    });
}

/// A listing that can't be read whole would hide runs and ends; it counts as none.
#[test]
fn answers_to_a_listing() {
    support::block_on(async {
        let good = r#"{"clock_ms":5,"born":1790000000123,"running":[["00000000000000aa.0.0.3",7,"",41,900]],
            "finished":[[4,"00000000000000aa.0.0.1",6,"done",""],[5,"00000000000000aa.0.0.2",6,"lapsed",""]]}"#;
        let ask = || ListCall {
            to: life(),
            lease_until_ms: Some(99),
            acknowledged: 0,
            wait: Duration::ZERO,
        };
        let (_server, worker) = worker_at(script(ServerAction::Answer, 200, good)).await;
        let listing = (worker.list)(ask()).await.expect("a listing");
        assert_eq!(listing.running, [(run(), 41)]);
        assert_eq!(listing.born_ms, Some(1_790_000_000_123));
        let hows: Vec<RunOutcome> = listing.ended.iter().map(|(_, how)| *how).collect();
        assert_eq!(
            (hows, listing.last_end),
            (vec![RunOutcome::Done, RunOutcome::Gone], 5)
        );
        let cases = [
            (
                script(ServerAction::Answer, 200, "{}"),
                ListingError::NoAnswer,
            ),
            (
                script(
                    ServerAction::Answer,
                    200,
                    r#"{"clock_ms":5,"born":"x","running":[],"finished":[]}"#,
                ),
                ListingError::NoAnswer,
            ),
            (
                script(
                    ServerAction::Answer,
                    200,
                    r#"{"clock_ms":5,"running":[],"finished":[["x"]]}"#,
                ),
                ListingError::NoAnswer,
            ),
            (
                script(ServerAction::Answer, 409, r#"{"reason":"fence"}"#),
                ListingError::NoAnswer,
            ),
            (
                script(ServerAction::Answer, 421, ""),
                ListingError::AnotherIncarnation,
            ),
            (script(ServerAction::Refuse, 0, ""), ListingError::Refused),
            (
                script(ServerAction::CloseAfter, 0, ""),
                ListingError::NoAnswer,
            ),
        ];
        for (script, expected) in cases {
            let shown = format!("{script:?}");
            let (_server, worker) = worker_at(script).await;
            let found = (worker.list)(ask()).await.err();
            assert_eq!(found, Some(expected), "{shown}");
        }
    });
}

/// A caller's approval runs twice: an order for the life before is carried out by the next life of a backend
/// server under the same id. Its token is smaller than that of the first question to the next life; and
/// that it is refused must not raise the token of the order after it.
#[test]
fn tokens_rise_with_the_fence_of_a_life() {
    support::block_on(async {
        let tokens: Arc<Mutex<Vec<u64>>> = Arc::default();
        let seen = tokens.clone();
        let answer = move |req: Request<Incoming>| {
            let seen = seen.clone();
            async move {
                let body = req.into_body().collect().await.expect("a body").to_bytes();
                let order: Value = serde_json::from_slice(&body).expect("an order in JSON");
                let token = order["fencing_token"].as_u64().expect("a token");
                mutex::lock(&seen).push(token);
                platform_http::json(409, &json!({"clock_ms": 5, "reason": "fence"}))
            }
        };
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let caps = || platform_http::monitoring_limits(8);
        let addr = platform_http::bind(addr, caps, answer).await;
        let worker = worker::open(addr.expect("a free port"));
        for fence in [1, 2, 1, 1, 2] {
            let to = Recipient { fence, ..life() };
            assert!(!(worker.stop)(to, run()).await);
        }
        let tokens = mutex::lock(&tokens).clone();
        let [first, next, before, again, last] = tokens[..] else {
            panic!("{tokens:?}");
        };
        assert!(first < next, "each life has a token of its own");
        assert!(before < last && again < last, "{tokens:?}");
        assert_eq!(
            before, again,
            "a refused order for a dead life raises nothing"
        );
    });
}

/// Rows are read whole or not at all, and a history that is gone is told from a store that is away.
#[test]
fn answers_of_the_store() {
    support::block_on(async {
        let good = r#"{"rows":[{"table":"op","part":"","key":"config","value":"e30=","ver":4},
            {"table":"op","part":"","key":"old","ver":5,"tombstone":true}],"ver":9,"now_ms":77}"#;
        let (_server, store) = store_at(script(ServerAction::Answer, 200, good)).await;
        let rows = store.read_row("op", "", "config").await.expect("rows");
        assert_eq!((rows.version, rows.now_ms), (9, 77));
        assert_eq!(rows.rows[0].value.as_deref(), Some(&b"{}"[..]));
        assert_eq!(rows.rows[1].value, None);
        let away = |e: &Error| matches!(e, Error::Unavailable(_));
        let gone = |e: &Error| *e == Error::HistoryGone;
        let garbled = |e: &Error| *e == Error::InvalidAnswer;
        let cases: [(Script, fn(&Error) -> bool); 6] = [
            (script(ServerAction::Answer, 503, ""), away),
            (script(ServerAction::Answer, 429, ""), away),
            (script(ServerAction::Answer, 410, ""), gone),
            (script(ServerAction::Answer, 200, "no json"), garbled),
            (script(ServerAction::Refuse, 0, ""), away),
            (script(ServerAction::CloseAfter, 0, ""), away),
        ];
        for (script, expected) in cases {
            let shown = format!("{script:?}");
            let (_server, store) = store_at(script).await;
            let error = store
                .watch("op", 3, Duration::ZERO)
                .await
                .expect_err("no rows");
            assert!(expected(&error), "{shown}: {error}");
        }
    });
}

/// All workers stand idle because of one row that another program has written: what can't be read tells
/// nothing, is counted, and the other rows hold.
#[test]
fn a_row_that_can_t_be_read_hides_no_other() {
    support::block_on(async {
        let unreadable = [
            r#"{"table":"op","part":"","key":"x","value":"%%%","ver":4}"#,
            r#"{"table":"op","part":"","key":7,"value":"e30=","ver":4}"#,
            r#"{"table":"op","part":"","value":"e30=","ver":4}"#,
            r#"{"table":"op","part":"","key":"x","value":[1],"ver":4}"#,
            r#"{"table":"op","part":"","key":"x","value":"e30=","ver":-1}"#,
            r#"{"table":"op","part":"","key":"x","value":"e30=","tombstone":"yes"}"#,
            "null",
            "[]",
            r#""row""#,
        ];
        for row in unreadable {
            let good = r#"{"table":"op","part":"","key":"config","value":"e30=","ver":5}"#;
            let body = format!(r#"{{"rows":[{row},{good}],"ver":9,"now_ms":77}}"#);
            let (_server, store) = store_at(script(ServerAction::Answer, 200, &body)).await;
            let rows = store.read_range("op", "", "y").await.expect("rows");
            let keys: Vec<&str> = rows.rows.iter().map(|row| row.key.as_str()).collect();
            assert_eq!((keys, rows.unreadable), (vec!["config"], 1), "{row}");
        }
    });
}

/// Requests take the longest prefix of their host, whatever its case or port; a configuration that
/// can't be read changes nothing.
#[test]
fn classes_by_host_and_path() {
    let config = br#"{"version":7,"routes":[
        {"name":"short","host":"School.example","path_prefix":"/a/","service":"s","attempts":0,"stretch":0.5},
        {"name":"long","host":"school.example","path_prefix":"/a/b/","service":"s","slo_ms":60,"stretch":1.6}]}"#;
    let routes = routes::decode(config).expect("a configuration");
    let found = |host: &str, path: &str| {
        let found = routes.find_class(host, path);
        found.map(|(class, rest)| (class.name.to_string(), rest.to_owned()))
    };
    assert_eq!(
        found("school.example", "/a/x"),
        Some(("short".into(), "x".into()))
    );
    assert_eq!(
        found("SCHOOL.example:80", "/a/b/x"),
        Some(("long".into(), "x".into()))
    );
    assert_eq!(found("other.example", "/a/x"), None);
    assert_eq!(found("school.example", "/b/"), None);
    let (class, _) = routes.find_class("school.example", "/a/x").expect("found");
    assert_eq!(
        (class.attempts, class.stretch),
        (1, 1.0),
        "never below what makes sense"
    );
    assert!(routes::decode(br#"{"routes":[]}"#).is_err());
    assert!(routes::decode(b"").is_err());
}
