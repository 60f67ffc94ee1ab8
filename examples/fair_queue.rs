//! Fair shares without weights: one client account floods the queue, another sends little.
//!
//! Run with `cargo run --example fair_queue`.

use std::time;

use lovagemill::decide::demand::{self, Demand};
use lovagemill::decide::queue::{Policy, Queue};
use lovagemill::decide::waiting::WaitingTask;
use lovagemill::id;
use lovagemill::task;

/// How long every task runs.
const RUN: time::Duration = time::Duration::from_millis(100);

fn push(queue: &mut Queue, now: time::Instant, account: &str, job: &str, tasks: u32) {
    let waiting = |index| WaitingTask {
        id: task::Id {
            job: job.into(),
            index,
        },
        estimate: RUN,
        needs: task::Needs::default(),
    };
    let deadline = now + time::Duration::from_secs(8);
    let tasks = (0..tasks).map(waiting).collect();
    queue.push(now, &account.into(), &job.into(), deadline, tasks);
}

/// Tells the client accounts that fit beside the largest one from those that don't, by what they ask for.
fn classify(queue: &mut Queue, now: time::Instant) {
    let mut demand = Demand::open(now);
    demand.record_offer(now, &"rede-estadual".into(), 1_000.0 * RUN.as_secs_f64());
    demand.record_offer(now, &"canoas".into(), 10.0 * RUN.as_secs_f64());
    for (account, light) in demand.classify(now + demand::CLASSIFY_INTERVAL, 8) {
        queue.set_light(&account, light);
    }
}

/// Serves one task at a time and tells how many were served until a job's last task left.
fn served_until(policy: Policy, job: &str) -> u32 {
    let now = time::Instant::now();
    let mut queue = Queue::open(policy, now);
    push(&mut queue, now, "rede-estadual", "large", 1_000);
    push(&mut queue, now, "canoas", "small", 10);
    classify(&mut queue, now);
    let (mut served, mut last) = (0, 0);
    while let Some(task) = queue.pop(|_| true) {
        served += 1;
        let account: id::ClientAccount = match task.id.job.as_str() {
            "large" => "rede-estadual".into(),
            _ => "canoas".into(),
        };
        // The queue is told what a client account uses; it never asks for weights.
        queue.record_start(&account);
        queue.charge(now, &account, RUN.as_secs_f64());
        if task.id.job == job {
            last = served;
        }
    }
    last
}

pub fn main() {
    let fifo = served_until(Policy::Fifo, "small");
    let fair = served_until(Policy::Fair, "small");
    println!("tasks served before the small customer's job was through:");
    println!("  first in, first out: {fifo}");
    println!("  fair shares:         {fair}");
    assert_eq!(fifo, 1_010, "the small job waits for all of the large one");
    assert!(fair <= 20, "the small job waits for about its own length");
    // The large client account loses nothing but that: the slots are never idle while it has work.
    assert_eq!(served_until(Policy::Fair, "large"), 1_010);
}
