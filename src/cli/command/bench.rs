//! `bench`.

use clap::Args;

use crate::bench;
use crate::cli::ExitCode;

/// How much is measured, and how it is printed.
#[derive(Args, Clone, Copy, Debug)]
pub struct BenchOpts {
    /// Fewer rounds and smaller sizes, for a first look
    #[arg(long)]
    pub quick: bool,

    /// Print one JSON object instead of a table
    #[arg(long)]
    pub json: bool,
}

/// Measures and prints.
///
/// # Errors
///
/// Returns an error where parts can't be opened or never get ready.
pub async fn run(opts: BenchOpts) -> anyhow::Result<ExitCode> {
    let cfg = bench::Config {
        quick: opts.quick,
        progress: !opts.json,
    };
    let report = bench::run(cfg).await?;
    if opts.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(ExitCode::Success)
}
