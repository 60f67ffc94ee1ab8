//! Counts what callers saw, apart from the system's own state.

use std::collections::{BTreeMap, HashMap};
use std::io::{IsTerminal, Write};
use std::sync::{Mutex, MutexGuard};
use std::time;

use hdrhistogram::Histogram;

use crate::code;
use crate::demo::config::Config;
use crate::demo::ended::Ended;
use crate::demo::report::{ClientAccountReport, Report};
use crate::demo::workload::Arrival;
use crate::id;
use crate::standin::truth::Truth;

/// Ratios are recorded in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Largest ratio that is told apart from larger ones.
const MAX_RATIO: u64 = 1_000_000;

/// Pause between two lines of progress.
const PROGRESS: time::Duration = time::Duration::from_millis(200);

/// Time over the ideal from which an answer counts as disturbed.
const DISTURBED: time::Duration = time::Duration::from_secs(1);

/// Width of the buckets of arrivals from which the time to recover is read.
const BUCKET: time::Duration = time::Duration::from_millis(500);

/// Share of a bucket's arrivals that have to be undisturbed for the service to be back.
const BACK: f64 = 0.9;

/// How a submission went in time.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// When it was first made.
    pub begun: time::Instant,
    /// How long it took to its ending.
    pub took: time::Duration,
    /// The shortest that it could have taken.
    pub ideal: time::Duration,
    /// Submissions under the key.
    pub tries: u32,
}

/// What the operators of a race saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Race {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Broken promises about the configuration.
    pub broken: u64,
    /// Longest time from an acceptance until every entry had the version.
    pub spread: time::Duration,
}

/// Counts what callers saw.
pub struct Tally {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    client_accounts: BTreeMap<id::ClientAccount, PerAccount>,
    codes: BTreeMap<String, u64>,
    partial: u64,
    foreign: u64,
    resubmitted: u64,
    unknown: u64,
    gave_up: u64,
    late: u64,
    withdrawn: u64,
    not_run: Vec<(id::JobKey, code::Code)>,
    failures: HashMap<id::JobKey, code::Code>,
    arrivals: Vec<(time::Instant, bool)>,
    injected: Option<time::Instant>,
    race: Option<Race>,
    shown: Option<time::Instant>,
}

struct PerAccount {
    ratios: Histogram<u64>,
    complete: u64,
    failed: u64,
    refused: u64,
}

impl Default for PerAccount {
    fn default() -> PerAccount {
        PerAccount {
            ratios: Histogram::new_with_max(MAX_RATIO, 3).expect("the bounds are valid"),
            complete: 0,
            failed: 0,
            refused: 0,
        }
    }
}

impl Tally {
    /// Opens an empty tally.
    pub fn open() -> Tally {
        Tally {
            inner: Mutex::default(),
        }
    }

    /// Counts a submission that ended for its caller.
    pub fn ended(&self, arrival: &Arrival, job: id::JobKey, ended: &Ended, flight: Flight) {
        let mut inner = self.lock();
        inner.resubmitted += u64::from(flight.tries.saturating_sub(1));
        let complete = matches!(ended, Ended::Complete);
        let prompt = flight.tries == 1 && flight.took < flight.ideal + DISTURBED;
        inner.arrivals.push((flight.begun, complete && prompt));
        match ended {
            Ended::Complete => inner.complete(arrival, flight),
            Ended::Refused(refusal) => {
                *inner.codes.entry(refusal.code.to_string()).or_default() += 1;
                inner.unknown += u64::from(refusal.unknown);
                let account = inner
                    .client_accounts
                    .entry(arrival.client_account.clone())
                    .or_default();
                if refusal.not_run {
                    account.refused += 1;
                } else {
                    account.failed += 1;
                    inner.failures.insert(job, refusal.code);
                }
            }
            Ended::GaveUp => {
                *inner.codes.entry("none".to_owned()).or_default() += 1;
                inner.gave_up += 1;
                let account = inner
                    .client_accounts
                    .entry(arrival.client_account.clone())
                    .or_default();
                account.failed += 1;
            }
        }
    }

    /// Counts a job that its caller withdrew, however it ended; it enters no other count.
    pub fn withdrawn(&self) {
        self.lock().withdrawn += 1;
    }

    /// Counts an answer that lacked a task.
    pub fn partial(&self) {
        self.lock().partial += 1;
    }

    /// Counts an answer of another task.
    pub fn foreign(&self) {
        self.lock().foreign += 1;
    }

    /// Remembers a "not run", to be held against the starts at the end of the run.
    pub fn said_not_run(&self, job: id::JobKey, code: code::Code) {
        self.lock().not_run.push((job, code));
    }

    /// Notes when the first fault was injected.
    pub fn injected(&self) {
        self.lock().injected.get_or_insert_with(time::Instant::now);
    }

    /// Notes what came of a race of operators.
    pub fn raced(&self, race: Race) {
        self.lock().race = Some(race);
    }

