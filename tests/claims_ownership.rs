//! Taking a cell and handing it over while writes fail or their answers are lost.

mod support;

use std::sync::{Arc, Mutex};

use lovagemill::controller::ownership;
use lovagemill::id;
use support::memory::{Fault, Memory, Operation};
use tokio::sync::mpsc;

type Wins = mpsc::UnboundedReceiver<id::Epoch>;

/// One entry over a platform whose next write meets the fault given.
fn open(memory: &Memory) -> (Arc<ownership::Ownership>, Wins, Arc<Mutex<Fault>>) {
    let next = Arc::new(Mutex::new(Fault::None));
    let injected = next.clone();
    let platform = memory.failing(Box::new(move |operation| match operation {
        Operation::Write => std::mem::replace(&mut injected.lock().unwrap(), Fault::None),
        Operation::Read => Fault::None,
    }));
    let candidate = ownership::Candidate {
        entry: "entry-0".into(),
        incarnation: 1,
        addr: "127.0.0.1:1".into(),
    };
    let (tx, wins) = mpsc::unbounded_channel();
    let events = ownership::Events {
        won: Box::new(move |_, epoch, _| {
            let _ = tx.send(epoch);
        }),
        other: Box::new(|_, _| {}),
        seen: Box::new(|_, _| {}),
        head: Box::new(|_| {}),
    };
    let ownership = ownership::open(platform.table, candidate, 1, events);
    (ownership, wins, next)
}

async fn next(wins: &mut Wins) -> id::Epoch {
    let epoch = tokio::time::timeout(support::HANG, wins.recv()).await;
    epoch.expect("it doesn't hang").expect("the loop runs")
}

/// An entry takes a vacant cell and the table's answer is lost. Repeated blindly, the write would
/// conflict with itself; the next look finds the entry in the row, under the epoch that it wrote.
#[tokio::test]
async fn a_cell_taken_with_a_lost_answer_is_adopted() {
    let memory = Memory::open();
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
    let memory = Memory::open();
    let (ownership, mut wins, fault) = open(&memory);
    let running = tokio::spawn(ownership.clone().run());
    assert_eq!(next(&mut wins).await, 1);
    *fault.lock().unwrap() = Fault::Down;
    ownership.resign().await;
    ownership.resume();
    ownership.look();
    // Also where something else let it go.
    ownership.deposed(0);
    assert_eq!(next(&mut wins).await, 2);
    running.abort();
}
