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

    fn per_second(&self, now: time::Duration) -> f64 {
        self.decayed_sum(now) / WINDOW.as_secs_f64()
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
}

impl Flow {
    /// Counts a job of a priority that was accepted and asks for this much room in all.
    pub fn job_queued(&mut self, now: time::Duration, priority: u32, room: f64) {
        self.asked.entry(priority).or_default().add(now, room);
    }

    /// Counts a task that was started in this much room, with its estimated run time.
    pub fn task_started(&mut self, now: time::Duration, room: f64, run_time: time::Duration) {
        self.started_room.add(now, room);
        self.started_work.add(now, room * run_time.as_secs_f64());
    }

    /// Returns the room per second that arriving work more urgent than `priority` asks for.
    pub fn more_urgent_rate(&self, now: time::Duration, priority: u32) -> f64 {
        let more = self.asked.range(..priority);
        more.map(|(_, rate)| rate.per_second(now)).sum()
    }

    /// Returns the room per second that started tasks take.
    pub fn start_rate(&self, now: time::Duration) -> f64 {
        self.started_room.per_second(now)
    }

    /// Returns the mean run time of started tasks, weighted by their room, in seconds; `otherwise` before
    /// anything was started.
    pub fn mean_run_seconds(&self, now: time::Duration, otherwise: f64) -> f64 {
        let room = self.started_room.per_second(now);
        if room > 0.0 {
            self.started_work.per_second(now) / room
        } else {
            otherwise
        }
    }
}
