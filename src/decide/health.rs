//! Detects failing and slow workers by comparison with their peers, bars them from work, and lets
//! them return.
//!
//! A worker that fails every task at once always has free slots, so it would get ever more work. As
//! "A Grid of Grids using Condor-G" (Walker and others, 2006) proposes against such black holes,
//! the outcomes of real work, not of probes, decide where more work is sent. They set a limit on
//! how many tasks a worker may have at a time: one after a first failure, none after a second, and
//! later one real task again. `docs/design/health.md` has the figures.

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::id;

/// Failures in a row after which a worker is barred.
const MAX_FAILURES_IN_A_ROW: u32 = 2;

/// Share of failures above which a worker is barred though its failures aren't in a row.
const MAX_FAILURE_SHARE: f64 = 0.3;

/// Such a worker's share of failures must also exceed this many times the share of its peers.
const MIN_RATIO_TO_PEERS: f64 = 3.0;

/// Least weighted number of outcomes for which a share of failures is computed.
const MIN_OUTCOMES: f64 = 6.0;

/// Factor by which the weight of an outcome decreases with each later one.
const OUTCOME_DECAY: f64 = 0.9;

/// Ratio of a worker's slowness to that of its peers above which it is barred. Slowness is the
/// ratio of run time to estimate.
const SLOW_RATIO: f64 = 2.5;

/// The same ratio for a single task: one of a returning worker, or one that was stopped.
const SLOW_TASK_RATIO: f64 = 4.0;

/// Standard errors by which the slowness of a worker must exceed that of its peers, at least,
/// before it is barred, so that inexact estimates bar no worker.
const SLOW_STANDARD_ERRORS: f64 = 4.5;

/// Standard deviations by which the slowness of a stopped task must exceed the mean, at least, for
/// the task to count as a failure.
const OVERDUE_DEVIATIONS: f64 = 3.5;

/// A task that ran for less than this before it was stopped doesn't count as a failure of its
/// worker.
const MIN_OVERDUE_RUN: time::Duration = time::Duration::from_secs(2);

/// Least weight of a new run time in a worker's mean slowness; the first ones weigh `1 / n`.
const MIN_RUN_WEIGHT: f64 = 0.1;

/// Least number of run times before a worker may be barred as slow.
const MIN_RUNS: u32 = 10;

/// How long a worker is barred the first time; each further bar lasts twice as long.
const MIN_BAR_TIME: time::Duration = time::Duration::from_secs(1);
/// Longest time for which a worker is barred.
const MAX_BAR_TIME: time::Duration = time::Duration::from_secs(60);

/// A returning worker counts as healthy again once its limit of tasks at a time reaches this.
const HEALTHY_LIMIT: u32 = 64;

/// Largest share of the workers that may be barred at a time. If more seem to fail, the cause is
/// probably not the workers, and barring them would only reduce the remaining capacity.
const MAX_BARRED_SHARE: f64 = 0.5;

/// Largest number of client accounts for which outcomes are counted; all counts are cleared when it
/// is reached.
const MAX_ACCOUNTS: usize = 10_000;

/// How a task ended at a worker, as far as it says something about the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It succeeded; its run time and its estimated run time.
    Done(time::Duration, time::Duration),
    /// It failed.
    Failed,
    /// It was stopped; how long it had run, and its estimated run time.
    Stopped(time::Duration, time::Duration),
    /// The worker refused it although it had a free slot.
    Refused,
}

/// The outcomes of one worker, and its limit.
#[derive(Clone, Debug)]
struct WorkerRecord {
    /// Most tasks at a time; `u32::MAX` for a healthy worker.
    limit: u32,
    /// Failures since the last success.
    failures_in_a_row: u32,
    /// Weighted number of successes.
    successes: f64,
    /// Weighted number of failures.
    failures: f64,
    /// Mean logarithm of the ratio of run time to estimate.
    log_slowness: f64,
    /// Run times in that mean.
    runs: u32,
    /// Bars since the worker last recovered; each doubles the time of the next one.
    bars_in_a_row: u32,
    /// When its bar ends; `None` if it isn't barred.
    barred_until: Option<time::Instant>,
}

impl WorkerRecord {
    fn open() -> WorkerRecord {
        WorkerRecord {
            limit: u32::MAX,
            failures_in_a_row: 0,
            successes: 0.0,
            failures: 0.0,
            log_slowness: 0.0,
            runs: 0,
            bars_in_a_row: 0,
            barred_until: None,
        }
    }

    /// Adds an outcome; one of `successes` and `failures` is 1, the other 0.
    fn add_outcome(&mut self, successes: f64, failures: f64) {
        self.successes = self.successes * OUTCOME_DECAY + successes;
        self.failures = self.failures * OUTCOME_DECAY + failures;
    }
}

