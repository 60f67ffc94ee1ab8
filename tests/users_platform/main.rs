//! The two programs of the users' platform as processes, with stand-ins for the platform's store and workers.

mod processes;
mod standin_contract;
mod standins;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hyper::Method;
use lovagemill::clock;
use lovagemill::platform::configuration::{self, Configuration};
use lovagemill::wire::http::{self, Answer, Call, Client, Error};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use processes::Process;
use standins::{Store, Worker};

/// Time limit of a call in a test; it only ends a hang.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime can be built");
    runtime.block_on(async {
        tokio::time::timeout(processes::HANG, future)
            .await
            .expect("no hang")
    })
}

/// A route of a configuration.
fn route(prefix: &str) -> Value {
    json!({"name": format!("r{}", prefix.replace('/', "-")), "host": "school.example", "path_prefix": prefix,
        "type": "unsafe", "timeout_ms": 30000, "slo_ms": 5000, "priority": 0, "service": "svc",
        "attempts": 2, "stretch": 3.0})
}

/// A job whose tasks run for `ms` milliseconds each.
fn job(tasks: u32, ms: u32) -> Value {
    json!({"spec": ms.to_string(), "best_effort": true,
        "steps": [{"count": tasks, "cpu": 1000, "mem_mb": 10, "est_runtime_ms": ms}]})
}

/// A store, entries, and workers with their agents.
struct System {
    store: Store,
    entries: Vec<Process>,
    agents: Vec<Process>,
    workers: Vec<Worker>,
    client: Client,
}

impl Drop for System {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let lines = self.workers.iter().flat_map(Worker::log);
            processes::keep_log("workers", &lines.collect::<Vec<_>>());
        }
    }
}

impl System {
    /// Starts all processes; returns once every entry knows that every worker takes work.
    async fn open(test: &str, entries: usize, workers: usize) -> System {
        let store = Store::open().await;
        store.configure(1, &[route("/trips/")]);
        let client = http::open(1024 * 1024);
        let start = |n| processes::entry(&format!("{test}-entry-{n}"), store.addr);
        let mut system = System {
            entries: (0..entries).map(start).collect(),
            agents: Vec::new(),
            workers: Vec::new(),
            store,
            client,
        };
        for n in 0..workers {
            system.add_worker(test, n).await;
        }
        for entry in &system.entries {
            for _ in 0..workers {
                entry.wait_for_line(|line| {
                    line["message"] == "agent changed its mind about new work"
                        && line["takes_work"] == true
                });
            }
        }
        system
    }

    async fn add_worker(&mut self, test: &str, n: usize) {
        self.add_worker_in("z", test, n).await;
    }

    async fn add_worker_in(&mut self, domain: &str, test: &str, n: usize) {
        let worker = Worker::open(&format!("i-{n}")).await;
        let agent = processes::agent_in(
            domain,
            &format!("{test}-agent-{n}"),
            self.store.addr,
            worker.addr,
        );
        worker.announce(agent.addr("announce"), self.client.clone());
        self.agents.push(agent);
        self.workers.push(worker);
    }

    async fn call(
        &self,
        entry: usize,
        call: (Method, &str, &str, String),
    ) -> Result<Answer, Error> {
        let (method, host, path, body) = call;
        let uri = format!("http://{}{path}", self.entries[entry].addr("callers"));
        let call = Call::new(method, uri, body).header("host", host);
        self.client.call(call, CALL_TIMEOUT).await
    }

    async fn submit(&self, entry: usize, id: u64, job: &Value) -> (u16, Value) {
        let path = format!("/trips/{id:016x}");
        let answer = self
            .call(
                entry,
                (Method::POST, "school.example", &path, job.to_string()),
            )
            .await;
        let answer = answer.expect("an answer");
        (
            answer.status.as_u16(),
            serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        )
    }

