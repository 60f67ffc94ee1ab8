//! Run times learned per client account and kind of task; what callers declare is only a prior.
//!
//! Two forecasts compete for each pair: the mean of what was observed, and the declared value
//! corrected by its mean error. The declared one is used only while it is clearly the better of
//! the two (`docs/design/learning.md`).

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::id;

/// Weight of a new observation, once there are enough.
const GAIN: f64 = 0.05;

/// Taken where neither an observation nor a declaration is there.
const DEFAULT_RUN: time::Duration = time::Duration::from_millis(300);

/// Most pairs that are remembered; beyond it the prior serves.
const MAX_PAIRS: usize = 10_000;

/// Share of the mean's squared error below which the declared value counts as informative.
const CLEARLY_BETTER: f64 = 0.5;

/// Bounds of a forecast, so that no declaration carries beyond sense.
const SHORTEST: f64 = 0.001;
const LONGEST: f64 = 600.0;

/// The run times of one cell.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    client_accounts: HashMap<id::ClientAccount, HashMap<CompactString, Learned>>,
    pairs: usize,
}

#[derive(Clone, Debug, Default)]
struct Learned {
    seen: u32,
    /// Mean run time in seconds.
    mean: f64,
    /// Mean of the logarithm of the run time.
    log_mean: f64,
    /// Squared error of `log_mean` as a forecast.
    mean_error: f64,
    declared: u32,
    /// Mean of the logarithm of the run time over the declared one.
    bias: f64,
    /// Squared error of the corrected declaration as a forecast.
    declared_error: f64,
}

impl Learned {
    fn guess(&self, declared_ms: u64) -> f64 {
        let informative = self.declared > 1
            && declared_ms > 0
            && self.declared_error < CLEARLY_BETTER * self.mean_error;
        if informative {
            declared_ms as f64 / 1e3 * self.bias.exp()
        } else {
            self.mean
        }
    }

    fn observe(&mut self, seconds: f64, declared_ms: u64) {
        let log = seconds.max(SHORTEST).ln();
        self.seen = self.seen.saturating_add(1);
        let gain = gain(self.seen);
        self.mean += gain * (seconds - self.mean);
        if self.seen > 1 {
            let error = (log - self.log_mean).powi(2);
            self.mean_error += gain * (error - self.mean_error);
        }
        self.log_mean += gain * (log - self.log_mean);
        if declared_ms == 0 {
            return;
        }
        let ratio = log - (declared_ms as f64 / 1e3).ln();
        self.declared = self.declared.saturating_add(1);
        if self.declared > 1 {
            let error = (ratio - self.bias).powi(2);
            self.declared_error += gain * (error - self.declared_error);
        }
        self.bias += self::gain(self.declared) * (ratio - self.bias);
    }
}

fn gain(seen: u32) -> f64 {
    GAIN.max(1.0 / f64::from(seen))
}

impl Estimates {
    /// Guesses how long a task runs.
    pub fn estimate(
        &self,
        account: &id::ClientAccount,
        kind: &CompactString,
        declared_ms: u64,
    ) -> time::Duration {
        let learned = self
            .client_accounts
            .get(account)
            .and_then(|kinds| kinds.get(kind));
        let seconds = match learned {
            Some(learned) => learned.guess(declared_ms),
            None if declared_ms > 0 => declared_ms as f64 / 1e3,
            None => DEFAULT_RUN.as_secs_f64(),
        };
        time::Duration::from_secs_f64(seconds.clamp(SHORTEST, LONGEST))
    }

    /// Learns from a task that ended well; one that failed or was stopped tells nothing.
    pub fn observe(
        &mut self,
        account: &id::ClientAccount,
        kind: &CompactString,
        declared_ms: u64,
        ran: time::Duration,
    ) {
        let seconds = ran.as_secs_f64();
        let kinds = self.client_accounts.get_mut(account);
        if let Some(learned) = kinds.and_then(|kinds| kinds.get_mut(kind)) {
            learned.observe(seconds, declared_ms);
            return;
        }
        if self.pairs >= MAX_PAIRS {
            return;
        }
        self.pairs += 1;
        let kinds = self.client_accounts.entry(account.clone()).or_default();
        let learned = kinds.entry(kind.clone()).or_default();
        learned.observe(seconds, declared_ms);
    }
}
