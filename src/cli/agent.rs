//! The settings of `lovagemill-agent`.

use std::net;
use std::time;

use clap::Parser;
use compact_str::CompactString;

use crate::agent;
use crate::class;
use crate::cli::entry::is_address;
use crate::cli::{self, ExitCode, Mistakes};
use crate::count;
use crate::logging;
use crate::wire::platform;

/// Runs beside a backend server: takes its announcement, owns its slots, starts its tasks.
///
/// Every flag can be set in the environment instead, under the name that its help shows.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill-agent", version)]
pub struct Opts {
    /// Names this agent among all others; the same again after a restart
    #[arg(long, env = "LOVAGEMILL_AGENT_ID")]
    pub id: String,

    /// Where the owner of the agent's cell connects
    #[arg(long, env = "LOVAGEMILL_LINK", default_value = "127.0.0.1:7201")]
    pub link: net::SocketAddr,

    /// Where the backend server beside the agent announces itself
    #[arg(long, env = "LOVAGEMILL_ANNOUNCE", default_value = "127.0.0.1:7301")]
    pub announce: net::SocketAddr,

    /// The address that owners are told, where it differs from --link
    #[arg(long, env = "LOVAGEMILL_ADVERTISE", value_name = "HOST:PORT")]
    pub advertise: Option<String>,

    /// The failure domain that the worker stands in
    #[arg(long, env = "LOVAGEMILL_FAILURE_DOMAIN", default_value = "default")]
    pub failure_domain: String,

    /// The rack that the worker stands in
    #[arg(long, env = "LOVAGEMILL_RACK", default_value = "default")]
    pub rack: String,

    /// The platform's table and object store
    #[arg(long, env = "LOVAGEMILL_PLATFORM", value_name = "HOST:PORT")]
    pub platform: String,

    /// Longest that one operation on the platform may take, in milliseconds
    #[arg(long, env = "LOVAGEMILL_PLATFORM_TIMEOUT_MS", default_value_t = 500)]
    pub platform_timeout_ms: u64,

    /// Cells of the whole system; the same for every entry and agent
    #[arg(long, env = "LOVAGEMILL_CELLS", default_value_t = 1)]
    pub cells: u16,

    /// Longest that a stopping agent keeps answers for their owner, in seconds
    #[arg(long, env = "LOVAGEMILL_LINGER_SECONDS", default_value_t = 15)]
    pub linger_seconds: u64,
}

impl Opts {
    /// Checks all settings and resolves them.
    ///
    /// # Errors
    ///
    /// Returns every mistake at once.
    pub fn resolve(&self) -> anyhow::Result<agent::Config> {
        let mut mistakes = Mistakes::default();
        let name = "use 1 to 64 letters, digits, '-', '_' or '.'";
        mistakes.expect(class::is_name(&self.id), "--id", name);
        mistakes.expect(
            class::is_name(&self.failure_domain),
            "--failure-domain",
            name,
        );
        mistakes.expect(class::is_name(&self.rack), "--rack", name);
        let apart = self.link != self.announce || self.link.port() == 0;
        mistakes.expect(apart, "--announce", "use another address than --link");
        mistakes.expect(is_address(&self.platform), "--platform", "use HOST:PORT");
        let advertise = self.advertise.as_deref().is_none_or(is_address);
        mistakes.expect(advertise, "--advertise", "use HOST:PORT");
        mistakes.expect(
            (1..=60_000).contains(&self.platform_timeout_ms),
            "--platform-timeout-ms",
            "use 1 to 60000",
        );
        mistakes.expect(
            (1..=1_024).contains(&self.cells),
            "--cells",
            "use 1 to 1024",
        );
        mistakes.expect(
            self.linger_seconds <= 3_600,
            "--linger-seconds",
            "use 0 to 3600",
        );
        mistakes.finish()?;
        Ok(agent::Config {
            id: CompactString::from(&self.id),
            link_addr: self.link,
            announce_addr: self.announce,
            advertise: self.advertise.as_deref().map(CompactString::from),
            failure_domain: CompactString::from(&self.failure_domain),
            rack: CompactString::from(&self.rack),
            cells: self.cells,
            linger: time::Duration::from_secs(self.linger_seconds),
        })
    }
}

/// Runs the agent until it is asked to stop.
///
/// # Errors
///
/// Returns mistaken settings and addresses that can't be bound.
pub async fn run(opts: Opts) -> anyhow::Result<ExitCode> {
    let cfg = opts.resolve()?;
    logging::init(&cfg.id);
    let messages = count::Messages::default();
    let limit = time::Duration::from_millis(opts.platform_timeout_ms);
    let platform = platform::connect(&opts.platform, limit, messages.clone());
    let agent = agent::open(cfg, platform, messages).await?;
    log::info!(
        "agent listens for its backend server at {}",
        agent.announce_addr()
    );
    cli::stop_signal().await;
    log::info!("agent drains");
    agent.stop().await;
    Ok(ExitCode::Success)
}
