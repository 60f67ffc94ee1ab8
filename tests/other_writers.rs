//! Heartbeats of other writers: fields missing or of another type, states and services that nobody
//! knows, bytes that can't be read. They name no worker, and the one that is there holds.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lovagemill::besteffort::agent::{self, Agent, ListingError};
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::platform::announce;
use lovagemill::wire::http::{self, Call};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use support::besteffort::{listed, Calls};

/// Cases of the seeded search.
const CASES: usize = 3_000;

fn beat() -> Value {
    json!({"service": "svc", "addr": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "labels": ["a", "r1-1"], "clock_ms": 5, "seq": 7,
        "capacity": {"cpu": 8000, "mem_mb": 9000, "gpu": 0}})
}

/// An agent that listens for its backend server, which is there under the name `life` and no other.
struct Listening {
    agent: Agent,
    addr: SocketAddr,
    client: http::Client,
}

impl Listening {
    async fn open() -> Listening {
        let calls = Calls::default();
        let cfg = agent::Config {
            name: "agent".into(),
            incarnation: 1,
            failure_domain: "domain".into(),
            link_addr: ([127, 0, 0, 1], 0).into(),
            bounds: Bounds::default(),
        };
        let agent = agent::bind(cfg, calls.server()).await;
        let agent = agent.expect("a free port");
        tokio::spawn(answer(calls));
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let addr = announce::bind(addr, agent.clone()).await;
        let listening = Listening {
            agent,
            addr: addr.expect("a free port"),
            client: http::open(1 << 20),
        };
        assert_eq!(listening.say("life", beat().to_string()).await, 200);
        support::until("the life is known", || {
            listening.agent.server_incarnation().id == "life"
        })
        .await;
        listening
    }

    async fn say(&self, instance: &str, body: impl Into<Vec<u8>>) -> u16 {
        let uri = format!("http://{}/-/instances/{instance}/heartbeat", self.addr);
        let call = Call::new(Method::POST, uri, body.into());
        let answer = self.client.call(call, support::HANG).await;
        answer.expect("an answer").status.as_u16()
    }

    async fn leave(&self, instance: &str, body: impl Into<Vec<u8>>) -> u16 {
        let uri = format!("http://{}/-/instances/{instance}/deregister", self.addr);
        let call = Call::new(Method::POST, uri, body.into());
        let answer = self.client.call(call, support::HANG).await;
        answer.expect("an answer").status.as_u16()
    }

    fn assert_holds(&self, after: &str) {
        let known = self.agent.backend();
        assert_eq!(known.incarnation.id, "life", "{after}");
        assert_eq!(known.service, "svc", "{after}");
        assert_eq!((known.size.cpu, known.takes_work), (8_000, true), "{after}");
    }
}

