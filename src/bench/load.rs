//! What nodes spend while work is there: processor time per task by role, messages, writes.

use std::time;

use compact_str::format_compact;

use crate::bench::gauge;
use crate::bench::parts::{self, Sizes};
use crate::bench::slope::{self, Reading, Slope};
use crate::bench::Config;
use crate::count::Kind;
use crate::decide::owner;
use crate::demo::{self, caller, deployment};

/// Agents.
const AGENTS: usize = 50;

/// Slots of each.
const SLOTS: u32 = 24;

/// Runs the demo's workload through one cell at half of its capacity, under both kinds of key,
/// rounds interleaved.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let rounds = if cfg.quick { 1 } else { 3 };
    let duration = time::Duration::from_secs(if cfg.quick { 1 } else { 3 });
    let (mut aged, mut plain) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        aged.push(at_work(duration, true).await?);
        if !cfg.quick {
            plain.push(at_work(duration, false).await?);
        }
    }
    let mut found = slope::gather("work", &aged);
    found.extend(slope::gather("work", &plain));
    Ok(found)
}

async fn at_work(duration: time::Duration, aged_keys: bool) -> anyhow::Result<Vec<Reading>> {
    let parts = parts::open(Sizes {
        entries: 3,
        cells: 1,
        agents: AGENTS,
        slots: SLOTS,
    })
    .await?;
    let mut deployment = deployment::trilha();
    deployment.workers = AGENTS;
    deployment.slots_per_worker = SLOTS;
    let addrs = parts.entries.iter().map(|node| node.entry.http_addr());
    let entries = caller::Addrs::default();
    entries.set(addrs.map(|addr| addr.to_string()).collect());
    let target = caller::Target {
        entries,
        one_way: time::Duration::ZERO,
        slots: deployment.slots(),
        truth: None,
    };
    let work = demo::Config {
        deployment,
        duration,
        seed: 3,
        dominant_load: 0.3,
        small_load: 0.2,
        policy: owner::Policy::default(),
        faults: Vec::new(),
        aged_keys,
        progress: false,
    };
    let before = gauge::processor();
    let (_, writes_before) = parts.platform.operations();
    let begun = time::Instant::now();
    demo::load(&work, target).await;
    let seconds = begun.elapsed().as_secs_f64();
    let sum = |kind| -> f64 {
        let entries = parts.entries.iter().map(|node| node.messages.get(kind));
        let agents = parts.agents.iter().map(|node| node.messages.get(kind));
        entries.chain(agents).sum::<u64>() as f64
    };
    let tasks = sum(Kind::Backend) / 2.0;
    let (_, writes) = parts.platform.operations();
    let keys = if aged_keys {
        "keys that tell their age"
    } else {
        "plain keys"
    };
    let one = |name: &str, unit, value| Reading {
        name: format_compact!("{name}, {keys}"),
        unit,
        value,
    };
    let per_task = |name| gauge::since(&before, name) * 1e6 / tasks;
    let found = vec![
        one("starts", "1/s", tasks / duration.as_secs_f64()),
        one(
            "processor time of 3 entries, per task",
            "us",
            per_task(parts::ENTRIES),
        ),
        one(
            "processor time of agents, per task",
            "us",
            per_task(parts::AGENTS),
        ),
        one(
            "messages that carry starts, per task",
            "messages",
            sum(Kind::Start) / tasks,
        ),
        one(
            "messages that carry answers, per task",
            "messages",
            sum(Kind::Answer) / tasks,
        ),
        one(
            "messages of control, per task",
            "messages",
            sum(Kind::Control) / tasks,
        ),
        one(
            "platform writes",
            "1/s",
            (writes - writes_before) as f64 / seconds,
        ),
    ];
    parts.stop().await;
    Ok(found)
}
