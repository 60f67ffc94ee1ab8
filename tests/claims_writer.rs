//! The claim writer during an outage of the table.

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

/// A running claim writer for a cell that is owned in epoch 1, and what it reports.
struct Writer {
    memory: MemoryPlatform,
    /// Whether all operations on the table fail.
    down: Arc<Mutex<bool>>,
    claims: mpsc::UnboundedSender<action::Claim>,
    written: mpsc::UnboundedReceiver<id::JobKey>,
    refused: mpsc::UnboundedReceiver<id::JobKey>,
}

async fn open() -> Writer {
    let memory = MemoryPlatform::open();
    let down = Arc::new(Mutex::new(false));
    let is_down = down.clone();
    let platform = memory.platform_with_faults(Box::new(move |_| {
        if *is_down.lock().unwrap() {
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
    let (written_tx, written) = mpsc::unbounded_channel();
    let (refused_tx, refused) = mpsc::unbounded_channel();
    let events = claims::Events {
        written: Box::new(move |claims, _| {
            for claim in claims {
                let _ = written_tx.send(claim.key.clone());
            }
        }),
        refused: Box::new(move |keys, code| {
            assert_eq!(code, code::Code::StoreDown);
            for key in keys {
                let _ = refused_tx.send(key.clone());
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

fn claim(key: &str, blocks_starts: bool) -> action::Claim {
    action::Claim {
        key: key.into(),
        digest: 1,
        tasks: 1,
        blocks_starts,
        at_ms: 1,
    }
}

async fn next(rx: &mut mpsc::UnboundedReceiver<id::JobKey>) -> id::JobKey {
    let next = tokio::time::timeout(support::HANG, rx.recv()).await;
    next.expect("it doesn't hang").expect("the writer runs")
}

/// Guards against claims that are lost in an outage of the table. Claims that no start waits for
/// arrived during the outage, were received together with those that had to be refused, and were
/// never written. After the outage only the agents' records showed that the jobs had run.
#[tokio::test]
async fn claims_that_no_start_waits_for_are_written_after_an_outage() {
    let mut writer = open().await;
    *writer.down.lock().unwrap() = true;
    writer.claims.send(claim("school/0", true)).unwrap();
    assert_eq!(next(&mut writer.refused).await, "school/0");
    writer.claims.send(claim("school/1", false)).unwrap();
    // The table is known to be down, so the refusal comes without another attempt to write.
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
