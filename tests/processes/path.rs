//! A system of separate processes serves a job, a request, a cancellation, a change of the
//! configuration, a measured load and a drain.

use crate::support::{
    run, spawn_cli, start, until, write_file, CommandResult, Process, AGENT, CLI, ENTRY, STANDIN,
};
use serde_json::Value;

const CONFIG: &str = concat!(
    "[[class]]\nname = \"check\"\ntarget_ms = 20000\nmax_tasks = 8\n",
    include_str!("../../docs/examples/trilha.toml")
);

/// The whole system; each part is a process of its own.
struct System {
    entries: Vec<Process>,
    /// Agents, each with its backend server.
    nodes: Vec<(Process, Process)>,
    _platform: Process,
}

fn start_system() -> System {
    let platform = start(STANDIN, &["platform", "--addr", "127.0.0.1:0"]);
    let addr = platform.addr("http");
    let any = "127.0.0.1:0";
    let node = |n: u32| {
        let id = format!("agent-{n}");
        let agent = start(
            AGENT,
            &[
                "--id",
                &id,
                "--link",
                any,
                "--announce",
                any,
                "--platform",
                &addr,
            ],
        );
        let announce = agent.addr("announce");
        let args = [
            "backend", "--addr", any, "--agent", &announce, "--slots", "4",
        ];
        let backend = start(STANDIN, &args);
        (agent, backend)
    };
    let entry = |n: u32| {
        let id = format!("entry-{n}");
        let args = [
            "--id",
            &id,
            "--http",
            any,
            "--peer",
            any,
            "--platform",
            &addr,
        ];
        start(ENTRY, &args)
    };
    System {
        entries: (0..2).map(entry).collect(),
        nodes: (0..2).map(node).collect(),
        _platform: platform,
    }
}

fn cli(args: &[&str]) -> CommandResult {
    run(CLI, args)
}

fn status(entry: &str) -> Value {
    let ran = cli(&["status", "--json", "--entry", entry]);
    serde_json::from_str(&ran.stdout).unwrap_or_default()
}

/// Writes a job of two tasks that each take `ms` milliseconds; returns the path of its file.
fn job(name: &str, ms: u64) -> String {
    let task = |value: u64| serde_json::json!({"run_ms": ms, "input": {"ms": ms, "value": value}});
    let body = serde_json::json!({
        "customer": "harbour", "class": "check", "tasks": [task(1), task(2)],
    });
    write_file(name, body.to_string())
}

fn values(ran: &CommandResult) -> Vec<u64> {
    assert_eq!(ran.code, Some(0), "{ran:?}");
    let answer: Value = serde_json::from_str(&ran.stdout).expect("an answer is JSON");
    let answers = answer["answers"].as_array().expect("a job has answers");
    let value = |answer: &Value| {
        answer["value"]
            .as_u64()
            .expect("a stand-in answers a value")
    };
    answers.iter().map(value).collect()
}

#[test]
fn system_of_processes_serves_until_its_owner_drains() {
    let mut system = start_system();
    let addrs: Vec<String> = system.entries.iter().map(|e| e.addr("http")).collect();
    let (first, second) = (addrs[0].as_str(), addrs[1].as_str());

    // Submissions are refused before there is a configuration.
    let early = cli(&["submit", "--entry", first, &job("early.json", 1)]);
    assert_eq!(early.code, Some(1), "{early:?}");
    assert!(
        early.stderr.contains("[lovagemill error]: LM2005"),
        "{early:?}"
    );

    let config = write_file("path.toml", CONFIG);
    let set = cli(&["config", "set", "--entry", first, &config]);
    assert_eq!(set.code, Some(0), "{set:?}");
    assert!(set.stdout.contains("accepted as version 1"), "{set:?}");
    for entry in [first, second] {
        until("the version is in force", || {
            status(entry)["config_version"] == 1
        });
    }
    let has_slots = |entry: &str| status(entry)["cells"][0]["owned"]["slots"] == 8;
    until("all slots are there", || {
        has_slots(first) || has_slots(second)
    });

    // A job is answered whole, and a second submission under its key gets the same answer.
    let file = job("job.json", 30);
    let args = ["submit", "--entry", first, "--key", "trip-1", &file];
    let whole = cli(&args);
    assert_eq!(values(&whole), [1, 2]);
    let again = cli(&["submit", "--entry", second, "--key", "trip-1", &file]);
    assert_eq!(again.stdout, whole.stdout);
    let other = job("other.json", 31);
    let reused = cli(&["submit", "--entry", first, "--key", "trip-1", &other]);
    assert!(reused.stderr.contains("LM1004"), "{reused:?}");

    check_requests(first);
    check_cancellation(first, second);
    check_config_change(first, second);
    check_load_report(&system, &addrs);
    check_drain(&mut system, &addrs);
}

