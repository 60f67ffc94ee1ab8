//! `lovagemill explain` on a recorded sample: one entry and two agents, around a late job.

use std::path::PathBuf;
use std::process::{Command, Output};

const JOB: &str = "937d71d10db60f79";

fn explain(args: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_lovagemill"))
        .arg("explain")
        .args(args)
        .output();
    command.expect("it starts")
}

fn log(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/logs")
        .join(name);
    path.to_string_lossy().into_owned()
}

/// An on-call engineer has only logs. The story holds what each process said of the job, in time
/// order, with the inputs of the decisions, and nothing of other jobs.
#[test]
fn a_late_job_is_told_in_order() {
    let out = explain(&[JOB, &log("agents.log"), &log("entry.log")]);
    assert!(out.status.success());
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let about: Vec<&&str> = lines.iter().filter(|line| !line.contains(" ~ ")).collect();
    assert_eq!(about.len(), 9, "{text}");
    let first = "0 ms   front-poa-centro-1   moving a run age_ms=103 agent=side-cwb-norte-4";
    assert!(about[0].contains(first), "{text}");
    assert!(
        about[0].contains("percent=21") && about[0].contains("slowness=2.15"),
        "{text}"
    );
    assert!(
        about[7].contains("247 ms   side-cwb-norte-1     start had no answer"),
        "{text}"
    );
    assert!(
        about[8].contains("outcome=complete") && about[8].contains("moved=7"),
        "{text}"
    );
    let after: Vec<i64> = lines
        .iter()
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .collect();
    assert_eq!(after.len(), lines.len(), "{text}");
    assert!(after.is_sorted(), "{text}");
}

/// Nobody wrote about the job, or a file isn't there: that is said, and not an empty story.
#[test]
fn what_can_t_be_told_is_an_error() {
    for (args, code) in [
        (
            vec!["0000000000000000".to_owned(), log("entry.log")],
            "LM4005",
        ),
        (vec![JOB.to_owned(), log("missing.log")], "LM6003"),
    ] {
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let out = explain(&args);
        assert!(!out.status.success());
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(error.contains(code), "{error}");
    }
}
