//! `lovagemill submit`, `request` and `cancel`.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::{fs, io};

use clap::Args;
use hyper::Method;

use crate::cli::command::EntryOpts;
use crate::cli::failure::Failure;
use crate::cli::settings::Mistakes;
use crate::cli::ExitCode;
use crate::clock;
use crate::code::Code;
use crate::filter;
use crate::key;

/// `submit` and `request`.
#[derive(Args, Clone, Debug)]
pub struct SubmitOpts {
    /// Which entry
    #[command(flatten)]
    pub entry: EntryOpts,

    /// The submission key; minted where it is missing, and printed so that you can submit again
    #[arg(long)]
    pub key: Option<String>,

    /// File with the JSON body that docs/API.md describes; `-` reads standard input
    pub file: PathBuf,
}

/// `cancel`.
#[derive(Args, Clone, Debug)]
pub struct CancelOpts {
    /// Which entry
    #[command(flatten)]
    pub entry: EntryOpts,

    /// Whose job
    #[arg(id = "customer", long = "customer", value_name = "CUSTOMER")]
    pub client_account: String,

    /// The submission key
    pub key: String,
}

/// Submits a job or request and prints its answer.
///
/// # Errors
///
/// Returns an unreadable file, and the refusal or failure that the entry answers.
pub async fn submit(opts: &SubmitOpts, path: &str) -> anyhow::Result<ExitCode> {
    let client = opts.entry.client()?;
    let body = read(&opts.file)?;
    let key = opts
        .key
        .clone()
        .unwrap_or_else(|| key::mint(clock::since_epoch(), rand::random()));
    let mut mistakes = Mistakes::default();
    mistakes.expect(filter::key::is_key(&key), "--key", KEY);
    mistakes.finish()?;
    eprintln!("submission key {key}");
    let text = client.call(Method::POST, path, Some(&key), body).await?;
    println!("{}", text.trim());
    Ok(ExitCode::Success)
}

/// What is said of a text that can't be a key.
const KEY: &str = "use 1 to 128 visible ASCII characters without a slash";

/// Withdraws a job and prints how it stood.
///
/// # Errors
///
/// Returns mistaken arguments, and what the entry refuses.
pub async fn cancel(opts: &CancelOpts) -> anyhow::Result<ExitCode> {
    let client = opts.entry.client()?;
    let mut mistakes = Mistakes::default();
    mistakes.name("--customer", &opts.client_account);
    mistakes.expect(filter::key::is_key(&opts.key), "KEY", KEY);
    mistakes.finish()?;
    let path = format!("/v1/jobs/{}?customer={}", opts.key, opts.client_account);
    let text = client.call(Method::DELETE, &path, None, Vec::new()).await?;
    println!("{}", text.trim());
    Ok(ExitCode::Success)
}

fn read(file: &Path) -> anyhow::Result<Vec<u8>> {
    let mut body = Vec::new();
    let result = if file == Path::new("-") {
        io::stdin().read_to_end(&mut body).map(drop)
    } else {
        fs::read(file).map(|bytes| body = bytes)
    };
    result.map_err(|e| unreadable(file, &e))?;
    Ok(body)
}

/// The error of a file that can't be read.
pub fn unreadable(file: &Path, e: &io::Error) -> Failure {
    let code = Code::FileUnreadable;
    Failure::new(code, format!("{}: {e}; {}", file.display(), code.advice()))
}
