//! The entry: takes callers and operators over HTTP, owns cells, dispatches.

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
use crate::decide::owner;
use crate::id;
use crate::wire::link;
use crate::wire::platform;
use crate::wire::server;

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Names the entry.
    pub id: id::EntryId,
    /// Where callers and operators connect; port 0 takes any.
    pub http_addr: net::SocketAddr,
    /// Where other entries connect; port 0 takes any.
    pub peer_addr: net::SocketAddr,
    /// The address that other entries are told, where it differs (host and port).
    pub advertise: Option<CompactString>,
    /// Cells of the whole system; the same for every process.
    pub cells: u16,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// How long a stopping entry waits for what is in flight.
    pub drain: time::Duration,
}

/// A running entry.
pub struct Entry {
    core: Arc<Core>,
    http: server::Server,
    peers: link::Server,
    tasks: Vec<JoinHandle<()>>,
}

/// Opens an entry; it serves once it has read a configuration.
///
/// # Errors
///
/// Returns an error where an address can't be bound.
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
        events::ownership,
    );
    core_ref.put(&core);
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
        tokio::spawn(core.config.clone().run(events::config(core))),
        tokio::spawn(core.ownership.clone().run()),
        tokio::spawn(peering::tend(Arc::downgrade(core))),
    ]
}

impl Entry {
    /// Where callers and operators connect.
    pub fn http_addr(&self) -> net::SocketAddr {
        self.http.addr()
    }

    /// Where other entries connect.
    pub fn peer_addr(&self) -> net::SocketAddr {
        self.peers.addr()
    }

    /// Its id.
    pub fn id(&self) -> &id::EntryId {
        &self.core.cfg.id
    }

    /// Tells whether this entry owns a cell.
    pub fn owns_any(&self) -> bool {
        self.core.owns_any()
    }

    /// Tells whether submissions would be taken now.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Slots of usable agents in the cells that this entry owns.
    pub fn usable_slots(&self) -> u32 {
        self.core.usable_slots()
    }

    /// Waits until an operator asks for a drain.
    pub async fn stop_asked(&self) {
        self.core.stop_asked().await;
    }

    /// Drains and stops: refuses new submissions, hands its cells over, answers its callers.
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
