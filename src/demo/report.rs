//! What came of a run: tallied at the callers and the stand-in backend servers, not by the system.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::sync::{Mutex, MutexGuard};
use std::time;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::code;
use crate::demo::workload::Arrival;
use crate::demo::Config;
use crate::id;
use crate::refusal::Refusal;
use crate::standin::truth::Truth;

/// Ratios are recorded in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Largest ratio that is told apart from larger ones.
const MAX_RATIO: u64 = 1_000_000;

/// Pause between two lines of progress.
const PROGRESS: time::Duration = time::Duration::from_millis(200);

/// Counts what callers saw.
pub struct Tally {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    customers: BTreeMap<id::Customer, PerCustomer>,
    codes: BTreeMap<String, u64>,
    partial: u64,
    foreign: u64,
    false_not_run: u64,
    resubmitted: u64,
    not_run: Vec<id::JobKey>,
    shown: Option<time::Instant>,
}

struct PerCustomer {
    ratios: Histogram<u64>,
    complete: u64,
    failed: u64,
    refused: u64,
}

impl Default for PerCustomer {
    fn default() -> PerCustomer {
        PerCustomer {
            ratios: Histogram::new_with_max(MAX_RATIO, 3).expect("the bounds are valid"),
            complete: 0,
            failed: 0,
            refused: 0,
        }
    }
}

/// A run's report, as `--json` prints it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The seed of the workload.
    pub seed: u64,
    /// Work offered by the largest customer, as a share of the capacity.
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
    /// Per customer.
    pub customers: BTreeMap<id::Customer, CustomerReport>,
    /// Messages by kind.
    pub messages: BTreeMap<&'static str, u64>,
    /// Messages per task started; the hop between agent and backend server on one machine apart.
    pub messages_per_task: f64,
    /// Messages per task that a dispatcher could do without.
    pub wasted_per_task: f64,
    /// Share of all slot time that was used.
    pub slots_used: f64,
}

/// One customer's report.
#[derive(Clone, Debug, Serialize)]
pub struct CustomerReport {
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

impl Tally {
    /// Opens an empty tally.
    pub fn open() -> Tally {
        Tally {
            inner: Mutex::default(),
        }
    }

    /// Counts a complete answer.
    pub fn complete(&self, arrival: &Arrival, took: time::Duration, ideal: time::Duration) {
        let ratio = took.as_secs_f64() / ideal.as_secs_f64().max(1e-6);
        let mut inner = self.lock();
        let customer = inner.customers.entry(arrival.customer.clone()).or_default();
        customer.complete += 1;
        customer
            .ratios
            .saturating_record((ratio * RATIO_UNIT) as u64);
    }

    /// Counts a refusal or failure.
    pub fn refused(&self, arrival: &Arrival, refusal: &Refusal) {
        let mut inner = self.lock();
        let code: code::Code = refusal.code;
        *inner.codes.entry(code.to_string()).or_default() += 1;
        let customer = inner.customers.entry(arrival.customer.clone()).or_default();
        if refusal.not_run {
            customer.refused += 1;
        } else {
            customer.failed += 1;
        }
    }

    /// Counts a caller that never got an ending.
    pub fn gave_up(&self, arrival: &Arrival) {
        let mut inner = self.lock();
        *inner.codes.entry("none".to_owned()).or_default() += 1;
        inner
            .customers
            .entry(arrival.customer.clone())
            .or_default()
            .failed += 1;
    }

    /// Counts an answer that lacked a task.
    pub fn partial(&self) {
        self.lock().partial += 1;
    }

    /// Counts an answer of another task.
    pub fn foreign(&self) {
        self.lock().foreign += 1;
    }

    /// Counts a "not run" of what had run.
    pub fn false_not_run(&self) {
        self.lock().false_not_run += 1;
    }

    /// Remembers a "not run" to be checked again at the end.
    pub fn said_not_run(&self, job: id::JobKey) {
        self.lock().not_run.push(job);
    }

