//! The `lovagemill-agent` binary; see [`lovagemill::cli::agent`].

use std::process;

use clap::Parser;
use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    let opts = cli::agent::Opts::parse();
    cli::finish(cli::agent::run(opts).await)
}
