//! The parts of a demo: stand-in platform, entries, agents and backend servers on loopback, each
//! behind a relay that takes the deployment's latency.

use std::collections::BTreeMap;
use std::net;
use std::time;

use anyhow::bail;
use compact_str::{format_compact, ToCompactString};

use crate::agent;
use crate::class;
use crate::count;
use crate::decide::owner;
use crate::demo::caller;
use crate::demo::deployment::Deployment;
use crate::demo::threads::{self, Threads};
use crate::entry;
use crate::standin::backend;
use crate::standin::platform;
use crate::standin::truth::Truth;
use crate::standin::wan;
use crate::wire::platform::Transaction;
use crate::wire::rows;

/// How long the parts may take to get ready.
const READY: time::Duration = time::Duration::from_secs(10);

/// Longest that an operation on the stand-in platform may take.
const PLATFORM_LIMIT: time::Duration = time::Duration::from_millis(500);

/// An entry and the relays in front of it.
pub struct EntryNode {
    /// The entry; none once it died or stopped.
    pub entry: Option<entry::Entry>,
    /// Between callers and the entry.
    pub callers: wan::Wan,
    /// Between other entries and the entry.
    pub peers: wan::Wan,
    threads: Option<Threads>,
}

/// A worker: agent, backend server, and the relay in front of the agent.
pub struct WorkerNode {
    /// The agent; none once it died or stopped.
    pub agent: Option<agent::Agent>,
    /// The backend server.
    pub backend: backend::Backend,
    /// Between owners and the agent.
    pub owners: wan::Wan,
    /// Its rack.
    pub rack: usize,
    /// Its failure domain.
    pub domain: usize,
}

/// How a part goes down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Death {
    /// Its process dies; its machine refuses connections.
    Process,
    /// Its machine is gone; connections to it get no answer.
    Machine,
}

/// What a cluster is opened with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Sizes and latencies.
    pub deployment: Deployment,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// How long a stopping agent waits for its answers to be acknowledged.
    pub linger: time::Duration,
    /// Whether each entry runs on threads of its own, so that it can be paused.
    pub own_threads: bool,
}

/// Running parts.
pub struct Cluster {
    /// The platform.
    pub platform: platform::Platform,
    /// The entries.
    pub entries: Vec<EntryNode>,
    /// The workers.
    pub workers: Vec<WorkerNode>,
    setup: Setup,
    truth: Truth,
    addrs: caller::Addrs,
    messages: Vec<count::Messages>,
}

/// Opens the parts of a deployment and waits until they are ready.
///
/// # Errors
///
/// Returns an error where a part can't be opened, or all of them don't get ready in time.
pub async fn open(setup: Setup, truth: Truth) -> anyhow::Result<Cluster> {
    let (workers, entries) = (setup.deployment.workers, setup.deployment.entries);
    let mut cluster = Cluster {
        platform: platform::bind(any()).await?,
        entries: Vec::new(),
        workers: Vec::new(),
        setup,
        truth,
        addrs: caller::Addrs::default(),
        messages: Vec::new(),
    };
    cluster.configure().await?;
    for number in 0..workers {
        let node = cluster.open_worker(number).await?;
        cluster.workers.push(node);
    }
    for number in 0..entries {
        let node = cluster.open_entry(number).await?;
        cluster.entries.push(node);
    }
    cluster.list();
    cluster.ready().await?;
    Ok(cluster)
}

fn any() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

impl Cluster {
    /// Where callers connect; kept current as entries are replaced.
    pub fn addrs(&self) -> caller::Addrs {
        self.addrs.clone()
    }

    /// The failure domain of an entry.
    pub fn domain_of(&self, entry: usize) -> usize {
        entry % self.setup.deployment.failure_domains.len()
    }

    /// The entry that owns the cell, if one is there that does.
    pub fn owner(&self) -> Option<usize> {
        let owns = |node: &EntryNode| node.entry.as_ref().is_some_and(entry::Entry::owns_any);
        self.entries.iter().position(owns)
    }

