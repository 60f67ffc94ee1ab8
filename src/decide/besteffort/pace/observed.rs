//! The pace of an agent's backend server: run time divided by estimate, over the runs of all entries.

use std::time;

use crate::decide::besteffort::told::Pace;

/// Number of runs over which the mean is taken. Run times scatter by a factor of about 1.5, which leaves the
/// mean of 32 accurate to 5%, the change from which entries are informed.
pub const WINDOW_RUNS: f64 = 32.0;

/// Bounds of the ratio of one run, so that one odd run can't decide the pace.
const RATIO_BOUNDS: (f64, f64) = (0.1, 16.0);

/// Change of the pace from which entries are informed; less changes no placement.
const TOLD_CHANGE: f64 = 1.05;

/// Factor between the runs in progress and the ended ones from which the backend server counts as having
/// changed its speed. It is the scatter of a single run.
const TURN_FACTOR: f64 = 1.5;

/// Runs in progress, each counted by its progress, that show such a change. The mean of four scatters by 1.2.
const TURN_RUNS: f64 = 4.0;

/// Age below which a run in progress says too little: orders and listings take several milliseconds of it.
pub const MIN_AGE: time::Duration = time::Duration::from_millis(60);

/// One run, ended or in progress, as evidence of the pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Logarithm of the run time over the estimate.
    log: f64,
    /// 1 for a run that has ended, less for one in progress.
    weight: f64,
}

impl Evidence {
    /// Returns the evidence of a run that has ended with its task done.
    pub fn of_end(estimate: time::Duration, took: time::Duration) -> Option<Evidence> {
        (!estimate.is_zero()).then(|| Evidence::of_ratio(took, estimate, 1.0))
    }

    /// Returns the evidence of a run of this age in progress, or of one that was stopped. It counts by the
    /// part that is done; a run that has done less than it should counts by the part that it should have done.
    pub fn of_progress(
        estimate: time::Duration,
        age: time::Duration,
        percent: u8,
    ) -> Option<Evidence> {
        if estimate.is_zero() || age < MIN_AGE {
            return None;
        }
        // Progress is rounded down to whole percents.
        let done = (f64::from(percent) + 0.5) / 100.0;
        let expected = age.as_secs_f64() / estimate.as_secs_f64();
        let weight = done.max(expected).min(1.0);
        Some(Evidence::of_ratio(age.div_f64(done), estimate, weight))
    }

    fn of_ratio(took: time::Duration, estimate: time::Duration, weight: f64) -> Evidence {
        let (least, most) = RATIO_BOUNDS;
        let ratio = took.as_secs_f64() / estimate.as_secs_f64();
        Evidence {
            log: ratio.clamp(least, most).ln(),
            weight,
        }
    }
}

/// The pace of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// Mean logarithm over the ended runs; the latest [`WINDOW_RUNS`] count most.
    mean: f64,
    /// Ended runs behind `mean` since the speed last changed.
    ended: f64,
    /// Sum of the logarithms, and number, of the runs in progress, weighted by their progress.
    running: (f64, f64),
}

impl Observed {
    /// Records a run that has ended or was stopped.
    pub fn record(&mut self, evidence: Evidence) {
        self.ended += evidence.weight;
        let window = self.ended.min(WINDOW_RUNS);
        self.mean += evidence.weight / window * (evidence.log - self.mean);
    }

    /// Replaces the runs in progress. Where they show another speed than the ended ones, these count no
    /// more.
    pub fn set_running(&mut self, running: impl Iterator<Item = Evidence>) {
        self.running = running.fold((0.0, 0.0), |(sum, weight), run| {
            (sum + run.weight * run.log, weight + run.weight)
        });
        let (sum, weight) = self.running;
        if self.ended > 0.0
            && weight >= TURN_RUNS
            && (sum / weight - self.mean).abs() > TURN_FACTOR.ln()
        {
            self.mean = 0.0;
            self.ended = 0.0;
        }
    }

    /// Forgets everything, since the backend server is another incarnation.
    pub fn forget(&mut self) {
        *self = Observed::default();
    }

    /// Returns the pace to report; none before any run has shown it. Runs in progress count only until the
    /// first has ended: at any moment the longer ones of them are more numerous.
    pub fn pace(&self) -> Option<Pace> {
        let (sum, weight) = self.running;
        let (log, runs) = if self.ended > 0.0 {
            (self.mean, self.ended)
        } else if weight > 0.0 {
            (sum / weight, weight)
        } else {
            return None;
        };
        Some(Pace {
            percent: (log.exp() * 100.0).round() as u32,
            runs: runs.ceil().min(255.0) as u8,
        })
    }
}

/// Whether an entry that was last told `before` is informed of `pace`: it has changed by 5%, began anew, or
/// its weight has doubled.
pub fn is_news(before: Option<Pace>, pace: Pace) -> bool {
    before.is_none_or(|before| {
        let (a, b) = (
            f64::from(before.percent.max(1)),
            f64::from(pace.percent.max(1)),
        );
        let is_heavier = f64::from(before.runs) < WINDOW_RUNS && pace.runs / 2 >= before.runs;
        a.max(b) >= TOLD_CHANGE * a.min(b) || pace.runs < before.runs || is_heavier
    })
}
