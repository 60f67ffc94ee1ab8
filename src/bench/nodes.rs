//! What nodes do while no work is there: control bytes and processor time, by role.

use std::time;

use compact_str::format_compact;

use crate::bench::gauge;
use crate::bench::parts::{self, Sizes};
use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::count::Kind;

/// Entries of the first measurements: one owns the cell, the others forward.
const ENTRIES: usize = 3;

/// Measures fleets of several sizes, and a mesh of entries.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    // Whole numbers of the polls of 2 and 3 s.
    let window = time::Duration::from_secs(if cfg.quick { 2 } else { 6 });
    let fleets: &[usize] = if cfg.quick { &[11] } else { &[11, 50, 150] };
    let mut found = Vec::new();
    for agents in fleets {
        found.extend(one_cell(*agents, window).await?);
    }
    let meshes: &[usize] = if cfg.quick { &[4] } else { &[4, 16] };
    for entries in meshes {
        found.extend(mesh(*entries, window).await?);
    }
    Ok(found)
}

/// What was counted when a window began.
struct Before {
    at: time::Instant,
    processor: std::collections::BTreeMap<String, f64>,
    operations: (u64, u64),
    entries: Vec<Counted>,
    agents: Vec<Counted>,
}

/// Control bytes that a node sent on links, and exchanged with the platform.
#[derive(Clone, Copy, Debug)]
struct Counted {
    links: u64,
    platform: u64,
}

impl Counted {
    fn of(messages: &crate::count::Messages) -> Counted {
        Counted {
            links: messages.bytes(Kind::Control),
            platform: messages.bytes(Kind::TableRead) + messages.bytes(Kind::TableWrite),
        }
    }

    fn since(&self, before: &Counted, seconds: f64) -> (f64, f64) {
        let per_second = |now: u64, then: u64| (now - then) as f64 / seconds;
        (
            per_second(self.links, before.links),
            per_second(self.platform, before.platform),
        )
    }
}

impl Before {
    fn of(parts: &parts::Parts) -> Before {
        let entries = parts.entries.iter().map(|node| Counted::of(&node.messages));
        let agents = parts.agents.iter().map(|node| Counted::of(&node.messages));
        Before {
            at: time::Instant::now(),
            processor: gauge::processor(),
            operations: parts.platform.operations(),
            entries: entries.collect(),
            agents: agents.collect(),
        }
    }
}

/// One cell with a fleet: its owner, two entries that forward, and agents.
async fn one_cell(agents: usize, window: time::Duration) -> anyhow::Result<Vec<Slope>> {
    let resident = gauge::resident();
    let parts = parts::open(Sizes {
        entries: ENTRIES,
        cells: 1,
        agents,
        slots: 8,
    })
    .await?;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = Before::of(&parts);
    tokio::time::sleep(window).await;
    let seconds = before.at.elapsed().as_secs_f64();
    let entries: Vec<(f64, f64)> = parts
        .entries
        .iter()
        .zip(&before.entries)
        .map(|(node, then)| Counted::of(&node.messages).since(then, seconds))
        .collect();
    let agent_rates: Vec<(f64, f64)> = parts
        .agents
        .iter()
        .zip(&before.agents)
        .map(|(node, then)| Counted::of(&node.messages).since(then, seconds))
        .collect();
    let owner = parts.owner().unwrap_or(0);
    let from_agents: f64 = agent_rates.iter().map(|(links, _)| links).sum();
    let forwarders: f64 = (0..ENTRIES)
        .filter(|i| *i != owner)
        .map(|i| entries[i].0)
        .sum();
    let (owner_links, owner_platform) = entries[owner];
    let peers = (ENTRIES - 1) as f64;
    // While nothing runs an owner sends its agents nothing, so all it sends goes to entries.
    let forwarder = owner_links / peers + forwarders / peers + entries[(owner + 1) % ENTRIES].1;
    let agent = mean(agent_rates.iter().map(|(links, platform)| links + platform));
    let per_core = |name| gauge::since(&before.processor, name) / seconds * 100.0;
    let (reads, writes) = parts.platform.operations();
    let fleet = |text: &str| format_compact!("{text}, {agents} agents");
    let one = |name, unit, value| Slope::of("idle", fleet(name), unit, vec![value]);
    let found = vec![
        one(
            "control of the owner, both ways",
            "bytes/s",
            owner_links + owner_platform + from_agents + forwarders,
        ),
        one(
            "control of a forwarding entry, both ways",
            "bytes/s",
            forwarder,
        ),
        one("control of an agent, both ways", "bytes/s", agent),
        one(
            "processor time of 3 entries together",
            "% of a core",
            per_core(parts::ENTRIES),
        ),
        one(
            "processor time of an agent",
            "% of a core",
            per_core(parts::AGENTS) / agents as f64,
        ),
        one(
            "platform reads, 3 entries",
            "1/s",
            (reads - before.operations.0) as f64 / seconds,
        ),
        one(
            "platform writes, 3 entries",
            "1/s",
            (writes - before.operations.1) as f64 / seconds,
        ),
        one(
            "memory of all parts together",
            "MB",
            (gauge::resident() - resident) / 1e6,
        ),
    ];
    parts.stop().await;
    Ok(found)
}

/// As many cells as entries, so that every entry owns one and forwards to all others.
async fn mesh(entries: usize, window: time::Duration) -> anyhow::Result<Vec<Slope>> {
    let parts = parts::open(Sizes {
        entries,
        cells: entries as u16,
        agents: 0,
        slots: 8,
    })
    .await?;
    let spread = time::Instant::now();
    let owners = |parts: &parts::Parts| {
        let nodes = parts.entries.iter();
        nodes.filter(|node| node.entry.owns_any()).count()
    };
    let patience = time::Duration::from_secs(15);
    while owners(&parts) < entries && spread.elapsed() < patience {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let took = spread.elapsed().as_secs_f64();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = Before::of(&parts);
    tokio::time::sleep(window).await;
    let seconds = before.at.elapsed().as_secs_f64();
    let rates: Vec<(f64, f64)> = parts
        .entries
        .iter()
        .zip(&before.entries)
        .map(|(node, then)| Counted::of(&node.messages).since(then, seconds))
        .collect();
    let per_entry: Vec<f64> = rates
        .iter()
        .map(|(links, platform)| 2.0 * links + platform)
        .collect();
    let (reads, writes) = parts.platform.operations();
    let processor = gauge::since(&before.processor, parts::ENTRIES) / seconds * 100.0;
    let size = |text: &str| format_compact!("{text}, {entries} entries and cells");
    let one = |name, unit, value| Slope::of("mesh", size(name), unit, vec![value]);
    let found = vec![
        one("entries that own a cell", "entries", owners(&parts) as f64),
        one("time until every entry owns one", "s", took),
        Slope::of(
            "mesh",
            size("control of an entry, both ways"),
            "bytes/s",
            per_entry,
        ),
        one(
            "processor time of an entry",
            "% of a core",
            processor / entries as f64,
        ),
        one(
            "platform reads",
            "1/s",
            (reads - before.operations.0) as f64 / seconds,
        ),
        one(
            "platform writes",
            "1/s",
            (writes - before.operations.1) as f64 / seconds,
        ),
    ];
    parts.stop().await;
    Ok(found)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = values.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}
