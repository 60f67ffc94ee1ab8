//! Measures at an agent how much room its runs free per second, and how much each class starts per second.

use std::collections::BTreeMap;
use std::time;

/// Time over which rates are averaged: longer than the tasks that fill most of the room (60 to 250 ms), and short
/// against a burst (3 to 4 s).
const WINDOW: time::Duration = time::Duration::from_millis(500);

/// Least time since the first event by which a rate is corrected. Starts that fill an empty backend server come
/// all at once, and would show a rate that it can't sustain.
const MIN_OBSERVED: time::Duration = time::Duration::from_millis(100);

/// Expected run time of a run whose entry tells none, until it has lasted longer: the middle one of the classes
/// that are common at entries.
const UNKNOWN_RUN_TIME: time::Duration = time::Duration::from_millis(200);

/// Least expected run time of a run; keeps the rate finite.
const MIN_RUN_TIME: time::Duration = time::Duration::from_millis(1);

/// Rates below this part of a core per second, in thousandths, count as none, so that a class that has ended
/// isn't reported for ever.
const MIN_RATE: f64 = 1.0;

/// Part of a new amount below which the decayed sum of the earlier ones is negligible, and the rate begins anew.
/// Otherwise a burst after seconds without events would show half of its rate again. Single events 2 s apart or
/// more each begin anew.
const NEGLIGIBLE: f64 = 0.02;

/// A rate that is averaged over the past with exponentially decaying weight, and corrected for the time before
/// the first event, in which nothing was observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    /// The decayed sum of all amounts, as of `updated_at`.
    sum: f64,
    /// The first event, not counting those whose decayed sum was negligible at a later one.
    first_at: Option<time::Duration>,
    updated_at: time::Duration,
}

impl Rate {
    /// Counts an amount.
    pub fn add(&mut self, now: time::Duration, amount: f64) {
        let before = self.decayed_sum(now);
        if before < NEGLIGIBLE * amount {
            self.first_at = None;
        }
        self.first_at.get_or_insert(now);
        self.sum = before + amount;
        self.updated_at = now;
    }

    /// Returns the decayed sum of the recent amounts.
    pub fn decayed_sum(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / WINDOW.as_secs_f64()).exp()
    }

    /// Returns the amount per second.
    pub fn per_second(&self, now: time::Duration) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let observed = now.saturating_sub(first_at).max(MIN_OBSERVED);
        let weight = 1.0 - (-observed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.decayed_sum(now) / (WINDOW.as_secs_f64() * weight)
    }
}

/// The room that was started at an agent, by class.
#[derive(Clone, Debug, Default)]
pub struct StartRates {
    by_priority: BTreeMap<u32, Rate>,
}

impl StartRates {
    /// Counts a start in this much room, in thousandths of a core.
    pub fn started(&mut self, now: time::Duration, priority: u32, cpu: i64) {
        let rate = self.by_priority.entry(priority).or_default();
        rate.add(now, cpu.max(0) as f64);
        self.by_priority
            .retain(|_, rate| rate.per_second(now) >= MIN_RATE);
    }

    /// Returns the room started per second by priority, in thousandths of a core, without classes that started
    /// nothing lately.
    pub fn per_second(&self, now: time::Duration) -> impl Iterator<Item = (u32, u64)> + '_ {
        let rates = self.by_priority.iter();
        rates
            .map(move |(priority, rate)| (*priority, rate.per_second(now)))
            .filter(|(_, rate)| *rate >= MIN_RATE)
            .map(|(priority, rate)| (priority, rate as u64))
    }
}

/// A run that takes room at an agent.
#[derive(Clone, Copy, Debug)]
pub struct CurrentRun {
    /// Room that it takes, in thousandths of a core.
    pub cpu: i64,
    /// Expected run time; zero where its entry doesn't tell.
    pub estimate: time::Duration,
    /// How long it has been going.
    pub age: time::Duration,
}

/// Returns the room that the runs free per second, in thousandths of a core. A run that has outlasted its
/// estimate counts its age as its expected run time, since runs that are stalled free nothing.
pub fn frees_per_s(runs: impl Iterator<Item = CurrentRun>) -> u64 {
    let rate = |run: CurrentRun| {
        let expected = if run.estimate.is_zero() {
            UNKNOWN_RUN_TIME
        } else {
            run.estimate
        };
        run.cpu.max(0) as f64 / expected.max(run.age).max(MIN_RUN_TIME).as_secs_f64()
    };
    runs.map(rate).sum::<f64>() as u64
}
