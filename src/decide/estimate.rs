//! Run times learned per customer and kind of task; what callers declare is only a prior.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::id;

/// Weight of a new observation.
const GAIN: f64 = 0.1;

/// Taken where neither an observation nor a declaration is there.
const DEFAULT_RUN: time::Duration = time::Duration::from_millis(300);

/// Most pairs that are remembered; beyond it the prior serves.
const MAX_PAIRS: usize = 10_000;

/// The run times of one cell.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    means: HashMap<(id::Customer, CompactString), f64>,
}

impl Estimates {
    /// Guesses how long a task runs.
    pub fn guess(
        &self,
        customer: &id::Customer,
        kind: &CompactString,
        declared_ms: u64,
    ) -> time::Duration {
        let learned = self.means.get(&(customer.clone(), kind.clone()));
        match learned {
            Some(seconds) => time::Duration::from_secs_f64(*seconds),
            None if declared_ms > 0 => time::Duration::from_millis(declared_ms),
            None => DEFAULT_RUN,
        }
    }

    /// Learns from a task that ended.
    pub fn observe(&mut self, customer: &id::Customer, kind: &CompactString, ran: time::Duration) {
        let pair = (customer.clone(), kind.clone());
        if self.means.len() >= MAX_PAIRS && !self.means.contains_key(&pair) {
            return;
        }
        let seconds = ran.as_secs_f64();
        let mean = self.means.entry(pair).or_insert(seconds);
        *mean += GAIN * (seconds - *mean);
    }
}
