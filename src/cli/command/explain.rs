//! `lovagemill explain`: the story of one job, out of the logs of several processes.

use std::fmt::Write as _;

use clap::Args;

use crate::cli::failure::Failure;
use crate::cli::logs::{self, Line};
use crate::cli::ExitCode;
use crate::code::Code;

/// How long before a job's first line and after its last the beliefs about its agents are told, in
/// milliseconds: an agent that is silent is known to be after 400 ms, one that lost its lease after
/// 700.
const AROUND_MS: i64 = 1_500;

/// Fields that a line shows elsewhere or that say nothing about a job.
const PLAIN: [&str; 7] = [
    "time_ms", "level", "process", "target", "message", "job", "life",
];

/// Which job, and where the logs are.
#[derive(Args, Clone, Debug)]
pub struct ExplainOpts {
    /// The job's id, as its caller chose it
    #[arg(value_name = "JOB")]
    pub job: String,

    /// Logs of the processes, one or more, in any order
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<String>,
}

fn is_about(line: &Line, job: &str) -> bool {
    line.text("job") == job
}

/// The agents that a line names.
fn agents(line: &Line) -> impl Iterator<Item = &str> {
    let places = line.text("places").split(',');
    places
        .chain([line.text("agent")])
        .filter(|name| !name.is_empty() && *name != "-")
}

fn show(line: &Line, from_ms: i64, about: bool) -> String {
    let mark = if about { ' ' } else { '~' };
    let after = line.time_ms - from_ms;
    let mut out = format!(
        "{after:>7} ms {mark} {:<20} {}",
        line.text("process"),
        line.text("message")
    );
    for (name, value) in &line.fields {
        let empty = value.as_str() == Some("");
        if !PLAIN.contains(&name.as_str()) && !empty {
            let _ = write!(out, " {name}={}", value.to_string().trim_matches('"'));
        }
    }
    out
}

/// Tells the story.
///
/// # Errors
///
/// Fails where a file can't be read, and where no line is about the job.
pub fn run(opts: &ExplainOpts) -> anyhow::Result<ExitCode> {
    let lines = logs::read(&opts.files)?;
    print!("{}", story(&opts.job, lines)?);
    Ok(ExitCode::Success)
}

fn story(job: &str, mut lines: Vec<Line>) -> anyhow::Result<String> {
    lines.sort_by_key(|line| line.time_ms);
    let about: Vec<&Line> = lines.iter().filter(|line| is_about(line, job)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        let text = format!("no line of these logs is about {job}");
        return Err(Failure::new(Code::JobUnknown, text).into());
    };
    let named: Vec<&str> = about.iter().flat_map(|line| agents(line)).collect();
    let window = first.time_ms - AROUND_MS..=last.time_ms + AROUND_MS;
    let mut out = String::new();
    for line in lines.iter().filter(|line| window.contains(&line.time_ms)) {
        let is_belief = line.text("job").is_empty()
            && (named.contains(&line.text("agent")) || named.contains(&line.text("process")));
        if is_about(line, job) || is_belief {
            out.push_str(&show(line, first.time_ms, is_about(line, job)));
            out.push('\n');
        }
    }
    Ok(out)
}
