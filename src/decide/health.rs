//! Which workers are sick, judged against their peers, and how they come back.
//!
//! A worker that fails everything at once looks idle and draws ever more work. The feedback is
//! the one that "A Grid of Grids using Condor-G" (Walker and others, 2006) names against such black
//! holes: the outcome of the work itself, not a probe, decides where more work is sent. Here it
//! sets how many tasks may be at risk at a time: one after a first failure, none after a second,
//! and later one real task again. `docs/design/health.md` has the figures.

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::id;

/// Failures in a row after which a worker is barred.
const STREAK: u32 = 2;

/// Share of failures, against the peers' own, that bars a worker whose failures are scattered.
const FAILING: f64 = 0.3;

/// How many times more than its peers such a worker must fail.
const WORSE: f64 = 3.0;

/// Outcomes that are needed before shares are compared.
const ENOUGH: f64 = 6.0;

/// Weight that an outcome loses with each one that follows.
const KEEP: f64 = 0.9;

/// How many times slower than its peers a worker is when it is barred.
const SLOW: f64 = 2.5;

/// How many times slower a task of a worker that comes back may be.
const SLOW_PROBE: f64 = 4.0;

/// Standard errors by which it must differ, so that forecasts which scatter bar nobody.
const CERTAIN: f64 = 4.5;

/// The same for one task that was stopped.
const OVERDUE: f64 = 3.5;

/// Shortest run of such a task that tells against its worker.
const MIN_OVERDUE: time::Duration = time::Duration::from_secs(2);

/// Weight of a new run time.
const GAIN: f64 = 0.1;

/// Run times that are needed before a worker counts as slow.
const ENOUGH_RUNS: u32 = 10;

/// For how long a worker is barred first; doubled each time up to the maximum.
const MIN_BAR: time::Duration = time::Duration::from_secs(1);
const MAX_BAR: time::Duration = time::Duration::from_secs(60);

/// Tasks at a time beyond which a worker that comes back counts as well.
const WELL: u32 = 64;

/// Share of the workers that may be barred at a time. Where more look sick, the cause lies
/// elsewhere, and barring them would only take away what is left.
const MAX_BARRED: f64 = 0.5;

/// Most client accounts whose failures are told apart from the workers'.
const MAX_ACCOUNTS: usize = 10_000;

/// How a task ended at a worker, as far as it tells of the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was done; how long it ran and was thought to run.
    Done(time::Duration, time::Duration),
    /// It failed.
    Failed,
    /// It was stopped; how long it had run and was thought to run.
    Stopped(time::Duration, time::Duration),
    /// The worker turned it away though it had room.
    Refused,
}

/// What is known of one worker.
#[derive(Clone, Debug)]
struct Record {
    limit: u32,
    streak: u32,
    good: f64,
    bad: f64,
    /// Mean logarithm of the run time over the estimate.
    pace: f64,
    runs: u32,
    barred: u32,
    until: Option<time::Instant>,
}

impl Record {
    fn open() -> Record {
        Record {
            limit: u32::MAX,
            streak: 0,
            good: 0.0,
            bad: 0.0,
            pace: 0.0,
            runs: 0,
            barred: 0,
            until: None,
        }
    }

    fn count(&mut self, good: f64, bad: f64) {
        self.good = self.good * KEEP + good;
        self.bad = self.bad * KEEP + bad;
    }
}

/// Failures and successes, faded by count.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    good: f64,
    bad: f64,
}

impl Share {
    fn count(&mut self, failed: bool, keep: f64) {
        self.good = self.good * keep + f64::from(u8::from(!failed));
        self.bad = self.bad * keep + f64::from(u8::from(failed));
    }

    fn failing(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}

/// The health of a cell's workers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<id::AgentId, Record>,
    client_accounts: HashMap<id::ClientAccount, Share>,
    peers: Share,
    peers_pace: f64,
    peers_variance: f64,
    peers_runs: u32,
    bars: BTreeSet<(time::Instant, id::AgentId)>,
}

impl Health {
    /// Forgets a worker's record, since another life of it has begun or it is gone.
    pub fn forget(&mut self, agent: &id::AgentId) {
        if let Some(until) = self.records.remove(agent).and_then(|record| record.until) {
            self.bars.remove(&(until, agent.clone()));
        }
    }

    /// How many tasks may be at risk on a worker at a time.
    pub fn limit(&self, agent: &id::AgentId) -> u32 {
        self.records.get(agent).map_or(u32::MAX, |r| r.limit)
    }

    /// Takes an outcome, of `workers` in all. Returns how many tasks may now be at risk.
    pub fn observe(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        account: &id::ClientAccount,
        outcome: Outcome,
        workers: usize,
    ) -> u32 {
        if !self.records.contains_key(agent) {
            self.records.insert(agent.clone(), Record::open());
        }
        match outcome {
            Outcome::Done(ran, estimate) => self.done(now, agent, account, ran, estimate, workers),
            Outcome::Stopped(ran, estimate) if !self.is_overdue(ran, estimate) => {}
            Outcome::Failed | Outcome::Stopped(..) => {
                if !self.is_accounts_fault(agent, account) {
                    self.failed(now, agent, workers);
                }
            }
            Outcome::Refused => self.failed(now, agent, workers),
        }
        self.limit(agent)
    }

