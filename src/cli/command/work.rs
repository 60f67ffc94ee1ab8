//! `lovagemill demo` and `lovagemill load`: a workload, and what came of it.

use std::time;

use clap::{Args, ValueEnum};
use serde_json::Value;

use crate::cli::client;
use crate::cli::settings::{self, Mistakes};
use crate::cli::{self, ExitCode};
use crate::code::Code;
use crate::decide::{fleet, owner, queue};
use crate::demo::{self, caller, deployment, fault, pairs, report};
use crate::standin::backend;
use crate::standin::truth::{self, Truth};

/// Largest load that is offered, as a share of the capacity.
const MAX_LOAD: f64 = 20.0;

/// Longest run, in seconds.
const MAX_SECONDS: u64 = 3_600;

/// The largest client account's part of `--load`.
const DOMINANT_PART: f64 = 0.6;

/// Whose sizes, latencies and workload.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum DeploymentName {
    /// Trip authorization of schools
    Trilha,
    /// Contract desk of flour mills
    Kwinana,
}

/// Which policy; all but `fair` are baselines to compare with.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum PolicyName {
    /// Light customers first, the others by used slot time, to the agent with the most free slots
    Fair,
    /// All customers by used slot time
    LeastUsed,
    /// One queue, first in first out
    Fifo,
    /// Customers in turns, to a random agent
    RoundRobin,
    /// As fair, to the less loaded of two random agents
    LeastOfTwo,
}

/// The work that is offered.
#[derive(Args, Clone, Debug)]
pub struct WorkOpts {
    /// Whose sizes, latencies and workload
    #[arg(long, value_enum, default_value = "trilha")]
    pub deployment: DeploymentName,

    /// How long work is offered
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,

    /// Seeds the workload
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Offered work as a share of the capacity; the largest customer sends 60% of it
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,

    /// Work of the largest customer as a share of the capacity, instead of its part of --load
    #[arg(long)]
    pub dominant_load: Option<f64>,

    /// Work of all other customers as a share of the capacity, instead of their part of --load
    #[arg(long)]
    pub small_load: Option<f64>,

    /// Use keys that don't tell their age, so that claims are written ahead of the starts
    #[arg(long)]
    pub plain_keys: bool,

    /// Print one JSON object instead of a table
    #[arg(long)]
    pub json: bool,
}

/// `demo`.
#[derive(Args, Clone, Debug)]
pub struct DemoOpts {
    /// The work
    #[command(flatten)]
    pub work: WorkOpts,

    /// Which policy dispatches
    #[arg(long, value_enum, default_value = "fair")]
    pub policy: PolicyName,

    /// Write every claim ahead of its starts, whatever the key tells
    #[arg(long)]
    pub claims_ahead: bool,

    /// Faults to inject while work is offered, separated by commas; docs/FAULTS.md describes them
    #[arg(long, value_enum, value_delimiter = ',', value_name = "NAME")]
    pub fault: Vec<fault::Fault>,

    /// Run every fault alone and every pair (with --fault, those that hold one of the named), and
    /// print a table in Markdown
    #[arg(long)]
    pub all_pairs: bool,

    /// Runs of --all-pairs at a time
    #[arg(long, default_value_t = 2, value_name = "N")]
    pub at_once: usize,
}

/// `load`.
#[derive(Args, Clone, Debug)]
pub struct LoadOpts {
    /// The work
    #[command(flatten)]
    pub work: WorkOpts,

    /// HTTP addresses of the entries, separated by commas
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "127.0.0.1:7001",
        value_name = "HOST:PORT"
    )]
    pub entries: Vec<String>,

    /// HTTP addresses of all stand-in backend servers, whose starts are counted
    #[arg(long, value_delimiter = ',', value_name = "HOST:PORT")]
    pub backends: Vec<String>,

    /// Slots of all backend servers, from which the offered work is worked out
    #[arg(long, default_value_t = 88)]
    pub slots: u32,
}

impl WorkOpts {
    fn resolve(&self, mistakes: &mut Mistakes, policy: owner::Policy) -> demo::Config {
        let dominant = self.dominant_load.unwrap_or(DOMINANT_PART * self.load);
        let small = self.small_load.unwrap_or((1.0 - DOMINANT_PART) * self.load);
        let sane = |load: f64| (0.0..=MAX_LOAD).contains(&load);
        let loads = sane(dominant) && sane(small) && dominant + small > 0.0;
        let flags = "--load, --dominant-load, --small-load";
        mistakes.expect(loads, flags, "use 0 to 20, not all 0");
        let seconds = (1..=MAX_SECONDS).contains(&self.seconds);
        mistakes.expect(seconds, "--seconds", "use 1 to 3600");
        demo::Config {
            deployment: match self.deployment {
                DeploymentName::Trilha => deployment::trilha(),
                DeploymentName::Kwinana => deployment::kwinana(),
            },
            duration: time::Duration::from_secs(self.seconds),
            seed: self.seed,
            dominant_load: dominant,
            small_load: small,
            policy,
            aged_keys: !self.plain_keys,
            faults: Vec::new(),
            progress: !self.json,
        }
    }
}

