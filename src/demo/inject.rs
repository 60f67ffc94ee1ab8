//! Injects the faults of a demo: each is a short function on the running cluster.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time;

use crate::demo::caller;
use crate::demo::cluster::Death;
use crate::demo::fault::Fault;
use crate::demo::race;
use crate::demo::scene::Scene;
use crate::demo::workload::Arrival;
use crate::standin::backend::Conduct;

/// How long the owner is paused: longer than others wait before they take its cell.
pub const PAUSE: time::Duration = time::Duration::from_secs(8);

/// One task in this many is a straggler, and how many times slower it is.
const STRAGGLERS: u64 = 20;
const STRAGGLER: u32 = 5;

/// Jobs of a wave of cancellations, and the tasks of each.
const WAVE: usize = 60;
const WAVE_TASKS: u64 = 8;

/// Longest that a fault waits for the owner that it is meant for.
const OWNER: time::Duration = time::Duration::from_secs(3);

/// Injects a fault and returns once it is over.
///
/// # Errors
///
/// Returns an error where a new life can't be opened.
pub async fn inject(fault: Fault, scene: Arc<Scene>) -> anyhow::Result<()> {
    log::info!("fault {} begins", fault.name());
    match fault {
        Fault::EntryDeath => entry_death(&scene).await?,
        Fault::AgentDeath => lose_workers(&scene, |_, number| number == 1, Death::Process).await?,
        Fault::RackLoss => lose_workers(&scene, |rack, _| rack == 1, Death::Machine).await?,
        Fault::DomainLoss => domain_loss(&scene).await?,
        Fault::Pause => pause(&scene).await,
        Fault::TableDown => hold(&scene, &scene.table.down).await,
        Fault::TableSlow => hold(&scene, &scene.table.slow).await,
        Fault::LostWriteAnswers => hold(&scene, &scene.table.losing).await,
        Fault::SilentConnection => silence(&scene).await,
        Fault::BlackHole => black_hole(&scene).await,
        Fault::Stragglers => stragglers(&scene).await,
        Fault::CancelWave => cancel_wave(&scene).await,
        Fault::Leave => leave(&scene).await?,
        Fault::OperatorRace => {
            scene.table.losing.store(true, Ordering::SeqCst);
            race::run(&scene).await;
            scene.table.losing.store(false, Ordering::SeqCst);
        }
    }
    log::info!("fault {} is over", fault.name());
    Ok(())
}

