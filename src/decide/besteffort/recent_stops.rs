//! The stops that an entry has lately sent to one agent.

use std::collections::VecDeque;
use std::time;

use crate::decide::besteffort::message::Run;

/// How long after a stop its run may still be reported before it is stopped again. A machine that has used up its
/// share of the processor stands still for up to 100 ms, so that the stop is read and the next report is written late.
const REPEAT_AFTER: time::Duration = time::Duration::from_millis(200);

/// Remembers each stop until it may be repeated.
#[derive(Clone, Debug, Default)]
pub struct RecentStops {
    /// The stops by age, the oldest first.
    sent: VecDeque<(time::Duration, Run)>,
}

impl RecentStops {
    /// Records that a stop is sent now.
    pub fn record(&mut self, now: time::Duration, run: Run) {
        let is_old = |(at, _): &(time::Duration, Run)| now >= *at + REPEAT_AFTER;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, run));
    }

    /// Whether a stop of the run may still be under way.
    pub fn contains(&self, now: time::Duration, run: &Run) -> bool {
        let recent = self.sent.iter().rev();
        let mut recent = recent.take_while(|(at, _)| now < *at + REPEAT_AFTER);
        recent.any(|(_, sent)| sent == run)
    }

    /// Forgets all stops, since their link has ended and they may be lost.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}
