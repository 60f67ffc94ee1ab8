//! How much slot time each client account has used, where older use counts less.
//!
//! Use decays exponentially. Instead of decreasing all stored amounts as time passes, a new amount
//! is stored with a weight that grows with time. The ratios between client accounts are the same,
//! and their stored amounts, and so their order, change only when an amount is added.

use std::collections::HashMap;
use std::time;

use crate::id;

/// Time constant of the exponential decay of used slot time.
pub const DECAY_TIME: time::Duration = time::Duration::from_secs(5);

/// Age of the time base, in units of [`DECAY_TIME`], after which all amounts are rescaled to a new
/// one.
const MAX_BASE_AGE: f64 = 100.0;

/// The weighted slot time that each client account has used.
#[derive(Clone, Debug)]
pub struct Usage {
    used: HashMap<id::ClientAccount, f64>,
    /// The time at which a second of slot time has weight 1.
    base_time: time::Instant,
}

impl Usage {
    /// Creates a record in which no client account has used anything.
    pub fn open(now: time::Instant) -> Usage {
        Usage {
            used: HashMap::new(),
            base_time: now,
        }
    }

    /// Returns the weighted slot time of a client account; it has a meaning only in comparison with
    /// that of others.
    pub fn used_by(&self, account: &id::ClientAccount) -> f64 {
        self.used.get(account).copied().unwrap_or(0.0)
    }

    /// Adds a weighted amount to a client account's use; a negative one corrects an earlier one.
    pub fn add(&mut self, account: &id::ClientAccount, amount: f64) {
        let used = self.used.entry(account.clone()).or_default();
        *used = (*used + amount).max(0.0);
    }

    /// Returns the weight of one second of slot time now, and whether all amounts were rescaled for
    /// it; then everything that is sorted by them must be sorted again.
    pub fn current_weight(&mut self, now: time::Instant) -> (f64, bool) {
        let age =
            now.saturating_duration_since(self.base_time).as_secs_f64() / DECAY_TIME.as_secs_f64();
        if age <= MAX_BASE_AGE {
            return (age.exp(), false);
        }
        self.base_time = now;
        let shrink = (-age).exp();
        for used in self.used.values_mut() {
            *used *= shrink;
        }
        self.used.retain(|_, used| *used > f64::MIN_POSITIVE);
        (1.0, true)
    }
}
