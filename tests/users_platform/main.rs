//! The two programs of the users' platform as processes, against stand-ins of its interfaces.

mod processes;
mod standins;

use std::collections::BTreeMap;
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

/// Longest that a caller of a test waits; nothing depends on it but a hang.
const PATIENCE: Duration = Duration::from_secs(30);

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

fn route(prefix: &str) -> Value {
    json!({"name": format!("r{}", prefix.replace('/', "-")), "host": "school.example", "path_prefix": prefix,
        "type": "unsafe", "timeout_ms": 30000, "slo_ms": 5000, "priority": 0, "service": "svc",
        "attempts": 2, "stretch": 3.0})
}

fn job(tasks: u32, ms: u32) -> Value {
    json!({"spec": ms.to_string(), "best_effort": true,
        "steps": [{"count": tasks, "cpu": 1000, "mem_mb": 10, "est_runtime_ms": ms}]})
}

/// The whole system: a store, entries, and workers with their agents.
struct System {
    store: Store,
    entries: Vec<Process>,
    agents: Vec<Process>,
    workers: Vec<Worker>,
    client: Client,
}

impl System {
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
        self.client.call(call, PATIENCE).await
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

    /// How often each task ran, and whether two runs of one met.
    fn run_counts(&self) -> (BTreeMap<String, usize>, bool) {
        let all: Vec<_> = self.workers.iter().flat_map(Worker::runs).collect();
        let mut counts = BTreeMap::new();
        let mut met = false;
        for (n, ran) in all.iter().enumerate() {
            *counts.entry(ran.task.clone()).or_default() += 1;
            met |= all[..n].iter().any(|other| {
                let apart = other.ended.is_some_and(|end| end <= ran.began)
                    || ran.ended.is_some_and(|end| end <= other.began);
                other.task == ran.task && !apart
            });
        }
        (counts, met)
    }
}

/// A quiet day in small: every job is answered as complete, and each of its tasks ran once.
#[test]
fn a_calm_day_is_served() {
    block_on(async {
        let system = System::open("calm", 2, 3).await;
        for round in 0..20_u64 {
            let jobs = (0..4).map(|n| (n, round * 4 + n as u64));
            let jobs: Vec<_> = jobs.collect();
            let asked = job(1 + round as u32 % 4, 10);
            let answers = jobs.iter().map(|(n, id)| system.submit(n % 2, *id, &asked));
            for (status, body) in futures(answers).await {
                assert_eq!((status, &body["state"]), (200, &json!("complete")));
            }
        }
        let (counts, met) = system.run_counts();
        assert!(counts.values().all(|n| *n == 1) && !met, "{counts:?}");
        let tasks: u64 = (0..20).map(|round| 4 * (1 + round % 4)).sum();
        assert_eq!(counts.len() as u64, tasks);
    });
}

async fn futures<T>(all: impl Iterator<Item = impl std::future::Future<Output = T>>) -> Vec<T> {
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

/// Mistaken, strange and unserved requests get their answer, and the entry lives on: kinds of jobs
/// that aren't served are refused as not run, never run by halves.
#[test]
fn what_callers_get_for_strange_requests() {
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
            "the entry lives on"
        );
        assert_eq!(system.run_counts().0.len(), 2, "nothing else ran");
    });
}

