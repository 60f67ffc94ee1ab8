//! The demo: the real parts in one process on loopback, a workload, and what came of it.

pub mod caller;
pub mod cluster;
pub mod deployment;
pub mod report;
pub mod workload;

use std::sync::Arc;
use std::time;

use crate::clock;
use crate::decide::owner;
use crate::key;
use crate::standin::truth::Truth;

/// What a demo is run with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Whose sizes, latencies and workload.
    pub deployment: deployment::Deployment,
    /// How long work is offered.
    pub duration: time::Duration,
    /// Seeds the workload.
    pub seed: u64,
    /// Work that the largest customer offers, as a share of the capacity.
    pub dominant_load: f64,
    /// Work that all others offer together, as a share of the capacity.
    pub small_load: f64,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// Whether callers use keys that tell their age.
    pub aged_keys: bool,
    /// Whether progress is shown on the terminal.
    pub progress: bool,
}

/// Runs a demo and reports.
///
/// # Errors
///
/// Returns an error where the parts can't be opened or never get ready.
pub async fn run(cfg: Config) -> anyhow::Result<report::Report> {
    let truth = Truth::default();
    let cluster = cluster::open(&cfg.deployment, cfg.policy, truth.clone()).await?;
    let before = cluster.messages();
    let target = caller::Target {
        entries: cluster.entry_addrs(),
        one_way: cfg.deployment.client_one_way,
        slots: cfg.deployment.slots(),
        truth: Some(truth.clone()),
    };
    let (tally, took) = offer(&cfg, target).await;
    let mut report = tally.report(&cfg, &truth, took);
    report.count_messages(cluster.messages_since(&before));
    cluster.stop().await;
    Ok(report)
}

/// Offers a workload to running entries; returns what callers saw, and how long it took.
pub async fn offer(cfg: &Config, target: caller::Target) -> (Arc<report::Tally>, time::Duration) {
    let mut load = workload::open(&cfg.deployment, cfg.seed, cfg.dominant_load, cfg.small_load);
    let tally = Arc::new(report::Tally::open());
    let caller = caller::open(target, tally.clone());
    let begun = time::Instant::now();
    let mut due = begun;
    let mut flights = tokio::task::JoinSet::new();
    loop {
        let arrival = load.next();
        due += arrival.after;
        if due.duration_since(begun) >= cfg.duration {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        while flights.try_join_next().is_some() {}
        let caller = caller.clone();
        let aged = cfg.aged_keys;
        flights.spawn(async move { caller.submit(arrival, aged).await });
        if cfg.progress {
            tally.show_progress(begun.elapsed(), cfg.duration);
        }
    }
    while flights.join_next().await.is_some() {}
    if cfg.progress {
        tally.end_progress();
    }
    (tally, begun.elapsed())
}

/// Mints a submission key; one that tells its age, or a plain random one.
pub fn mint(aged: bool) -> String {
    if aged {
        key::mint(clock::since_epoch(), rand::random())
    } else {
        format!("{:032x}", rand::random::<u128>())
    }
}
