//! The `lovagemill-standin` binary; see [`lovagemill::cli::standin`].

use std::process;

use clap::Parser;
use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    let opts = cli::standin::Opts::parse();
    cli::finish(cli::standin::run(opts).await)
}
