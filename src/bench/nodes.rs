//! What nodes do while no work is there: control bytes and processor time, by role.

use std::collections::BTreeMap;
use std::time;

use compact_str::format_compact;

use crate::bench::gauge;
use crate::bench::parts::{self, Parts, Sizes};
use crate::bench::slope::{self, Reading, Slope};
use crate::bench::Config;
use crate::count::{Kind, Messages};

/// Entries beside the fleets: one owns the cell, the others forward.
const ENTRIES: usize = 3;

/// One round, a whole number of the polls of members and cells.
const ROUND: time::Duration = time::Duration::from_secs(2);

/// Longest that entries may take to share the cells among them.
const PATIENCE: time::Duration = time::Duration::from_secs(15);

/// Measures fleets of several sizes, and meshes of entries.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let rounds = if cfg.quick { 1 } else { 3 };
    let fleets: &[usize] = if cfg.quick { &[11] } else { &[11, 50, 150] };
    let mut found = Vec::new();
    for agents in fleets {
        found.extend(one_cell(*agents, rounds).await?);
    }
    let meshes: &[usize] = if cfg.quick { &[4] } else { &[4, 16] };
    for entries in meshes {
        found.extend(mesh(*entries, rounds).await?);
    }
    Ok(found)
}

/// Control bytes that a node sent on links, and exchanged with the platform.
#[derive(Clone, Copy, Debug)]
struct Control {
    links: f64,
    platform: f64,
}

impl Control {
    fn of(messages: &Messages) -> Control {
        Control {
            links: messages.bytes(Kind::Control) as f64,
            platform: (messages.bytes(Kind::TableRead) + messages.bytes(Kind::TableWrite)) as f64,
        }
    }

    /// The growth since an earlier count, per second.
    fn rate(self, before: &Control, seconds: f64) -> Control {
        Control {
            links: (self.links - before.links) / seconds,
            platform: (self.platform - before.platform) / seconds,
        }
    }
}

/// All counters at one moment.
struct Snapshot {
    at: time::Instant,
    processor: BTreeMap<String, f64>,
    reads: u64,
    writes: u64,
    entries: Vec<Control>,
    agents: Vec<Control>,
}

/// What went on between two snapshots, per second.
struct Rates {
    entries: Vec<Control>,
    agents: Vec<Control>,
    entry_cores: f64,
    agent_cores: f64,
    reads: f64,
    writes: f64,
}

impl Snapshot {
    fn of(parts: &Parts) -> Snapshot {
        let (reads, writes) = parts.platform.operations();
        let entries = parts.entries.iter().map(|node| Control::of(&node.messages));
        let agents = parts.agents.iter().map(|node| Control::of(&node.messages));
        Snapshot {
            at: time::Instant::now(),
            processor: gauge::processor(),
            reads,
            writes,
            entries: entries.collect(),
            agents: agents.collect(),
        }
    }

    fn until(&self, now: &Snapshot) -> Rates {
        let seconds = now.at.duration_since(self.at).as_secs_f64();
        let rates = |now: &[Control], then: &[Control]| {
            let pairs = now.iter().zip(then);
            pairs.map(|(now, then)| now.rate(then, seconds)).collect()
        };
        let cores = |name| gauge::since(&self.processor, name) / seconds;
        Rates {
            entries: rates(&now.entries, &self.entries),
            agents: rates(&now.agents, &self.agents),
            entry_cores: cores(parts::ENTRIES),
            agent_cores: cores(parts::AGENTS),
            reads: (now.reads - self.reads) as f64 / seconds,
            writes: (now.writes - self.writes) as f64 / seconds,
        }
    }
}

/// Watches idle parts for some rounds.
async fn watch(parts: &Parts, rounds: usize) -> Vec<Rates> {
    // What the opening set off has to end first.
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let mut found = Vec::new();
    for _ in 0..rounds {
        let before = Snapshot::of(parts);
        tokio::time::sleep(ROUND).await;
        found.push(before.until(&Snapshot::of(parts)));
    }
    found
}

