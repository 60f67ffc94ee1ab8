//! Whether what one side of a link sends still arrives.
//!
//! Guards against a connection that has gone silent in one direction only: heartbeats keep coming,
//! so the link looks alive, while everything sent on it vanishes. Each side's messages carry how
//! many messages of the link it has received, so the sender sees that its own stay out.

use std::collections::VecDeque;
use std::time;

/// The messages of one link that the other side hasn't confirmed.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    sent: u64,
    received: u64,
    pending: VecDeque<time::Instant>,
}

impl Delivery {
    /// Notes that a message leaves.
    pub fn record_sent(&mut self, now: time::Instant) {
        self.sent += 1;
        self.pending.push_back(now);
    }

    /// Notes that the other side has received `count` messages of this link.
    pub fn confirm(&mut self, count: u64) {
        let count = count.clamp(self.received, self.sent);
        let confirmed = (count - self.received) as usize;
        self.pending.drain(..confirmed);
        self.received = count;
    }

    /// Tells whether the oldest message that isn't confirmed has been out for longer than `limit`.
    pub fn is_stuck(&self, now: time::Instant, limit: time::Duration) -> bool {
        let oldest = self.pending.front();
        oldest.is_some_and(|at| now.saturating_duration_since(*at) > limit)
    }
}