/// Half a request, or a sender that dawdles, holds no answer back for others and is turned out.
#[test]
fn a_slow_sender_is_turned_out() {
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

/// An entry that is stopped cuts off a caller in the middle of its job. It must finish what it has,
/// say that it closes, take itself out of the balancer, and only then end.
#[test]
fn a_stopping_entry_answers_what_it_has() {
    block_on(async {
        let mut system = System::open("stop", 1, 1).await;
        let asked = job(2, 700);
        let uri = format!("http://{}/-/ready", system.entries[0].addr("ready"));
        let is_ready = || async {
            let ready = system
                .client
                .call(Call::new(Method::GET, uri.clone(), ""), PATIENCE);
            ready.await.expect("an answer").status.as_u16() == 200
        };
        // The balancer hears of it once no agent has come for a moment.
        let began = std::time::Instant::now();
        while !is_ready().await {
            assert!(began.elapsed() < PATIENCE, "never ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let path = "/trips/0000000000000001";
        let stopped = async {
            while system.workers[0].runs().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.entries[0].signal("-TERM");
            system.entries[0].wait_for_line(|line| line["message"] == "entry stops");
            let ready = system
                .client
                .call(Call::new(Method::GET, uri, ""), PATIENCE)
                .await;
            ready.expect("an answer").status.as_u16()
        };
        let call = system.call(0, (Method::POST, "school.example", path, asked.to_string()));
        let (answer, ready) = tokio::join!(call, stopped);
        assert_eq!(answer.expect("an answer").status.as_u16(), 200);
        assert_eq!(ready, 503);
        assert!(system.entries[0].wait_until_ended());
    });
}

/// An agent that is stopped loses the work of its backend server: it must let it end, and hand the
/// answers over, before it goes.
#[test]
fn a_stopping_agent_lets_its_work_end() {
    block_on(async {
        let mut system = System::open("agent", 1, 1).await;
        let asked = job(2, 600);
        let stopped = async {
            while system.workers[0].runs().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.agents[0].signal("-TERM");
        };
        let ((status, _), ()) = tokio::join!(system.submit(0, 1, &asked), stopped);
        assert_eq!(status, 200);
        assert!(system.agents[0].wait_until_ended());
        let (counts, _) = system.run_counts();
        assert!(counts.values().all(|n| *n == 1), "{counts:?}");
        assert_eq!(
            system.submit(0, 2, &job(1, 5)).await.0,
            503,
            "nobody takes work"
        );
    });
}

/// An agent is killed beside a living backend server: the next one knows it from the store at once, and
/// serves before the backend server's next heartbeat, which comes every second and a half.
#[test]
fn an_agent_remembers_its_backend_server() {
    block_on(async {
        let mut system = System::open("recall", 1, 1).await;
        let seen = |line: &Value| {
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
        // Nobody announces the backend server to this one.
        system.agents[0].wait_for_line(seen);
        system.entries[0].wait_for_line(|line| {
            line["message"] == "agent changed its mind about new work" && line["takes_work"] == true
        });
        assert_eq!(system.submit(0, 1, &job(2, 5)).await.0, 200);
    });
}

/// On-call engineers see nothing of a slow day: the metrics name jobs by outcome and their times.
#[test]
fn metrics_tell_of_jobs_and_times() {
    block_on(async {
        let system = System::open("metrics", 1, 1).await;
        assert_eq!(system.submit(0, 1, &job(2, 5)).await.0, 200);
        assert_eq!(system.submit(0, 2, &job(100_000, 5)).await.0, 400);
        let page = |process: &Process| {
            let uri = format!("http://{}/metrics", process.addr("metrics"));
            let call = system
                .client
                .call(Call::new(Method::GET, uri, ""), PATIENCE);
            async move { String::from_utf8_lossy(&call.await.expect("an answer").body).into_owned() }
        };
        let entry = page(&system.entries[0]).await;
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
        let agent = page(&system.agents[0]).await;
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

/// Both programs ended by themselves when the platform said, with a HUP signal, that their settings
/// had changed.
#[test]
fn a_hangup_reads_the_settings_again() {
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

/// A configuration comes into force and never goes back, though the store's history is dropped, or
/// the store is away.
#[test]
fn a_configuration_comes_into_force_and_stays() {
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

/// A process stands still because nobody reads its log: the pipe fills up, and the next line blocks
/// it. Lines are dropped instead.
#[test]
fn a_log_that_nobody_reads_blocks_nothing() {
    block_on(async {
        let store = Store::open().await;
        store.configure(1, &[route("/trips/")]);
        let entry = processes::entry_with_unread_log("unread-entry", store.addr);
        let client = http::open(1024 * 1024);
        // Each refused job writes a line of some 300 bytes; a pipe holds 64 KiB, and the queue 1,024 lines.
        for id in 0..4_000_u64 {
            let uri = format!("http://{}/trips/{id:016x}", entry.addr("callers"));
            let call = Call::new(Method::POST, uri, job(1, 5).to_string())
                .header("host", "school.example");
            let answer = client.call(call, PATIENCE).await.expect("an answer");
            assert_eq!(answer.status.as_u16(), 503);
        }
    });
}

/// Work goes to a worker that has said that it leaves.
#[test]
fn a_leaving_worker_gets_nothing_new() {
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

/// Work goes to a worker that has said that it leaves, and a healthy one gets none. Both had crashed and
/// come back under the id that they had. The heartbeats of the next life, numbered anew, passed for late
/// ones of the life before: acknowledged, and not taken in. So did its listings where its clock began anew
/// below that of the life before. The evidence: the agent logged no change of mind, and counted the very
/// heartbeat that it acknowledged among the words that it passed over.
#[test]
fn a_worker_that_came_back_under_its_id_leaves_and_serves_like_a_new_one() {
    block_on(async {
        let system = System::open("back", 1, 2).await;
        let (worker, entry) = (&system.workers[0], &system.entries[0]);
        worker.restart(5_000_000);
        worker.leave();
        takes_work(entry, "back-agent-0", false);
        let before = worker.runs().len();
        for id in 0..20 {
            assert_eq!(system.submit(0, id, &job(2, 5)).await.0, 200);
        }
        assert_eq!(worker.runs().len(), before, "work for one that leaves");

        worker.restart(500);
        takes_work(entry, "back-agent-0", true);
        // Eight fit on one of the two.
        assert_eq!(system.submit(0, 100, &job(12, 30)).await.0, 200);
        assert_ne!(worker.runs().len(), before, "it serves again");
    });
}

/// A caller whose entry is killed submits again elsewhere, 1.3 s later: nothing of the first run may
/// be left by then. The backend servers live on and say when each run ended.
#[test]
fn nothing_outlives_a_killed_entry() {
    block_on(async {
        let mut system = System::open("killed", 2, 1).await;
        // Longer than the test may take, though nobody said so.
        let mut asked = job(2, 100_000);
        asked["steps"][0]["est_runtime_ms"] = json!(1_000);
        let killed = async {
            while system.workers[0].runs().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            system.entries[0].signal("-KILL");
        };
        let path = "/trips/0000000000000001";
        let call = system.call(0, (Method::POST, "school.example", path, asked.to_string()));
        let (answer, ()) = tokio::join!(call, killed);
        assert!(answer.is_err(), "the connection broke");
        while system.workers[0]
            .runs()
            .iter()
            .any(|ran| ran.ended.is_none())
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let hows: Vec<&str> = system.workers[0].runs().iter().map(|ran| ran.how).collect();
        assert!(
            hows.iter().all(|how| ["stopped", "lapsed"].contains(how)),
            "{hows:?}"
        );
        assert!(!system.entries[0].wait_until_ended());
        assert_eq!(system.submit(1, 1, &job(2, 20)).await.0, 200);
        assert!(!system.run_counts().1, "two runs met");
    });
}

/// A task starts on a backend server whose failure domain is about to lose its power. The operator had
/// evacuated the domain; then its agent was started anew while the store was away, and an entry that had
/// known the evacuation only from the store's history would have sent it work again. Taken back while
/// the history is gone, the domain must serve as before.
#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back() {
    block_on(async {
        let mut system = System::open("evacuated", 2, 1).await;
        system.add_worker_in("y", "evacuated", 1).await;
        for entry in &system.entries {
            takes_work(entry, "evacuated-agent-1", true);
        }
        system.store.evacuate("y");
        for entry in &system.entries {
            takes_work(entry, "evacuated-agent-1", false);
        }
        // An entry that starts now has never seen the row come.
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
        let told = |line: &Value| {
            line["message"] == "failure domain was evacuated or taken back"
                && line["evacuated"] == true
        };
        system.agents[1].wait_for_line(told);
        let announce = system.agents[1].addr("announce");
        system.workers[1].announce(announce, system.client.clone());
        system.agents[1].wait_for_line(|line| line["message"] == "backend server has a new life");
        let asked = job(8, 30);
        for id in 0..4 {
            assert_eq!(system.submit(id as usize % 2, id, &asked).await.0, 200);
        }
        assert_eq!(system.workers[1].runs().len(), 0, "nothing runs there");

        system.store.take_back("y");
        system.store.compact();
        system.store.set_unavailable(false);
        for entry in &system.entries {
            takes_work(entry, "evacuated-agent-1", true);
        }
        // Eight fit on one of the two.
        for id in 10..14 {
            assert_eq!(
                system.submit(id as usize % 2, id, &job(12, 30)).await.0,
                200
            );
        }
        assert_ne!(system.workers[1].runs().len(), 0, "it serves again");
    });
}

fn takes_work(entry: &Process, agent: &str, takes_work: bool) {
    entry.wait_for_line(|line| {
        line["message"] == "agent changed its mind about new work"
            && line["agent"] == agent
            && line["takes_work"] == takes_work
    });
}

/// Each worker that starts a task crashes under it, and is back under its id. The caller is told that the job
/// has failed once two have, and so is one that submits it again at another entry.
#[test]
fn a_task_that_crashes_workers_is_given_up() {
    block_on(async {
        let system = System::open("crash", 2, 3).await;
        let mut asked = job(1, 500);
        asked["spec"] = json!("crash");
        let crashes = || {
            let all = system.workers.iter().flat_map(Worker::runs);
            all.filter(|ran| ran.how == "crashed").count()
        };
        let (status, answer) = system.submit(0, 1, &asked).await;
        assert_eq!((status, &answer["state"]), (200, &json!("failed")));
        assert_eq!(crashes(), 2);
        system.entries[0].wait_for_line(|line| {
            line["message"] == "job is given up since backend servers crash under its task"
        });
        let (status, answer) = system.submit(1, 1, &asked).await;
        assert_eq!((status, &answer["state"]), (200, &json!("failed")));
        assert_eq!(crashes(), 2, "it isn't started again");
        assert_eq!(system.submit(1, 2, &job(4, 20)).await.0, 200);
    });
}

/// Guards against reads that cost what there is and not what has changed: every entry read the whole list again
/// and again, so that a fleet of ten times the size cost a hundred times as much.
#[test]
fn entries_read_the_list_of_agents_once_and_then_what_changes() {
    block_on(async {
        let mut system = System::open("reads", 2, 3).await;
        // Agents list themselves within a look of the first heartbeat, and entries gather what has changed.
        let settled = || system.store.rows_served("agents");
        let mut before = settled();
        loop {
            tokio::time::sleep(Duration::from_secs(2)).await;
            if settled() == before {
                break;
            }
            before = settled();
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(
            system.store.rows_served("agents"),
            before,
            "nothing has changed"
        );
        system.add_worker("reads", 3).await;
        for entry in &system.entries {
            takes_work(entry, "reads-agent-3", true);
        }
        assert!(
            system.store.rows_served("agents") <= before + 2 + 1,
            "one row each, and the agent's own look"
        );
    });
}

/// Guards against callers that are turned away because an entry which has just started hasn't read the
/// configuration yet.
#[test]
fn callers_wait_for_the_first_configuration() {
    block_on(async {
        let store = Store::open().await;
        store.set_slow(Duration::from_millis(100));
        store.configure(7, &[route("/trips/")]);
        let configuration = Configuration::default();
        let at_once = configuration.wait_for_first(clock::since_boot()).await;
        assert_eq!(at_once.version, 0, "nobody waits longer than said");
        let client = lovagemill::platform::store::open(store.addr);
        let wait = Duration::from_millis(200);
        let following = configuration::follow(client, configuration.clone(), wait, |_| {});
        let following = tokio::spawn(following);
        let first = configuration.wait_for_first(clock::since_boot() + processes::HANG);
        assert_eq!(first.await.version, 7);
        following.abort();
    });
}
