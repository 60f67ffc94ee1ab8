//! The worker stand-in answers orders as the platform's documentation says.

use std::time::Duration;

use hyper::Method;
use lovagemill::wire::http::{self, Call, Client};
use serde_json::{json, Value};

use crate::block_on;
use crate::standins::{Worker, PLACES};

/// A time on the worker's clock, which begins at 1,000,000, that no test reaches.
const DEADLINE_MS: u64 = 9_000_000;

/// A lease under which no run lapses during a test.
const LONG_LEASE: Duration = Duration::from_secs(3_600);

/// A worker, and a client that sends it orders.
struct WorkerClient {
    worker: Worker,
    client: Client,
}

async fn open() -> WorkerClient {
    open_with(Worker::open_with_lease("i-0", LONG_LEASE).await)
}

fn open_with(worker: Worker) -> WorkerClient {
    WorkerClient {
        worker,
        client: http::open(1024 * 1024),
    }
}

impl WorkerClient {
    async fn order(&self, path: &str, order: Value) -> (u16, Value) {
        let uri = format!("http://{}{path}", self.worker.addr);
        let call = Call::new(Method::POST, uri, order.to_string());
        let answer = self.client.call(call, Duration::from_secs(10)).await;
        let answer = answer.expect("an answer");
        let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        (answer.status.as_u16(), body)
    }

    /// Starts a run for `ms` milliseconds; returns the status and the reason of a refusal.
    async fn start(&self, task: &str, run: u64, ms: u64) -> (u16, String) {
        let order = json!({"task": task, "run": run, "spec": ms.to_string(), "deadline_ms": DEADLINE_MS,
            "fencing_token": 1});
        let (status, body) = self.order("/-/run-start", order).await;
        (
            status,
            body["reason"].as_str().unwrap_or_default().to_owned(),
        )
    }

    async fn stop(&self, task: &str, run: u64) -> u16 {
        let order = json!({"task": task, "run": run, "fencing_token": 1});
        self.order("/-/run-stop", order).await.0
    }

    /// Waits until no run is left.
    async fn wait_until_idle(&self) {
        while self.worker.runs().iter().any(|run| run.ended.is_none()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn accepted() -> (u16, String) {
    (200, String::new())
}

fn refused(reason: &str) -> (u16, String) {
    (409, reason.to_owned())
}

/// Guards against a stand-in that runs a task twice when its start arrives twice.
#[test]
fn a_second_start_of_a_run_starts_nothing() {
    block_on(async {
        let client = open().await;
        assert_eq!(client.start("a.0.0.0", 3, 300).await, accepted());
        assert_eq!(client.start("a.0.0.0", 3, 300).await, accepted());
        assert_eq!(client.worker.runs().len(), 1);
        client.wait_until_idle().await;
        assert_eq!(client.start("a.0.0.0", 3, 300).await, refused("old"));
        assert_eq!(client.worker.runs().len(), 1);
    });
}

/// Guards against a stand-in that starts a run after a later one of its task has ended.
#[test]
fn a_run_up_to_one_that_has_ended_is_refused() {
    block_on(async {
        let client = open().await;
        assert_eq!(client.start("a.0.0.0", 3, 1).await, accepted());
        client.wait_until_idle().await;
        for run in [1, 2, 3] {
            assert_eq!(client.start("a.0.0.0", run, 1).await, refused("old"));
        }
        assert_eq!(client.start("a.0.0.0", 4, 1).await, accepted());
        assert_eq!(client.start("a.0.0.1", 1, 1).await, accepted());
    });
}

/// Guards against a stand-in that starts a run whose stop has overtaken its start.
#[test]
fn a_run_that_was_stopped_before_its_start_is_refused() {
    block_on(async {
        let client = open().await;
        assert_eq!(client.stop("a.0.0.0", 5).await, 200);
        assert_eq!(client.start("a.0.0.0", 5, 1).await, refused("old"));
        assert_eq!(client.start("a.0.0.0", 4, 1).await, refused("old"));
        assert!(client.worker.runs().is_empty());
        assert_eq!(client.start("a.0.0.0", 6, 400).await, accepted());
        assert_eq!(client.stop("a.0.0.0", 6).await, 200);
        assert_eq!(client.worker.runs()[0].outcome, "stopped");
        assert_eq!(client.start("a.0.0.0", 6, 1).await, refused("old"));
    });
}

/// Guards against a stand-in that runs more than it has room for.
#[test]
fn a_run_without_room_is_refused() {
    block_on(async {
        let client = open().await;
        for task in 0..PLACES {
            let name = format!("a.0.0.{task}");
            assert_eq!(client.start(&name, 1, 60_000).await, accepted());
        }
        assert_eq!(client.start("b.0.0.0", 1, 1).await, refused("room"));
        assert_eq!(client.start("a.0.0.0", 1, 1).await, accepted());
    });
}

/// Guards against a stand-in that keeps a lease for longer than the longest that it grants.
#[test]
fn a_lease_is_shortened_to_the_longest() {
    block_on(async {
        let client = open_with(Worker::open("i-0").await);
        assert_eq!(client.start("a.0.0.0", 1, 60_000).await, accepted());
        client.wait_until_idle().await;
        assert_eq!(client.worker.runs()[0].outcome, "lapsed");
    });
}

/// A restarted worker knows neither the runs nor the tokens of the incarnation before it.
#[test]
fn a_restarted_worker_knows_no_earlier_run() {
    block_on(async {
        let client = open().await;
        assert_eq!(client.stop("a.0.0.0", 5).await, 200);
        client.worker.restart(1_000_000);
        assert_eq!(client.start("a.0.0.0", 5, 1).await, accepted());
    });
}
