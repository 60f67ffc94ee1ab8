//! The faults that a demo injects: each is a short closure on the running cluster.
//!
//! `docs/FAULTS.md` says what each one does and what the system has to make of it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time;

use clap::ValueEnum;
use rand::Rng;
use serde::Serialize;
use tokio::sync::Mutex;

use crate::demo;
use crate::demo::caller::Caller;
use crate::demo::cluster::{Cluster, Death};
use crate::demo::deployment::Deployment;
use crate::demo::race;
use crate::demo::tally::Tally;
use crate::demo::workload::Arrival;
use crate::standin::backend::Conduct;
use crate::standin::platform::{Fault as TableFault, Operation};

/// How long the owner is paused: longer than others wait before they take its cell.
pub const PAUSE: time::Duration = time::Duration::from_secs(8);

/// What every operation on a slow table takes longer.
const SLOWER: time::Duration = time::Duration::from_millis(150);

/// Share of writes whose answers are lost.
const LOST_ANSWERS: f64 = 0.3;

/// One task in this many is a straggler, and how many times slower it is.
const STRAGGLERS: u64 = 20;
const STRAGGLER: u32 = 5;

/// Jobs of a wave of cancellations, and the tasks of each.
const WAVE: usize = 60;
const WAVE_TASKS: u64 = 8;

/// Longest that a fault waits for the owner that it is meant for.
const OWNER: time::Duration = time::Duration::from_secs(3);

/// A fault, as named on the command line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The entry that owns the cell dies; a new life follows
    EntryDeath,
    /// A worker's agent and backend server die; new lives follow
    AgentDeath,
    /// All workers of a rack are lost; new lives follow
    RackLoss,
    /// All workers and the entry of a failure domain are lost; new lives follow
    DomainLoss,
    /// The entry that owns the cell stops for seconds and resumes unaware
    Pause,
    /// The table refuses everything for seconds
    TableDown,
    /// The table is slow for seconds
    TableSlow,
    /// Writes to the table take effect and their answers are lost
    LostWriteAnswers,
    /// Open connections go silent for good while new ones work
    SilentConnection,
    /// A worker fails every task at once
    BlackHole,
    /// Some tasks run several times slower
    Stragglers,
    /// Callers cancel many jobs at once
    CancelWave,
    /// A backend server, an agent and an entry leave as planned
    Leave,
    /// Operators change the configuration at once, with lost answers
    OperatorRace,
}

/// All faults.
pub const ALL: &[Fault] = &[
    Fault::EntryDeath,
    Fault::AgentDeath,
    Fault::RackLoss,
    Fault::DomainLoss,
    Fault::Pause,
    Fault::TableDown,
    Fault::TableSlow,
    Fault::LostWriteAnswers,
    Fault::SilentConnection,
    Fault::BlackHole,
    Fault::Stragglers,
    Fault::CancelWave,
    Fault::Leave,
    Fault::OperatorRace,
];

impl Fault {
    /// The name on the command line.
    pub fn name(self) -> String {
        let value = self.to_possible_value();
        value.map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// What befalls the table now; several faults may hold at a time.
#[derive(Debug, Default)]
pub struct Table {
    down: AtomicBool,
    slow: AtomicBool,
    losing: AtomicBool,
}

impl Table {
    fn befall(&self, operation: Operation) -> TableFault {
        let is = |flag: &AtomicBool| flag.load(Ordering::SeqCst);
        let loses = operation == Operation::Write && is(&self.losing);
        if is(&self.down) {
            TableFault::Down
        } else if loses && rand::rng().random_bool(LOST_ANSWERS) {
            TableFault::AnswerLost
        } else if is(&self.slow) {
            TableFault::Slow(SLOWER)
        } else {
            TableFault::None
        }
    }
}

/// What faults work on.
pub struct Scene {
    /// The running parts.
    pub cluster: Mutex<Cluster>,
    /// What befalls the table.
    pub table: Arc<Table>,
    /// Callers and operators.
    pub caller: Caller,
    /// Sizes and customers.
    pub deployment: Deployment,
    /// How long a fault lasts.
    pub outage: time::Duration,
    /// Where what was seen is counted.
    pub tally: Arc<Tally>,
}

/// Puts the scene's table faults before the stand-in platform.
pub async fn arm(scene: &Arc<Scene>) {
    let table = scene.table.clone();
    let cluster = scene.cluster.lock().await;
    cluster
        .platform
        .fail(Arc::new(move |operation| table.befall(operation)));
}

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

/// Submits many jobs of the largest customer and withdraws all of them, through any entries.
async fn cancel_wave(scene: &Scene) {
    let class = scene.deployment.job_class;
    let target = scene.deployment.config.class(class).map(|c| c.target());
    let mut flights = tokio::task::JoinSet::new();
    for _ in 0..WAVE {
        let arrival = Arrival {
            after: time::Duration::ZERO,
            customer: scene.deployment.dominant.into(),
            class: class.into(),
            target: target.unwrap_or_default(),
            request: false,
            idempotent: true,
            tasks: vec![400; WAVE_TASKS as usize],
            value: rand::random(),
        };
        let (caller, tally) = (scene.caller.clone(), scene.tally.clone());
        flights.spawn(async move {
            let key = demo::mint(true);
            let cancelling = async {
                tokio::time::sleep(time::Duration::from_millis(300)).await;
                caller.cancel(&arrival.customer, &key).await;
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
