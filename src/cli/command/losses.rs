//! `lovagemill losses`: what became of the jobs of some logs, by class and cause.

use std::collections::BTreeMap;

use clap::Args;

use crate::cli::logs::{self, Line};
use crate::cli::ExitCode;

/// The line that every job leaves behind.
const ANSWERED: &str = "job answered";

/// The lines with the inputs of a refusal.
const REFUSED: [&str; 2] = [
    "job can't end before its caller's deadline",
    "job would be late",
];

/// Where the logs are.
#[derive(Args, Clone, Debug)]
pub struct LossesOpts {
    /// Logs of entries, one or more, in any order
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<String>,

    /// List each refused job too, with the inputs of the decision
    #[arg(long)]
    pub refused: bool,
}

/// Prints a row for each class and cause, the most frequent causes of a class first.
///
/// # Errors
///
/// Fails where a file can't be read.
pub fn run(opts: &LossesOpts) -> anyhow::Result<ExitCode> {
    let lines = logs::read(&opts.files)?;
    print!("{}", table(&lines));
    if opts.refused {
        print!("{}", refusals(&lines));
    }
    Ok(ExitCode::Success)
}

/// Lists the refused jobs by time, with the inputs of the decision where the entry logged them.
fn refusals(lines: &[Line]) -> String {
    let mut out = String::new();
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|line| line.time_ms);
    // A job that is submitted again is refused by other inputs: those logged last before each answer count.
    let mut inputs: BTreeMap<&str, &Line> = BTreeMap::new();
    for line in lines {
        let (job, class) = (line.text("job"), line.text("class"));
        if REFUSED.contains(&line.text("message")) {
            inputs.insert(job, line);
        }
        if line.text("message") != ANSWERED {
            continue;
        }
        let input = inputs.remove(job);
        if line.text("outcome") != "not_run" {
            continue;
        }
        out.push_str(&format!(
            "{} {job} {class} {}",
            line.time_ms,
            line.text("why")
        ));
        let fields = input.map(|line| &line.fields);
        for (name, value) in fields.into_iter().flatten() {
            if (value.is_number() || value.is_boolean()) && name != "time_ms" {
                out.push_str(&format!(" {name}={value}"));
            }
        }
        out.push('\n');
    }
    out
}

fn table(lines: &[Line]) -> String {
    let mut counts: BTreeMap<&str, BTreeMap<String, u64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.text("message") == ANSWERED) {
        let causes = counts.entry(line.text("class")).or_default();
        *causes.entry(cause(line)).or_default() += 1;
    }
    let mut out = format!(
        "{:<24} {:<28} {:>8} {:>7}\n",
        "class", "cause", "jobs", "share"
    );
    for (class, causes) in counts {
        let all: u64 = causes.values().sum();
        let mut causes: Vec<(String, u64)> = causes.into_iter().collect();
        causes.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        for (cause, n) in causes {
            let share = 100.0 * n as f64 / all as f64;
            out.push_str(&format!("{class:<24} {cause:<28} {n:>8} {share:>6.2}%\n"));
        }
    }
    out
}

/// What became of a job, and why. A late one is put down to the first thing that alone explains it:
/// failed attempts, moves off a slow worker, runs that were lost, the queue, the run itself.
fn cause(line: &Line) -> String {
    match line.text("outcome") {
        "complete" if !is_late(line) => "in time".to_owned(),
        "complete" => format!("late: {}", why_late(line)),
        "not_run" => format!("refused: {}", line.text("why")),
        other => other.to_owned(),
    }
}

/// Whether a job took longer than its run time and what its target adds to that.
fn is_late(line: &Line) -> bool {
    line.number("took_ms") > line.number("estimate_ms") + line.number("slack_ms")
}

fn why_late(line: &Line) -> &'static str {
    if line.number("failed") > 0 {
        "failed attempts"
    } else if line.number("moved") > 0 {
        "moved off a slow worker"
    } else if line.number("starts") > line.number("tasks") {
        "runs lost or bounced"
    } else if line.number("waited_ms") > line.number("slack_ms") {
        "queue"
    } else {
        "slow run or late tasks"
    }
}
