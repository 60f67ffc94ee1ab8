//! What things that are kept take in memory, from the growth of the resident set.
//!
//! Everything measured stays allocated until the end, since freed pages that are used again would
//! hide growth.

use std::sync::Arc;
use std::time;

use anyhow::ensure;
use compact_str::format_compact;
use serde_json::value::RawValue;

use crate::bench::decisions;
use crate::bench::gauge;
use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::decide::notice;
use crate::decide::owner;
use crate::task;

/// Tasks of a job.
const TASKS: usize = 145;

/// Measures every kind of thing.
pub fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let scale = if cfg.quick { 1 } else { 4 };
    let mut kept: Vec<Box<dyn std::any::Any>> = Vec::new();
    let mut found = Vec::new();
    let mut measure = |name: &str, n: usize, make: &dyn Fn(usize) -> Box<dyn std::any::Any>| {
        let mut rounds = Vec::new();
        for _ in 0..3 {
            let before = gauge::resident();
            kept.push(make(n));
            rounds.push((gauge::resident() - before) / n as f64);
        }
        found.push(Slope::of("memory", name, "bytes", rounds));
    };
    measure("owner: per waiting task", 25_000 * scale, &|n| {
        Box::new(waiting(n))
    });
    measure(
        "owner: per task of an ended job that is kept",
        10_000 * scale,
        &|n| Box::new(ended(n)),
    );
    measure("owner: per agent, without its link", 2_500 * scale, &|n| {
        Box::new(agents(n))
    });
    measure("owner: per inherited claim", 25_000 * scale, &|n| {
        Box::new(claims(n))
    });
    measure(
        "owner: per task that agents report at a takeover",
        25_000 * scale,
        &|n| Box::new(reported(n)),
    );
    measure("agent: per task that it remembers", 25_000 * scale, &|n| {
        Box::new(records(n))
    });
    ensure!(kept.len() == found.len() * 3, "every round is kept");
    Ok(found)
}

fn open(now: time::Instant) -> owner::Owner {
    let wall = time::Duration::from_secs(1_700_000_000);
    let config = Arc::new(decisions::configuration());
    let mut owner = owner::Owner::open(1, owner::Policy::default(), config, now, wall);
    owner.set_members(now, Vec::new(), &[]);
    owner.set_earlier_claims(now, Vec::new());
    owner
}

fn waiting(n: usize) -> owner::Owner {
    let now = time::Instant::now();
    let mut owner = open(now);
    for number in 0..n.div_ceil(TASKS) as u64 {
        let job = decisions::submission(number, 48, TASKS);
        owner.submit(now, Arc::new(job), number);
        owner.take_actions();
    }
    owner
}

/// An owner whose jobs have all been answered.
fn ended(n: usize) -> owner::Owner {
    let now = time::Instant::now();
    let mut owner = open(now);
    decisions::welcome(&mut owner, now, 0, TASKS as u32);
    for number in 0..n.div_ceil(TASKS) as u64 {
        let job = decisions::submission(number, 48, TASKS);
        let key = job.key.clone();
        owner.submit(now, Arc::new(job), number);
        owner.take_actions();
        for index in 0..TASKS as u32 {
            let answer = notice::Answer {
                id: task::Id {
                    job: key.clone(),
                    index,
                },
                outcome: task::Outcome::Done(answer()),
                ran_us: 100_000,
            };
            owner.handle_notice(now, &"agent-0000".into(), notice::Notice::Answer(answer));
        }
        owner.take_actions();
    }
    owner
}

fn agents(n: usize) -> owner::Owner {
    let now = time::Instant::now();
    let mut owner = open(now);
    for number in 0..n {
        decisions::welcome(&mut owner, now, number, 8);
    }
    owner
}

fn claims(n: usize) -> inherit::Inheritance {
    let now = time::Instant::now();
    let mut inheritance = inherit::Inheritance::open(now, time::Duration::ZERO);
    let claim = |number: usize| inherit::StoredClaim {
        key: format_compact!("team-07/0190a5b3-7c1d-7e2f-8a3b-{number:012x}"),
        digest: number as u64,
        tasks: TASKS as u32,
        at_ms: 1_700_000_000_000,
    };
    inheritance.set_claims((0..n).map(claim));
    inheritance
}

fn reported(n: usize) -> inherit::Inheritance {
    let now = time::Instant::now();
    let mut inheritance = inherit::Inheritance::open(now, time::Duration::ZERO);
    let life = inherit::AgentIncarnation {
        agent: "agent-0000".into(),
        incarnation: 1,
    };
    inheritance.add_report(&life, &decisions::report(n));
    inheritance
}

/// A ledger of tasks that ended and whose answers were acknowledged; an agent gets few of a job.
fn records(n: usize) -> ledger::Ledger {
    let now = time::Instant::now();
    let mut ledger = ledger::Ledger::default();
    ledger.join(1);
    for number in 0..n {
        let id = task::Id {
            job: format_compact!("team-07/0190a5b3-7c1d-7e2f-8a3b-{:012x}", number / 3),
            index: (number % 3) as u32,
        };
        ledger.start(now, 1, &id, 1);
        ledger.finish(now, &id, task::Outcome::Done(answer()), 100_000);
        if number % 3 == 2 {
            ledger.acknowledge(1, &id.job);
        }
    }
    ledger
}

fn answer() -> Box<RawValue> {
    let text = "{\"granted\":true,\"policy\":\"AP-20261201-0417\",\"checked\":[1,2,3,4]}";
    RawValue::from_string(text.to_owned()).expect("the text is JSON")
}
