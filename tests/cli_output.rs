//! What the command line prints and how it exits, by what the other side does.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread;

use lovagemill::cli::command::status;
use lovagemill::cli::failure::Failure;
use lovagemill::code::Code;
use lovagemill::entry::status::Status;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lovagemill"));
    command.env_clear().args(args).output().expect("it starts")
}

/// Answers one connection with the bytes given, and closes it.
fn answer_once(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("it is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("somebody connects");
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(answer.as_bytes());
    });
    addr
}

/// A script that retries must not take "it may have run" for "it didn't": the first exits with 4.
#[test]
fn answers_that_are_no_refusal() {
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = free.local_addr().expect("it is bound").to_string();
    drop(free);
    let job = concat!(env!("CARGO_TARGET_TMPDIR"), "/cli_output.json");
    std::fs::write(job, "{}").expect("the file can be written");
    let cases = [
        ("nobody listens", closed, "LM6005", 1),
        ("closed without an answer", answer_once(""), "LM6002", 4),
        (
            "an answer broken off",
            answer_once("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"),
            "LM6002",
            4,
        ),
        (
            "a balancer's page",
            answer_once("HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\n\r\noops"),
            "LM6002",
            4,
        ),
    ];
    for (name, addr, code, exit) in cases {
        let output = run(&["submit", "--entry", &addr, job]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            stderr.contains(&format!("[lovagemill error]: {code} ")),
            "{name}: {stderr}"
        );
        assert_eq!(
            stderr.matches("[lovagemill error]").count(),
            1,
            "{name}: {stderr}"
        );
        assert_eq!(output.status.code(), Some(exit), "{name}: {stderr}");
        assert!(output.stdout.is_empty(), "{name}");
    }
}

#[test]
fn arguments_that_are_refused_before_anything_is_sent() {
    let cases: [&[&str]; 6] = [
        &["status", "--entry", "here"],
        &["cancel", "--customer", "a b", "key"],
        &["cancel", "--customer", "a", "k/ey"],
        &["demo", "--seconds", "0"],
        &["demo", "--load", "0"],
        &["load", "--slots", "0", "--entries", "x"],
    ];
    for args in cases {
        let output = run(args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            stderr.starts_with("[lovagemill error]: LM6001 "),
            "{args:?}: {stderr}"
        );
        assert_eq!(output.status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn refusals_are_read_from_answers() {
    let cases = [
        (
            r#"{"code":"LM2001","message":"full","not_run":true,"unknown":false,"retry_after_ms":20}"#,
            "LM2001 full (not run) (retry after 20 ms)",
        ),
        (
            r#"{"code":"LM4001","message":"lost","not_run":false,"unknown":true}"#,
            "LM4001 lost (outcome unknown)",
        ),
        (
            r#"{"code":"LM3001","message":"failed","not_run":false,"unknown":false}"#,
            "LM3001 failed",
        ),
    ];
    for (body, expected) in cases {
        assert_eq!(Failure::read(body).to_string(), expected);
    }
    let refused = r#"{"code":"LM5001","message":"m","not_run":true,"unknown":false,
        "mistakes":[{"place":"class[0].name","mend":"use letters"}]}"#;
    let failure = Failure::read(refused);
    assert_eq!(failure.code, Code::ConfigInvalid);
    assert!(
        failure.text.ends_with("\n  class[0].name: use letters"),
        "{failure}"
    );
}

#[test]
fn a_status_is_shown_as_a_table() {
    let status = r#"{"entry":"entry-1","config_version":3,
        "other_versions":{"entry-2":2},"stragglers":["entry-2"],"draining":false,"in_flight":2,
        "cells":[{"cell":0,"owner":"entry-1","epoch":4,"owned":{"ready":true,"open_jobs":1,
            "waiting_tasks":5,"slots":8,"free_slots":0,
            "agents":{"agent-1":{"failure_domain":"poa-centro","rack":"rack-0","state":"up",
                "slots":8,"sent":8}},
            "customers":{"harbour":5}}},
          {"cell":1,"owner":"entry-2","epoch":2},{"cell":2,"owner":"","epoch":0}],
        "messages":{}}"#;
    let status: Status = serde_json::from_str(status).expect("a status");
    let expected = "\
entry entry-1, serving, configuration version 3, 2 in flight
behind the newest configuration: entry-2
cell 0: owned by entry-1 at epoch 4
  ready, 1 open jobs, 5 waiting tasks, 0 of 8 slots free

  agent                failure domain   rack         state     slots  sent
  agent-1              poa-centro       rack-0       up            8     8

  customer             waiting tasks
  harbour                          5
cell 1: owned by entry-2 at epoch 2
cell 2: no owner known
";
    assert_eq!(status::table(&status), expected);
}
