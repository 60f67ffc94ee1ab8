//! The agent: the process beside a backend server that owns its slots and starts its tasks.

mod announce;
mod join;
mod large;
mod runner;
mod spans;
mod state;

use std::net;
use std::sync::Arc;
use std::time;

use compact_str::{CompactString, ToCompactString};
use tokio::task::JoinHandle;

use crate::count;
use crate::decide::notice;
use crate::id;
use crate::key;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::platform;
use crate::wire::server;
use runner::Work;

/// What an agent is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Names the agent.
    pub id: id::AgentId,
    /// Where the owner of its cell connects; port 0 takes any.
    pub link_addr: net::SocketAddr,
    /// Where the backend server beside it announces itself; port 0 takes any.
    pub announce_addr: net::SocketAddr,
    /// The address that owners are told, where it differs from `link_addr` (host and port).
    pub advertise: Option<CompactString>,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// Cells of the whole system.
    pub cells: u16,
    /// How long a stopping agent waits for its answers to be acknowledged.
    pub linger: time::Duration,
}

/// A running agent.
pub struct Agent {
    cell: id::Cell,
    cfg: Config,
    work: Arc<Work>,
    links: link::Server,
    announcing: server::Server,
    platform: platform::Platform,
    tasks: Vec<JoinHandle<()>>,
}

/// Opens an agent; it joins its cell as soon as the platform's table answers.
///
/// # Errors
///
/// Returns an error where an address can't be bound.
pub async fn open(
    cfg: Config,
    platform: platform::Platform,
    messages: count::Messages,
) -> anyhow::Result<Agent> {
    let work = Work::open(
        cfg.clone(),
        rand::random(),
        platform.objects.clone(),
        messages.clone(),
    );
    let links = link::bind(cfg.link_addr, service(&work, messages)).await?;
    let announcing = announce::bind(cfg.announce_addr, work.clone()).await?;
    let cell = key::cell(&cfg.id, cfg.cells);
    let addr = match &cfg.advertise {
        Some(addr) => addr.clone(),
        None => links.addr().to_compact_string(),
    };
    let joining = tokio::spawn(join::join(cell, addr, work.clone(), platform.table.clone()));
    let ticking = tokio::spawn(tick(work.clone()));
    Ok(Agent {
        cell,
        cfg,
        work,
        links,
        announcing,
        platform,
        tasks: vec![joining, ticking],
    })
}

impl Agent {
    /// Where owners connect.
    pub fn link_addr(&self) -> net::SocketAddr {
        self.links.addr()
    }

    /// Where the backend server announces itself.
    pub fn announce_addr(&self) -> net::SocketAddr {
        self.announcing.addr()
    }

    /// Its id.
    pub fn id(&self) -> &id::AgentId {
        &self.cfg.id
    }

    /// Drains and stops: nothing new is started, what runs ends, its answers are delivered.
    pub async fn stop(self) {
        self.work.drain();
        self.work.idle().await;
        let claimed = self.work.acknowledged(self.cfg.linger).await;
        join::leave(self.cell, &self.work, &self.platform.table, claimed).await;
        self.kill();
    }

    /// Ends at once, as a crash would.
    pub fn kill(&self) {
        self.work.abort();
        self.links.stop();
        self.announcing.stop();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

fn service(
    work: &Arc<Work>,
    messages: count::Messages,
) -> link::ServerHandlers<agent::Hello, notice::Notice, agent::Down, agent::Up> {
    let (greeting, taking) = (work.clone(), work.clone());
    link::ServerHandlers {
        on_open: Arc::new(move |hello: agent::Hello, tx| {
            greeting.greet(&hello, tx);
            let work = greeting.clone();
            Arc::new(move |notices: Vec<notice::Notice>| work.group(hello.link, notices))
        }),
        on_message: Arc::new(move |down| taking.take(down)),
        on_sent: Arc::new(move |up, bytes| messages.sent(agent::kind_up(&up.notices), bytes)),
        estimate_bytes: agent::estimate_notice_bytes,
    }
}

async fn tick(work: Arc<Work>) {
    let mut interval = tokio::time::interval(agent::TICK);
    loop {
        interval.tick().await;
        work.tick();
    }
}
