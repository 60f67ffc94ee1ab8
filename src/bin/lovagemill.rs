//! The `lovagemill` binary; see [`lovagemill::cli::command`].

use std::process;

use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    match cli::parse() {
        Ok(opts) => cli::finish(cli::command::run(opts).await),
        Err(code) => code,
    }
}
