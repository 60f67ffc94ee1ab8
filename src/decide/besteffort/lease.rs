//! The time bounds that keep two runs of one task apart, and the backend server's lease.
//!
//! A caller whose connection broke submits the same job again, to any entry, after
//! [`RESUBMIT_AFTER`] at the earliest. By then every run of the first submission must have ended,
//! whoever died, froze, slowed or was cut off. Two waits can follow one another: the agent takes
//! [`SILENCE`] to give up an entry that it doesn't hear, and where the agent itself stops in the
//! meantime its backend server goes on for [`LEASE`]. `docs/design/besteffort.md` adds them up.

use std::time;

/// Soonest that a caller submits a job again after its connection broke; from the callers.
pub const RESUBMIT_AFTER: time::Duration = time::Duration::from_millis(1_300);

/// How long an agent goes on for an entry that it doesn't hear. Three heartbeats fit, and the pause
/// of a machine that has used up its share of the processor (100 ms) with them.
pub const SILENCE: time::Duration = time::Duration::from_millis(400);

/// How long a backend server goes on without its agent.
pub const LEASE: time::Duration = time::Duration::from_millis(650);

/// How much slower than true time a backend server's clock may run: 2%.
pub const SLOW_CLOCK_FACTOR: f64 = 1.02;

/// Longest lease that a backend server takes; a longer one is shortened to it.
pub const LONGEST_LEASE: time::Duration = time::Duration::from_millis(1_000);

/// Longest that a backend server takes to stop a run.
pub const MAX_STOP_TIME: time::Duration = time::Duration::from_millis(50);

/// What the agent and the network add to the bounds above.
pub const DELAY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// How often each side of a link says that it lives, where nothing else was sent.
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(120);

/// The bounds that a system runs with. Tests that don't ask about time take them longer, so that a
/// busy machine changes no verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// See [`SILENCE`].
    pub silence: time::Duration,
    /// See [`LEASE`].
    pub lease: time::Duration,
    /// See [`LONGEST_LEASE`].
    pub longest_lease: time::Duration,
    /// See [`HEARTBEAT`].
    pub heartbeat: time::Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            silence: SILENCE,
            lease: LEASE,
            longest_lease: LONGEST_LEASE,
            heartbeat: HEARTBEAT,
        }
    }
}

impl Bounds {
    /// Checks the bounds against what callers and backend servers keep: a run has to end before its
    /// caller may submit the job again, and a lease over the longest one is shortened unasked.
    ///
    /// # Errors
    ///
    /// Says which bound is too short, and what would be needed.
    pub fn check(&self, resubmit: Option<time::Duration>) -> Result<(), String> {
        let resubmit = resubmit.unwrap_or(RESUBMIT_AFTER);
        if self.runs_end_within() >= resubmit {
            return Err(format!(
                "callers submit again after {} ms, and a run may go on for {} ms; it would run twice",
                resubmit.as_millis(),
                self.runs_end_within().as_millis()
            ));
        }
        if self.lease > self.longest_lease {
            return Err(format!(
                "the longest lease is {} ms, and {} ms are needed",
                self.longest_lease.as_millis(),
                self.lease.as_millis()
            ));
        }
        Ok(())
    }

    /// Longest that a backend server goes on after the agent's last word to it.
    pub fn lease_lapses_within(&self) -> time::Duration {
        self.lease.mul_f64(SLOW_CLOCK_FACTOR) + MAX_STOP_TIME
    }

    /// Longest that a run goes on after the entry's last word that reached its agent.
    pub fn runs_end_within(&self) -> time::Duration {
        self.silence + self.lease_lapses_within() + DELAY_MARGIN
    }
}

/// The lease that an agent holds on its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    bounds: Bounds,
    /// The other clock minus ours at the last answer; it may only be late by the way back.
    offset: Option<i64>,
    /// Until when the backend server may go on, on our clock; from the latest order that was sent.
    granted: time::Duration,
    /// When the latest order that was answered had been sent.
    confirmed: time::Duration,
    /// When the latest answer came.
    answered: time::Duration,
}

/// Part of the lease for which renewals go on lengthening it after the last answered one. Where the
/// backend server is silent for longer, its lease must run out, so that it is known when its runs
/// have ended.
const UNCONFIRMED: f64 = 0.75;

impl Lease {
    /// Opens the lease on a life of a backend server that hasn't been heard.
    pub fn open(bounds: Bounds) -> Lease {
        Lease {
            bounds,
            offset: None,
            granted: time::Duration::ZERO,
            confirmed: time::Duration::ZERO,
            answered: time::Duration::ZERO,
        }
    }

    /// The lease on the next life under the same id. An order or renewal for the life before may have reached
    /// it: one that ends on the other clock, shortened to the longest that there is.
    pub fn next_incarnation(&self) -> Lease {
        let may_be_longer = self.bounds.longest_lease.mul_f64(SLOW_CLOCK_FACTOR) + DELAY_MARGIN;
        Lease {
            granted: (self.granted + may_be_longer).saturating_sub(self.bounds.lease),
            ..Lease::open(self.bounds)
        }
    }

    /// Whether the lease outlives what would be asked for now. A run that begins under it would go on beside
    /// its successor where the agent dies.
    pub fn outlasts_new_lease(&self, now: time::Duration) -> bool {
        self.granted > now + self.bounds.lease
    }

    /// Takes in the backend server's clock, as an answer brought it.
    pub fn record_answer(&mut self, sent: time::Duration, now: time::Duration, clock_ms: u64) {
        let offset = clock_ms as i64 - now.as_millis() as i64;
        self.offset = Some(offset);
        self.confirmed = self.confirmed.max(sent);
        self.answered = now;
    }

    /// The end of the lease to ask for now, on the backend server's clock; none before its clock is
    /// known, and none while it is silent.
    pub fn renew(&mut self, now: time::Duration) -> Option<u64> {
        let offset = self.offset?;
        if now > self.confirmed + self.bounds.lease.mul_f64(UNCONFIRMED) {
            return None;
        }
        let until = now + self.bounds.lease;
        self.granted = self.granted.max(until);
        Some((until.as_millis() as i64 + offset).max(1) as u64)
    }

    /// Whether everything on the backend server has ended for want of a lease.
    pub fn has_lapsed(&self, now: time::Duration) -> bool {
        now > self.granted + self.bounds.lease_lapses_within() - self.bounds.lease
    }

    /// Whether the backend server has been silent for so long.
    pub fn is_silent(&self, now: time::Duration, bound: time::Duration) -> bool {
        now > self.answered + bound
    }

    /// How long ago the latest answer came; none if none did.
    pub fn since_last_answer(&self, now: time::Duration) -> Option<time::Duration> {
        self.offset?;
        Some(now.saturating_sub(self.answered))
    }

    /// Whether a renewal is overdue, so that one more is worth a call of its own.
    pub fn is_renewal_overdue(&self, now: time::Duration, after: time::Duration) -> bool {
        now > self.confirmed + after
    }
}
