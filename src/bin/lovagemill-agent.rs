//! The `lovagemill-agent` binary; see [`lovagemill::cli::agent`].

use std::process;

use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    match cli::parse() {
        Ok(opts) => cli::finish(cli::agent::run(opts).await),
        Err(code) => code,
    }
}
