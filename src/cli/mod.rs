//! What the binaries share: how settings are read, exit codes, and how an error is printed.

pub mod agent;
pub mod client;
pub mod command;
pub mod entry;
pub mod failure;
pub mod logs;
pub mod settings;
pub mod standin;

use std::process;

use clap::Parser;

use crate::cli::failure::Failure;
use crate::code::{Code, Outcome};

/// How a binary ends; `docs/SETTINGS.md` holds the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// It was refused or it failed; the error was printed.
    Failure,
    /// The settings or the command line are mistaken; nothing was done.
    Usage,
    /// A demo or load found a broken promise.
    Violation,
    /// It may have taken effect and nobody can tell; the error was printed.
    Unknown,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> process::ExitCode {
        match code {
            ExitCode::Success => process::ExitCode::SUCCESS,
            ExitCode::Failure => process::ExitCode::from(1),
            ExitCode::Usage => process::ExitCode::from(2),
            ExitCode::Violation => process::ExitCode::from(3),
            ExitCode::Unknown => process::ExitCode::from(4),
        }
    }
}

/// Reads the command line and the environment.
///
/// # Errors
///
/// Returns how to exit: after a help text as a success, after a mistake with the error printed.
pub fn parse<T: Parser>() -> Result<T, process::ExitCode> {
    T::try_parse().map_err(|e| {
        if !e.use_stderr() {
            print!("{}", e.render());
            return ExitCode::Success.into();
        }
        let text = e.render().to_string();
        let text = text.strip_prefix("error: ").unwrap_or(&text);
        print_error(&Failure::new(Code::SettingsInvalid, text.trim_end()));
        ExitCode::Usage.into()
    })
}

/// Prints an error where people look for it.
pub fn print_error(text: &dyn std::fmt::Display) {
    eprintln!("[lovagemill error]: {text}");
}

/// Turns the end of a binary's work into its exit code, and prints the error, if any.
pub fn finish(result: anyhow::Result<ExitCode>) -> process::ExitCode {
    match result {
        Ok(code) => code.into(),
        Err(e) => {
            print_error(&format!("{e:#}"));
            exit_code(&e).into()
        }
    }
}

fn exit_code(e: &anyhow::Error) -> ExitCode {
    match e.downcast_ref::<Failure>().map(|failure| failure.code) {
        Some(Code::SettingsInvalid) => ExitCode::Usage,
        Some(code) if code.outcome() == Outcome::Unknown => ExitCode::Unknown,
        Some(_) | None => ExitCode::Failure,
    }
}

/// Puts a code before an error that comes without one.
pub fn coded(code: Code) -> impl Fn(anyhow::Error) -> anyhow::Error {
    move |e| Failure::new(code, format!("{}: {e:#}", code.advice())).into()
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

/// Calls `reload` whenever the process gets a HUP signal, which would end it otherwise. Never ends.
pub async fn on_reload(mut reload: impl FnMut()) {
    use tokio::signal::unix::{signal, SignalKind};
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "HUP signals can't be caught");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        reload();
    }
}
