//! The entry process: serves callers and operators over HTTP, owns cells and dispatches their
//! tasks to agents.

mod agent_link;
mod cell;
mod claiming;
mod core;
mod events;
mod http;
mod inward;
mod inward_links;
mod linking;
mod offload;
pub mod operate;
mod owning;
mod peering;
mod peers;
mod scope;
mod spans;
pub mod status;

use std::net;
use std::sync::Arc;
use std::time;

use compact_str::{CompactString, ToCompactString};
use tokio::task::JoinHandle;

use self::core::Core;
use self::inward_links::InwardLinks;
use crate::count;
use crate::decide::clients::Limits;
use crate::decide::owner;
use crate::id;
use crate::wire::link;
use crate::wire::platform;
use crate::wire::server;

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's name in the table, in links and in logs.
    pub id: id::EntryId,
    /// The address that callers and operators connect to; port 0 binds any free port.
    pub http_addr: net::SocketAddr,
    /// The address that other entries connect to; port 0 binds any free port.
    pub peer_addr: net::SocketAddr,
    /// The address (host and port) under which other entries reach `peer_addr`, where it differs.
    pub advertise: Option<CompactString>,
    /// The number of cells in the whole system; every process has the same.
    pub cells: u16,
    /// How owners order waiting tasks and choose agents for them.
    pub policy: owner::Policy,
    /// Longest that a stopping entry waits for the submissions in flight.
    pub drain: time::Duration,
    /// What callers and operators may take of the process together.
    pub clients: Limits,
}

/// The limits on callers and operators of an entry whose settings don't say them; docs/SETTINGS.md explains them.
pub const DEFAULT_CLIENTS: Limits = Limits {
    connections: 3_000,
    bytes: 128 * 1024 * 1024,
};

/// A running entry; dropping it ends it at once.
pub struct Entry {
    core: Arc<Core>,
    http: server::Server,
    peers: link::Server,
    tasks: Vec<JoinHandle<()>>,
}

/// Opens an entry. It takes submissions once it has read a configuration and knows a cell's owner.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn open(
    cfg: Config,
    platform: platform::Platform,
    messages: count::Messages,
) -> anyhow::Result<Entry> {
    let (inward_links, core_ref) = (InwardLinks::default(), inward::CoreRef::default());
    let service = inward::service(&inward_links, &core_ref, cfg.id.clone(), messages.clone());
    let peers = link::bind(cfg.peer_addr, service).await?;
    let addr = match &cfg.advertise {
        Some(addr) => addr.clone(),
        None => peers.addr().to_compact_string(),
    };
    let core = Core::open(
        cfg.clone(),
        addr,
        platform,
        messages,
        inward_links,
        events::ownership_events,
    );
    core_ref.set(&core);
    let http = http::bind(cfg.http_addr, core.clone()).await?;
    let tasks = spawn(&core);
    Ok(Entry {
        core,
        http,
        peers,
        tasks,
    })
}

fn spawn(core: &Arc<Core>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(core.config.clone().run(events::config_events(core))),
        tokio::spawn(core.ownership.clone().run()),
        tokio::spawn(peering::maintain_links(Arc::downgrade(core))),
    ]
}

impl Entry {
    /// The bound address for callers and operators.
    pub fn http_addr(&self) -> net::SocketAddr {
        self.http.addr()
    }

    /// The bound address for other entries.
    pub fn peer_addr(&self) -> net::SocketAddr {
        self.peers.addr()
    }

    /// The id that the entry was opened with.
    pub fn id(&self) -> &id::EntryId {
        &self.core.cfg.id
    }

    /// Tells whether this entry owns at least one cell.
    pub fn owns_any(&self) -> bool {
        self.core.owns_any()
    }

    /// Tells whether the entry takes submissions now: it isn't draining, has a configuration and
    /// knows the owner of at least one cell.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// The number of slots of usable agents in the cells that this entry owns.
    pub fn usable_slots(&self) -> u32 {
        self.core.usable_slots()
    }

    /// Waits until an operator asks for a drain.
    pub async fn drain_requested(&self) {
        self.core.drain_requested().await;
    }

    /// Drains and stops: refuses new submissions, hands its cells over and answers its callers.
    pub async fn stop(self) {
        self.core.drain().await;
        self.kill();
    }

    /// Ends at once, as a crash would.
    pub fn kill(&self) {
        self.core.close();
        self.http.stop();
        self.peers.stop();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
