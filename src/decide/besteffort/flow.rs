//! Measures the flow of room through an entry: room that arriving jobs ask for, by priority, and room that
//! started tasks took.
//!
//! Under overload the rate of its own starts is the best estimate of an entry's share of the backend servers:
//! it reflects what slow servers, other entries and losses leave. Rates count room and not work: a wait ends
//! when room becomes free, and room that a short task leaves serves a long task as well.

use std::collections::BTreeMap;
use std::time;

/// Time over which rates are averaged. It is longer than the tasks that fill most of the room (60 to 250 ms),
/// and short against a burst (3 to 4 s).
const WINDOW: time::Duration = time::Duration::from_millis(500);

/// Least time that a rate is taken over; a few jobs that come together as an entry starts are no rate. It is about the
/// time that an entry takes to find its agents.
const MIN_AGE: time::Duration = time::Duration::from_millis(150);

/// A rate that is averaged over the past with exponentially decaying weight.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// The decayed sum of all amounts, as of `updated_at`.
    sum: f64,
    updated_at: time::Duration,
}

impl Rate {
    fn add(&mut self, now: time::Duration, amount: f64) {
        self.sum = self.decayed_sum(now) + amount;
        self.updated_at = now;
    }

    fn decayed_sum(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / WINDOW.as_secs_f64()).exp()
    }

    /// Returns the rate, where amounts could be added since `began_at`; always, if none.
    fn per_second(&self, now: time::Duration, began_at: Option<time::Duration>) -> f64 {
        let window = WINDOW.as_secs_f64();
        let covered = began_at.map_or(1.0, |began| {
            let age = now.saturating_sub(began).max(MIN_AGE).as_secs_f64();
            1.0 - (-age / window).exp()
        });
        self.decayed_sum(now) / (window * covered)
    }
}

/// The rates of room asked for and taken; room is in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    /// Room that queued jobs need, by priority.
    asked: BTreeMap<u32, Rate>,
    /// Room of started tasks.
    started_room: Rate,
    /// Room of started tasks times their run times in seconds.
    started_work: Rate,
    /// Whether rates are corrected for the time since the first event: 0.4 s after it they show little more than half
    /// of the true rate otherwise.
    is_corrected: bool,
    began_at: Option<time::Duration>,
}

impl Flow {
    /// Returns the state before anything was counted.
    pub fn open(is_corrected: bool) -> Flow {
        Flow {
            is_corrected,
            ..Flow::default()
        }
    }

    fn event(&mut self, now: time::Duration) {
        if self.is_corrected {
            self.began_at.get_or_insert(now);
        }
    }

    /// Counts a job of a priority that was accepted and asks for this much room in all.
    pub fn job_queued(&mut self, now: time::Duration, priority: u32, room: f64) {
        self.event(now);
        self.asked.entry(priority).or_default().add(now, room);
    }

    /// Counts a task that was started in this much room, with its estimated run time.
    pub fn task_started(&mut self, now: time::Duration, room: f64, run_time: time::Duration) {
        self.event(now);
        self.started_room.add(now, room);
        self.started_work.add(now, room * run_time.as_secs_f64());
    }

    /// Returns the room per second that arriving work more urgent than `priority` asks for.
    pub fn more_urgent_rate(&self, now: time::Duration, priority: u32) -> f64 {
        let more = self.asked.range(..priority);
        more.map(|(_, rate)| rate.per_second(now, self.began_at))
            .sum()
    }

    /// Returns the room per second that started tasks take.
    pub fn start_rate(&self, now: time::Duration) -> f64 {
        self.started_room.per_second(now, self.began_at)
    }

    /// Returns the mean run time of started tasks, weighted by their room, in seconds; `otherwise` before
    /// anything was started.
    pub fn mean_run_seconds(&self, now: time::Duration, otherwise: f64) -> f64 {
        let room = self.started_room.per_second(now, self.began_at);
        if room > 0.0 {
            self.started_work.per_second(now, self.began_at) / room
        } else {
            otherwise
        }
    }
}