/// Waits for the owner of the cell; the first entry where there is none for long.
async fn owner(scene: &Scene) -> usize {
    let deadline = time::Instant::now() + OWNER;
    while time::Instant::now() < deadline {
        if let Some(owner) = scene.cluster.lock().await.owner() {
            return owner;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    0
}

async fn entry_death(scene: &Scene) -> anyhow::Result<()> {
    let number = owner(scene).await;
    scene
        .cluster
        .lock()
        .await
        .kill_entry(number, Death::Process);
    tokio::time::sleep(scene.outage).await;
    scene.cluster.lock().await.replace_entry(number).await
}

/// Loses the workers that are meant, by rack and number, and brings new lives of them.
async fn lose_workers(
    scene: &Scene,
    meant: impl Fn(usize, usize) -> bool,
    death: Death,
) -> anyhow::Result<()> {
    let mut lost = Vec::new();
    {
        let mut cluster = scene.cluster.lock().await;
        for number in 0..cluster.workers.len() {
            if meant(cluster.workers[number].rack, number) {
                cluster.kill_worker(number, death);
                lost.push(number);
            }
        }
    }
    tokio::time::sleep(scene.outage).await;
    for number in lost {
        scene.cluster.lock().await.replace_worker(number).await?;
    }
    Ok(())
}

async fn domain_loss(scene: &Scene) -> anyhow::Result<()> {
    let entry = owner(scene).await;
    let (domain, racks) = {
        let mut cluster = scene.cluster.lock().await;
        cluster.kill_entry(entry, Death::Machine);
        let domain = cluster.domain_of(entry);
        let racks: Vec<(usize, usize)> =
            cluster.workers.iter().map(|w| (w.rack, w.domain)).collect();
        (domain, racks)
    };
    let in_domain = |rack, _| racks.contains(&(rack, domain));
    lose_workers(scene, in_domain, Death::Machine).await?;
    scene.cluster.lock().await.replace_entry(entry).await
}

async fn pause(scene: &Scene) {
    let number = owner(scene).await;
    scene.cluster.lock().await.pause_entry(number, PAUSE);
    tokio::time::sleep(PAUSE).await;
}

/// Keeps a fault of the table for a while.
async fn hold(scene: &Scene, flag: &AtomicBool) {
    flag.store(true, Ordering::SeqCst);
    tokio::time::sleep(scene.outage).await;
    flag.store(false, Ordering::SeqCst);
}

async fn silence(scene: &Scene) {
    let cluster = scene.cluster.lock().await;
    for node in &cluster.workers {
        node.owners.silence();
    }
    for node in &cluster.entries {
        node.peers.silence();
    }
}

async fn black_hole(scene: &Scene) {
    let number = 2;
    let behave = |conduct: Conduct| async move {
        let cluster = scene.cluster.lock().await;
        cluster.workers[number]
            .backend
            .behave(Arc::new(move |_| conduct));
    };
    behave(Conduct::Fail).await;
    tokio::time::sleep(scene.outage).await;
    behave(Conduct::Run).await;
}

async fn stragglers(scene: &Scene) {
    let straggles = |id: &crate::task::Id| {
        let text = format!("{}/{}", id.job, id.index);
        crate::key::digest(text.as_bytes()).is_multiple_of(STRAGGLERS)
    };
    let behave = |conduct: Conduct| async move {
        let cluster = scene.cluster.lock().await;
        // The worker of the black hole keeps its own conduct.
        for (_, node) in cluster.workers.iter().enumerate().filter(|(n, _)| *n != 2) {
            let conducts = move |id: &crate::task::Id| match straggles(id) {
                true => conduct,
                false => Conduct::Run,
            };
            node.backend.behave(Arc::new(conducts));
        }
    };
    behave(Conduct::Slow(STRAGGLER)).await;
    tokio::time::sleep(scene.outage).await;
    behave(Conduct::Run).await;
}

/// Submits many jobs of the largest client account and withdraws all of them, through any entries.
async fn cancel_wave(scene: &Scene) {
    let class = scene.deployment.job_class;
    let target = scene.deployment.config.class(class).map(|c| c.target());
    let mut flights = tokio::task::JoinSet::new();
    for _ in 0..WAVE {
        let arrival = Arrival {
            after: time::Duration::ZERO,
            client_account: scene.deployment.dominant.into(),
            class: class.into(),
            target: target.unwrap_or_default(),
            request: false,
            idempotent: true,
            tasks: vec![400; WAVE_TASKS as usize],
            value: rand::random(),
        };
        let (caller, tally) = (scene.caller.clone(), scene.tally.clone());
        flights.spawn(async move {
            let key = caller::mint(true);
            let cancelling = async {
                tokio::time::sleep(time::Duration::from_millis(300)).await;
                caller.cancel(&arrival.client_account, &key).await;
            };
            tokio::join!(caller.run(&arrival, &key), cancelling);
            tally.withdrawn();
        });
    }
    while flights.join_next().await.is_some() {}
}

async fn leave(scene: &Scene) -> anyhow::Result<()> {
    let entry = owner(scene).await;
    let (agent, entry_leaving) = {
        let mut cluster = scene.cluster.lock().await;
        (cluster.workers[7].agent.take(), cluster.take_entry(entry))
    };
    let backend = async {
        let cluster = scene.cluster.lock().await;
        cluster.workers[5].backend.leave().await;
    };
    let stop_agent = async {
        if let Some(agent) = agent {
            agent.stop().await;
        }
    };
    let stop_entry = async {
        if let Some(entry) = entry_leaving {
            entry.stop().await;
        }
    };
    tokio::join!(backend, stop_agent, stop_entry);
    tokio::time::sleep(scene.outage).await;
    let mut cluster = scene.cluster.lock().await;
    cluster.retire_worker(5);
    cluster.retire_worker(7);
    cluster.replace_worker(5).await?;
    cluster.replace_worker(7).await?;
    cluster.replace_entry(entry).await
}
