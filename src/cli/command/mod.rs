//! The commands of `lovagemill`, the command line of callers and operators.

pub mod bench;
pub mod config;
pub mod explain;
pub mod losses;
pub mod status;
pub mod submit;
pub mod work;

use std::env;

use clap::{Args, Parser, Subcommand};

use crate::cli::client::{self, Client};
use crate::cli::settings::Mistakes;
use crate::cli::ExitCode;
use crate::logging;

/// A dispatcher for sub-second tasks: callers' and operators' command line.
///
/// Errors are printed once, as `[lovagemill error]: LMnnnn text`; docs/CODES.md lists the codes.
/// Exit codes: 0 done, 1 refused or failed, 2 mistaken settings, 3 a demo or load found a broken
/// promise, 4 it may have taken effect and nobody can tell.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill", version)]
pub struct Opts {
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Run the whole system in this process for a while, with a workload, and report
    ///
    /// Stand-in platform, entries, agents and stand-in backend servers talk real HTTP on loopback.
    /// Broken promises are counted at the backend servers and callers; any makes the exit code 3.
    Demo(work::DemoOpts),
    /// Drive the demo's callers against running entries, and report
    ///
    /// The backend servers must be stand-ins: the callers check every answer's content.
    Load(work::LoadOpts),
    /// Measure the slopes that docs/CAPACITY.md is worked out from
    ///
    /// Real parts and small stand-ins in this process, on loopback, for about a minute and a half.
    Bench(bench::BenchOpts),
    /// Submit a job and print its answer
    ///
    /// The key is printed first, on standard error. Submitting again under the same key attaches
    /// to the running job or gets the kept answer; nothing starts twice.
    Submit(submit::SubmitOpts),
    /// Send one request and print its answer
    ///
    /// As `submit`, for one task; a request that isn't idempotent runs at most once.
    Request(submit::SubmitOpts),
    /// Withdraw a job
    ///
    /// Prints whether anything of it had run. A job that has ended already keeps its ending.
    Cancel(submit::CancelOpts),
    /// Show, check or change classes, targets and quotas
    ///
    /// That is all that operators set: there are no weights of customers and no names of backend
    /// servers. docs/CONFIG.md has the format.
    #[command(subcommand)]
    Config(config::ConfigCommand),
    /// Show backend servers, customers and queues as an entry sees them
    ///
    /// Only the owner of a cell knows its queues; ask another entry where none is shown.
    Status(status::StatusOpts),
    /// Tell the story of one best-effort job out of the logs of several processes
    ///
    /// Lines about the job come with the time since its first, in milliseconds; lines marked with ~
    /// are what the processes believed of its agents around that time. docs/OPERATIONS.md reads
    /// three such stories.
    Explain(explain::ExplainOpts),
    /// Tell what became of the best-effort jobs of some logs, by class and cause
    ///
    /// A late job counts for the first of these that holds: failed attempts, a move off a slow worker,
    /// runs that were lost or came back, the queue, the run itself. Jobs that an entry took with it
    /// when it died leave no line.
    Losses(losses::LossesOpts),
    /// Drain an entry: it hands over, answers what is in flight, and stops
    Drain(EntryOpts),
}

/// Which entry to talk to.
#[derive(Args, Clone, Debug)]
pub struct EntryOpts {
    /// The entry's HTTP address
    #[arg(
        long,
        env = "LOVAGEMILL_ENTRY",
        default_value = "127.0.0.1:7001",
        value_name = "HOST:PORT"
    )]
    pub entry: String,
}

impl EntryOpts {
    /// Opens a client of the entry.
    ///
    /// # Errors
    ///
    /// Refuses an address that isn't one.
    pub fn client(&self) -> anyhow::Result<Client> {
        let mut mistakes = Mistakes::default();
        mistakes.connect("--entry", &self.entry);
        mistakes.finish()?;
        Ok(client::open(&self.entry))
    }
}

/// Runs a command.
///
/// # Errors
///
/// Returns what the user has to be told.
pub async fn run(opts: Opts) -> anyhow::Result<ExitCode> {
    if env::var_os("RUST_LOG").is_some() {
        // Unasked for, log lines would only mix with what the command prints.
        logging::init("lovagemill");
    }
    match opts.command {
        Command::Demo(opts) => work::demo(&opts).await,
        Command::Load(opts) => work::load(&opts).await,
        Command::Bench(opts) => bench::run(opts).await,
        Command::Submit(opts) => submit::submit(&opts, "/v1/jobs").await,
        Command::Request(opts) => submit::submit(&opts, "/v1/requests").await,
        Command::Cancel(opts) => submit::cancel(&opts).await,
        Command::Config(command) => config::run(command).await,
        Command::Status(opts) => status::run(&opts).await,
        Command::Explain(opts) => explain::run(&opts),
        Command::Losses(opts) => losses::run(&opts),
        Command::Drain(entry) => drain(&entry).await,
    }
}

async fn drain(entry: &EntryOpts) -> anyhow::Result<ExitCode> {
    entry.client()?.post("/v1/drain").await?;
    println!("{} drains", entry.entry);
    Ok(ExitCode::Success)
}
