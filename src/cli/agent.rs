//! The settings of `lovagemill-agent`.

use std::time;

use clap::Parser;

use crate::agent;
use crate::cli::settings::{Daemon, DaemonOpts, Mistakes};
use crate::cli::{self, ExitCode};
use crate::code::Code;
use crate::count;
use crate::logging;

/// Runs beside a backend server: takes its announcement, owns its slots, starts its tasks.
///
/// Every flag can be set in the environment instead, under the name that its help shows. A TERM
/// signal stops it gracefully: what runs ends, and its answers are delivered. docs/SETTINGS.md
/// explains the settings.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill-agent", version)]
pub struct Opts {
    /// Names this agent among all others; the same again after a restart
    #[arg(
        long,
        env = "LOVAGEMILL_AGENT_ID",
        default_value = "",
        hide_default_value = true,
        value_name = "NAME"
    )]
    pub id: String,

    /// Where the owner of the agent's cell connects
    #[arg(
        long,
        env = "LOVAGEMILL_LINK",
        default_value = "127.0.0.1:7201",
        value_name = "IP:PORT"
    )]
    pub link: String,

    /// Where the backend server beside the agent announces itself
    #[arg(
        long,
        env = "LOVAGEMILL_ANNOUNCE",
        default_value = "127.0.0.1:7301",
        value_name = "IP:PORT"
    )]
    pub announce: String,

    /// The failure domain that the worker stands in
    #[arg(
        long,
        env = "LOVAGEMILL_FAILURE_DOMAIN",
        default_value = "default",
        value_name = "NAME"
    )]
    pub failure_domain: String,

    /// The rack that the worker stands in
    #[arg(
        long,
        env = "LOVAGEMILL_RACK",
        default_value = "default",
        value_name = "NAME"
    )]
    pub rack: String,

    /// Longest that a stopping agent keeps answers for their owner, in seconds
    #[arg(
        long,
        env = "LOVAGEMILL_LINGER_SECONDS",
        allow_negative_numbers = true,
        default_value = "15",
        value_name = "SECONDS"
    )]
    pub linger_seconds: String,

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
    pub fn resolve(&self) -> anyhow::Result<(agent::Config, Daemon)> {
        let mut mistakes = Mistakes::default();
        let id = mistakes.name("--id", &self.id);
        let link = mistakes.listen("--link", &self.link);
        let announce = mistakes.listen("--announce", &self.announce);
        let apart = link != announce || link.port() == 0;
        mistakes.expect(apart, "--announce", "use another address than --link");
        let failure_domain = mistakes.name("--failure-domain", &self.failure_domain);
        let rack = mistakes.name("--rack", &self.rack);
        let linger = mistakes.number("--linger-seconds", &self.linger_seconds, 0..=3_600);
        let daemon = self
            .daemon
            .resolve(&mut mistakes, "lovagemill-agent", &self.id);
        mistakes.finish()?;
        let cfg = agent::Config {
            id,
            link_addr: link,
            announce_addr: announce,
            advertise: daemon.advertise.clone(),
            failure_domain,
            rack,
            cells: daemon.cells,
            linger: time::Duration::from_secs(linger),
        };
        Ok((cfg, daemon))
    }
}

/// Runs the agent until it is asked to stop.
///
/// # Errors
///
/// Returns mistaken settings and addresses that can't be bound.
pub async fn run(opts: Opts) -> anyhow::Result<ExitCode> {
    let (cfg, daemon) = opts.resolve()?;
    logging::init(&cfg.id);
    let traces = daemon.open_traces()?;
    let messages = count::Messages::default();
    let agent = agent::open(cfg, daemon.connect(&messages), messages).await;
    let agent = agent.map_err(cli::coded(Code::CannotListen))?;
    log::info!(
        "agent listens: link={} announce={}",
        agent.link_addr(),
        agent.announce_addr()
    );
    cli::stop_signal().await;
    log::info!("agent drains");
    agent.stop().await;
    if let Some(traces) = traces {
        traces.stop().await;
    }
    log::info!("agent stopped");
    Ok(ExitCode::Success)
}
