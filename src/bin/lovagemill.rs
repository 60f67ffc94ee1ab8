//! The `lovagemill` binary; see [`lovagemill::cli::command`].

use std::process;

use clap::Parser;
use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    let opts = cli::command::Opts::parse();
    cli::finish(cli::command::run(opts).await)
}
