//! The `lovagemill` binary; see [`lovagemill::cli::command`].

use std::process;

use lovagemill::{cli, logging};

#[tokio::main]
async fn main() -> process::ExitCode {
    if std::env::var_os("RUST_LOG").is_some() {
        // Unasked for, log lines would only mix with what the command prints.
        logging::init("lovagemill");
    }
    match cli::parse() {
        Ok(opts) => cli::finish(cli::command::run(opts).await),
        Err(code) => code,
    }
}
