//! Settings that the daemons share, and the check of all settings at once.
//!
//! Values stay text until all of them are checked: a process with three mistaken settings says so
//! once, not in three starts.

use std::net;
use std::ops;
use std::time;

use clap::Args;
use compact_str::CompactString;

use crate::class;
use crate::cli::failure::Failure;
use crate::code::Code;
use crate::count;
use crate::trace;
use crate::wire::platform;

/// What is said of a text that can't be a name.
const NAME: &str = "use 1 to 64 letters, digits, '-', '_' or '.'";

/// Gathers everything that is wrong with the settings.
#[derive(Debug, Default)]
pub struct Mistakes {
    found: Vec<String>,
}

impl Mistakes {
    /// Notes a mistake under a flag's name unless the condition holds.
    pub fn expect(&mut self, holds: bool, flag: &str, mend: &str) {
        if !holds {
            self.found.push(format!("{flag}: {mend}"));
        }
    }

    /// Reads a name.
    pub fn name(&mut self, flag: &str, text: &str) -> CompactString {
        self.expect(class::is_name(text), flag, NAME);
        text.into()
    }

    /// Reads a number within a range; its start stands in for a mistaken one.
    pub fn number(&mut self, flag: &str, text: &str, range: ops::RangeInclusive<u64>) -> u64 {
        let number = text.trim().parse().ok().filter(|n| range.contains(n));
        let mend = format!("use {} to {}", range.start(), range.end());
        self.expect(number.is_some(), flag, &mend);
        number.unwrap_or(*range.start())
    }

    /// Reads a share from 0 to 1.
    pub fn share(&mut self, flag: &str, text: &str) -> f64 {
        let share = text.trim().parse().ok();
        let share = share.filter(|share| (0.0..=1.0).contains(share));
        self.expect(share.is_some(), flag, "use 0 to 1");
        share.unwrap_or(0.0)
    }

    /// Reads an address to listen at.
    pub fn listen(&mut self, flag: &str, text: &str) -> net::SocketAddr {
        let addr = text.trim().parse().ok();
        self.expect(addr.is_some(), flag, "use IP:PORT; port 0 takes any");
        addr.unwrap_or_else(|| net::SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Reads an address to connect to.
    pub fn connect(&mut self, flag: &str, text: &str) -> CompactString {
        self.expect(is_address(text), flag, "use HOST:PORT");
        text.into()
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns every mistake under [`Code::SettingsInvalid`].
    pub fn finish(self) -> anyhow::Result<()> {
        if self.found.is_empty() {
            return Ok(());
        }
        Err(Failure::listed(Code::SettingsInvalid, self.found).into())
    }
}

/// Tells whether a text is a host and a port.
pub fn is_address(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '/' | '@' | '?' | '#');
    !host.is_empty() && host.chars().all(plain) && port.parse::<u16>().is_ok_and(|port| port > 0)
}

/// Settings of every daemon.
#[derive(Args, Clone, Debug)]
pub struct DaemonOpts {
    /// The address that other processes are told, where it differs from the one listened at
    #[arg(long, env = "LOVAGEMILL_ADVERTISE", value_name = "HOST:PORT")]
    pub advertise: Option<String>,

    /// The platform's table and object store
    #[arg(
        long,
        env = "LOVAGEMILL_PLATFORM",
        default_value = "",
        hide_default_value = true,
        value_name = "HOST:PORT"
    )]
    pub platform: String,

    /// Longest that one operation on the platform may take, in milliseconds
    #[arg(
        long,
        env = "LOVAGEMILL_PLATFORM_TIMEOUT_MS",
        allow_negative_numbers = true,
        default_value = "500",
        value_name = "MS"
    )]
    pub platform_timeout_ms: String,

    /// Cells of the whole system; the same for every entry and agent
    #[arg(
        long,
        env = "LOVAGEMILL_CELLS",
        allow_negative_numbers = true,
        default_value = "1",
        value_name = "COUNT"
    )]
    pub cells: String,

    /// Where traces go, by OTLP over HTTP; no traces where it is missing
    #[arg(long, env = "LOVAGEMILL_OTLP", value_name = "URL")]
    pub otlp: Option<String>,

    /// Share of the submissions without a traceparent that are traced
    #[arg(
        long,
        env = "LOVAGEMILL_OTLP_SHARE",
        allow_negative_numbers = true,
        default_value = "1",
        value_name = "SHARE"
    )]
    pub otlp_share: String,
}

/// The checked settings of every daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// The address that others are told, where it differs.
    pub advertise: Option<CompactString>,
    /// The platform.
    pub platform: CompactString,
    /// Longest that one operation on it may take.
    pub platform_timeout: time::Duration,
    /// Cells of the whole system.
    pub cells: u16,
    /// What traces are exported with, if they are.
    pub traces: Option<trace::Config>,
}

impl DaemonOpts {
    /// Checks the shared settings of a process.
    pub fn resolve(&self, mistakes: &mut Mistakes, service: &'static str, id: &str) -> Daemon {
        let advertise = self.advertise.as_deref();
        let timeout = mistakes.number(
            "--platform-timeout-ms",
            &self.platform_timeout_ms,
            1..=60_000,
        );
        let share = mistakes.share("--otlp-share", &self.otlp_share);
        let traces = self.otlp.as_ref().map(|url| {
            let addr = url.strip_prefix("http://").map(|s| s.trim_end_matches('/'));
            let mend = "use http://HOST:PORT";
            mistakes.expect(addr.is_some_and(is_address), "--otlp", mend);
            trace::Config {
                url: url.clone(),
                service,
                instance: id.into(),
                share,
            }
        });
        Daemon {
            advertise: advertise.map(|addr| mistakes.connect("--advertise", addr)),
            platform: mistakes.connect("--platform", &self.platform),
            platform_timeout: time::Duration::from_millis(timeout),
            cells: mistakes.number("--cells", &self.cells, 1..=1_024) as u16,
            traces,
        }
    }
}

impl Daemon {
    /// Opens the client of the platform.
    pub fn connect(&self, messages: &count::Messages) -> platform::Platform {
        platform::connect(&self.platform, self.platform_timeout, messages.clone())
    }

    /// Starts the export of traces, if it is set.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be used.
    pub fn open_traces(&self) -> anyhow::Result<Option<trace::Exporter>> {
        self.traces.clone().map(trace::open).transpose()
    }
}
