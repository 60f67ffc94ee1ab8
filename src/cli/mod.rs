//! What the binaries share: exit codes, and how an error is printed.

pub mod agent;
pub mod client;
pub mod command;
pub mod entry;
pub mod standin;

use std::process;

use crate::code::Code;

/// How a binary ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// The settings, the input or the other side was at fault; the error was printed.
    Failure,
    /// A demo or load found a broken promise.
    Violation,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> process::ExitCode {
        match code {
            ExitCode::Success => process::ExitCode::SUCCESS,
            ExitCode::Failure => process::ExitCode::from(1),
            ExitCode::Violation => process::ExitCode::from(3),
        }
    }
}

/// Prints an error where people look for it.
pub fn print_error(text: impl AsRef<str>) {
    eprintln!("[lovagemill error]: {}", text.as_ref());
}

/// Turns the end of a binary's work into its exit code, and prints the error, if any.
pub fn finish(result: anyhow::Result<ExitCode>) -> process::ExitCode {
    match result {
        Ok(code) => code.into(),
        Err(e) => {
            print_error(format!("{e:#}"));
            ExitCode::Failure.into()
        }
    }
}

/// Gathers everything that is wrong with the settings, to report all of it at once.
#[derive(Debug, Default)]
pub struct Mistakes {
    found: Vec<String>,
}

impl Mistakes {
    /// Notes a mistake under a flag's name unless the condition holds.
    pub fn expect(&mut self, holds: bool, flag: &str, mend: &str) {
        if !holds {
            self.found.push(format!("{flag}: {mend}"));
        }
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns every mistake under [`Code::SettingsInvalid`].
    pub fn finish(self) -> anyhow::Result<()> {
        if self.found.is_empty() {
            return Ok(());
        }
        let code = Code::SettingsInvalid;
        let list = self.found.join("\n  ");
        anyhow::bail!("{code} {}\n  {list}", code.advice())
    }
}

/// Waits until the process is asked to stop, by a signal.
pub async fn stop_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        std::future::pending::<()>().await;
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
