//! The bench: one command that measures the slopes from which `docs/CAPACITY.md` is worked out.
//!
//! The parts are the real ones; backend servers and the platform are small stand-ins on loopback.
//! Every figure is printed with its lowest and highest round, since machines are never quiet.

mod change;
mod decisions;
mod gauge;
mod load;
mod memory;
mod messages;
mod nodes;
mod parts;
pub mod slope;
mod takeover;

use std::time;

/// What a bench is run with.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Fewer rounds and sizes; for a first look and for tests.
    pub quick: bool,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

/// Runs every measurement, in an order in which none disturbs the next.
///
/// # Errors
///
/// Returns an error where parts can't be opened or never get ready.
pub async fn run(cfg: Config) -> anyhow::Result<slope::Report> {
    let begun = time::Instant::now();
    let show = |part: &str| {
        if cfg.progress {
            eprintln!("{:>5.1} s  {part}", begun.elapsed().as_secs_f64());
        }
    };
    let mut report = slope::Report::default();
    // Memory first: later measurements leave freed pages behind, which would hide growth.
    show("memory");
    report.add(memory::run(cfg)?);
    show("decisions");
    report.add(decisions::run(cfg));
    show("messages");
    report.add(messages::run(cfg).await?);
    show("idle nodes");
    report.add(nodes::run(cfg).await?);
    show("nodes at work");
    report.add(load::run(cfg).await?);
    show("configuration changes");
    report.add(change::run(cfg).await?);
    show("takeovers");
    report.add(takeover::run(cfg).await?);
    report.seconds = begun.elapsed().as_secs_f64();
    Ok(report)
}
