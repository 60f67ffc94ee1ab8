//! Claims and fencing: why no task starts twice, although owners come and go and messages are late.
//!
//! An owner of the past wakes from a pause and sends its starts; its successor has raised the
//! epoch, has asked every agent what it started, and decides from that about a resubmission.
//!
//! Run with `cargo run --example claims_and_fencing`.

use std::time;

use lovagemill::code::Code;
use lovagemill::decide::inherit::{AgentIncarnation, Found, Inheritance, REPORT_TIMEOUT};
use lovagemill::decide::ledger::{Ledger, StartDecision, TaskState};
use lovagemill::id;
use lovagemill::task;

fn task(job: &str, index: id::TaskIndex) -> task::Id {
    task::Id {
        job: job.into(),
        index,
    }
}

pub fn main() {
    let now = time::Instant::now();
    let wall = time::Duration::from_secs(1_700_000_000);

    // Two agents join under epoch 1, whose owner starts one task of a job on the first.
    let mut agents = [Ledger::default(), Ledger::default()];
    for agent in &mut agents {
        agent.join(1);
    }
    assert_eq!(
        agents[0].start(now, 1, &task("canoas/k1", 0), 1),
        StartDecision::Run
    );

    // The owner falls silent; its successor raises the epoch in the table and fences the agents.
    for agent in &mut agents {
        assert_eq!(agent.raise_fence(2), Ok(()));
    }

    // The first owner wakes and sends its next start, and a hello. Nothing of it takes effect.
    let late = agents[1].start(now, 1, &task("canoas/k1", 1), 1);
    assert_eq!(late, StartDecision::Refuse(Code::StaleEpoch));
    assert_eq!(agents[1].raise_fence(1), Err(2));

    // The successor looks keys up only once it knows the claims and what every agent started.
    let mut inheritance = Inheritance::open(now, wall);
    let lives: Vec<AgentIncarnation> = (0..2).map(life).collect();
    inheritance.set_members(now, lives.clone(), &[]);
    inheritance.set_claims([]);
    assert!(!inheritance.is_ready(now));
    for (agent, life) in agents.iter().zip(&lives) {
        inheritance.add_report(life, &agent.task_states());
    }
    assert!(inheritance.is_ready(now));

    // The caller submits the job again: its first task is known, the second was never started.
    let found = inheritance.look_up(&"canoas/k1".into(), 7, None);
    let Found::Known {
        tasks,
        rest_startable,
    } = found
    else {
        panic!("the job is known: {found:?}");
    };
    assert_eq!(tasks[&0], (lives[0].clone(), TaskState::Started));
    assert!(rest_startable);
    assert_eq!(
        agents[1].start(now, 2, &task("canoas/k1", 1), 1),
        StartDecision::Run
    );
    // The same start twice runs once.
    assert_eq!(
        agents[1].start(now, 2, &task("canoas/k1", 1), 1),
        StartDecision::Duplicate
    );
    println!("the late start was refused, the resubmission found its first task");

    // Where an agent is lost with the owner, a key that may have run is never called fresh.
    let mut blind = Inheritance::open(now, wall);
    blind.set_members(now, lives.clone(), &[]);
    blind.set_claims([]);
    blind.add_report(&lives[0], &agents[0].task_states());
    let later = now + REPORT_TIMEOUT;
    assert!(blind.is_ready(later), "it doesn't wait for ever");
    let minted_before = Some(wall);
    assert_eq!(
        blind.look_up(&"canoas/k2".into(), 9, minted_before),
        Found::MayHaveRun
    );
    println!("a key that may have run on the lost agent is answered as unknown, not as not run");
}

fn life(number: usize) -> AgentIncarnation {
    AgentIncarnation {
        agent: format!("agent-{number}").into(),
        incarnation: 1,
    }
}