    /// Reads the metrics page of a process.
    async fn metrics(&self, process: &Process) -> String {
        let uri = format!("http://{}/metrics", process.addr("metrics"));
        let call = Call::new(Method::GET, uri, "");
        let answer = self.client.call(call, CALL_TIMEOUT).await;
        String::from_utf8_lossy(&answer.expect("an answer").body).into_owned()
    }

    /// Returns how often each task ran, and whether two runs of a task overlapped.
    fn run_counts(&self) -> (BTreeMap<String, usize>, bool) {
        let all: Vec<_> = self.workers.iter().flat_map(Worker::runs).collect();
        let mut counts = BTreeMap::new();
        let mut overlap = false;
        for (n, run) in all.iter().enumerate() {
            *counts.entry(run.task.clone()).or_default() += 1;
            overlap |= all[..n].iter().any(|other| {
                let apart = other.ended.is_some_and(|end| end <= run.began)
                    || run.ended.is_some_and(|end| end <= other.began);
                other.task == run.task && !apart
            });
        }
        (counts, overlap)
    }
}

/// Returns the value of a counter without labels on a metrics page.
fn counter(page: &str, name: &str) -> u64 {
    let value = page.lines().find_map(|line| line.strip_prefix(name));
    let value = value.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("{name} in:\n{page}"))
}

/// Without faults every job is answered as complete, and each of its tasks runs once.
#[test]
fn each_task_runs_once_without_faults() {
    block_on(async {
        let system = System::open("calm", 2, 3).await;
        for round in 0..20_u64 {
            let jobs = (0..4).map(|n| (n, round * 4 + n as u64));
            let jobs: Vec<_> = jobs.collect();
            let submitted = job(1 + round as u32 % 4, 10);
            let answers = jobs
                .iter()
                .map(|(n, id)| system.submit(n % 2, *id, &submitted));
            for (status, body) in join_all(answers).await {
                assert_eq!((status, &body["state"]), (200, &json!("complete")));
            }
        }
        let (counts, overlap) = system.run_counts();
        assert!(counts.values().all(|n| *n == 1) && !overlap, "{counts:?}");
        let tasks: u64 = (0..20).map(|round| 4 * (1 + round % 4)).sum();
        assert_eq!(counts.len() as u64, tasks);
    });
}

/// Guards against a task that runs twice because its start is sent twice: the backend server carries the first one out
/// at once, and its answer is late.
#[test]
fn a_start_that_is_sent_twice_runs_its_task_once() {
    block_on(async {
        let system = System::open("resent", 1, 2).await;
        for worker in &system.workers {
            worker.delay_start_answers(Duration::from_millis(30));
        }
        for (id, ms) in [(1, 5), (2, 100)] {
            let (status, body) = system.submit(0, id, &job(4, ms)).await;
            assert_eq!((status, &body["state"]), (200, &json!("complete")));
        }
        let runs: Vec<_> = system.workers.iter().flat_map(Worker::runs).collect();
        let started: BTreeSet<_> = runs.iter().map(|run| (&run.task, run.number)).collect();
        assert_eq!(started.len(), runs.len(), "{runs:?}");
        let is_resent =
            |line: &Value| line["message"] == "start has no answer yet; sending it again";
        let mut resent = 0;
        for agent in &system.agents {
            let page = system.metrics(agent).await;
            let by_agent = counter(&page, "lovagemill_starts_resent_total");
            for _ in 0..by_agent {
                agent.wait_for_line(is_resent);
            }
            resent += by_agent;
        }
        assert!(resent > 0, "no start was sent twice");
    });
}

/// Guards against a caller that waits in vain for a job that is done: the backend server carries out every start, and no
/// answer to a start arrives.
#[test]
fn a_job_is_done_although_no_start_is_answered() {
    block_on(async {
        let system = System::open("unanswered", 1, 2).await;
        for worker in &system.workers {
            worker.delay_start_answers(2 * processes::HANG);
        }
        for (id, ms) in [(1, 5), (2, 200)] {
            let (status, body) = system.submit(0, id, &job(4, ms)).await;
            assert_eq!((status, &body["state"]), (200, &json!("complete")));
        }
        assert!(!system.run_counts().1, "two runs of a task overlapped");
    });
}

