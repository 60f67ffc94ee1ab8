//! Placement by the owner's own books: the agent with the most room takes the next task.
//!
//! Run with `cargo run --example placement`.

use std::collections::BTreeMap;
use std::time;

use lovagemill::decide::fleet::{Agent, Fleet, Placement, State};
use lovagemill::decide::notice;
use lovagemill::task;

/// Slots of every agent.
const SLOTS: u32 = 8;

fn agent(now: time::Instant, accelerators: u32) -> Agent {
    Agent {
        incarnation: 1,
        failure_domain: "poa-centro".into(),
        rack: "rack-0".into(),
        state: State::Up,
        since: now,
        load: notice::Load {
            slots: SLOTS,
            capacity: task::Needs {
                processor_milli: 32_000,
                memory_mb: 64 * 1_024,
                accelerators,
            },
            running: 0,
            draining: false,
        },
        sent: 0,
        taken: task::Needs::default(),
        limit: u32::MAX,
    }
}

fn open(placement: Placement) -> Fleet {
    let now = time::Instant::now();
    let mut fleet = Fleet::open(placement, 1);
    for number in 0..11 {
        let accelerators = u32::from(number == 7);
        fleet.insert(
            now,
            format!("agent-{number:02}").into(),
            agent(now, accelerators),
        );
    }
    fleet
}

/// Places tasks until half of the slots are taken; returns the largest number on one agent.
fn fullest(placement: Placement) -> u32 {
    let mut fleet = open(placement);
    let needs = task::Needs::default();
    let mut taken = BTreeMap::new();
    for _ in 0..11 * SLOTS / 2 {
        let id = fleet.choose(&needs).expect("half of the slots are free");
        fleet.reserve(&id, &needs);
        *taken.entry(id).or_insert(0) += 1;
    }
    taken.into_values().max().unwrap_or(0)
}

pub fn main() {
    let most_free = fullest(Placement::MostFree);
    let random = fullest(Placement::Random);
    println!("busiest of 11 agents with 8 slots each, once 44 tasks are placed:");
    println!("  most free slots: {most_free}");
    println!("  random:          {random}");
    assert_eq!(most_free, SLOTS / 2, "the load is spread evenly");
    assert!(random > most_free);

    // Needs are matched against what is left; a task that fits nowhere is told apart from one that
    // must wait.
    let now = time::Instant::now();
    let mut fleet = open(Placement::MostFree);
    let needs = task::Needs {
        accelerators: 1,
        ..task::Needs::default()
    };
    let id = fleet.choose(&needs).expect("one agent has an accelerator");
    assert_eq!(id, "agent-07");
    fleet.reserve(&id, &needs);
    assert!(!fleet.has_room(&needs), "the accelerator is taken");
    assert!(fleet.could_ever_run(now, &needs), "but it comes free again");
    let two = task::Needs {
        accelerators: 2,
        ..task::Needs::default()
    };
    assert!(!fleet.could_ever_run(now, &two), "nobody has two");
}
