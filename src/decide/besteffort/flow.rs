//! How much work flows through an entry: what came, by priority, and what was started.
//!
//! Under overload the rate of its own starts is the best word on an entry's part of the shared
//! workers: it holds what slow workers, other entries and losses leave.

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

/// The flow of work; work is in thousandths of a core times seconds.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    came: BTreeMap<u32, Rate>,
    started: Rate,
}

impl Flow {
    /// Work of a priority has come and was taken in.
    pub fn came(&mut self, now: time::Duration, priority: u32, work: f64) {
        self.came.entry(priority).or_default().add(now, work);
    }

    /// Work was started.
    pub fn started(&mut self, now: time::Duration, work: f64) {
        self.started.add(now, work);
    }

    /// Work that comes a second and goes before a priority.
    pub fn more_urgent(&self, now: time::Duration, priority: u32) -> f64 {
        let more = self.came.range(..priority);
        more.map(|(_, rate)| rate.per_second(now)).sum()
    }

    /// Work that is started a second.
    pub fn starts(&self, now: time::Duration) -> f64 {
        self.started.per_second(now)
    }
}
