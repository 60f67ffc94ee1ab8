//! What came of a run: tallied at the callers and the stand-in backend servers, not by the system.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::demo::fault::Fault;
use crate::id;

/// A run's report, as `--json` prints it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The faults that were injected.
    pub faults: Vec<Fault>,
    /// The seed of the workload.
    pub seed: u64,
    /// Work offered by the largest client account, as a share of the capacity.
    pub dominant_load: f64,
    /// Work offered by all others, as a share of the capacity.
    pub small_load: f64,
    /// How long the run took, in seconds.
    pub seconds: f64,
    /// Jobs and requests answered completely.
    pub jobs_complete: u64,
    /// Jobs and requests that ran, or may have, without a complete answer.
    pub jobs_failed: u64,
    /// Jobs and requests refused with nothing run.
    pub jobs_refused: u64,
    /// Jobs and requests of which nobody can tell whether they ran; part of `jobs_failed`.
    pub jobs_unknown: u64,
    /// Jobs that their callers withdrew; they enter no other count of jobs.
    pub jobs_withdrawn: u64,
    /// Jobs and requests that never got an ending; part of `jobs_failed`.
    pub lost_submissions: u64,
    /// Complete answers that came past the class target.
    pub late_answers: u64,
    /// Seconds from the first fault until service was back (`docs/FAULTS.md` defines it).
    pub recover_seconds: Option<f64>,
    /// Submissions made again under the same key.
    pub resubmitted: u64,
    /// Refusals and failures by code.
    pub codes: BTreeMap<String, u64>,
    /// Tasks that backend servers started.
    pub tasks_started: u64,
    /// Tasks that were started more than once; must be 0.
    pub started_twice: u64,
    /// Answers that lacked a task; must be 0.
    pub partial_answers: u64,
    /// Answers that belonged to another task; must be 0.
    pub foreign_answers: u64,
    /// Refusals that said "not run" of what ran; must be 0.
    pub false_not_run: u64,
    /// Starts at a backend server more than 2 s after it left; must be 0.
    pub work_after_leave: u64,
    /// Runs cut off though neither caller nor failure asked for it; must be 0.
    pub cut_off: u64,
    /// Changes of the configuration that were accepted in a race of operators.
    pub config_changes: u64,
    /// Broken promises about the configuration, as seen from outside; must be 0.
    pub config_broken: u64,
    /// Longest time from an acceptance until every entry had the version.
    pub config_spread_seconds: f64,
    /// All client accounts but the largest, as one.
    pub small: ClientAccountReport,
    /// Per client account.
    #[serde(rename = "customers")]
    pub client_accounts: BTreeMap<id::ClientAccount, ClientAccountReport>,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, u64>,
    /// Messages per task started; the hop between agent and backend server on one machine apart.
    pub messages_per_task: f64,
    /// Messages per task that a dispatcher could do without.
    pub wasted_per_task: f64,
    /// Share of all slot time that was used.
    pub slots_used: f64,
}

/// One client account's report.
#[derive(Clone, Debug, Serialize)]
pub struct ClientAccountReport {
    /// Jobs and requests answered completely.
    pub complete: u64,
    /// Those that ran, or may have, without a complete answer.
    pub failed: u64,
    /// Those refused with nothing run.
    pub refused: u64,
    /// Median of response time over ideal.
    pub ratio_p50: f64,
    /// 99th percentile of response time over ideal.
    pub ratio_p99: f64,
    /// Largest response time over ideal.
    pub ratio_max: f64,
    /// Slot time used, in seconds.
    pub slot_seconds: f64,
}

/// All messages but those that stay on one machine, between agent and backend server.
fn between_machines(messages: &BTreeMap<&'static str, u64>) -> u64 {
    let all: u64 = messages.values().sum();
    all - messages.get("backend").copied().unwrap_or(0)
}

/// Messages that a dispatcher could do without. Grouped starts and answers earn no credit: what
/// they save isn't set off against other kinds.
fn wasted(messages: &BTreeMap<&'static str, u64>, tasks: u64) -> u64 {
    let count = |kind: &str| messages.get(kind).copied().unwrap_or(0);
    let kinds = ["forward", "control", "table_write", "table_read", "object"];
    let needless: u64 = kinds.iter().map(|kind| count(kind)).sum();
    let beyond = count("start").saturating_sub(tasks) + count("answer").saturating_sub(tasks);
    needless + beyond
}

impl Report {
    /// Adds what the system's parts counted.
    pub fn count_messages(&mut self, messages: BTreeMap<&'static str, u64>) {
        let tasks = self.tasks_started.max(1);
        self.messages_per_task = between_machines(&messages) as f64 / tasks as f64;
        self.wasted_per_task = wasted(&messages, tasks) as f64 / tasks as f64;
        self.messages = messages;
    }

    /// Broken promises in all.
    pub fn violations(&self) -> u64 {
        self.started_twice
            + self.partial_answers
            + self.foreign_answers
            + self.false_not_run
            + self.work_after_leave
            + self.cut_off
            + self.config_broken
    }

    /// A short table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<18} {:>9} {:>7} {:>8} {:>7} {:>7} {:>7} {:>9}",
            "customer", "complete", "failed", "refused", "p50", "p99", "max", "slot s"
        )];
        for (name, c) in &self.client_accounts {
            lines.push(format!(
                "{:<18} {:>9} {:>7} {:>8} {:>7.3} {:>7.3} {:>7.2} {:>9.1}",
                name,
                c.complete,
                c.failed,
                c.refused,
                c.ratio_p50,
                c.ratio_p99,
                c.ratio_max,
                c.slot_seconds
            ));
        }
        lines.push(format!(
            "tasks {}, slots used {:.1}%, messages per task {:.3}, wasted {:.3}, resubmitted {}",
            self.tasks_started,
            100.0 * self.slots_used,
            self.messages_per_task,
            self.wasted_per_task,
            self.resubmitted
        ));
        lines.push(format!(
            "broken promises {} (started twice {}, partial {}, foreign {}, false not-run {}, after leave {}, cut off {}, configuration {})",
            self.violations(),
            self.started_twice,
            self.partial_answers,
            self.foreign_answers,
            self.false_not_run,
            self.work_after_leave,
            self.cut_off,
            self.config_broken
        ));
        lines.extend(self.fault_line());
        if !self.codes.is_empty() {
            let codes: Vec<_> = self
                .codes
                .iter()
                .map(|(code, n)| format!("{code}: {n}"))
                .collect();
            lines.push(format!("codes {}", codes.join(", ")));
        }
        lines.join("\n")
    }

    fn fault_line(&self) -> Option<String> {
        let recover = self.recover_seconds?;
        let mut line = format!(
            "back {recover:.1} s after the first fault, unknown {}, lost {}, late {}",
            self.jobs_unknown, self.lost_submissions, self.late_answers
        );
        if self.config_changes > 0 {
            let spread = self.config_spread_seconds;
            line += &format!(
                ", {} configurations, each everywhere within {spread:.1} s",
                self.config_changes
            );
        }
        Some(line)
    }
}
