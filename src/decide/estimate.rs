//! Run times learned per client account and kind of task; the caller's declaration is only a prior.
//!
//! There are two forecasts for each pair of client account and kind: the mean of the observed run
//! times, and the declared value corrected by its mean error. The declared value is used only while
//! its error is clearly smaller (`docs/design/learning.md`).

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::id;

/// Least weight of a new observation in a mean; the first ones weigh `1 / n`.
const MIN_WEIGHT: f64 = 0.05;

/// Estimate for a pair with neither an observation nor a declaration.
const DEFAULT_RUN_TIME: time::Duration = time::Duration::from_millis(300);

/// Largest number of pairs whose run times are learned; for others the declared or default run time
/// is used.
const MAX_PAIRS: usize = 10_000;

/// The declared value is used if its squared error is below this share of the mean's squared error.
const MAX_DECLARED_ERROR_SHARE: f64 = 0.5;

/// Shortest estimate in seconds, whatever a caller declares.
const MIN_SECONDS: f64 = 0.001;
/// Longest estimate in seconds, whatever a caller declares.
const MAX_SECONDS: f64 = 600.0;

/// The learned run times of one cell.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    client_accounts: HashMap<id::ClientAccount, HashMap<CompactString, KindStats>>,
    pairs: usize,
}

/// What was learned for one pair of client account and kind.
#[derive(Clone, Debug, Default)]
struct KindStats {
    /// Number of observations.
    observations: u32,
    /// Mean run time in seconds.
    mean_seconds: f64,
    /// Mean of the logarithm of the run time in seconds.
    log_mean: f64,
    /// Mean squared error of `log_mean` as a forecast of the next logarithm.
    mean_error: f64,
    /// Number of observations with a declared run time.
    declared_observations: u32,
    /// Mean of the logarithm of the ratio of run time to declared run time.
    bias: f64,
    /// Mean squared error of the declared run time, corrected by `bias`, as such a forecast.
    declared_error: f64,
}

impl KindStats {
    /// Returns the estimated run time in seconds; `declared_ms` is 0 if none was declared.
    fn estimate(&self, declared_ms: u64) -> f64 {
        let informative = self.declared_observations > 1
            && declared_ms > 0
            && self.declared_error < MAX_DECLARED_ERROR_SHARE * self.mean_error;
        if informative {
            declared_ms as f64 / 1e3 * self.bias.exp()
        } else {
            self.mean_seconds
        }
    }

    /// Adds an observed run time and the one that was declared for it; 0 if none was.
    fn observe(&mut self, seconds: f64, declared_ms: u64) {
        let log = seconds.max(MIN_SECONDS).ln();
        self.observations = self.observations.saturating_add(1);
        let weight = observation_weight(self.observations);
        self.mean_seconds += weight * (seconds - self.mean_seconds);
        if self.observations > 1 {
            let error = (log - self.log_mean).powi(2);
            self.mean_error += weight * (error - self.mean_error);
        }
        self.log_mean += weight * (log - self.log_mean);
        if declared_ms == 0 {
            return;
        }
        let ratio = log - (declared_ms as f64 / 1e3).ln();
        self.declared_observations = self.declared_observations.saturating_add(1);
        if self.declared_observations > 1 {
            let error = (ratio - self.bias).powi(2);
            self.declared_error += weight * (error - self.declared_error);
        }
        self.bias += self::observation_weight(self.declared_observations) * (ratio - self.bias);
    }
}

/// Returns the weight that the newest observation gets in a mean over `observations`, itself
/// included.
fn observation_weight(observations: u32) -> f64 {
    MIN_WEIGHT.max(1.0 / f64::from(observations))
}

impl Estimates {
    /// Estimates how long a task runs; `declared_ms` is 0 if the caller declared nothing.
    pub fn estimate(
        &self,
        account: &id::ClientAccount,
        kind: &CompactString,
        declared_ms: u64,
    ) -> time::Duration {
        let stats = self
            .client_accounts
            .get(account)
            .and_then(|kinds| kinds.get(kind));
        let seconds = match stats {
            Some(stats) => stats.estimate(declared_ms),
            None if declared_ms > 0 => declared_ms as f64 / 1e3,
            None => DEFAULT_RUN_TIME.as_secs_f64(),
        };
        time::Duration::from_secs_f64(seconds.clamp(MIN_SECONDS, MAX_SECONDS))
    }

    /// Learns from a task that succeeded. The run time of one that failed or was stopped says
    /// nothing about how long such tasks take.
    pub fn observe(
        &mut self,
        account: &id::ClientAccount,
        kind: &CompactString,
        declared_ms: u64,
        ran: time::Duration,
    ) {
        let seconds = ran.as_secs_f64();
        let kinds = self.client_accounts.get_mut(account);
        if let Some(stats) = kinds.and_then(|kinds| kinds.get_mut(kind)) {
            stats.observe(seconds, declared_ms);
            return;
        }
        if self.pairs >= MAX_PAIRS {
            return;
        }
        self.pairs += 1;
        let kinds = self.client_accounts.entry(account.clone()).or_default();
        let stats = kinds.entry(kind.clone()).or_default();
        stats.observe(seconds, declared_ms);
    }
}
