//! The demo: the real parts in one process on loopback, a workload, and what came of it.

pub mod caller;
pub mod cluster;
pub mod config;
pub mod deployment;
pub mod ended;
pub mod fault;
pub mod inject;
pub mod pairs;
pub mod race;
pub mod report;
pub mod scene;
pub mod tally;
pub mod threads;
pub mod workload;

use std::sync::Arc;
use std::time;

use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::standin::truth::Truth;

pub use config::Config;

/// When the first fault is injected, as a share of the time that work is offered.
const FIRST_FAULT: f64 = 0.25;

/// Pause before the next fault, so that it meets the recovery of the one before.
const NEXT_FAULT: time::Duration = time::Duration::from_millis(700);

/// How long a fault lasts, as a share of the time that work is offered, and the bounds of that.
const OUTAGE: f64 = 0.4;
const MIN_OUTAGE: time::Duration = time::Duration::from_millis(500);
const MAX_OUTAGE: time::Duration = time::Duration::from_secs(10);

/// How long a stopping agent waits for its answers to be acknowledged: longer than owners keep them.
const LINGER: time::Duration = time::Duration::from_secs(15);

/// Runs a demo and reports.
///
/// # Errors
///
/// Returns an error where the parts can't be opened or never get ready.
pub async fn run(cfg: Config) -> anyhow::Result<report::Report> {
    let truth = Truth::default();
    let setup = cluster::Setup {
        deployment: cfg.deployment.clone(),
        policy: cfg.policy,
        linger: LINGER,
        own_threads: cfg.faults.contains(&fault::Fault::Pause),
    };
    let cluster = cluster::open(setup, truth.clone()).await?;
    let before = cluster.messages();
    let tally = Arc::new(tally::Tally::open());
    let target = caller::Target {
        entries: cluster.addrs(),
        one_way: cfg.deployment.client_one_way,
        slots: cfg.deployment.slots(),
        truth: Some(truth.clone()),
    };
    let caller = caller::open(target, tally.clone());
    let outage = cfg.duration.mul_f64(OUTAGE);
    let scene = Arc::new(scene::Scene {
        cluster: Mutex::new(cluster),
        table: Arc::default(),
        caller: caller.clone(),
        deployment: cfg.deployment.clone(),
        outage: outage.clamp(MIN_OUTAGE, MAX_OUTAGE),
        tally: tally.clone(),
    });
    scene::arm(&scene).await;
    let faults = tokio::spawn(inject_all(cfg.clone(), scene.clone()));
    let took = offer(&cfg, caller, &tally).await;
    faults.await??;
    let mut report = tally.report(&cfg, &truth, took);
    let mut cluster = scene.cluster.lock().await;
    report.count_messages(cluster.messages_since(&before));
    cluster.stop();
    Ok(report)
}

/// Injects the faults one after the other, and waits until all are over.
async fn inject_all(cfg: Config, scene: Arc<scene::Scene>) -> anyhow::Result<()> {
    let mut running = JoinSet::new();
    let mut pause = cfg.duration.mul_f64(FIRST_FAULT);
    for fault in &cfg.faults {
        tokio::time::sleep(pause).await;
        pause = NEXT_FAULT;
        scene.tally.injected();
        running.spawn(inject::inject(*fault, scene.clone()));
    }
    while let Some(over) = running.join_next().await {
        over??;
    }
    Ok(())
}

/// Drives callers against running entries; returns what they saw, and how long it took.
pub async fn load(cfg: &Config, target: caller::Target) -> (Arc<tally::Tally>, time::Duration) {
    let tally = Arc::new(tally::Tally::open());
    let caller = caller::open(target, tally.clone());
    let took = offer(cfg, caller, &tally).await;
    (tally, took)
}

/// Offers a workload until every submission has ended. Returns how long that took.
async fn offer(cfg: &Config, caller: caller::Caller, tally: &tally::Tally) -> time::Duration {
    let mut load = workload::open(&cfg.deployment, cfg.seed, cfg.dominant_load, cfg.small_load);
    let begun = time::Instant::now();
    let mut due = begun;
    let mut flights = JoinSet::new();
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
    begun.elapsed()
}