/// Lists for the living backend server, and says of any other name that another one is there.
async fn answer(calls: Calls) {
    loop {
        let (life, tx) = calls
            .next("a listing", |call| match call {
                support::besteffort::Call::List(call, tx) => Ok((call.to.incarnation.id, tx)),
                other => Err(other),
            })
            .await;
        let listing = match life.as_str() {
            "" | "life" => Ok(listed(Vec::new(), Vec::new())),
            _ => Err(ListingError::AnotherIncarnation),
        };
        // The agent may have given the call up.
        let _ = tx.send(listing);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A living worker stands idle: another program sent a heartbeat under its name without a capacity, and
/// one with a number that no later heartbeat reaches, so that its own words passed for late ones.
#[test]
fn a_heartbeat_that_can_t_be_true_changes_nothing() {
    support::block_on(async {
        let listening = Listening::open().await;
        let with = |field: &str, value: Value| {
            let mut beat = beat();
            beat["seq"] = json!(u64::MAX);
            beat[field] = value;
            beat.to_string().into_bytes()
        };
        let without = |field: &str| {
            let mut beat = beat();
            beat["seq"] = json!(u64::MAX);
            beat.as_object_mut().expect("an object").remove(field);
            beat.to_string().into_bytes()
        };
        let mut cases: Vec<Vec<u8>> = vec![
            Vec::new(),
            b"null".to_vec(),
            b"[]".to_vec(),
            b"{}".to_vec(),
            b"\xff\xfe\x00".to_vec(),
            beat().to_string().as_bytes()[..60].to_vec(),
        ];
        cases.extend(["service", "state", "seq", "capacity", "labels"].map(without));
        cases.extend([
            with("service", json!("")),
            with("service", json!(7)),
            with("state", json!("lurking")),
            with("state", json!(true)),
            with("seq", json!(-1)),
            with("seq", json!("8")),
            with("seq", json!(1e40)),
            with("born", json!("x")),
            with("born", json!(-1)),
            with("born", json!(1.5)),
            with("labels", json!("a")),
            with("labels", json!([1])),
            with("capacity", json!(8000)),
            with("capacity", json!({})),
            with("capacity", json!({"cpu": -8000, "mem_mb": 1, "gpu": 0})),
            with("capacity", json!({"cpu": "8000", "mem_mb": 1, "gpu": 0})),
            with("capacity", json!({"cpu": 8000, "mem_mb": -1, "gpu": 0})),
            with("capacity", json!({"cpu": 1e300, "mem_mb": 1, "gpu": 0})),
        ]);
        for case in cases {
            let shown = String::from_utf8_lossy(&case).into_owned();
            assert_eq!(listening.say("life", case).await, 400, "{shown}");
            listening.assert_holds(&shown);
        }
        assert_eq!(listening.say("", beat().to_string()).await, 400);
        listening.assert_holds("a heartbeat of nobody");
        // Well-formed, and of a service that the living one isn't of.
        let mut other = beat();
        other["service"] = json!("nobody's");
        assert_eq!(listening.say("life", other.to_string()).await, 200);
        listening.assert_holds("another service");
        assert_eq!(listening.leave("life", "no JSON").await, 400);
        assert_eq!(listening.leave("life", r#"{"born":"x"}"#).await, 400);
        assert_eq!(listening.leave("life", r#"{"born":77}"#).await, 200);
        listening.assert_holds("a life that isn't there has left");
        let mut next = beat();
        next["seq"] = json!(8);
        next["state"] = json!("draining");
        assert_eq!(listening.say("life", next.to_string()).await, 200);
        assert!(!listening.agent.backend().takes_work, "its own word counts");
    });
}

fn absurd(rng: &mut SmallRng) -> Value {
    let values = [
        Value::Null,
        json!(-1),
        json!(u64::MAX),
        json!(1e300),
        json!(""),
        json!("ready"),
        json!(true),
        json!([]),
        json!({}),
        json!([["a"]]),
        json!({"cpu": 0}),
    ];
    values.choose(rng).expect("there are some").clone()
}

/// Whatever another writer says of a worker of its own, the living one is asked for and holds.
#[test]
fn no_mutation_of_a_heartbeat_brings_a_worker_down() {
    support::block_on(async {
        let listening = Listening::open().await;
        let mut rng = SmallRng::seed_from_u64(11);
        for case in 0..CASES {
            let mut mutated = beat();
            let fields: Vec<String> = mutated
                .as_object()
                .expect("an object")
                .keys()
                .cloned()
                .collect();
            for _ in 0..rng.random_range(0..3) {
                let field = fields.choose(&mut rng).expect("there are some");
                mutated[field.as_str()] = absurd(&mut rng);
            }
            let mut bytes = mutated.to_string().into_bytes();
            for _ in 0..rng.random_range(0..3) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            let shown = format!("case {case}: {}", String::from_utf8_lossy(&bytes));
            let instance = format!("other-{}", case % 20);
            let status = listening.say(&instance, bytes).await;
            assert!(status == 200 || status == 400, "{status} for {shown}");
            listening.assert_holds(&shown);
        }
    });
}