    /// Messages so far, by kind, over all parts.
    pub fn messages(&self) -> BTreeMap<&'static str, u64> {
        let mut all = BTreeMap::new();
        for messages in &self.messages {
            for (kind, n) in messages.by_kind() {
                *all.entry(kind).or_default() += n;
            }
        }
        all
    }

    /// Messages since an earlier count.
    pub fn messages_since(
        &self,
        before: &BTreeMap<&'static str, u64>,
    ) -> BTreeMap<&'static str, u64> {
        let mut all = self.messages();
        for (kind, n) in &mut all {
            *n -= before.get(kind).copied().unwrap_or(0);
        }
        all
    }

    /// Stops all parts at once.
    pub fn stop(&mut self) {
        for number in 0..self.entries.len() {
            self.kill_entry(number, Death::Process);
        }
        for node in &mut self.workers {
            node.backend.kill();
            node.agent = None;
        }
    }

    /// Ends an entry as a death would, without a word to anybody.
    pub fn kill_entry(&mut self, number: usize, death: Death) {
        let node = &mut self.entries[number];
        // The balancer takes a dead entry out, so callers are refused either way.
        node.callers.refuse();
        match death {
            Death::Process => node.peers.refuse(),
            Death::Machine => node.peers.cut(true),
        }
        node.threads = None;
        node.entry = None;
    }

    /// Ends a worker as a death would; counts it unless it was down.
    pub fn kill_worker(&mut self, number: usize, death: Death) {
        let node = &mut self.workers[number];
        match death {
            Death::Process => node.owners.refuse(),
            Death::Machine => node.owners.cut(true),
        }
        node.backend.kill();
        node.agent = None;
        self.truth.worker_died();
    }

    /// Ends what is left of a worker that has left as planned.
    pub fn retire_worker(&mut self, number: usize) {
        let node = &mut self.workers[number];
        node.agent = None;
        node.backend.kill();
    }

    /// Takes an entry out of its place, to stop it as planned.
    pub fn take_entry(&mut self, number: usize) -> Option<entry::Entry> {
        self.entries[number].entry.take()
    }

    /// Puts a new life of an entry into its place.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be opened.
    pub async fn replace_entry(&mut self, number: usize) -> anyhow::Result<()> {
        self.entries[number] = self.open_entry(number).await?;
        self.list();
        Ok(())
    }

    /// Puts a new life of a worker into its place.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be opened.
    pub async fn replace_worker(&mut self, number: usize) -> anyhow::Result<()> {
        self.workers[number] = self.open_worker(number).await?;
        Ok(())
    }

    /// Pauses an entry that runs on threads of its own.
    pub fn pause_entry(&self, number: usize, pause: time::Duration) {
        if let Some(threads) = &self.entries[number].threads {
            threads.pause(pause);
        }
    }

    fn list(&self) {
        let addr = |node: &EntryNode| node.callers.addr().to_string();
        self.addrs.set(self.entries.iter().map(addr).collect());
    }

    fn count(&mut self) -> count::Messages {
        let messages = count::Messages::default();
        self.messages.push(messages.clone());
        messages
    }

    /// Writes the first configuration, as operators would have.
    async fn configure(&mut self) -> anyhow::Result<()> {
        let first = class::Versioned {
            version: 1,
            document: self.setup.deployment.config.clone(),
        };
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, self.count());
        let tx = Transaction::put_if(rows::CONFIG, 0, serde_json::to_string(&first)?);
        if (platform.table.commit)(tx).await.is_err() {
            bail!("the stand-in platform doesn't answer");
        }
        Ok(())
    }

    async fn open_entry(&mut self, number: usize) -> anyhow::Result<EntryNode> {
        let messages = self.count();
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, messages.clone());
        let deployment = &self.setup.deployment;
        let peers = wan::bind(deployment.domain_one_way).await?;
        let cfg = entry::Config {
            id: format_compact!("entry-{number}"),
            http_addr: any(),
            peer_addr: any(),
            advertise: Some(peers.addr().to_compact_string()),
            cells: deployment.cells,
            policy: self.setup.policy,
            clients: entry::DEFAULT_CLIENTS,
            drain: time::Duration::from_secs(30),
        };
        let opening = entry::open(cfg, platform, messages);
        let (entry, threads) = if self.setup.own_threads {
            let threads = threads::open()?;
            (threads.run(opening).await??, Some(threads))
        } else {
            (opening.await?, None)
        };
        peers.lead_to(entry.peer_addr());
        let callers = wan::bind(deployment.client_one_way).await?;
        callers.lead_to(entry.http_addr());
        Ok(EntryNode {
            entry: Some(entry),
            callers,
            peers,
            threads,
        })
    }

    async fn open_worker(&mut self, number: usize) -> anyhow::Result<WorkerNode> {
        let messages = self.count();
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, messages.clone());
        let deployment = &self.setup.deployment;
        let rack = number / deployment.workers_per_rack;
        let domain = rack % deployment.failure_domains.len();
        let owners = wan::bind(deployment.domain_one_way).await?;
        let cfg = agent::Config {
            id: format_compact!("agent-{number:02}"),
            link_addr: any(),
            announce_addr: any(),
            advertise: Some(owners.addr().to_compact_string()),
            failure_domain: deployment.failure_domains[domain].into(),
            rack: format_compact!("rack-{rack}"),
            cells: deployment.cells,
            linger: self.setup.linger,
        };
        let agent = agent::open(cfg, platform, messages).await?;
        owners.lead_to(agent.link_addr());
        let cfg = backend::Config {
            id: format_compact!("backend-{number:02}"),
            addr: any(),
            agent: agent.announce_addr().to_compact_string(),
            slots: deployment.slots_per_worker,
            connections: deployment.connections,
            capacity: deployment.capacity,
        };
        let backend = backend::bind(cfg, self.truth.clone()).await?;
        Ok(WorkerNode {
            agent: Some(agent),
            backend,
            owners,
            rack,
            domain,
        })
    }

    /// Waits until one entry owns the cell, all entries know it, and all slots are there.
    async fn ready(&self) -> anyhow::Result<()> {
        let slots = self.setup.deployment.slots();
        let deadline = tokio::time::Instant::now() + READY;
        loop {
            let entries = || self.entries.iter().filter_map(|node| node.entry.as_ref());
            let ready = entries().all(entry::Entry::is_ready);
            let there: u32 = entries().map(entry::Entry::usable_slots).sum();
            if ready && there >= slots {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                bail!(
                    "the parts didn't get ready in {READY:?}: {there} of {slots} slots are there"
                );
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}