    /// Shows how far a run is, on a terminal only.
    pub fn show_progress(&self, elapsed: time::Duration, of: time::Duration) {
        let mut inner = self.lock();
        let recent = inner.shown.is_some_and(|at| at.elapsed() < PROGRESS);
        if recent || !std::io::stderr().is_terminal() {
            return;
        }
        inner.shown = Some(time::Instant::now());
        let complete: u64 = inner.client_accounts.values().map(|c| c.complete).sum();
        let refused: u64 = inner.client_accounts.values().map(|c| c.refused).sum();
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
        let twice = truth.started_twice();
        for id in &twice {
            log::error!("task {} of {} was started twice", id.index, id.job);
        }
        let inner = self.lock();
        let used = truth.slot_micros();
        let total = |f: fn(&PerAccount) -> u64| inner.client_accounts.values().map(f).sum();
        let account = |(name, c): (&id::ClientAccount, &PerAccount)| {
            let micros = used.get(name).copied().unwrap_or(0);
            (name.clone(), c.report(micros as f64 / 1e6))
        };
        let slot_time = f64::from(cfg.deployment.slots()) * cfg.duration.as_secs_f64();
        let race = inner.race.unwrap_or_default();
        Report {
            deployment: cfg.deployment.name.to_owned(),
            faults: cfg.faults.clone(),
            seed: cfg.seed,
            dominant_load: cfg.dominant_load,
            small_load: cfg.small_load,
            seconds: took.as_secs_f64(),
            jobs_complete: total(|c| c.complete),
            jobs_failed: total(|c| c.failed),
            jobs_refused: total(|c| c.refused),
            jobs_unknown: inner.unknown,
            jobs_withdrawn: inner.withdrawn,
            lost_submissions: inner.gave_up,
            late_answers: inner.late,
            resubmitted: inner.resubmitted,
            recover_seconds: inner.recover().map(|took| took.as_secs_f64()),
            codes: inner.codes.clone(),
            tasks_started: truth.tasks_started(),
            started_twice: twice.len() as u64,
            partial_answers: inner.partial,
            foreign_answers: inner.foreign,
            false_not_run: inner.false_not_run(truth),
            work_after_leave: truth.late_work(),
            cut_off: inner.cut_off(truth),
            config_changes: race.accepted,
            config_broken: race.broken,
            config_spread_seconds: race.spread.as_secs_f64(),
            small: inner.small(cfg.deployment.dominant),
            client_accounts: inner.client_accounts.iter().map(account).collect(),
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

impl Inner {
    fn complete(&mut self, arrival: &Arrival, flight: Flight) {
        let ratio = flight.took.as_secs_f64() / flight.ideal.as_secs_f64().max(1e-6);
        self.late += u64::from(flight.took > arrival.target);
        let account = self
            .client_accounts
            .entry(arrival.client_account.clone())
            .or_default();
        account.complete += 1;
        account
            .ratios
            .saturating_record((ratio * RATIO_UNIT) as u64);
    }

    /// Every "not run" of a job of which something was started, before it was said or after.
    fn false_not_run(&self, truth: &Truth) -> u64 {
        let false_claims = self
            .not_run
            .iter()
            .filter(|(job, _)| truth.starts_of(job) > 0);
        let mut n = 0;
        for (job, code) in false_claims {
            log::error!("{code} said that {job} had not run, and it had");
            n += 1;
        }
        n
    }

    /// Runs that were cut off, less those of jobs whose failure had another reason: a task that
    /// failed or ran past its target, or a worker that died with another task of the job.
    fn cut_off(&self, truth: &Truth) -> u64 {
        let died = truth.workers_died() > 0;
        let excused = |job: &id::JobKey| {
            self.failures.get(job).is_some_and(|code| {
                let failed = code.outcome() == code::Outcome::Failed;
                failed || (died && code.outcome() == code::Outcome::Unknown)
            })
        };
        let mut n = 0;
        for job in truth.cut_off_jobs() {
            if !excused(&job) {
                let ending = self.failures.get(&job);
                log::error!("a run of {job} was cut off; its caller was told {ending:?}");
                n += 1;
            }
        }
        n
    }

    /// From the first fault to the end of the last half second of arrivals of which fewer than
    /// nine in ten were answered completely, at the first try, within a second of the ideal.
    fn recover(&self) -> Option<time::Duration> {
        let injected = self.injected?;
        let mut buckets: BTreeMap<u32, (u32, u32)> = BTreeMap::new();
        for (begun, undisturbed) in &self.arrivals {
            let Some(after) = begun.checked_duration_since(injected) else {
                continue;
            };
            let number = (after.as_secs_f64() / BUCKET.as_secs_f64()) as u32;
            let (all, good) = buckets.entry(number).or_default();
            *all += 1;
            *good += u32::from(*undisturbed);
        }
        let bad =
            |(_, (all, good)): &(&u32, &(u32, u32))| f64::from(*good) < BACK * f64::from(*all);
        let last = buckets.iter().rfind(bad);
        Some(last.map_or(time::Duration::ZERO, |(number, _)| BUCKET * (number + 1)))
    }

    /// All client accounts but the dominant one, as one.
    fn small(&self, dominant: &str) -> ClientAccountReport {
        let mut all = PerAccount::default();
        for (_, c) in self
            .client_accounts
            .iter()
            .filter(|(name, _)| *name != dominant)
        {
            all.complete += c.complete;
            all.failed += c.failed;
            all.refused += c.refused;
            all.ratios
                .add(&c.ratios)
                .expect("all histograms have the same bounds");
        }
        all.report(0.0)
    }
}

impl PerAccount {
    fn report(&self, slot_seconds: f64) -> ClientAccountReport {
        let ratio = |value: u64| value as f64 / RATIO_UNIT;
        ClientAccountReport {
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
