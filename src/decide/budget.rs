//! A rate limit for operations of one kind: a token bucket in which a caller waits for a missing
//! token.
//!
//! The platform serves several hundred writes and about 2,000 reads a second for all processes
//! together. Each process has a share, so that a faulty one can't use up what the others need.
//! `docs/design/messages.md` adds up the shares.

use std::time;

/// How many operations a second a process may request of the platform.
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

/// An unused budget accumulates at most the operations of this many seconds.
const MAX_SAVED_SECONDS: f64 = 1.0;

/// The token bucket of one kind of operation.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    /// Operations that may be requested now; negative while callers wait for operations that they
    /// have reserved.
    tokens: f64,
    refilled_at: time::Instant,
}

impl Budget {
    /// Creates a full budget of `rate` operations a second.
    pub fn open(now: time::Instant, rate: f64) -> Budget {
        Budget {
            rate,
            tokens: rate * MAX_SAVED_SECONDS,
            refilled_at: now,
        }
    }

    /// Reserves one operation and returns how long the caller has to wait before it. If that is
    /// more than `max_wait`, reserves nothing and returns `None`.
    pub fn reserve(
        &mut self,
        now: time::Instant,
        max_wait: time::Duration,
    ) -> Option<time::Duration> {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate * MAX_SAVED_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
        let debt = (1.0 - self.tokens).max(0.0);
        let wait = time::Duration::from_secs_f64(debt / self.rate);
        if wait > max_wait {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }
}
