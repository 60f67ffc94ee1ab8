//! A budget of operations: a token bucket whose debts are paid by waiting.
//!
//! The platform serves several hundred writes and about 2,000 reads a second for everything. Each
//! process has a share, so that no fault of one of them can take the platform from the others.
//! `docs/design/messages.md` adds the shares up.

use std::time;

/// What a process may ask of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Reads a second, of table and object store together.
    pub reads: f64,
    /// Writes a second, of table and object store together.
    pub writes: f64,
}

/// The share of one entry. Four entries at the limit use half of the platform's writes and a
/// fifth of its reads.
pub const ENTRY_LIMITS: Limits = Limits {
    reads: 100.0,
    writes: 60.0,
};

/// Seconds for which an unused budget is saved up.
const SAVED: f64 = 1.0;

/// The budget of one kind of operation.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    tokens: f64,
    at: time::Instant,
}

impl Budget {
    /// Opens a full budget of `rate` operations a second.
    pub fn open(now: time::Instant, rate: f64) -> Budget {
        Budget {
            rate,
            tokens: rate * SAVED,
            at: now,
        }
    }

    /// Books one operation. Returns how long it has to wait, or nothing where that is more than
    /// `patience` and nothing was booked.
    pub fn reserve(
        &mut self,
        now: time::Instant,
        patience: time::Duration,
    ) -> Option<time::Duration> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * SAVED);
        self.at = self.at.max(now);
        let debt = (1.0 - self.tokens).max(0.0);
        let wait = time::Duration::from_secs_f64(debt / self.rate);
        if wait > patience {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }
}
