//! Which of the agents with room a task may use, by the time at which it ends there.
//!
//! It addresses a deployment in which a quarter of the backend servers are half as fast as the others: long
//! tasks are always late there, and short ones never.

use std::time;

/// Part of the fast agents' room below which it is scarce. Above it, a burst of one class finds room there
/// within a heartbeat (120 ms).
pub const SCARCE_BELOW: f64 = 0.25;

/// Slowness up to which an agent counts as fast; it covers chance in the learned speeds.
pub const FAST_UP_TO: f64 = 1.25;

/// Factor on the expected run time for a task to count as in time. Run times scatter around the estimate, and a
/// job of eight tasks is in time only if the longest of them is: at 1.3 a quarter of such jobs were late.
const RUN_TIME_MARGIN: f64 = 1.4;

/// Time that a start and the report of its end take beside the run, in seconds: two exchanges and a listing.
const EXCHANGE_SECONDS: f64 = 0.005;

/// How long before its latest start a task that would be late wherever there is room takes such a place after
/// all. Two checks of the time limits (20 ms each) fall into it; after the latest start its job is refused.
pub const LAST_RESORT: time::Duration = time::Duration::from_millis(50);

/// The times that one task's choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time until the target, in seconds.
    pub seconds_left: f64,
    /// Difference between run times that count as equal, in seconds.
    pub alike_seconds: f64,
    /// Whether the task may wait for room where it is in time.
    pub may_wait: bool,
}

/// The agents that a task may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The agents with room whose expected run time lies between the two, in seconds.
    Between(f64, f64),
    /// The task is late wherever there is room now, and in time at an agent that is full: it waits.
    Wait,
    /// No agent has room.
    None,
}

impl Limits {
    /// Whether a task that is expected to run for so long meets its target.
    pub fn is_in_time(&self, seconds: f64) -> bool {
        seconds * RUN_TIME_MARGIN + EXCHANGE_SECONDS <= self.seconds_left
    }

    /// Whether a task waits rather than run for so long: it would be late, and is in time at `best`, the
    /// shortest run time anywhere.
    pub fn waits_rather(&self, seconds: f64, best: f64) -> bool {
        self.may_wait && self.is_in_time(best) && !self.is_in_time(seconds)
    }

    /// Chooses among the expected run times at the agents with room. `best` is the shortest one at any
    /// agent, full ones included.
    pub fn choose(&self, with_room: &[f64], best: f64, fast_is_scarce: bool) -> Choice {
        let times = || with_room.iter().copied();
        let Some(first) = times().min_by(f64::total_cmp) else {
            return Choice::None;
        };
        let in_time = || times().filter(|seconds| self.is_in_time(*seconds));
        let Some(slowest) = in_time().max_by(f64::total_cmp) else {
            if self.waits_rather(first, best) {
                return Choice::Wait;
            }
            return Choice::Between(first, first + self.alike_seconds);
        };
        if fast_is_scarce {
            // All of them, since they are drawn by their room: the slow ones have more of it as long as no
            // other work can use them. Where entries took only the slowest, they competed for the same places,
            // and one start in ten waited at the agent.
            Choice::Between(first, slowest)
        } else {
            Choice::Between(first, slowest.min(first + self.alike_seconds))
        }
    }
}