/// Weighted numbers of successes and failures; each later outcome reduces the weight of the earlier
/// ones.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    successes: f64,
    failures: f64,
}

impl OutcomeCounts {
    /// Adds an outcome, and multiplies the weights of earlier ones by `decay`.
    fn add_outcome(&mut self, failed: bool, decay: f64) {
        self.successes = self.successes * decay + f64::from(u8::from(!failed));
        self.failures = self.failures * decay + f64::from(u8::from(failed));
    }

    /// Returns the share of failures.
    fn failure_share(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(1.0)
    }
}

/// The health of a cell's workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Workers with any outcome.
    records: HashMap<id::AgentId, WorkerRecord>,
    /// Outcomes of each client account's tasks. Failures on workers whose limit is below
    /// [`HEALTHY_LIMIT`] aren't counted, and there is no record before the first failure.
    client_accounts: HashMap<id::ClientAccount, OutcomeCounts>,
    /// Outcomes of all workers, without refusals and without failures on workers whose limit is
    /// below [`HEALTHY_LIMIT`].
    peers: OutcomeCounts,
    /// Mean logarithm of the ratio of run time to estimate, over all workers.
    peers_log_slowness: f64,
    /// Variance of that logarithm.
    peers_variance: f64,
    /// Number of run times in that mean.
    peers_runs: u32,
    /// Barred workers, by the end of their bars.
    bars: BTreeSet<(time::Instant, id::AgentId)>,
}

impl Health {
    /// Forgets a worker's record, since it has a new incarnation or has left.
    pub fn forget(&mut self, agent: &id::AgentId) {
        if let Some(barred_until) = self
            .records
            .remove(agent)
            .and_then(|record| record.barred_until)
        {
            self.bars.remove(&(barred_until, agent.clone()));
        }
    }

    /// Returns how many tasks a worker may have at a time; `u32::MAX` if there is no limit.
    pub fn limit(&self, agent: &id::AgentId) -> u32 {
        self.records.get(agent).map_or(u32::MAX, |r| r.limit)
    }

    /// Records an outcome of a worker; `workers` is the number of workers of the cell. Returns how
    /// many tasks it may have at a time now.
    pub fn observe(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        account: &id::ClientAccount,
        outcome: Outcome,
        workers: usize,
    ) -> u32 {
        if !self.records.contains_key(agent) {
            self.records.insert(agent.clone(), WorkerRecord::open());
        }
        match outcome {
            Outcome::Done(ran, estimate) => {
                self.record_success(now, agent, account, ran, estimate, workers)
            }
            Outcome::Stopped(ran, estimate) if !self.is_overdue(ran, estimate) => {}
            Outcome::Failed | Outcome::Stopped(..) => {
                if !self.attribute_to_account(agent, account) {
                    self.record_failure(now, agent, workers);
                }
            }
            Outcome::Refused => self.record_failure(now, agent, workers),
        }
        self.limit(agent)
    }

    /// Ends the bars that are due by `now`. Returns their workers; each may have one task at a
    /// time.
    pub fn end_due_bars(&mut self, now: time::Instant) -> Vec<id::AgentId> {
        let mut returned = Vec::new();
        while self
            .bars
            .first()
            .is_some_and(|(barred_until, _)| *barred_until <= now)
        {
            let Some((_, agent)) = self.bars.pop_first() else {
                break;
            };
            if let Some(record) = self.records.get_mut(&agent) {
                record.barred_until = None;
                record.limit = 1;
                record.failures_in_a_row = MAX_FAILURES_IN_A_ROW - 1;
            }
            returned.push(agent);
        }
        returned
    }

    /// Returns the number of workers that are barred now.
    pub fn barred_count(&self) -> usize {
        self.bars.len()
    }