impl DemoOpts {
    fn policy(&self) -> owner::Policy {
        let (queue, placement) = match self.policy {
            PolicyName::Fair => (queue::Policy::Fair, fleet::Placement::MostFree),
            PolicyName::LeastUsed => (queue::Policy::LeastUsed, fleet::Placement::MostFree),
            PolicyName::Fifo => (queue::Policy::Fifo, fleet::Placement::MostFree),
            PolicyName::RoundRobin => (queue::Policy::RoundRobin, fleet::Placement::Random),
            PolicyName::LeastOfTwo => (queue::Policy::Fair, fleet::Placement::LeastOfTwo),
        };
        owner::Policy {
            queue,
            placement,
            claims_ahead: self.claims_ahead,
            ..owner::Policy::default()
        }
    }
}

/// Runs a demo.
///
/// # Errors
///
/// Returns mistaken settings, and parts that don't get ready.
pub async fn demo(opts: &DemoOpts) -> anyhow::Result<ExitCode> {
    let mut mistakes = Mistakes::default();
    let mut cfg = opts.work.resolve(&mut mistakes, opts.policy());
    mistakes.finish()?;
    cfg.faults.clone_from(&opts.fault);
    if opts.all_pairs {
        return all_pairs(&cfg, opts.at_once).await;
    }
    let report = demo::run(cfg).await;
    let report = report.map_err(cli::coded(Code::NotReady))?;
    print(&report, opts.work.json)
}

async fn all_pairs(cfg: &demo::Config, at_once: usize) -> anyhow::Result<ExitCode> {
    println!("{}", pairs::HEADING);
    let each = |report: &report::Report| println!("{}", pairs::row(report));
    match pairs::run(cfg, at_once, each).await? {
        0 => Ok(ExitCode::Success),
        _ => Ok(ExitCode::Violation),
    }
}

/// Offers a workload to running entries.
///
/// # Errors
///
/// Returns mistaken settings.
pub async fn load(opts: &LoadOpts) -> anyhow::Result<ExitCode> {
    let mut mistakes = Mistakes::default();
    let mut cfg = opts.work.resolve(&mut mistakes, owner::Policy::default());
    mistakes.expect(opts.slots > 0, "--slots", "use 1 or more");
    let addrs = !opts.entries.is_empty() && opts.entries.iter().all(|a| settings::is_address(a));
    mistakes.expect(addrs, "--entries", "use HOST:PORT,HOST:PORT");
    let backends = opts.backends.iter().all(|a| settings::is_address(a));
    mistakes.expect(backends, "--backends", "use HOST:PORT,HOST:PORT");
    mistakes.finish()?;
    take_counts(&opts.backends).await?;
    cfg.deployment.workers = 1;
    cfg.deployment.slots_per_worker = opts.slots;
    cfg.deployment.client_one_way = time::Duration::ZERO;
    let entries = caller::Addrs::default();
    entries.set(opts.entries.clone());
    let target = caller::Target {
        entries,
        one_way: time::Duration::ZERO,
        slots: opts.slots,
        truth: None,
    };
    let (tally, took) = demo::load(&cfg, target).await;
    let truth = Truth::default();
    for counts in take_counts(&opts.backends).await? {
        truth.add(counts);
    }
    let report = tally.report(&cfg, &truth, took);
    print_load(&report, !opts.backends.is_empty(), opts.work.json)
}

/// Takes the counts of all stand-in backend servers away.
async fn take_counts(backends: &[String]) -> anyhow::Result<Vec<truth::Snapshot>> {
    let mut all = Vec::new();
    for addr in backends {
        all.push(client::open(addr).get(backend::TAKE_COUNTS).await?);
    }
    Ok(all)
}

/// What only all processes together know.
const MESSAGES: [&str; 3] = ["messages", "messages_per_task", "wasted_per_task"];

/// What only the backend servers know.
const STARTS: [&str; 6] = [
    "tasks_started",
    "started_twice",
    "false_not_run",
    "work_after_leave",
    "cut_off",
    "slots_used",
];

/// Prints the report of a load: what wasn't counted is left out, not shown as 0.
fn print_load(report: &report::Report, counted: bool, json: bool) -> anyhow::Result<ExitCode> {
    if json {
        let mut value = serde_json::to_value(report)?;
        let unknown = if counted { &[][..] } else { &STARTS };
        for field in MESSAGES.iter().chain(unknown) {
            value[field] = Value::Null;
        }
        println!("{}", serde_json::to_string_pretty(&value)?);
    } else {
        print_load_table(report, counted);
    }
    Ok(exit_code(report))
}

fn print_load_table(report: &report::Report, counted: bool) {
    let known =
        |line: &&str| !line.starts_with("tasks ") && (counted || !line.starts_with("broken "));
    for line in report.table().lines().filter(known) {
        println!("{line}");
    }
    if counted {
        let used = 100.0 * report.slots_used;
        println!("tasks {}, slots used {used:.1}%", report.tasks_started);
    } else {
        let (partial, foreign) = (report.partial_answers, report.foreign_answers);
        println!("partial answers {partial}, foreign answers {foreign}");
        println!("starts weren't counted; --backends names the stand-ins that know them");
    }
}

fn print(report: &report::Report, json: bool) -> anyhow::Result<ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        println!("{}", report.table());
    }
    Ok(exit_code(report))
}

fn exit_code(report: &report::Report) -> ExitCode {
    if report.violations() > 0 {
        ExitCode::Violation
    } else {
        ExitCode::Success
    }
}
