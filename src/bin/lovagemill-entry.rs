//! The `lovagemill-entry` binary; see [`lovagemill::cli::entry`].

use std::process;

use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    match cli::parse() {
        Ok(opts) => cli::finish(cli::entry::run(opts).await),
        Err(code) => code,
    }
}
