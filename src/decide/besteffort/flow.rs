//! How much room flows through an entry: what came asked for, by priority, and what was taken.
//!
//! Under overload the rate of its own starts is the best word on an entry's part of the shared
//! workers: it holds what slow workers, other entries and losses leave. It is counted in room and
//! not in work: a wait ends when room comes free, and room that a short task leaves serves a long
//! one as well.

use std::collections::BTreeMap;
use std::time;

/// Time over which rates are taken. Longer than the tasks that fill most of the room (60 to 250 ms)
/// and short against a burst (3 to 4 s).
const WINDOW: time::Duration = time::Duration::from_millis(500);

/// A rate of work that fades with time.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    sum: f64,
    at: time::Duration,
}

impl Rate {
    fn add(&mut self, now: time::Duration, work: f64) {
        self.sum = self.faded(now) + work;
        self.at = now;
    }

    fn faded(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / WINDOW.as_secs_f64()).exp()
    }

    fn per_second(&self, now: time::Duration) -> f64 {
        self.faded(now) / WINDOW.as_secs_f64()
    }
}

/// The flow of room, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    came: BTreeMap<u32, Rate>,
    room: Rate,
    work: Rate,
}

impl Flow {
    /// A job of a priority was taken in that asks for this much room in all.
    pub fn job_queued(&mut self, now: time::Duration, priority: u32, room: f64) {
        self.came.entry(priority).or_default().add(now, room);
    }

    /// A task was started in this much room, for about so long.
    pub fn task_started(&mut self, now: time::Duration, room: f64, long: time::Duration) {
        self.room.add(now, room);
        self.work.add(now, room * long.as_secs_f64());
    }

    /// Room that is asked for a second and goes before a priority.
    pub fn more_urgent_rate(&self, now: time::Duration, priority: u32) -> f64 {
        let more = self.came.range(..priority);
        more.map(|(_, rate)| rate.per_second(now)).sum()
    }

    /// Room that is taken a second.
    pub fn start_rate(&self, now: time::Duration) -> f64 {
        self.room.per_second(now)
    }

    /// How long room is taken for on average, in seconds; `otherwise` before anything was started.
    pub fn mean_run_seconds(&self, now: time::Duration, otherwise: f64) -> f64 {
        let room = self.room.per_second(now);
        if room > 0.0 {
            self.work.per_second(now) / room
        } else {
            otherwise
        }
    }
}
