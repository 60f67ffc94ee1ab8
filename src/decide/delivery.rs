//! Detects that messages sent on a link no longer arrive at the other side.
//!
//! A connection may fail in one direction only: heartbeats still arrive, so the link looks alive,
//! while everything sent on it is lost. The messages of each side carry the number of messages that
//! this side has received on the link, so the other side sees which of its own messages are
//! unconfirmed.

use std::collections::VecDeque;
use std::time;

/// The messages sent on one link that the other side hasn't confirmed, by time of sending.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    sent: u64,
    /// Number of sent messages that the other side has received.
    confirmed: u64,
    /// When each unconfirmed message was sent, oldest first.
    pending: VecDeque<time::Instant>,
}

impl Delivery {
    /// Records that a message is sent.
    pub fn record_sent(&mut self, now: time::Instant) {
        self.sent += 1;
        self.pending.push_back(now);
    }

    /// Records that the other side has received `count` messages on this link in all.
    pub fn confirm(&mut self, count: u64) {
        let count = count.clamp(self.confirmed, self.sent);
        let newly_confirmed = (count - self.confirmed) as usize;
        self.pending.drain(..newly_confirmed);
        self.confirmed = count;
    }

    /// Returns whether the oldest unconfirmed message was sent more than `limit` ago.
    pub fn is_stuck(&self, now: time::Instant, limit: time::Duration) -> bool {
        let oldest = self.pending.front();
        oldest.is_some_and(|at| now.saturating_duration_since(*at) > limit)
    }
}
