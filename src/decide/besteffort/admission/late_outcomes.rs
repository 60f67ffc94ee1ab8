//! Judges by what became of late work whether more of it is accepted.
//!
//! It addresses lasting overload. Late work takes only room that is left over; where there is none for longer than
//! callers wait, all of it would be held and refused in the end. After a short burst it is answered, and should be
//! accepted.

use std::time;

/// Time over which outcomes lose their weight. It is about as long as callers of short tasks wait; after it late
/// work is tried again.
const MEMORY: time::Duration = time::Duration::from_secs(2);

/// Share of the late jobs that must have been answered. Below it two of three callers would wait for nothing.
const MIN_ANSWERED_SHARE: f64 = 0.35;

/// Weight of all outcomes below which they say too little; a recent one has a weight of 1.
const MIN_WEIGHT: f64 = 4.0;

/// The recent outcomes of late jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LateOutcomes {
    answered: f64,
    unanswered: f64,
    updated_at: time::Duration,
}

impl LateOutcomes {
    /// Records that a late job was answered, or ended without an answer.
    pub fn record(&mut self, now: time::Duration, is_answered: bool) {
        let weight = self.remaining_weight(now);
        self.answered = self.answered * weight + f64::from(u8::from(is_answered));
        self.unanswered = self.unanswered * weight + f64::from(u8::from(!is_answered));
        self.updated_at = now;
    }

    /// Whether another late job is accepted.
    pub fn accepts(&self, now: time::Duration) -> bool {
        let all = (self.answered + self.unanswered) * self.remaining_weight(now);
        all < MIN_WEIGHT
            || self.answered >= self.unanswered * MIN_ANSWERED_SHARE / (1.0 - MIN_ANSWERED_SHARE)
    }

    fn remaining_weight(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / MEMORY.as_secs_f64()).exp()
    }
}