/// One cell with a fleet: its owner, entries that forward, and agents.
async fn one_cell(agents: usize, rounds: usize) -> anyhow::Result<Vec<Slope>> {
    let resident = gauge::resident();
    let sizes = Sizes {
        entries: ENTRIES,
        cells: 1,
        agents,
        slots: 8,
    };
    let parts = parts::open(sizes).await?;
    let owner = parts.owner().unwrap_or(0);
    let watched = watch(&parts, rounds).await;
    let megabytes = (gauge::resident() - resident) / 1e6;
    parts.stop().await;
    let readings: Vec<Vec<Reading>> = watched
        .iter()
        .map(|rates| cell_readings(rates, owner, agents, megabytes))
        .collect();
    Ok(slope::gather("idle", &readings))
}

fn cell_readings(rates: &Rates, owner: usize, agents: usize, megabytes: f64) -> Vec<Reading> {
    let peers = (ENTRIES - 1) as f64;
    let others = |f: fn(&Control) -> f64| -> f64 {
        let all = rates.entries.iter().enumerate();
        all.filter(|(i, _)| *i != owner).map(|(_, c)| f(c)).sum()
    };
    let own = rates.entries[owner];
    let from_agents: f64 = rates.agents.iter().map(|c| c.links).sum();
    // While nothing runs an owner sends its agents nothing, so all it sends goes to entries.
    let forwarder = own.links / peers + others(|c| c.links + c.platform) / peers;
    let at_owner = own.links + own.platform + from_agents + others(|c| c.links);
    let agent: f64 = rates.agents.iter().map(|c| c.links + c.platform).sum();
    let fleet = agents as f64;
    let reading = |name: &str, unit, value| Reading {
        name: format_compact!("{name}, {agents} agents"),
        unit,
        value,
    };
    let percent = "% of a core";
    vec![
        reading("control of the owner, both ways", "bytes/s", at_owner),
        reading(
            "control of a forwarding entry, both ways",
            "bytes/s",
            forwarder,
        ),
        reading("control of an agent, both ways", "bytes/s", agent / fleet),
        reading(
            "processor time of 3 entries together",
            percent,
            100.0 * rates.entry_cores,
        ),
        reading(
            "processor time of an agent",
            percent,
            100.0 * rates.agent_cores / fleet,
        ),
        reading("platform reads, 3 entries", "1/s", rates.reads),
        reading("platform writes, 3 entries", "1/s", rates.writes),
        reading("memory of all parts together", "MB", megabytes),
    ]
}

/// As many cells as entries, so that every entry owns one and forwards to all others.
async fn mesh(entries: usize, rounds: usize) -> anyhow::Result<Vec<Slope>> {
    let sizes = Sizes {
        entries,
        cells: entries as u16,
        agents: 0,
        slots: 8,
    };
    let parts = parts::open(sizes).await?;
    let begun = time::Instant::now();
    let owners = || {
        let nodes = parts.entries.iter();
        nodes.filter(|node| node.entry.owns_any()).count()
    };
    while owners() < entries && begun.elapsed() < PATIENCE {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let took = begun.elapsed().as_secs_f64();
    let owners = owners();
    let watched = watch(&parts, rounds).await;
    parts.stop().await;
    let reading = |name: &str, unit, value| Reading {
        name: format_compact!("{name}, {entries} entries and cells"),
        unit,
        value,
    };
    let size = entries as f64;
    let readings = |rates: &Rates| {
        let control: f64 = rates
            .entries
            .iter()
            .map(|c| 2.0 * c.links + c.platform)
            .sum();
        let percent = 100.0 * rates.entry_cores / size;
        vec![
            reading("entries that own a cell", "entries", owners as f64),
            reading("time until every entry owns one", "s", took),
            reading("control of an entry, both ways", "bytes/s", control / size),
            reading("processor time of an entry", "% of a core", percent),
            reading("platform reads", "1/s", rates.reads),
            reading("platform writes", "1/s", rates.writes),
        ]
    };
    let all: Vec<Vec<Reading>> = watched.iter().map(readings).collect();
    Ok(slope::gather("mesh", &all))
}