    /// Records a success of a worker.
    fn record_success(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        account: &id::ClientAccount,
        ran: time::Duration,
        estimate: time::Duration,
        workers: usize,
    ) {
        self.peers.add_outcome(false, 0.999);
        if let Some(counts) = self.client_accounts.get_mut(account) {
            counts.add_outcome(false, OUTCOME_DECAY);
        }
        let log_slowness = log_slowness(ran, estimate);
        // Both means cover about the same time, so that estimates which are wrong for all workers
        // cancel out.
        self.peers_runs = self.peers_runs.saturating_add(1);
        let gain = (MIN_RUN_WEIGHT / workers.max(1) as f64).max(1.0 / f64::from(self.peers_runs));
        self.peers_log_slowness += gain * (log_slowness - self.peers_log_slowness);
        let error = log_slowness - self.peers_log_slowness;
        self.peers_variance += gain * (error * error - self.peers_variance);
        let (peers, spread) = (self.peers_log_slowness, self.peers_variance.sqrt());
        let record = self
            .records
            .get_mut(agent)
            .expect("a worker with an outcome has a record");
        if record.barred_until.is_some() {
            // The task began before the worker was barred, so its success doesn't show that the
            // worker has recovered.
            return;
        }
        record.add_outcome(1.0, 0.0);
        record.failures_in_a_row = 0;
        record.runs += 1;
        record.log_slowness +=
            MIN_RUN_WEIGHT.max(1.0 / f64::from(record.runs)) * (log_slowness - record.log_slowness);
        let returning = record.limit < HEALTHY_LIMIT;
        let runs = f64::from(record.runs).min(2.0 / MIN_RUN_WEIGHT - 1.0);
        let slow_limit = SLOW_RATIO
            .ln()
            .max(SLOW_STANDARD_ERRORS * spread / runs.sqrt());
        let slow_task_limit = SLOW_TASK_RATIO.ln().max(SLOW_STANDARD_ERRORS * spread);
        let is_slow = record.runs >= MIN_RUNS && record.log_slowness - peers > slow_limit;
        if is_slow
            || (returning && record.bars_in_a_row > 0 && log_slowness - peers > slow_task_limit)
        {
            self.bar(now, agent, workers);
            return;
        }
        if returning {
            record.limit = record.limit.saturating_mul(2);
        }
        if record.limit >= HEALTHY_LIMIT {
            record.limit = u32::MAX;
        }
        if record.runs >= 4 * HEALTHY_LIMIT {
            record.bars_in_a_row = 0;
        }
    }

    /// Returns whether a task that was stopped had run far longer than expected.
    fn is_overdue(&self, ran: time::Duration, estimate: time::Duration) -> bool {
        let least = SLOW_TASK_RATIO
            .ln()
            .max(OVERDUE_DEVIATIONS * self.peers_variance.sqrt());
        ran >= MIN_OVERDUE_RUN && log_slowness(ran, estimate) - self.peers_log_slowness > least
    }

    /// Records a failure of a worker, and bars it if there are too many.
    fn record_failure(&mut self, now: time::Instant, agent: &id::AgentId, workers: usize) {
        let peers = self.peers.failure_share();
        let record = self
            .records
            .get_mut(agent)
            .expect("a worker with an outcome has a record");
        if record.barred_until.is_some() {
            return;
        }
        record.add_outcome(0.0, 1.0);
        record.failures_in_a_row += 1;
        record.limit = 1;
        let share = record.failures / (record.successes + record.failures);
        let scattered = record.successes + record.failures >= MIN_OUTCOMES
            && share > MAX_FAILURE_SHARE
            && share > MIN_RATIO_TO_PEERS * peers;
        if record.failures_in_a_row >= MAX_FAILURES_IN_A_ROW || scattered {
            self.bar(now, agent, workers);
        }
    }

    /// Bars a worker, unless too many are barred already.
    fn bar(&mut self, now: time::Instant, agent: &id::AgentId, workers: usize) {
        if (self.bars.len() + 1) as f64 > (MAX_BARRED_SHARE * workers as f64).max(1.0) {
            return;
        }
        let record = self
            .records
            .get_mut(agent)
            .expect("a barred worker has a record");
        let time = MIN_BAR_TIME.saturating_mul(1 << record.bars_in_a_row.min(10));
        let barred_until = now + time.min(MAX_BAR_TIME);
        record.bars_in_a_row += 1;
        record.limit = 0;
        record.barred_until = Some(barred_until);
        record.runs = 0;
        record.log_slowness = 0.0;
        record.successes = 0.0;
        record.failures = 0.0;
        self.bars.insert((barred_until, agent.clone()));
    }

    /// Counts a failure for its client account, unless the worker is suspect itself, with a limit
    /// below [`HEALTHY_LIMIT`]. Returns whether the client account is the likelier cause, since its
    /// tasks fail on workers that are healthy for others. Without this, broken input of one client
    /// account would bar all workers.
    fn attribute_to_account(&mut self, agent: &id::AgentId, account: &id::ClientAccount) -> bool {
        let is_worker_suspect = self.records[agent].limit < HEALTHY_LIMIT;
        if self.client_accounts.len() >= MAX_ACCOUNTS {
            self.client_accounts.clear();
        }
        let counts = self.client_accounts.entry(account.clone()).or_default();
        let is_account_at_fault = counts.failures >= 3.0 && counts.failure_share() > 0.5;
        if !is_worker_suspect {
            counts.add_outcome(true, OUTCOME_DECAY);
            self.peers.add_outcome(true, 0.999);
        }
        is_account_at_fault
    }
}

/// Returns the logarithm of the ratio of run time to estimate.
fn log_slowness(ran: time::Duration, estimate: time::Duration) -> f64 {
    (ran.as_secs_f64().max(1e-3) / estimate.as_secs_f64().max(1e-3)).ln()
}
