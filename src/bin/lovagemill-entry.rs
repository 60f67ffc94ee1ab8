//! The `lovagemill-entry` binary; see [`lovagemill::cli::entry`].

use std::process;

use clap::Parser;
use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    let opts = cli::entry::Opts::parse();
    cli::finish(cli::entry::run(opts).await)
}