    /// Counts a submission made again.
    pub fn resubmitted(&self) {
        self.lock().resubmitted += 1;
    }

    /// Shows how far a run is, on a terminal only.
    pub fn show_progress(&self, elapsed: time::Duration, of: time::Duration) {
        let mut inner = self.lock();
        let recent = inner.shown.is_some_and(|at| at.elapsed() < PROGRESS);
        if recent || !std::io::stderr().is_terminal() {
            return;
        }
        inner.shown = Some(time::Instant::now());
        let complete: u64 = inner.customers.values().map(|c| c.complete).sum();
        let refused: u64 = inner.customers.values().map(|c| c.refused).sum();
        let (elapsed, of) = (elapsed.as_secs(), of.as_secs());
        eprint!("\r{elapsed:>4} of {of} s, {complete} complete, {refused} refused ");
        let _ = std::io::stderr().flush();
    }

    /// Ends the line of progress.
    pub fn end_progress(&self) {
        if self.lock().shown.is_some() {
            eprintln!();
        }
    }

    /// Makes the report.
    pub fn report(&self, cfg: &Config, truth: &Truth, took: time::Duration) -> Report {
        let inner = self.lock();
        let used = truth.slot_micros();
        let late_starts = inner
            .not_run
            .iter()
            .filter(|job| truth.starts_of(job) > 0)
            .count() as u64;
        let total = |f: fn(&PerCustomer) -> u64| inner.customers.values().map(f).sum();
        let customer = |(name, c): (&id::Customer, &PerCustomer)| {
            let micros = used.get(name).copied().unwrap_or(0);
            (name.clone(), c.report(micros as f64 / 1e6))
        };
        let slot_time = f64::from(cfg.deployment.slots()) * cfg.duration.as_secs_f64();
        Report {
            deployment: cfg.deployment.name.to_owned(),
            seed: cfg.seed,
            dominant_load: cfg.dominant_load,
            small_load: cfg.small_load,
            seconds: took.as_secs_f64(),
            jobs_complete: total(|c| c.complete),
            jobs_failed: total(|c| c.failed),
            jobs_refused: total(|c| c.refused),
            resubmitted: inner.resubmitted,
            codes: inner.codes.clone(),
            tasks_started: truth.tasks_started(),
            started_twice: truth.started_twice().len() as u64,
            partial_answers: inner.partial,
            foreign_answers: inner.foreign,
            false_not_run: inner.false_not_run.max(late_starts),
            work_after_leave: truth.broken().0,
            customers: inner.customers.iter().map(customer).collect(),
            messages: BTreeMap::new(),
            messages_per_task: 0.0,
            wasted_per_task: 0.0,
            slots_used: used.values().sum::<u64>() as f64 / 1e6 / slot_time,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the tally is whole")
    }
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

impl PerCustomer {
    fn report(&self, slot_seconds: f64) -> CustomerReport {
        let ratio = |value: u64| value as f64 / RATIO_UNIT;
        CustomerReport {
            complete: self.complete,
            failed: self.failed,
            refused: self.refused,
            ratio_p50: ratio(self.ratios.value_at_quantile(0.5)),
            ratio_p99: ratio(self.ratios.value_at_quantile(0.99)),
            ratio_max: ratio(self.ratios.max()),
            slot_seconds,
        }
    }
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
    }

    /// A short table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<18} {:>9} {:>7} {:>8} {:>7} {:>7} {:>7} {:>9}",
            "customer", "complete", "failed", "refused", "p50", "p99", "max", "slot s"
        )];
        for (name, c) in &self.customers {
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
            "broken promises {} (started twice {}, partial {}, foreign {}, false not-run {}, after leave {})",
            self.violations(),
            self.started_twice,
            self.partial_answers,
            self.foreign_answers,
            self.false_not_run,
            self.work_after_leave
        ));
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
}
