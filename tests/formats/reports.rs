//! Reports that are only written, each field filled.

use std::time;

use lovagemill::bench::slope;
use lovagemill::decide::{fleet, notice};
use lovagemill::demo::{fault, report};
use lovagemill::task;
use serde_json::json;

use super::check;

/// What `--json` prints of a demo and of a bench, and how an owner shows an agent.
#[test]
fn reports() {
    let small = report::ClientAccountReport {
        complete: 1,
        failed: 2,
        refused: 3,
        ratio_p50: 1.5,
        ratio_p99: 2.5,
        ratio_max: 3.5,
        slot_seconds: 4.5,
    };
    let demo = report::Report {
        deployment: "here".to_owned(),
        faults: fault::ALL.to_vec(),
        seed: 5,
        dominant_load: 0.5,
        small_load: 0.25,
        seconds: 6.5,
        jobs_complete: 7,
        jobs_failed: 8,
        jobs_refused: 9,
        jobs_unknown: 10,
        jobs_withdrawn: 11,
        lost_submissions: 12,
        late_answers: 13,
        recover_seconds: Some(14.5),
        resubmitted: 15,
        codes: [("LM2001".to_owned(), 16)].into(),
        tasks_started: 17,
        started_twice: 18,
        partial_answers: 19,
        foreign_answers: 20,
        false_not_run: 21,
        work_after_leave: 22,
        cut_off: 23,
        config_changes: 24,
        config_broken: 25,
        config_spread_seconds: 26.5,
        small: small.clone(),
        client_accounts: [("york".into(), small)].into(),
        messages: [("submit", 27)].into(),
        messages_per_task: 28.5,
        wasted_per_task: 29.5,
        slots_used: 30.5,
    };
    let slope = slope::Slope {
        group: "decision",
        name: "start".into(),
        value: 1.5,
        low: 0.5,
        high: 2.5,
        rounds: 3,
        unit: "us",
    };
    let bench = slope::Report {
        slopes: vec![slope],
        seconds: 4.5,
    };
    let needs = task::Needs {
        processor_milli: 1,
        memory_mb: 2,
        accelerators: 3,
    };
    let agent = fleet::Agent {
        incarnation: 42,
        failure_domain: "poa-centro".into(),
        rack: "rack-0".into(),
        state: fleet::State::Silent,
        since: time::Instant::now(),
        load: notice::Load {
            slots: 4,
            capacity: needs,
            running: 5,
            draining: true,
        },
        sent: 6,
        taken: needs,
        limit: 7,
    };
    let all = json!({ "agent": agent, "bench": bench, "demo": demo });
    let text = serde_json::to_string_pretty(&all).unwrap();
    check("reports.txt", &(text + "\n"));
}
