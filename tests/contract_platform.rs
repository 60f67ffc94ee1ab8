//! The contract towards the platform: whatever its wire does, an operation ends as done, as surely
//! not done, or as unknown, and never leaves twice.

mod support;

use std::path::Path;
use std::time;

use bytes::Bytes;
use lovagemill::count;
use lovagemill::wire::platform::{self, Commit, Error, Transaction};
use serde::Deserialize;

use support::script::{Script, ScriptedServer};

/// Time limit of an operation; only a server that hangs makes it matter.
const LIMIT: time::Duration = time::Duration::from_millis(300);

#[derive(Deserialize)]
struct Table {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    operation: String,
    #[serde(flatten)]
    script: Script,
    expect: String,
}

fn word<T>(result: Result<T, Error>, done: impl FnOnce(T) -> String) -> String {
    match result {
        Ok(value) => done(value),
        Err(Error::NotDone) => "not_done".to_owned(),
        Err(Error::Unknown) => "unknown".to_owned(),
    }
}

async fn operate(platform: &platform::Platform, operation: &str) -> String {
    let table = &platform.table;
    let objects = &platform.objects;
    match operation {
        "get" => word((table.get)("a".into()).await, |row| {
            row.map_or("absent".to_owned(), |row| row.value)
        }),
        "scan" => word((table.scan)("a".into()).await, |rows| {
            format!("{} rows", rows.len())
        }),
        "commit" => {
            let tx = Transaction::put_if("a", 1, "1".to_owned());
            word((table.commit)(tx).await, |commit| match commit {
                Commit::Done(revision) => format!("done at {revision}"),
                Commit::Conflict(key) => format!("conflict on {key}"),
            })
        }
        "put" => word(
            (objects.put)("a".into(), Bytes::from_static(b"x")).await,
            |()| "done".to_owned(),
        ),
        "fetch" => word((objects.get)("a".into()).await, |body| {
            body.map_or("absent".to_owned(), |body| format!("{} bytes", body.len()))
        }),
        "remove" => word((objects.remove)("a".into()).await, |()| "done".to_owned()),
        other => panic!("unknown operation {other}"),
    }
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    support::block_on(async {
        for case in table.case {
            let server = ScriptedServer::bind(case.script).await;
            let messages = count::Messages::default();
            let platform = platform::connect(&server.addr(), LIMIT, messages);
            let ended = operate(&platform, &case.operation).await;
            assert_eq!(ended, case.expect, "{}", case.name);
            assert!(server.requests() <= 1, "{}: it left twice", case.name);
        }
    });
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/contracts", pattern = r"^platform_.*\.toml$" },
}
