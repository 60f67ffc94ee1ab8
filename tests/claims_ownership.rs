//! Taking a cell over and giving it up while writes fail or their answers are lost.

mod support;

use std::sync::{Arc, Mutex};
use std::time;

use lovagemill::controller::cell_state::Suspicion;
use lovagemill::controller::ownership;
use lovagemill::decide::inherit;
use lovagemill::id;
use lovagemill::wire::platform::{self, Transaction};
use lovagemill::wire::rows;
use support::memory::{Fault, MemoryPlatform, Operation};
use tokio::sync::mpsc;

type OwnedCells = mpsc::UnboundedReceiver<ownership::OwnedCell>;

/// Opens the ownership of one entry over a platform. The returned mutex holds the fault that is
/// injected into the next write.
fn open(memory: &MemoryPlatform) -> (Arc<ownership::Ownership>, OwnedCells, Arc<Mutex<Fault>>) {
    let next = Arc::new(Mutex::new(Fault::None));
    let injected = next.clone();
    let platform = memory.platform_with_faults(Box::new(move |operation| match operation {
        Operation::Write => std::mem::replace(&mut injected.lock().unwrap(), Fault::None),
        Operation::Read => Fault::None,
    }));
    let (ownership, owned_cells) = open_over(platform);
    (ownership, owned_cells, next)
}

/// Opens the ownership of one entry over a platform. The receiver gets each cell that it owns.
fn open_over(platform: platform::Platform) -> (Arc<ownership::Ownership>, OwnedCells) {
    let candidate = ownership::Candidate {
        entry: "entry-0".into(),
        incarnation: 1,
        addr: "127.0.0.1:1".into(),
    };
    let (tx, owned_cells) = mpsc::unbounded_channel();
    let events = ownership::Events {
        owned: Box::new(move |owned| {
            let _ = tx.send(owned);
        }),
        owned_by_other: Box::new(|_, _| {}),
        proved: Box::new(|_, _| {}),
        head_changed: Box::new(|_| {}),
    };
    (
        ownership::open(platform.table, candidate, 1, events),
        owned_cells,
    )
}

async fn next_owned(owned_cells: &mut OwnedCells) -> ownership::OwnedCell {
    let owned = tokio::time::timeout(support::HANG, owned_cells.recv()).await;
    owned.expect("it doesn't hang").expect("the loop runs")
}

async fn next_epoch(owned_cells: &mut OwnedCells) -> id::Epoch {
    next_owned(owned_cells).await.epoch
}

/// Guards against an entry that doesn't notice that it took a cell. It takes a cell without an
/// owner and the table's answer is lost. A repeated write would conflict with the first one.
/// Instead the next check finds the entry in the cell's row, in the epoch that it wrote.
#[tokio::test]
async fn a_cell_taken_with_a_lost_answer_is_adopted() {
    let memory = MemoryPlatform::open();
    let (ownership, mut owned_cells, fault) = open(&memory);
    *fault.lock().unwrap() = Fault::AnswerLost;
    let running = tokio::spawn(ownership.run());
    assert_eq!(next_epoch(&mut owned_cells).await, 1);
    running.abort();
}

/// Guards against a task that starts twice. An entry drains while the table fails, so the cell's
/// row still names it. The entry ended its owner and opened a second one in the same epoch, which
/// knew none of the first one's jobs. The agents reported their tasks to the second owner, but
/// their fence still let late starts of the first one pass.
#[tokio::test]
async fn an_epoch_is_never_served_twice() {
    let memory = MemoryPlatform::open();
    let (ownership, mut owned_cells, fault) = open(&memory);
    let running = tokio::spawn(ownership.clone().run());
    assert_eq!(next_epoch(&mut owned_cells).await, 1);
    *fault.lock().unwrap() = Fault::Down;
    ownership.resign().await;
    ownership.resume_taking();
    ownership.check_now();
    // The same holds if the entry lost the cell in another way.
    ownership.cell_lost(0);
    assert_eq!(next_epoch(&mut owned_cells).await, 2);
    running.abort();
}

/// Guards against a task that starts twice. An owner is silent for so long that another entry takes
/// its cell, but it runs again and proves its ownership once more between the other entry's last
/// read and its write. From this proof on it may still start work before its claims are written.
/// The new owner counted the end of such starts from an earlier proof, took the key of one for new
/// and started its task again.
#[tokio::test]
async fn a_heartbeat_just_before_the_takeover_counts() {
    let memory = MemoryPlatform::open();
    let silent = rows::Owner {
        entry: "entry-1".into(),
        incarnation: 7,
        addr: "127.0.0.1:2".into(),
        epoch: 5,
    };
    let value = serde_json::to_string(&silent).unwrap();
    let first = Transaction::put(&rows::cell(0), value);
    memory.store.lock().unwrap().commit(&first);
    let heartbeat = Transaction::put(&rows::heartbeat(0), "[5,1]".to_owned());
    memory.store.lock().unwrap().commit(&heartbeat);

    let woke = Arc::new(Mutex::new(None));
    let (waking, store) = (woke.clone(), memory.store.clone());
    let platform = memory.platform_with_faults(Box::new(move |operation| {
        let mut woke = waking.lock().unwrap();
        if operation == Operation::Write && woke.is_none() {
            let heartbeat = Transaction::put(&rows::heartbeat(0), "[5,2]".to_owned());
            store.lock().unwrap().commit(&heartbeat);
            *woke = Some(time::Instant::now());
        }
        Fault::None
    }));
    let (ownership, mut owned_cells) = open_over(platform);
    ownership.suspect(0, 5, Suspicion::Silent);
    let running = tokio::spawn(ownership.run());
    let owned = next_owned(&mut owned_cells).await;
    running.abort();
    let woke = woke.lock().unwrap().expect("the owner woke");
    assert_eq!(owned.epoch, 6);
    assert!(
        owned.unclaimed_starts_until >= woke + inherit::TABLE_CONTACT_WINDOW,
        "the previous owner may start unclaimed work for longer"
    );
}
