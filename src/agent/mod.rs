//! The agent: a process that runs beside a backend server, manages its slots and sends it the tasks
//! that the owner of the agent's cell orders it to start.

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
use runner::Runner;

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct Config {
    /// The agent's id, which also decides its cell.
    pub id: id::AgentId,
    /// Address at which the agent listens for the owner of its cell; port 0 selects a free port.
    pub link_addr: net::SocketAddr,
    /// Address at which it listens for announcements of the backend server; port 0 selects a free
    /// port.
    pub announce_addr: net::SocketAddr,
    /// Address in the agent's row, at which owners connect (host and port); `link_addr` if none.
    pub advertise: Option<CompactString>,
    /// Failure domain that the agent reports to the owner.
    pub failure_domain: CompactString,
    /// Rack that the agent reports to the owner.
    pub rack: CompactString,
    /// Number of cells in the whole system.
    pub cells: u16,
    /// Longest time that a stopping agent waits for its answers to be acknowledged.
    pub linger: time::Duration,
}

/// A running agent. Dropping it ends it at once, as [`Agent::kill`] does.
pub struct Agent {
    cell: id::Cell,
    cfg: Config,
    runner: Arc<Runner>,
    link_server: link::Server,
    announce_server: server::Server,
    platform: platform::Platform,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an agent. It joins its cell in the background, once the platform's table answers.
///
/// # Errors
///
/// Returns an error if one of the two addresses can't be bound.
pub async fn open(
    cfg: Config,
    platform: platform::Platform,
    messages: count::Messages,
) -> anyhow::Result<Agent> {
    let runner = Runner::open(
        cfg.clone(),
        rand::random(),
        platform.objects.clone(),
        messages.clone(),
    );
    let link_server = link::bind(cfg.link_addr, link_handlers(&runner, messages)).await?;
    let announce_server = announce::bind(cfg.announce_addr, runner.clone()).await?;
    let cell = key::cell(&cfg.id, cfg.cells);
    let addr = match &cfg.advertise {
        Some(addr) => addr.clone(),
        None => link_server.addr().to_compact_string(),
    };
    let joining = tokio::spawn(join::join(
        cell,
        addr,
        runner.clone(),
        platform.table.clone(),
    ));
    let ticking = tokio::spawn(tick(runner.clone()));
    Ok(Agent {
        cell,
        cfg,
        runner,
        link_server,
        announce_server,
        platform,
        tasks: vec![joining, ticking],
    })
}

impl Agent {
    /// Returns the bound address at which owners connect.
    pub fn link_addr(&self) -> net::SocketAddr {
        self.link_server.addr()
    }

    /// Returns the bound address at which the backend server announces itself.
    pub fn announce_addr(&self) -> net::SocketAddr {
        self.announce_server.addr()
    }

    /// Returns the agent's id.
    pub fn id(&self) -> &id::AgentId {
        &self.cfg.id
    }

    /// Drains and stops: refuses new starts, waits until all running tasks have ended, waits at
    /// most [`Config::linger`] for their answers to be acknowledged, and leaves the cell.
    pub async fn stop(self) {
        self.runner.drain();
        self.runner.wait_until_idle().await;
        let claimed = self.runner.wait_until_acknowledged(self.cfg.linger).await;
        join::leave(self.cell, &self.runner, &self.platform.table, claimed).await;
        self.kill();
    }

    /// Ends the agent at once, without draining, as a crash would.
    pub fn kill(&self) {
        self.runner.abort();
        self.link_server.stop();
        self.announce_server.stop();
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

/// Returns the handlers of the link server, which pass hellos and messages to the runner.
fn link_handlers(
    runner: &Arc<Runner>,
    messages: count::Messages,
) -> link::ServerHandlers<agent::Hello, notice::Notice, agent::Down, agent::Up> {
    let (hello_runner, message_runner) = (runner.clone(), runner.clone());
    link::ServerHandlers {
        on_open: Arc::new(move |hello: agent::Hello, tx| {
            hello_runner.handle_hello(&hello, tx);
            let runner = hello_runner.clone();
            Arc::new(move |notices: Vec<notice::Notice>| runner.batch_notices(hello.link, notices))
        }),
        on_message: Arc::new(move |down| message_runner.handle_message(down)),
        on_sent: Arc::new(move |up, bytes| messages.sent(agent::kind_up(&up.notices), bytes)),
        estimate_bytes: agent::estimate_notice_bytes,
    }
}

/// Calls [`Runner::tick`] every [`agent::TICK`].
async fn tick(runner: Arc<Runner>) {
    let mut interval = tokio::time::interval(agent::TICK);
    loop {
        interval.tick().await;
        runner.tick();
    }
}
