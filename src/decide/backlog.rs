//! The work that waits for one client account, by deadline, and whether more of it can be done in time.

use std::collections::BTreeMap;
use std::time;

/// Deadlines this close together are taken as one.
const GRAIN: time::Duration = time::Duration::from_millis(250);

/// Share of its target within which a job has to be thought to end. What is left of the target
/// bears the error of the forecast; `docs/design/overload.md` has the figures.
pub const PLANNED_TARGET_SHARE: f64 = 0.4;

/// Waiting work of one client account.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Seconds of slot time, by deadline in units of [`GRAIN`].
    by_deadline: BTreeMap<u64, f64>,
    tasks: usize,
    seconds: f64,
}

impl Backlog {
    /// Adds waiting work with a deadline, counted from a fixed moment.
    pub fn add(&mut self, deadline: time::Duration, tasks: usize, seconds: f64) {
        *self.by_deadline.entry(grain(deadline)).or_default() += seconds;
        self.tasks += tasks;
        self.seconds += seconds;
    }

    /// Takes work away that was added with the same deadline.
    pub fn sub(&mut self, deadline: time::Duration, tasks: usize, seconds: f64) {
        self.tasks -= tasks;
        self.seconds = (self.seconds - seconds).max(0.0);
        let at = grain(deadline);
        let Some(left) = self.by_deadline.get_mut(&at) else {
            return;
        };
        *left -= seconds;
        if *left <= 1e-9 {
            self.by_deadline.remove(&at);
        }
        if self.tasks == 0 {
            self.by_deadline.clear();
            self.seconds = 0.0;
        }
    }

    /// Waiting tasks.
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Waiting work, in seconds of slot time.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// How much too late something would be, were a job added; nothing where all would be in time.
    ///
    /// Work is done in the order of deadlines, so the job waits for what is due before it, and
    /// delays all that is due after it.
    pub fn lateness(
        &self,
        now: time::Duration,
        deadline: time::Duration,
        longest: time::Duration,
        seconds: f64,
        rate: f64,
    ) -> time::Duration {
        let target = deadline.saturating_sub(now).as_secs_f64();
        let at = grain(deadline);
        let before: f64 = self.by_deadline.range(..=at).map(|(_, s)| s).sum();
        let mut ahead = before + seconds;
        let mut late = ahead / rate + longest.as_secs_f64() - PLANNED_TARGET_SHARE * target;
        for (due, work) in self.by_deadline.range(at + 1..) {
            ahead += work;
            let left = *due as f64 * GRAIN.as_secs_f64() - now.as_secs_f64();
            late = late.max(ahead / rate - left);
        }
        time::Duration::from_secs_f64(late.clamp(0.0, 3_600.0))
    }
}

fn grain(deadline: time::Duration) -> u64 {
    (deadline.as_millis() / GRAIN.as_millis()) as u64
}