fn check_requests(entry: &str) {
    let body = r#"{"customer":"harbour","class":"check","idempotent":false,
        "input":{"ms":10,"value":7}}"#;
    let request = write_file("request.json", body);
    let args = ["request", "--entry", entry, "--key", "approve-1", &request];
    assert_eq!(values(&cli(&args)), [7]);
    let broken = write_file("broken.json", "{");
    let refused = cli(&["request", "--entry", entry, &broken]);
    assert_eq!(refused.code, Some(1), "{refused:?}");
    assert!(refused.stderr.contains("LM1001"), "{refused:?}");
    assert!(refused.stderr.contains("(not run)"), "{refused:?}");
    assert_eq!(refused.stderr.matches("[lovagemill error]:").count(), 1);
}

fn check_cancellation(first: &str, second: &str) {
    let long = job("long.json", 15_000);
    let mut running = spawn_cli(&["submit", "--entry", first, "--key", "trip-2", &long]);
    running.wait_for_key();
    let cancel = || {
        cli(&[
            "cancel",
            "--entry",
            second,
            "--customer",
            "harbour",
            "trip-2",
        ])
    };
    // A cancellation that comes before the submission finds no job.
    let mut attempts = Vec::new();
    until("the job is cancelled or has ended", || {
        attempts.push(cancel());
        attempts.last().is_some_and(|ran| ran.code == Some(0)) || running.has_ended()
    });
    let ended = running.finish();
    let last = attempts.last().expect("it was attempted");
    assert_eq!(last.code, Some(0), "{last:?}, {ended:?}");
    assert_eq!(ended.code, Some(1), "{ended:?}");
    assert!(ended.stderr.contains("LM3005"), "{ended:?}");
}

fn check_config_change(first: &str, second: &str) {
    let wider = write_file(
        "wider.toml",
        CONFIG.replace("max_tasks = 8", "max_tasks = 9"),
    );
    let set = cli(&["config", "set", "--entry", second, "--base", "1", &wider]);
    assert!(set.stdout.contains("accepted as version 2"), "{set:?}");
    let late = cli(&["config", "set", "--entry", first, "--base", "1", &wider]);
    assert_eq!(late.code, Some(1), "{late:?}");
    assert!(late.stderr.contains("LM5002"), "{late:?}");
    until("the change is in force everywhere", || {
        status(first)["config_version"] == 2 && status(second)["config_version"] == 2
    });
    let shown = cli(&["config", "show", "--entry", first]);
    assert!(shown.stdout.contains("max_tasks = 9"), "{shown:?}");
    let table = cli(&["status", "--entry", first]);
    assert!(
        table.stdout.contains("configuration version 2"),
        "{table:?}"
    );
}

/// The load report sums up the starts that were counted in the backend servers' processes.
fn check_load_report(system: &System, addrs: &[String]) {
    let backends = system.nodes.iter().map(|(_, backend)| backend.addr("http"));
    let backends: Vec<String> = backends.collect();
    let (entries, backends) = (addrs.join(","), backends.join(","));
    let args = ["load", "--json", "--seconds", "1", "--slots", "8"];
    let args = [&args[..], &["--entries", &entries]].concat();
    let counted = cli(&[&args[..], &["--backends", &backends]].concat());
    assert_eq!(counted.code, Some(0), "{counted:?}");
    let report: Value = serde_json::from_str(&counted.stdout).expect("a report is JSON");
    assert!(report["tasks_started"].as_u64() > Some(0), "{report}");
    assert_eq!(report["started_twice"], 0, "{report}");
    assert_eq!(report["foreign_answers"], 0, "{report}");
    let uncounted = cli(&args);
    let report: Value = serde_json::from_str(&uncounted.stdout).expect("a report is JSON");
    assert!(report["jobs_complete"].as_u64() > Some(0), "{report}");
    assert!(report["started_twice"].is_null(), "{report}");
}

/// A drain of the owner cuts off no job, and the other entry serves on.
fn check_drain(system: &mut System, addrs: &[String]) {
    let owns = |entry: &str| status(entry)["cells"][0]["owned"].is_object();
    let owner = usize::from(owns(&addrs[1]));
    let (leaving, staying) = (addrs[owner].as_str(), addrs[1 - owner].as_str());
    let file = job("drain.json", 1_500);
    let running = spawn_cli(&["submit", "--entry", leaving, "--key", "trip-3", &file]);
    until("the job runs", || status(leaving)["in_flight"] == 1);
    let drain = cli(&["drain", "--entry", leaving]);
    assert_eq!(drain.code, Some(0), "{drain:?}");
    assert_eq!(values(&running.finish()), [1, 2]);
    assert!(system.entries[owner].wait_for_exit());
    let gone = cli(&["status", "--entry", leaving]);
    assert!(gone.stderr.contains("LM6005"), "{gone:?}");
    let after = cli(&["submit", "--entry", staying, "--key", "trip-4", &file]);
    assert_eq!(values(&after), [1, 2]);
}
