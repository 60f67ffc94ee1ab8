//! `lovagemill explain`: the story of one job, out of the logs of several processes.

use std::fmt::Write as _;
use std::fs;

use clap::Args;
use serde_json::{Map, Value};

use crate::cli::failure::Failure;
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

/// One line of a log.
struct Line {
    time_ms: i64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; text before the first brace, such as a collector's own time, is passed over.
    fn read(text: &str) -> Option<Line> {
        let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let time_ms = fields.get("time_ms")?.as_i64()?;
        Some(Line { time_ms, fields })
    }

    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn is_about(&self, job: &str) -> bool {
        self.text("job") == job
    }

    /// The agents that a line names.
    fn agents(&self) -> impl Iterator<Item = &str> {
        let places = self.text("places").split(',');
        places
            .chain([self.text("agent")])
            .filter(|name| !name.is_empty() && *name != "-")
    }

    fn show(&self, from_ms: i64, about: bool) -> String {
        let mark = if about { ' ' } else { '~' };
        let after = self.time_ms - from_ms;
        let mut out = format!(
            "{after:>7} ms {mark} {:<20} {}",
            self.text("process"),
            self.text("message")
        );
        for (name, value) in &self.fields {
            let empty = value.as_str() == Some("");
            if !PLAIN.contains(&name.as_str()) && !empty {
                let _ = write!(out, " {name}={}", value.to_string().trim_matches('"'));
            }
        }
        out
    }
}

/// Tells the story.
///
/// # Errors
///
/// Fails where a file can't be read, and where no line is about the job.
pub fn run(opts: &ExplainOpts) -> anyhow::Result<ExitCode> {
    let mut lines = Vec::new();
    for file in &opts.files {
        let text = fs::read_to_string(file)
            .map_err(|e| Failure::new(Code::FileUnreadable, format!("{file}: {e}")))?;
        lines.extend(text.lines().filter_map(Line::read));
    }
    print!("{}", story(&opts.job, lines)?);
    Ok(ExitCode::Success)
}

fn story(job: &str, mut lines: Vec<Line>) -> anyhow::Result<String> {
    lines.sort_by_key(|line| line.time_ms);
    let about: Vec<&Line> = lines.iter().filter(|line| line.is_about(job)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        let text = format!("no line of these logs is about {job}");
        return Err(Failure::new(Code::JobUnknown, text).into());
    };
    let agents: Vec<&str> = about.iter().flat_map(|line| line.agents()).collect();
    let window = first.time_ms - AROUND_MS..=last.time_ms + AROUND_MS;
    let mut out = String::new();
    for line in lines.iter().filter(|line| window.contains(&line.time_ms)) {
        let is_belief = line.text("job").is_empty()
            && (agents.contains(&line.text("agent")) || agents.contains(&line.text("process")));
        if line.is_about(job) || is_belief {
            out.push_str(&line.show(first.time_ms, line.is_about(job)));
            out.push('\n');
        }
    }
    Ok(out)
}
