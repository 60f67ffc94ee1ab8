//! The nominal run time of a job, against which its target is set.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

/// Lower bound of run times, in seconds; keeps their logarithms finite.
const MIN_SECONDS: f64 = 0.001;

/// Weight of a job's declared run time in the mean of its class; the same as that of a run time.
const GAIN: f64 = 0.02;

/// Weight of a job's declared run time against the mean of its class: statements scatter by a factor of 1.5.
const OWN_WEIGHT: f64 = 0.5;

/// Mean declared run times by class. What an entry learns as the estimate is the run time on the median
/// backend server, which may be faster or slower than the nominal one.
#[derive(Debug, Default)]
pub struct NominalTimes {
    /// By class, the mean logarithm of the declared run time in seconds, and the number of jobs.
    classes: HashMap<CompactString, (f64, u32)>,
}

fn log(declared: time::Duration) -> f64 {
    declared.as_secs_f64().max(MIN_SECONDS).ln()
}

impl NominalTimes {
    /// Records the declared run time of a job.
    pub fn record(&mut self, class: &CompactString, declared: time::Duration) {
        let (mean, jobs) = self.classes.entry(class.clone()).or_default();
        *jobs = jobs.saturating_add(1);
        *mean += GAIN.max(1.0 / f64::from(*jobs)) * (log(declared) - *mean);
    }

    /// Returns the nominal run time of a job with this declared one.
    pub fn nominal(&self, class: &str, declared: time::Duration) -> time::Duration {
        let Some((mean, _)) = self.classes.get(class) else {
            return declared;
        };
        let log = OWN_WEIGHT * log(declared) + (1.0 - OWN_WEIGHT) * mean;
        time::Duration::from_secs_f64(log.exp())
    }
}
