//! Decides how much room work that is past its target when it arrives leaves to work that can still be in time.

use std::time;

/// How long after an entry has found its agents room is kept free. Callers come again within 1.5 s of a loss, and the
/// rate of new work shows after some runs of the longest tasks (900 ms).
pub const RETURN_TIME: time::Duration = time::Duration::from_secs(2);

/// What changes as an entry begins and ends to keep room for new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The entry has found its agents.
    Begins,
    /// The entry has known its agents for [`RETURN_TIME`].
    Ends,
}

/// The time after the start of an entry in which it doesn't know the rate of new work yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Return {
    /// When the entry found its agents.
    found_at: Option<time::Duration>,
    has_ended: bool,
}

impl Return {
    /// Updates the state at a tick; `has_found_agents` is whether the entry has had time to find its agents.
    pub fn tick(&mut self, now: time::Duration, has_found_agents: bool) -> Option<Change> {
        match self.found_at {
            None if has_found_agents => {
                self.found_at = Some(now);
                Some(Change::Begins)
            }
            Some(_) if !self.has_ended && !self.is_recent(now) => {
                self.has_ended = true;
                Some(Change::Ends)
            }
            _ => None,
        }
    }

    /// Whether the entry has yet to find its agents, or has found them less than [`RETURN_TIME`] ago.
    pub fn is_recent(&self, now: time::Duration) -> bool {
        self.found_at.is_none_or(|found| now < found + RETURN_TIME)
    }

    /// Returns the part of each backend server that late work leaves free.
    pub fn share_kept(&self, now: time::Duration, policy: &Shares) -> f64 {
        if self.is_recent(now) {
            policy.after_return
        } else {
            policy.usual
        }
    }
}

/// Parts of a backend server that late work leaves free.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// At most times.
    pub usual: f64,
    /// While the rate of new work isn't known.
    pub after_return: f64,
}
