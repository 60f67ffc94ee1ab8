//! The `lovagemill-standin` binary; see [`lovagemill::cli::standin`].

use std::process;

use lovagemill::cli;

#[tokio::main]
async fn main() -> process::ExitCode {
    match cli::parse() {
        Ok(opts) => cli::finish(cli::standin::run(opts).await),
        Err(code) => code,
    }
}
