//! The time limits that keep two runs of one task apart, and the backend server's lease.
//!
//! A caller whose connection broke submits the same job again, to any entry, after [`RESUBMIT_AFTER`] at the
//! earliest. By then every run of the first submission must have ended, whichever process died, stalled,
//! slowed down or was cut off. Two waits can follow one another: an agent takes [`SILENCE`] to give up a
//! silent entry, and where the agent itself stops in the meantime, its backend server keeps its runs for
//! [`LEASE`]. `docs/design/besteffort.md` adds them up.

use std::time;

/// Earliest time after which a caller submits a job again when its connection broke, as the callers promise.
pub const RESUBMIT_AFTER: time::Duration = time::Duration::from_millis(1_300);

/// How long an agent keeps the runs of an entry that is silent. Three heartbeats fit into it, together with
/// the pause of a machine that has used up its share of the processor (100 ms).
pub const SILENCE: time::Duration = time::Duration::from_millis(400);

/// How long a backend server lets its runs continue without a renewal from its agent.
pub const LEASE: time::Duration = time::Duration::from_millis(650);

/// How many times slower than true time a backend server's clock may run: by 2%.
pub const SLOW_CLOCK_FACTOR: f64 = 1.02;

/// Longest lease that a backend server accepts; it shortens a longer one to this.
pub const LONGEST_LEASE: time::Duration = time::Duration::from_millis(1_000);

/// Longest time that a backend server takes to stop a run.
pub const MAX_STOP_TIME: time::Duration = time::Duration::from_millis(50);

/// Time that the agent and the network add to the limits above.
pub const DELAY_MARGIN: time::Duration = time::Duration::from_millis(60);

/// How often each side of a link sends a message when there is nothing else to send.
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(120);

/// The time limits that a system runs with. Tests that aren't about time use longer ones, so that a busy
/// machine doesn't change their result.
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
    /// Checks the limits against what callers and backend servers keep to: a run has to end before its caller
    /// may submit the job again, and a backend server shortens a lease above the longest one without notice.
    ///
    /// # Errors
    ///
    /// Says which limit is too short, and what would be needed.
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

    /// Returns the longest time that runs continue on a backend server after the last renewal from its agent.
    pub fn lease_lapses_within(&self) -> time::Duration {
        self.lease.mul_f64(SLOW_CLOCK_FACTOR) + MAX_STOP_TIME
    }

    /// Returns the longest time that a run continues after the last message of its entry that reached the
    /// agent.
    pub fn runs_end_within(&self) -> time::Duration {
        self.silence + self.lease_lapses_within() + DELAY_MARGIN
    }
}

/// The lease that an agent grants its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    bounds: Bounds,
    /// The backend server's clock minus the agent's at the last answer, in milliseconds. It is too small by
    /// the time that the answer was on its way.
    offset: Option<i64>,
    /// Latest end of the lease that the agent has granted in any order, on the agent's clock, whether or not
    /// the order arrived.
    granted_until: time::Duration,
    /// When the latest order that was answered had been sent.
    confirmed_at: time::Duration,
    /// When the latest answer arrived.
    answered_at: time::Duration,
}

/// For which part of the lease, from when the last answered order was sent, the agent goes on renewing. It
/// lets the lease of a backend server that is silent for longer run out, so that it knows when the runs there
/// have ended.
const UNCONFIRMED_PART: f64 = 0.75;

impl Lease {
    /// Opens the lease of an incarnation of a backend server that hasn't answered yet.
    pub fn open(bounds: Bounds) -> Lease {
        Lease {
            bounds,
            offset: None,
            granted_until: time::Duration::ZERO,
            confirmed_at: time::Duration::ZERO,
            answered_at: time::Duration::ZERO,
        }
    }

    /// Returns the lease of the next incarnation under the same id. An order or renewal meant for the earlier
    /// incarnation may have reached the next one. By the next one's clock that lease may end later than
    /// intended, but the backend server has shortened it to the longest lease.
    pub fn next_incarnation(&self) -> Lease {
        let may_be_longer = self.bounds.longest_lease.mul_f64(SLOW_CLOCK_FACTOR) + DELAY_MARGIN;
        Lease {
            granted_until: (self.granted_until + may_be_longer).saturating_sub(self.bounds.lease),
            ..Lease::open(self.bounds)
        }
    }

    /// Whether the lease ends later than one granted now would. If the agent died, a run that began under
    /// such a lease could overlap the task's next run.
    pub fn outlasts_new_lease(&self, now: time::Duration) -> bool {
        self.granted_until > now + self.bounds.lease
    }

    /// Records the backend server's clock from an answer to an order that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: time::Duration, now: time::Duration, clock_ms: u64) {
        let offset = clock_ms as i64 - now.as_millis() as i64;
        self.offset = Some(offset);
        self.confirmed_at = self.confirmed_at.max(sent_at);
        self.answered_at = now;
    }

    /// Extends the lease and returns the end to ask for, in milliseconds on the backend server's clock.
    /// Returns none before its clock is known, and none while it is silent.
    pub fn renew(&mut self, now: time::Duration) -> Option<u64> {
        let offset = self.offset?;
        if now > self.confirmed_at + self.bounds.lease.mul_f64(UNCONFIRMED_PART) {
            return None;
        }
        let until = now + self.bounds.lease;
        self.granted_until = self.granted_until.max(until);
        Some((until.as_millis() as i64 + offset).max(1) as u64)
    }

    /// Whether every run on the backend server has ended because its lease ran out.
    pub fn has_lapsed(&self, now: time::Duration) -> bool {
        now > self.granted_until + self.bounds.lease_lapses_within() - self.bounds.lease
    }

    /// Whether the backend server hasn't answered for longer than `bound`.
    pub fn is_silent(&self, now: time::Duration, bound: time::Duration) -> bool {
        now > self.answered_at + bound
    }

    /// Returns the time since the latest answer; none if there was none.
    pub fn since_last_answer(&self, now: time::Duration) -> Option<time::Duration> {
        self.offset?;
        Some(now.saturating_sub(self.answered_at))
    }

    /// Whether the last answered order was sent longer than `after` ago, so that the agent makes a call only to
    /// renew the lease.
    pub fn is_renewal_overdue(&self, now: time::Duration, after: time::Duration) -> bool {
        now > self.confirmed_at + after
    }
}
