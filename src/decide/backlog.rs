//! The waiting work of one client account by deadline, and whether a further job could end in time.

use std::collections::BTreeMap;
use std::time;

/// Deadlines are rounded down to multiples of this.
const DEADLINE_STEP: time::Duration = time::Duration::from_millis(250);

/// A job is forecast to be in time if the forecast says that it ends within this share of its
/// target. The rest of the target allows for errors of the forecast; `docs/design/overload.md` has
/// the figures.
pub const PLANNED_TARGET_SHARE: f64 = 0.4;

/// Waiting work of one client account.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Seconds of slot time, by deadline in units of [`DEADLINE_STEP`].
    by_deadline: BTreeMap<u64, f64>,
    tasks: usize,
    /// Slot time of all waiting tasks, in seconds.
    seconds: f64,
}

impl Backlog {
    /// Adds `tasks` tasks of `seconds` slot time in all. Deadlines are measured from a point in
    /// time that is the same for all calls.
    pub fn add(&mut self, deadline: time::Duration, tasks: usize, seconds: f64) {
        *self.by_deadline.entry(deadline_step(deadline)).or_default() += seconds;
        self.tasks += tasks;
        self.seconds += seconds;
    }

    /// Removes work that was added with the same deadline.
    pub fn sub(&mut self, deadline: time::Duration, tasks: usize, seconds: f64) {
        self.tasks -= tasks;
        self.seconds = (self.seconds - seconds).max(0.0);
        let at = deadline_step(deadline);
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

    /// Returns the number of waiting tasks.
    pub fn tasks(&self) -> usize {
        self.tasks
    }

    /// Returns the waiting work in seconds of slot time.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns by how much the client account's waiting jobs would be late if a job were added: the
    /// largest lateness of any, zero if all would be in time, an hour at most. The added job is
    /// late if it ends after [`PLANNED_TARGET_SHARE`] of its target, those with later deadlines if
    /// they end after them.
    ///
    /// The added job has `seconds` of slot time in all, and its longest task runs for `longest`;
    /// `rate` is the number of slots that the client account may use. `now` and `deadline` are
    /// measured as in [`add`](Backlog::add). Work is done in the order of deadlines, so the job
    /// waits for all work that is due before it and delays all that is due after it.
    pub fn lateness(
        &self,
        now: time::Duration,
        deadline: time::Duration,
        longest: time::Duration,
        seconds: f64,
        rate: f64,
    ) -> time::Duration {
        let target = deadline.saturating_sub(now).as_secs_f64();
        let at = deadline_step(deadline);
        let before: f64 = self.by_deadline.range(..=at).map(|(_, s)| s).sum();
        let mut work_ahead = before + seconds;
        let mut late = work_ahead / rate + longest.as_secs_f64() - PLANNED_TARGET_SHARE * target;
        for (due, work) in self.by_deadline.range(at + 1..) {
            work_ahead += work;
            let left = *due as f64 * DEADLINE_STEP.as_secs_f64() - now.as_secs_f64();
            late = late.max(work_ahead / rate - left);
        }
        time::Duration::from_secs_f64(late.clamp(0.0, 3_600.0))
    }
}

fn deadline_step(deadline: time::Duration) -> u64 {
    (deadline.as_millis() / DEADLINE_STEP.as_millis()) as u64
}
