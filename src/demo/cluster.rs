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
use crate::demo::deployment::Deployment;
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
    /// The entry.
    pub entry: entry::Entry,
    /// Between callers and the entry.
    pub callers: wan::Wan,
    /// Between other entries and the entry.
    pub peers: wan::Wan,
}

/// A worker: agent, backend server, and the relay in front of the agent.
pub struct WorkerNode {
    /// The agent.
    pub agent: agent::Agent,
    /// The backend server.
    pub backend: backend::Backend,
    /// Between owners and the agent.
    pub owners: wan::Wan,
    /// Its rack.
    pub rack: usize,
    /// Its failure domain.
    pub domain: usize,
}

/// Running parts.
pub struct Cluster {
    /// The platform.
    pub platform: platform::Platform,
    /// The entries.
    pub entries: Vec<EntryNode>,
    /// The workers.
    pub workers: Vec<WorkerNode>,
    messages: Vec<count::Messages>,
}

/// Opens the parts of a deployment and waits until they are ready.
pub async fn open(
    deployment: &Deployment,
    policy: owner::Policy,
    truth: Truth,
) -> anyhow::Result<Cluster> {
    let mut cluster = Cluster {
        platform: platform::bind(any()).await?,
        entries: Vec::new(),
        workers: Vec::new(),
        messages: Vec::new(),
    };
    cluster.configure(&deployment.config).await?;
    for number in 0..deployment.workers {
        let node = cluster
            .open_worker(deployment, number, truth.clone())
            .await?;
        cluster.workers.push(node);
    }
    for number in 0..deployment.entries {
        let node = cluster.open_entry(deployment, number, policy).await?;
        cluster.entries.push(node);
    }
    cluster.ready(deployment.slots()).await?;
    Ok(cluster)
}

fn any() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

impl Cluster {
    /// Where callers connect.
    pub fn entry_addrs(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|node| node.callers.addr().to_string())
            .collect()
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
    pub async fn stop(self) {
        for node in &self.entries {
            node.entry.kill();
        }
        for node in &self.workers {
            node.agent.kill();
            node.backend.kill();
        }
    }

    fn count(&mut self) -> count::Messages {
        let messages = count::Messages::default();
        self.messages.push(messages.clone());
        messages
    }

    /// Writes the first configuration, as operators would have.
    async fn configure(&mut self, document: &class::Document) -> anyhow::Result<()> {
        let first = class::Versioned {
            version: 1,
            document: document.clone(),
        };
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, self.count());
        let tx = Transaction::put_if(rows::CONFIG, 0, serde_json::to_string(&first)?);
        if (platform.table.commit)(tx).await.is_err() {
            bail!("the stand-in platform doesn't answer");
        }
        Ok(())
    }

    async fn open_entry(
        &mut self,
        deployment: &Deployment,
        number: usize,
        policy: owner::Policy,
    ) -> anyhow::Result<EntryNode> {
        let messages = self.count();
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, messages.clone());
        let peer_port = free_port()?;
        let peers = wan::bind(peer_port, deployment.domain_one_way).await?;
        let cfg = entry::Config {
            id: format_compact!("entry-{number}"),
            http_addr: any(),
            peer_addr: peer_port,
            advertise: Some(peers.addr().to_compact_string()),
            cells: deployment.cells,
            policy,
            drain: time::Duration::from_secs(30),
        };
        let entry = entry::open(cfg, platform, messages).await?;
        let callers = wan::bind(entry.http_addr(), deployment.client_one_way).await?;
        Ok(EntryNode {
            entry,
            callers,
            peers,
        })
    }

    async fn open_worker(
        &mut self,
        deployment: &Deployment,
        number: usize,
        truth: Truth,
    ) -> anyhow::Result<WorkerNode> {
        let messages = self.count();
        let addr = self.platform.addr().to_string();
        let platform = crate::wire::platform::connect(&addr, PLATFORM_LIMIT, messages.clone());
        let rack = number / deployment.workers_per_rack;
        let domain = rack % deployment.failure_domains.len();
        let link_port = free_port()?;
        let owners = wan::bind(link_port, deployment.domain_one_way).await?;
        let cfg = agent::Config {
            id: format_compact!("agent-{number:02}"),
            link_addr: link_port,
            announce_addr: any(),
            advertise: Some(owners.addr().to_compact_string()),
            failure_domain: deployment.failure_domains[domain].into(),
            rack: format_compact!("rack-{rack}"),
            cells: deployment.cells,
            linger: time::Duration::from_secs(15),
        };
        let agent = agent::open(cfg, platform, messages).await?;
        let cfg = backend::Config {
            id: format_compact!("backend-{number:02}"),
            addr: any(),
            agent: agent.announce_addr().to_compact_string(),
            slots: deployment.slots_per_worker,
            connections: deployment.connections,
            capacity: deployment.capacity,
        };
        let backend = backend::bind(cfg, truth).await?;
        Ok(WorkerNode {
            agent,
            backend,
            owners,
            rack,
            domain,
        })
    }

    /// Waits until one entry owns the cell, all entries know it, and all slots are there.
    async fn ready(&self, slots: u32) -> anyhow::Result<()> {
        let deadline = tokio::time::Instant::now() + READY;
        loop {
            let ready = self.entries.iter().all(|node| node.entry.is_ready());
            let there: u32 = self
                .entries
                .iter()
                .map(|node| node.entry.usable_slots())
                .sum();
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

/// An address that was free a moment ago, for a part whose relay must be known before it starts.
fn free_port() -> anyhow::Result<net::SocketAddr> {
    Ok(net::TcpListener::bind(any())?.local_addr()?)
}