/// Guards against a task that runs again although it was done: its agent stood still for longer than the lease, and
/// gave the run up before it read the listing that had arrived meanwhile.
#[test]
fn a_task_that_ends_during_a_standstill_of_its_agent_runs_once() {
    block_on(async {
        let system = System::open("standstill", 1, 1).await;
        let submitted = job(1, 150);
        for id in 1..=3 {
            let standstill = async {
                while system.workers[0].runs().len() < id as usize {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
                system.agents[0].signal("-STOP");
                tokio::time::sleep(Duration::from_millis(900)).await;
                system.agents[0].signal("-CONT");
            };
            let ((status, body), ()) = tokio::join!(system.submit(0, id, &submitted), standstill);
            assert_eq!((status, &body["state"]), (200, &json!("complete")));
        }
        let (counts, _) = system.run_counts();
        assert!(counts.values().all(|n| *n == 1), "{counts:?}");
    });
}

/// Waits for all futures at once; returns their results in the order in which they complete.
async fn join_all<T>(all: impl Iterator<Item = impl std::future::Future<Output = T>>) -> Vec<T> {
    let mut done = Vec::new();
    let mut all: Vec<_> = all.map(Box::pin).collect();
    std::future::poll_fn(|cx| {
        all.retain_mut(|one| match one.as_mut().poll(cx) {
            std::task::Poll::Ready(found) => {
                done.push(found);
                false
            }
            std::task::Poll::Pending => true,
        });
        if all.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    done
}

/// Malformed, unusual and unserved requests are answered with the right status, and the entry goes on serving. Kinds of
/// jobs that aren't served are refused as not run, and never run in part.
#[test]
fn malformed_and_unserved_requests_are_answered() {
    block_on(async {
        let system = System::open("strange", 1, 1).await;
        let id = "/trips/00000000000000aa";
        let good = job(1, 5).to_string();
        let step = |field: &str, value: Value| {
            let mut job = job(1, 5);
            job["steps"][0][field] = value;
            job.to_string()
        };
        let with = |field: &str, value: Value| {
            let mut job = job(1, 5);
            job[field] = value;
            job.to_string()
        };
        let host = "school.example";
        let cases: Vec<(u16, Method, &str, &str, String)> = vec![
            (400, Method::POST, host, id, "{".into()),
            (400, Method::POST, host, id, "[]".into()),
            (400, Method::POST, host, id, "\u{0}\u{1}".into()),
            (400, Method::POST, host, id, with("steps", json!([]))),
            (
                400,
                Method::POST,
                host,
                id,
                with("spec", json!("x".repeat(4_001))),
            ),
            (400, Method::POST, host, id, step("count", json!(0))),
            (400, Method::POST, host, id, step("count", json!(-1))),
            (400, Method::POST, host, id, step("count", json!(100_000))),
            (400, Method::POST, host, id, step("cpu", json!(-5))),
            (
                400,
                Method::POST,
                host,
                id,
                step("est_runtime_ms", json!(-1)),
            ),
            (
                400,
                Method::POST,
                host,
                id,
                step("est_runtime_ms", json!("long")),
            ),
            (400, Method::POST, host, id, step("after", json!([0]))),
            (
                413,
                Method::POST,
                host,
                id,
                with("spec", json!("x".repeat(70_000))),
            ),
            (
                503,
                Method::POST,
                host,
                id,
                with("best_effort", json!(false)),
            ),
            (503, Method::POST, host, id, with("times", json!(3))),
            (503, Method::POST, host, id, step("gang", json!(true))),
            (503, Method::POST, host, id, step("same_rack", json!(true))),
            (503, Method::POST, host, id, step("daemon", json!(true))),
            (
                503,
                Method::POST,
                host,
                id,
                step("speculative", json!(true)),
            ),
            (503, Method::POST, host, id, step("checkpoint", json!(true))),
            (503, Method::POST, host, id, step("fills", json!(true))),
            (
                503,
                Method::POST,
                host,
                id,
                step("requires", json!("no-such-label")),
            ),
            (503, Method::POST, host, id, step("cpu", json!(1_000_000))),
            (404, Method::POST, "other.example", id, good.clone()),
            (
                404,
                Method::POST,
                host,
                "/other/00000000000000aa",
                good.clone(),
            ),
            (404, Method::POST, host, "/trips/short", good.clone()),
            (
                404,
                Method::POST,
                host,
                "/trips/zzzzzzzzzzzzzzzz",
                good.clone(),
            ),
            (410, Method::GET, host, id, String::new()),
            (410, Method::DELETE, host, id, String::new()),
            (405, Method::PUT, host, id, good.clone()),
            (200, Method::GET, host, "/trips/", String::new()),
            (404, Method::GET, host, "/none/", String::new()),
        ];
        for (status, method, host, path, body) in cases {
            let shown: String = body.chars().take(120).collect();
            let answer = system
                .call(0, (method.clone(), host, path, body))
                .await
                .expect("an answer");
            assert_eq!(
                answer.status.as_u16(),
                status,
                "{method} {host}{path} {shown}"
            );
        }
        assert_eq!(
            system.submit(0, 1, &job(2, 5)).await.0,
            200,
            "the entry goes on serving"
        );
        assert_eq!(system.run_counts().0.len(), 2, "no other task ran");
    });
}

/// A connection with half a request or with garbage delays no answer to others, and half a request is answered with
/// status 408.
#[test]
fn a_slow_sender_is_answered_with_a_timeout() {
    block_on(async {
        let system = System::open("slow", 1, 1).await;
        let mut slow = TcpStream::connect(system.entries[0].addr("callers"))
            .await
            .expect("connects");
        let head = "POST /trips/00000000000000bb HTTP/1.1\r\nhost: school.example\r\ncontent-length: 50\r\n\r\n{";
        slow.write_all(head.as_bytes()).await.expect("sent");
        let mut garbage = TcpStream::connect(system.entries[0].addr("callers"))
            .await
            .expect("connects");
        garbage
            .write_all(b"\x16\x03\x01 no http at all\r\n\r\n")
            .await
            .expect("sent");
        assert_eq!(system.submit(0, 1, &job(1, 5)).await.0, 200);
        let mut answer = vec![0; 64];
        let read = slow.read(&mut answer).await.expect("an answer");
        assert!(
            answer[..read].starts_with(b"HTTP/1.1 408"),
            "{:?}",
            String::from_utf8_lossy(&answer[..read])
        );
    });
}

/// Guards against a stopping entry that breaks off the connection of a caller whose job is running. The entry must
/// answer its jobs, tell callers that it closes their connections and the balancer that it isn't ready, and only then
/// end.
#[test]
fn a_stopping_entry_answers_its_open_jobs() {
    block_on(async {
        let mut system = System::open("stop", 1, 1).await;
        let submitted = job(2, 700);
        let uri = format!("http://{}/-/ready", system.entries[0].addr("ready"));
        let is_ready = || async {
            let ready = system
                .client
                .call(Call::new(Method::GET, uri.clone(), ""), CALL_TIMEOUT);
            ready.await.expect("an answer").status.as_u16() == 200
        };
        // The entry is ready once no further agent has linked for a moment.
        let began = std::time::Instant::now();
        while !is_ready().await {
            assert!(began.elapsed() < CALL_TIMEOUT, "never ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let path = "/trips/0000000000000001";
        let stop_entry = async {
            while system.workers[0].runs().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.entries[0].signal("-TERM");
            system.entries[0].wait_for_line(|line| line["message"] == "entry stops");
            let ready = system
                .client
                .call(Call::new(Method::GET, uri, ""), CALL_TIMEOUT)
                .await;
            ready.expect("an answer").status.as_u16()
        };
        let call = system.call(
            0,
            (Method::POST, "school.example", path, submitted.to_string()),
        );
        let (answer, ready) = tokio::join!(call, stop_entry);
        assert_eq!(answer.expect("an answer").status.as_u16(), 200);
        assert_eq!(ready, 503);
        assert!(system.entries[0].wait_until_ended());
    });
}

/// Guards against a stopping agent that loses the runs of its backend server. It must wait for their ends and report
/// them to the entry before it ends.
#[test]
fn a_stopping_agent_lets_its_runs_end() {
    block_on(async {
        let mut system = System::open("agent", 1, 1).await;
        let submitted = job(2, 600);
        let stop_agent = async {
            while system.workers[0].runs().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.agents[0].signal("-TERM");
        };
        let ((status, _), ()) = tokio::join!(system.submit(0, 1, &submitted), stop_agent);
        assert_eq!(status, 200);
        assert!(system.agents[0].wait_until_ended());
        let (counts, _) = system.run_counts();
        assert!(counts.values().all(|n| *n == 1), "{counts:?}");
        assert_eq!(
            system.submit(0, 2, &job(1, 5)).await.0,
            503,
            "no worker takes work"
        );
    });
}

/// Guards against an agent that idles after a restart until the next heartbeat of its backend server, which comes every
/// second and a half. The agent reads the backend server's row from the store and serves at once.
#[test]
fn a_restarted_agent_restores_its_backend_server_from_the_store() {
    block_on(async {
        let mut system = System::open("recall", 1, 1).await;
        let is_restored = |line: &Value| {
            line["message"] == "backend server is remembered" && line["there"] == true
        };
        system.store.wait_for_rows("backends").await;
        processes::restart_agent(
            &mut system.agents[0],
            "z",
            "recall-agent-0",
            system.store.addr,
            system.workers[0].addr,
        );
        // The restarted agent gets no heartbeats.
        system.agents[0].wait_for_line(is_restored);
        system.entries[0].wait_for_line(|line| {
            line["message"] == "agent changed its mind about new work" && line["takes_work"] == true
        });
        assert_eq!(system.submit(0, 1, &job(2, 5)).await.0, 200);
    });
}

/// The metrics pages count jobs by outcome and show their times, so that operators notice slow jobs.
#[test]
fn metrics_count_jobs_and_show_their_times() {
    block_on(async {
        let system = System::open("metrics", 1, 1).await;
        assert_eq!(system.submit(0, 1, &job(2, 5)).await.0, 200);
        assert_eq!(system.submit(0, 2, &job(100_000, 5)).await.0, 400);
        let entry = system.metrics(&system.entries[0]).await;
        for line in [
            "lovagemill_jobs_total{class=\"r-trips-\",outcome=\"complete\"} 1",
            "lovagemill_starts_total 2",
            "lovagemill_starts_again_total 0",
            "lovagemill_answers_total{status=\"200\"} 1",
            "lovagemill_answers_total{status=\"400\"} 1",
            "lovagemill_job_seconds_count{outcome=\"complete\"} 1",
            "lovagemill_wait_seconds_count{class=\"r-trips-\"} 1",
            "lovagemill_service_seconds_count{class=\"r-trips-\"} 2",
            "lovagemill_agents{state=\"listed\"} 1",
            "lovagemill_agents{state=\"taking\"} 1",
            "lovagemill_agents_read_age_seconds ",
            "lovagemill_configuration_version 1",
            "lovagemill_configuration_age_seconds ",
            "lovagemill_membership_age_seconds ",
            "lovagemill_store_call_seconds_count{kind=\"read\",outcome=\"done\"}",
        ] {
            assert!(entry.contains(line), "{line} in:\n{entry}");
        }
        let agent = system.metrics(&system.agents[0]).await;
        for line in [
            "lovagemill_free_cpu 8000",
            "lovagemill_takes_work 1",
            "lovagemill_entries 1",
            "lovagemill_backend_lives_total 1",
            "lovagemill_backend_age_seconds ",
            "lovagemill_starts_total{answer=\"accepted\"} 2",
            "lovagemill_run_seconds_count{how=\"done\"} 2",
            "lovagemill_store_call_seconds_count{kind=\"read\",outcome=\"done\"}",
        ] {
            assert!(agent.contains(line), "{line} in:\n{agent}");
        }
    });
}

/// Guards against programs that end at a HUP signal, with which the platform reports that their settings have
/// changed.
#[test]
fn a_hup_signal_makes_the_programs_read_their_settings_again() {
    block_on(async {
        let system = System::open("hup", 1, 1).await;
        for process in system.entries.iter().chain(&system.agents) {
            process.signal("-HUP");
            process.wait_for_line(|line| {
                line["message"] == "settings are read again and have not changed"
            });
        }
        assert_eq!(system.submit(0, 1, &job(1, 5)).await.0, 200);
    });
}

/// A newer configuration comes into force and an older one never does, even where the store's history is dropped or the
/// store is unavailable.
#[test]
fn a_newer_configuration_comes_into_force_and_an_older_one_never() {
    block_on(async {
        let system = System::open("config", 1, 1).await;
        let status = |path: &'static str| {
            let call = system.call(0, (Method::GET, "school.example", path, String::new()));
            async move { call.await.expect("an answer").status.as_u16() }
        };
        let in_force = |version: u64| {
            system.entries[0].wait_for_line(|line| {
                line["message"] == "configuration is in force" && line["version"] == version
            });
        };
        system
            .store
            .configure(5, &[route("/trips/"), route("/new/")]);
        in_force(5);
        assert_eq!(status("/new/").await, 200);
        system.store.compact();
        system.store.configure(9, &[route("/new/")]);
        in_force(9);
        assert_eq!(status("/trips/").await, 404);
        system.store.configure(3, &[route("/old/")]);
        system
            .store
            .configure(11, &[route("/new/"), route("/last/")]);
        in_force(11);
        system.store.set_unavailable(true);
        system.entries[0].wait_for_line(|line| {
            line["message"] == "configuration can't be read; what is known stays"
        });
        assert_eq!((status("/new/").await, status("/old/").await), (200, 404));
        system.store.set_unavailable(false);
        system.entries[0].wait_for_line(|line| line["message"] == "the store is back");
    });
}

/// Guards against a process that blocks because nobody reads its log: the pipe is full, and the next line waits for
/// room. The process drops lines instead.
#[test]
fn a_log_that_nobody_reads_blocks_no_process() {
    block_on(async {
        let store = Store::open().await;
        store.configure(1, &[route("/trips/")]);
        let entry = processes::entry_with_unread_log("unread-entry", store.addr);
        let client = http::open(1024 * 1024);
        // Each refused job logs a line of some 300 bytes; a pipe holds 64 KiB, and the log's queue 1,024 lines.
        for id in 0..4_000_u64 {
            let uri = format!("http://{}/trips/{id:016x}", entry.addr("callers"));
            let call = Call::new(Method::POST, uri, job(1, 5).to_string())
                .header("host", "school.example");
            let answer = client.call(call, CALL_TIMEOUT).await.expect("an answer");
            assert_eq!(answer.status.as_u16(), 503);
        }
    });
}

/// Guards against work for a worker that has announced that it is leaving.
#[test]
fn a_leaving_worker_gets_no_new_work() {
    block_on(async {
        let system = System::open("leave", 1, 2).await;
        system.workers[0].leave();
        system.entries[0].wait_for_line(|line| {
            line["message"] == "agent changed its mind about new work"
                && line["takes_work"] == false
        });
        let before = system.workers[0].runs().len();
        for id in 0..20 {
            assert_eq!(system.submit(0, id, &job(2, 5)).await.0, 200);
        }
        assert_eq!(system.workers[0].runs().len(), before);
    });
}

/// Guards against work for a worker that is leaving, and against a healthy worker without work, after both crashed and
/// restarted under the same id. The agent took the next incarnation's heartbeats, whose numbers start afresh, for late
/// ones of the incarnation before: it acknowledged and ignored them. It ignored listings too, if the next incarnation's
/// clock had started at a smaller time.
#[test]
fn a_worker_restarted_under_its_id_leaves_and_serves_like_a_new_one() {
    block_on(async {
        let system = System::open("back", 1, 2).await;
        let (worker, entry) = (&system.workers[0], &system.entries[0]);
        worker.restart(5_000_000);
        worker.leave();
        wait_until_takes_work(entry, "back-agent-0", false);
        let before = worker.runs().len();
        for id in 0..20 {
            assert_eq!(system.submit(0, id, &job(2, 5)).await.0, 200);
        }
        assert_eq!(
            worker.runs().len(),
            before,
            "work for a worker that is leaving"
        );

        worker.restart(500);
        wait_until_takes_work(entry, "back-agent-0", true);
        // Each of the two workers has room for eight tasks.
        assert_eq!(system.submit(0, 100, &job(12, 30)).await.0, 200);
        assert_ne!(worker.runs().len(), before, "it serves again");
    });
}

/// Guards against two runs of a task after its entry was killed: the caller submits again to another entry 1.3 s later,
/// and the first run must have ended by then. The workers go on and record when each run ended.
#[test]
fn no_run_outlives_a_killed_entry() {
    block_on(async {
        let mut system = System::open("killed", 2, 1).await;
        // The tasks run for longer than the test may take, but declare a short run time.
        let mut submitted = job(2, 100_000);
        submitted["steps"][0]["est_runtime_ms"] = json!(1_000);
        let kill_entry = async {
            while system.workers[0].runs().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.entries[0].signal("-KILL");
        };
        let path = "/trips/0000000000000001";
        let call = system.call(
            0,
            (Method::POST, "school.example", path, submitted.to_string()),
        );
        let (answer, ()) = tokio::join!(call, kill_entry);
        assert!(answer.is_err(), "the connection broke");
        while system.workers[0]
            .runs()
            .iter()
            .any(|run| run.ended.is_none())
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let outcomes: Vec<&str> = system.workers[0]
            .runs()
            .iter()
            .map(|run| run.outcome)
            .collect();
        assert!(
            outcomes
                .iter()
                .all(|outcome| ["stopped", "lapsed"].contains(outcome)),
            "{outcomes:?}"
        );
        assert!(!system.entries[0].wait_until_ended());
        assert_eq!(system.submit(1, 1, &job(2, 20)).await.0, 200);
        assert!(!system.run_counts().1, "two runs of a task overlapped");
    });
}

/// Guards against a task that starts in an evacuated failure domain, which may be about to lose its power. The domain's
/// agent restarts while the store is unavailable, and an entry that learns of evacuations only from changes in the
/// store would send it work. A domain that is taken back while the history is lost must serve as before.
#[test]
fn an_evacuated_domain_gets_no_work_until_it_is_taken_back() {
    block_on(async {
        let mut system = System::open("evacuated", 2, 1).await;
        system.add_worker_in("y", "evacuated", 1).await;
        for entry in &system.entries {
            wait_until_takes_work(entry, "evacuated-agent-1", true);
        }
        system.store.evacuate("y");
        for entry in &system.entries {
            wait_until_takes_work(entry, "evacuated-agent-1", false);
        }
        // An entry that starts now reads the row without having seen the change.
        let late = processes::entry("evacuated-entry-late", system.store.addr);
        late.wait_for_line(|line| {
            line["message"] == "evacuated failure domains" && line["domains"] == "y"
        });

        system.store.set_unavailable(true);
        processes::restart_agent(
            &mut system.agents[1],
            "y",
            "evacuated-agent-1",
            system.store.addr,
            system.workers[1].addr,
        );
        let is_evacuated = |line: &Value| {
            line["message"] == "failure domain was evacuated or taken back"
                && line["evacuated"] == true
        };
        system.agents[1].wait_for_line(is_evacuated);
        let announce = system.agents[1].addr("announce");
        system.workers[1].announce(announce, system.client.clone());
        system.agents[1].wait_for_line(|line| line["message"] == "backend server has a new life");
        let submitted = job(8, 30);
        for id in 0..4 {
            assert_eq!(system.submit(id as usize % 2, id, &submitted).await.0, 200);
        }
        assert_eq!(system.workers[1].runs().len(), 0, "nothing runs there");

        system.store.take_back("y");
        system.store.compact();
        system.store.set_unavailable(false);
        for entry in &system.entries {
            wait_until_takes_work(entry, "evacuated-agent-1", true);
        }
        // Each of the two workers has room for eight tasks.
        for id in 10..14 {
            assert_eq!(
                system.submit(id as usize % 2, id, &job(12, 30)).await.0,
                200
            );
        }
        assert_ne!(system.workers[1].runs().len(), 0, "it serves again");
    });
}

/// Waits until an entry logs whether an agent takes work.
fn wait_until_takes_work(entry: &Process, agent: &str, takes_work: bool) {
    entry.wait_for_line(|line| {
        line["message"] == "agent changed its mind about new work"
            && line["agent"] == agent
            && line["takes_work"] == takes_work
    });
}

/// A task crashes each worker that starts it; the worker restarts under the same id. After two crashes the job is
/// answered as failed, and again so where it is submitted to another entry.
#[test]
fn a_task_that_crashes_workers_is_given_up() {
    block_on(async {
        let system = System::open("crash", 2, 3).await;
        let mut submitted = job(1, 500);
        submitted["spec"] = json!("crash");
        let crashes = || {
            let all = system.workers.iter().flat_map(Worker::runs);
            all.filter(|run| run.outcome == "crashed").count()
        };
        let (status, answer) = system.submit(0, 1, &submitted).await;
        assert_eq!((status, &answer["state"]), (200, &json!("failed")));
        assert_eq!(crashes(), 2);
        system.entries[0].wait_for_line(|line| {
            line["message"] == "job is given up since backend servers crash under its task"
        });
        let (status, answer) = system.submit(1, 1, &submitted).await;
        assert_eq!((status, &answer["state"]), (200, &json!("failed")));
        assert_eq!(crashes(), 2, "it isn't started again");
        assert_eq!(system.submit(1, 2, &job(4, 20)).await.0, 200);
    });
}

/// Guards against entries that read the whole list of agents repeatedly. With ten times as many entries and agents,
/// this costs a hundred times as much; reading only what has changed doesn't.
#[test]
fn entries_read_the_list_of_agents_once_and_then_what_changes() {
    block_on(async {
        let mut system = System::open("reads", 2, 3).await;
        // An agent writes its row shortly after the first heartbeat, and an entry pauses between reads of changes.
        let rows_served = || system.store.rows_served("agents");
        let mut before = rows_served();
        loop {
            tokio::time::sleep(Duration::from_secs(2)).await;
            if rows_served() == before {
                break;
            }
            before = rows_served();
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(
            system.store.rows_served("agents"),
            before,
            "nothing has changed"
        );
        system.add_worker("reads", 3).await;
        for entry in &system.entries {
            wait_until_takes_work(entry, "reads-agent-3", true);
        }
        assert!(
            system.store.rows_served("agents") <= before + 2 + 1,
            "one row for each entry, and one for the agent's own check"
        );
    });
}

/// Guards against callers that are turned away because an entry which has just started hasn't read the
/// configuration yet.
#[test]
fn callers_wait_for_the_first_configuration() {
    block_on(async {
        let store = Store::open().await;
        store.set_delay(Duration::from_millis(100));
        store.configure(7, &[route("/trips/")]);
        let configuration = Configuration::default();
        let without_wait = configuration.wait_for_first(clock::since_boot()).await;
        assert_eq!(without_wait.version, 0, "waits no longer than the limit");
        let client = lovagemill::platform::store::open(store.addr);
        let wait = Duration::from_millis(200);
        let following = configuration::follow(client, configuration.clone(), wait, |_| {});
        let following = tokio::spawn(following);
        let first = configuration.wait_for_first(clock::since_boot() + processes::HANG);
        assert_eq!(first.await.version, 7);
        following.abort();
    });
}
