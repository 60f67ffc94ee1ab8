//! How much slot time each client account has used, with what is long ago counting less.
//!
//! Instead of fading all that was booked, new bookings weigh more, so that the order of the
//! client accounts never changes by itself.

use std::collections::HashMap;
use std::time;

use crate::id;

/// Time constant with which used slot time fades.
pub const DECAY_TIME: time::Duration = time::Duration::from_secs(5);

/// Growth of the scale, in units of [`DECAY_TIME`], after which the books are scaled back.
const MAX_GROWTH: f64 = 100.0;

/// The books.
#[derive(Clone, Debug)]
pub struct Usage {
    used: HashMap<id::ClientAccount, f64>,
    /// When a second of slot time weighed 1.
    base: time::Instant,
}

impl Usage {
    /// Opens empty books.
    pub fn open(now: time::Instant) -> Usage {
        Usage {
            used: HashMap::new(),
            base: now,
        }
    }

    /// What a client account has used, on the scale of all.
    pub fn used_by(&self, account: &id::ClientAccount) -> f64 {
        self.used.get(account).copied().unwrap_or(0.0)
    }

    /// Books an amount; a negative one corrects an earlier one.
    pub fn add(&mut self, account: &id::ClientAccount, amount: f64) {
        let used = self.used.entry(account.clone()).or_default();
        *used = (*used + amount).max(0.0);
    }

    /// What one second of slot time weighs now, and whether the books were scaled back for it, so
    /// that whatever is ordered by them has to be ordered anew.
    pub fn current_weight(&mut self, now: time::Instant) -> (f64, bool) {
        let growth =
            now.saturating_duration_since(self.base).as_secs_f64() / DECAY_TIME.as_secs_f64();
        if growth <= MAX_GROWTH {
            return (growth.exp(), false);
        }
        self.base = now;
        let shrink = (-growth).exp();
        for used in self.used.values_mut() {
            *used *= shrink;
        }
        self.used.retain(|_, used| *used > f64::MIN_POSITIVE);
        (1.0, true)
    }
}
