//! The writer of claims while the table is down.

mod support;

use std::sync::{Arc, Mutex};

use lovagemill::code;
use lovagemill::controller::claims;
use lovagemill::decide::action;
use lovagemill::id;
use lovagemill::wire::platform::{self, Transaction};
use lovagemill::wire::rows;
use support::memory::{Fault, MemoryPlatform};
use tokio::sync::mpsc;

struct Writer {
    memory: MemoryPlatform,
    down: Arc<Mutex<bool>>,
    claims: mpsc::UnboundedSender<action::Claim>,
    written: mpsc::UnboundedReceiver<id::JobKey>,
    refused: mpsc::UnboundedReceiver<id::JobKey>,
}

async fn open() -> Writer {
    let memory = MemoryPlatform::open();
    let down = Arc::new(Mutex::new(false));
    let failing = down.clone();
    let platform = memory.platform_with_faults(Box::new(move |_| {
        if *failing.lock().unwrap() {
            Fault::Down
        } else {
            Fault::None
        }
    }));
    let row = Transaction::put(&rows::cell(0), "{}".to_owned());
    let committed = (platform.table.commit)(row).await;
    let Ok(platform::Commit::Done(revision)) = committed else {
        panic!("the cell's row is written: {committed:?}");
    };
    let (claims, rx) = mpsc::unbounded_channel();
    let (tell_written, written) = mpsc::unbounded_channel();
    let (tell_refused, refused) = mpsc::unbounded_channel();
    let events = claims::Events {
        written: Box::new(move |claims, _| {
            for claim in claims {
                let _ = tell_written.send(claim.key.clone());
            }
        }),
        refused: Box::new(move |keys, code| {
            assert_eq!(code, code::Code::StoreDown);
            for key in keys {
                let _ = tell_refused.send(key.clone());
            }
        }),
        ownership_lost: Box::new(|| panic!("the cell is still owned")),
    };
    let scope = claims::Scope {
        table: platform.table,
        cell: 0,
        epoch: 1,
        revision,
    };
    tokio::spawn(claims::run(scope, Default::default(), rx, Arc::new(events)));
    Writer {
        memory,
        down,
        claims,
        written,
        refused,
    }
}

fn claim(key: &str, ahead: bool) -> action::Claim {
    action::Claim {
        key: key.into(),
        digest: 1,
        tasks: 1,
        ahead,
        at_ms: 1,
    }
}

async fn next(rx: &mut mpsc::UnboundedReceiver<id::JobKey>) -> id::JobKey {
    let next = tokio::time::timeout(support::HANG, rx.recv()).await;
    next.expect("it doesn't hang").expect("the writer runs")
}

/// The table goes down while jobs run. Claims that were to be written behind their starts came in
/// during the outage, were taken from the channel with those that had to be refused, and were
/// never written: after the outage nothing told of the jobs but the agents' memories.
#[tokio::test]
async fn claims_behind_starts_outlast_an_outage() {
    let mut writer = open().await;
    *writer.down.lock().unwrap() = true;
    writer.claims.send(claim("school/0", true)).unwrap();
    assert_eq!(next(&mut writer.refused).await, "school/0");
    writer.claims.send(claim("school/1", false)).unwrap();
    // Known to be down, the table isn't waited for: the refusal comes though no write was tried.
    writer.claims.send(claim("school/2", true)).unwrap();
    assert_eq!(next(&mut writer.refused).await, "school/2");
    *writer.down.lock().unwrap() = false;
    assert_eq!(next(&mut writer.written).await, "school/0");
    assert_eq!(next(&mut writer.written).await, "school/1");
    let rows = writer.memory.store.lock().unwrap().scan(&rows::claims(0));
    let texts: Vec<_> = rows.iter().map(|row| row.value.as_str()).collect();
    assert!(
        texts.iter().any(|text| text.contains("school/1")),
        "{texts:?}"
    );
}
