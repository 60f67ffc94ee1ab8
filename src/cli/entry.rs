//! The settings of `lovagemill-entry`.

use std::time;

use clap::Parser;
use rustix::process;

use crate::cli::settings::{Daemon, DaemonOpts, Mistakes};
use crate::cli::{self, ExitCode};
use crate::code::Code;
use crate::count;
use crate::decide::clients::{Limits, Machine};
use crate::decide::owner;
use crate::entry;
use crate::logging;
use crate::wire::server;

/// Takes callers and operators over HTTP, owns cells and dispatches.
///
/// Every flag can be set in the environment instead, under the name that its help shows. A TERM
/// signal, or `lovagemill drain`, stops it gracefully. docs/SETTINGS.md explains the settings.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill-entry", version)]
pub struct Opts {
    /// Names this entry among all others
    #[arg(
        long,
        env = "LOVAGEMILL_ENTRY_ID",
        default_value = "",
        hide_default_value = true,
        value_name = "NAME"
    )]
    pub id: String,

    /// Where callers and operators connect
    #[arg(
        long,
        env = "LOVAGEMILL_HTTP",
        default_value = "127.0.0.1:7001",
        value_name = "IP:PORT"
    )]
    pub http: String,

    /// Where other entries connect
    #[arg(
        long,
        env = "LOVAGEMILL_PEER",
        default_value = "127.0.0.1:7101",
        value_name = "IP:PORT"
    )]
    pub peer: String,

    /// Longest that a stopping entry waits for what is in flight, in seconds
    #[arg(
        long,
        env = "LOVAGEMILL_DRAIN_SECONDS",
        allow_negative_numbers = true,
        default_value = "30",
        value_name = "SECONDS"
    )]
    pub drain_seconds: String,

    /// Memory of the machine that the entry may use, in MiB
    #[arg(
        long,
        env = "LOVAGEMILL_MEMORY_MB",
        allow_negative_numbers = true,
        default_value = "1024",
        value_name = "MIB"
    )]
    pub memory_mb: String,

    /// Most open connections of callers and operators
    #[arg(
        long,
        env = "LOVAGEMILL_CONNECTIONS",
        allow_negative_numbers = true,
        default_value = "3000",
        value_name = "COUNT"
    )]
    pub connections: String,

    /// Settings of every daemon
    #[command(flatten)]
    pub daemon: DaemonOpts,
}

impl Opts {
    /// Checks all settings and resolves them.
    ///
    /// # Errors
    ///
    /// Returns every mistake at once.
    pub fn resolve(&self) -> anyhow::Result<(entry::Config, Daemon)> {
        let mut mistakes = Mistakes::default();
        let id = mistakes.name("--id", &self.id);
        let http = mistakes.listen("--http", &self.http);
        let peer = mistakes.listen("--peer", &self.peer);
        let apart = http != peer || http.port() == 0;
        mistakes.expect(apart, "--peer", "use another address than --http");
        let drain = mistakes.number("--drain-seconds", &self.drain_seconds, 0..=3_600);
        let memory_mb = mistakes.number("--memory-mb", &self.memory_mb, 64..=1_048_576);
        let connections = mistakes.number("--connections", &self.connections, 1..=1_000_000);
        let daemon = self
            .daemon
            .resolve(&mut mistakes, "lovagemill-entry", &self.id);
        mistakes.finish()?;
        let clients = client_limits(memory_mb as usize, connections as usize);
        let cfg = entry::Config {
            id,
            http_addr: http,
            peer_addr: peer,
            advertise: daemon.advertise.clone(),
            cells: daemon.cells,
            policy: owner::Policy {
                // Jobs that wait take as much as requests may.
                max_open_bytes: clients.bytes,
                ..owner::Policy::default()
            },
            drain: time::Duration::from_secs(drain),
            clients,
        };
        Ok((cfg, daemon))
    }
}

/// Returns the limits on callers and operators: `most` connections, or fewer where the memory or the descriptors of the
/// process don't suffice.
fn client_limits(memory_mb: usize, most: usize) -> Limits {
    let descriptors = process::getrlimit(process::Resource::Nofile).current;
    let machine = Machine {
        memory: memory_mb * 1024 * 1024,
        sockets: descriptors.map_or(usize::MAX, |n| n as usize),
    };
    Limits::for_machine(machine, most, server::CONNECTION_BYTES)
}

/// Runs the entry until it is asked to stop.
///
/// # Errors
///
/// Returns mistaken settings and addresses that can't be bound.
pub async fn run(opts: Opts) -> anyhow::Result<ExitCode> {
    let (cfg, daemon) = opts.resolve()?;
    logging::init(&cfg.id);
    let traces = daemon.open_traces()?;
    let messages = count::Messages::default();
    let entry = entry::open(cfg, daemon.connect(&messages), messages).await;
    let entry = entry.map_err(cli::coded(Code::CannotListen))?;
    log::info!(
        "entry listens: http={} peer={}",
        entry.http_addr(),
        entry.peer_addr()
    );
    tokio::select! {
        () = cli::stop_signal() => {}
        () = entry.drain_requested() => {}
    }
    log::info!("entry drains");
    entry.stop().await;
    if let Some(traces) = traces {
        traces.stop().await;
    }
    log::info!("entry stopped");
    Ok(ExitCode::Success)
}
