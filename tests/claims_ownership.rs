//! Taking a cell and handing it over while writes fail or their answers are lost.

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

type Wins = mpsc::UnboundedReceiver<ownership::OwnedCell>;

/// One entry over a platform whose next write meets the fault given.
fn open(memory: &MemoryPlatform) -> (Arc<ownership::Ownership>, Wins, Arc<Mutex<Fault>>) {
    let next = Arc::new(Mutex::new(Fault::None));
    let injected = next.clone();
    let platform = memory.platform_with_faults(Box::new(move |operation| match operation {
        Operation::Write => std::mem::replace(&mut injected.lock().unwrap(), Fault::None),
        Operation::Read => Fault::None,
    }));
    let (ownership, wins) = open_over(platform);
    (ownership, wins, next)
}

fn open_over(platform: platform::Platform) -> (Arc<ownership::Ownership>, Wins) {
    let candidate = ownership::Candidate {
        entry: "entry-0".into(),
        incarnation: 1,
        addr: "127.0.0.1:1".into(),
    };
    let (tx, wins) = mpsc::unbounded_channel();
    let events = ownership::Events {
        owned: Box::new(move |won| {
            let _ = tx.send(won);
        }),
        owned_by_other: Box::new(|_, _| {}),
        proved: Box::new(|_, _| {}),
        head_changed: Box::new(|_| {}),
    };
    (ownership::open(platform.table, candidate, 1, events), wins)
}

async fn next_win(wins: &mut Wins) -> ownership::OwnedCell {
    let won = tokio::time::timeout(support::HANG, wins.recv()).await;
    won.expect("it doesn't hang").expect("the loop runs")
}

async fn next(wins: &mut Wins) -> id::Epoch {
    next_win(wins).await.epoch
}

/// An entry takes a vacant cell and the table's answer is lost. Repeated blindly, the write would
/// conflict with itself; the next look finds the entry in the row, under the epoch that it wrote.
#[tokio::test]
async fn a_cell_taken_with_a_lost_answer_is_adopted() {
    let memory = MemoryPlatform::open();
    let (ownership, mut wins, fault) = open(&memory);
    *fault.lock().unwrap() = Fault::AnswerLost;
    let running = tokio::spawn(ownership.run());
    assert_eq!(next(&mut wins).await, 1);
    running.abort();
}

/// An entry drains while the table fails: its row still names it. It was let go and taken up again
/// under the same epoch, by a second owner with an empty memory, whose agents still let the first
/// one's starts pass after they had reported; a task started twice.
#[tokio::test]
async fn an_epoch_is_never_served_twice() {
    let memory = MemoryPlatform::open();
    let (ownership, mut wins, fault) = open(&memory);
    let running = tokio::spawn(ownership.clone().run());
    assert_eq!(next(&mut wins).await, 1);
    *fault.lock().unwrap() = Fault::Down;
    ownership.resign().await;
    ownership.resume_taking();
    ownership.check_now();
    // Also where something else let it go.
    ownership.cell_lost(0);
    assert_eq!(next(&mut wins).await, 2);
    running.abort();
}

/// An owner is silent for so long that another entry takes its cell, but wakes and proves its
/// ownership once more between the other's last look and its write. It goes on to start work ahead
/// of its claims; the successor counted its doubt from before that proof, took such a key for
/// fresh, and started it a second time.
#[tokio::test]
async fn a_beat_in_the_last_moment_is_not_overlooked() {
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
    let beat = Transaction::put(&rows::beat(0), "[5,1]".to_owned());
    memory.store.lock().unwrap().commit(&beat);

    let woke = Arc::new(Mutex::new(None));
    let (waking, store) = (woke.clone(), memory.store.clone());
    let platform = memory.platform_with_faults(Box::new(move |operation| {
        let mut woke = waking.lock().unwrap();
        if operation == Operation::Write && woke.is_none() {
            let beat = Transaction::put(&rows::beat(0), "[5,2]".to_owned());
            store.lock().unwrap().commit(&beat);
            *woke = Some(time::Instant::now());
        }
        Fault::None
    }));
    let (ownership, mut wins) = open_over(platform);
    ownership.suspect(0, 5, Suspicion::Silent);
    let running = tokio::spawn(ownership.run());
    let won = next_win(&mut wins).await;
    running.abort();
    let woke = woke.lock().unwrap().expect("the owner woke");
    assert_eq!(won.epoch, 6);
    assert!(
        won.unclaimed_starts_until >= woke + inherit::TABLE_SIGHT,
        "doubt ends too soon"
    );
}
