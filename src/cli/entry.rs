//! The settings of `lovagemill-entry`.

use std::net;
use std::time;

use clap::Parser;
use compact_str::CompactString;

use crate::class;
use crate::cli::{self, ExitCode, Mistakes};
use crate::count;
use crate::decide::owner;
use crate::entry;
use crate::logging;
use crate::wire::platform;

/// Takes callers and operators over HTTP, owns cells and dispatches.
///
/// Every flag can be set in the environment instead, under the name that its help shows.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill-entry", version)]
pub struct Opts {
    /// Names this entry among all others
    #[arg(long, env = "LOVAGEMILL_ENTRY_ID")]
    pub id: String,

    /// Where callers and operators connect
    #[arg(long, env = "LOVAGEMILL_HTTP", default_value = "127.0.0.1:7001")]
    pub http: net::SocketAddr,

    /// Where other entries connect
    #[arg(long, env = "LOVAGEMILL_PEER", default_value = "127.0.0.1:7101")]
    pub peer: net::SocketAddr,

    /// The address that other entries are told, where it differs from --peer
    #[arg(long, env = "LOVAGEMILL_ADVERTISE", value_name = "HOST:PORT")]
    pub advertise: Option<String>,

    /// The platform's table and object store
    #[arg(long, env = "LOVAGEMILL_PLATFORM", value_name = "HOST:PORT")]
    pub platform: String,

    /// Longest that one operation on the platform may take, in milliseconds
    #[arg(long, env = "LOVAGEMILL_PLATFORM_TIMEOUT_MS", default_value_t = 500)]
    pub platform_timeout_ms: u64,

    /// Cells of the whole system; the same for every entry and agent
    #[arg(long, env = "LOVAGEMILL_CELLS", default_value_t = 1)]
    pub cells: u16,

    /// Longest that a stopping entry waits for what is in flight, in seconds
    #[arg(long, env = "LOVAGEMILL_DRAIN_SECONDS", default_value_t = 30)]
    pub drain_seconds: u64,
}

impl Opts {
    /// Checks all settings and resolves them.
    ///
    /// # Errors
    ///
    /// Returns every mistake at once.
    pub fn resolve(&self) -> anyhow::Result<entry::Config> {
        let mut mistakes = Mistakes::default();
        mistakes.expect(
            class::is_name(&self.id),
            "--id",
            "use 1 to 64 letters, digits, '-', '_' or '.'",
        );
        mistakes.expect(
            self.http != self.peer || self.http.port() == 0,
            "--peer",
            "use another address than --http",
        );
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
            self.drain_seconds <= 3_600,
            "--drain-seconds",
            "use 0 to 3600",
        );
        mistakes.finish()?;
        Ok(entry::Config {
            id: CompactString::from(&self.id),
            http_addr: self.http,
            peer_addr: self.peer,
            advertise: self.advertise.as_deref().map(CompactString::from),
            cells: self.cells,
            policy: owner::Policy::default(),
            drain: time::Duration::from_secs(self.drain_seconds),
        })
    }
}

/// Tells whether a text is a host and a port.
pub fn is_address(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    !host.is_empty() && port.parse::<u16>().is_ok_and(|port| port > 0)
}

/// Runs the entry until it is asked to stop.
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
    let entry = entry::open(cfg, platform, messages).await?;
    log::info!("entry listens for callers at {}", entry.http_addr());
    tokio::select! {
        () = cli::stop_signal() => {}
        () = entry.stop_asked() => {}
    }
    log::info!("entry drains");
    entry.stop().await;
    Ok(ExitCode::Success)
}
