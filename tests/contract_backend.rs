//! The contract towards a backend server: a run leaves once, and ends with a whole answer or a
//! code that tells whether it may have started.

mod support;

use std::path::Path;

use lovagemill::task;
use lovagemill::wire::backend;
use lovagemill::wire::http;
use serde::Deserialize;
use serde_json::value::RawValue;

use support::script::{Script, ScriptedServer};

/// Time limit of a run; only a server that hangs makes it matter.
const LIMIT_MS: u64 = 300;

#[derive(Deserialize)]
struct Table {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    #[serde(flatten)]
    script: Script,
    expect: String,
    outcome: Option<String>,
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    support::block_on(async {
        for case in table.case {
            let server = ScriptedServer::bind(case.script).await;
            let client = http::open(backend::MAX_ANSWER);
            let run = backend::Run {
                addr: server.addr().into(),
                id: task::Id {
                    job: "merredin/a".into(),
                    index: 2,
                },
                client_account: "merredin".into(),
                deadline_ms: LIMIT_MS,
                input: RawValue::from_string("{}".to_owned()).unwrap(),
                traceparent: None,
            };
            let (ended, outcome) = match backend::run(&client, run).await {
                task::Outcome::Done(value) => (value.get().to_owned(), None),
                task::Outcome::Failed(code) => (code.to_string(), Some(code.outcome())),
            };
            assert_eq!(ended, case.expect, "{}", case.name);
            let outcome = outcome.map(|outcome| format!("{outcome:?}"));
            assert_eq!(outcome, case.outcome, "{}", case.name);
            assert!(server.requests() <= 1, "{}: it left twice", case.name);
        }
    });
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/contracts", pattern = r"^backend\.toml$" },
}