    /// Workers whose bar ends: each may have one task at risk.
    pub fn end_due_bars(&mut self, now: time::Instant) -> Vec<id::AgentId> {
        let mut back = Vec::new();
        while self.bars.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, agent)) = self.bars.pop_first() else {
                break;
            };
            if let Some(record) = self.records.get_mut(&agent) {
                record.until = None;
                record.limit = 1;
                record.streak = STREAK - 1;
            }
            back.push(agent);
        }
        back
    }

    /// Workers that are barred now.
    pub fn barred_count(&self) -> usize {
        self.bars.len()
    }

    fn done(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        account: &id::ClientAccount,
        ran: time::Duration,
        estimate: time::Duration,
        workers: usize,
    ) {
        self.peers.count(false, 0.999);
        if let Some(share) = self.client_accounts.get_mut(account) {
            share.count(false, KEEP);
        }
        let pace = pace(ran, estimate);
        // Both means span the same time, so that forecasts which are off for everybody cancel out.
        self.peers_runs = self.peers_runs.saturating_add(1);
        let gain = (GAIN / workers.max(1) as f64).max(1.0 / f64::from(self.peers_runs));
        self.peers_pace += gain * (pace - self.peers_pace);
        let error = pace - self.peers_pace;
        self.peers_variance += gain * (error * error - self.peers_variance);
        let (peers, spread) = (self.peers_pace, self.peers_variance.sqrt());
        let record = self.records.get_mut(agent).expect("it was just added");
        if record.until.is_some() {
            // It began before the worker was barred, and tells nothing of the time since.
            return;
        }
        record.count(1.0, 0.0);
        record.streak = 0;
        record.runs += 1;
        record.pace += GAIN.max(1.0 / f64::from(record.runs)) * (pace - record.pace);
        let returning = record.limit < WELL;
        let runs = f64::from(record.runs).min(2.0 / GAIN - 1.0);
        let slow = SLOW.ln().max(CERTAIN * spread / runs.sqrt());
        let slow_probe = SLOW_PROBE.ln().max(CERTAIN * spread);
        let is_slow = record.runs >= ENOUGH_RUNS && record.pace - peers > slow;
        if is_slow || (returning && record.barred > 0 && pace - peers > slow_probe) {
            self.bar(now, agent, workers);
            return;
        }
        if returning {
            record.limit = record.limit.saturating_mul(2);
        }
        if record.limit >= WELL {
            record.limit = u32::MAX;
        }
        if record.runs >= 4 * WELL {
            record.barred = 0;
        }
    }

    /// Tells whether a task that was stopped should have ended long before.
    fn is_overdue(&self, ran: time::Duration, estimate: time::Duration) -> bool {
        let least = SLOW_PROBE.ln().max(OVERDUE * self.peers_variance.sqrt());
        ran >= MIN_OVERDUE && pace(ran, estimate) - self.peers_pace > least
    }

    fn failed(&mut self, now: time::Instant, agent: &id::AgentId, workers: usize) {
        let peers = self.peers.failing();
        let record = self.records.get_mut(agent).expect("it was just added");
        if record.until.is_some() {
            return;
        }
        record.count(0.0, 1.0);
        record.streak += 1;
        record.limit = 1;
        let share = record.bad / (record.good + record.bad);
        let scattered =
            record.good + record.bad >= ENOUGH && share > FAILING && share > WORSE * peers;
        if record.streak >= STREAK || scattered {
            self.bar(now, agent, workers);
        }
    }

    fn bar(&mut self, now: time::Instant, agent: &id::AgentId, workers: usize) {
        if (self.bars.len() + 1) as f64 > (MAX_BARRED * workers as f64).max(1.0) {
            return;
        }
        let record = self.records.get_mut(agent).expect("it is on record");
        let time = MIN_BAR.saturating_mul(1 << record.barred.min(10));
        let until = now + time.min(MAX_BAR);
        record.barred += 1;
        record.limit = 0;
        record.until = Some(until);
        record.runs = 0;
        record.pace = 0.0;
        record.good = 0.0;
        record.bad = 0.0;
        self.bars.insert((until, agent.clone()));
    }

    /// Tells whether a failure is more likely the client account's own: its tasks fail on workers that
    /// are well for others. Without this one client account's broken input would bar all workers.
    fn is_accounts_fault(&mut self, agent: &id::AgentId, account: &id::ClientAccount) -> bool {
        let suspect = self.records[agent].limit < WELL;
        if self.client_accounts.len() >= MAX_ACCOUNTS {
            self.client_accounts.clear();
        }
        let share = self.client_accounts.entry(account.clone()).or_default();
        let fault = share.bad >= 3.0 && share.failing() > 0.5;
        if !suspect {
            share.count(true, KEEP);
            self.peers.count(true, 0.999);
        }
        fault
    }
}

/// Logarithm of the run time over the forecast.
fn pace(ran: time::Duration, estimate: time::Duration) -> f64 {
    (ran.as_secs_f64().max(1e-3) / estimate.as_secs_f64().max(1e-3)).ln()
}
