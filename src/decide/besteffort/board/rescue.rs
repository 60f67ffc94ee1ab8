//! Moves runs off backend servers that stall or become slow.
//!
//! The first run is stopped, and the next one begins only when the first is known to have ended, so that two
//! runs of a task never overlap. Backend servers may slow down six- to eightfold, or stall for seconds, while
//! their heartbeats are good: a task of 60 to 900 ms can't wait until a health check notices.

use std::time;

use crate::decide::besteffort::board::Board;
use crate::decide::besteffort::job::{JobNo, PlacedRun};
use crate::decide::besteffort::message::{Progress, Run};

impl Board {
    /// Records the progress of a run, and moves the run if its task is expected to end sooner elsewhere.
    pub(super) fn record_progress(
        &mut self,
        now: time::Duration,
        agent: &str,
        progress: &Progress,
    ) {
        let Some((no, placed)) = self.placed_run(&progress.run, agent) else {
            self.stop_unknown_run(now, agent, &progress.run);
            return;
        };
        if progress.percent != placed.percent {
            placed.percent = progress.percent;
            placed.progressed_at = now;
        }
        let placed = placed.clone();
        let age = time::Duration::from_millis(progress.age_ms);
        if age < self.policy.relocation.min_age || placed.is_moving {
            return;
        }
        self.move_if_sooner(now, no, &progress.run, &placed, age);
    }

    fn move_if_sooner(
        &mut self,
        now: time::Duration,
        no: JobNo,
        run: &Run,
        placed: &PlacedRun,
        age: time::Duration,
    ) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let estimate = job.estimate.as_secs_f64();
        let stalled_for = now.saturating_sub(placed.progressed_at);
        let is_stalled = stalled_for > self.policy.relocation.min_standstill
            && stalled_for.as_secs_f64() / estimate * 100.0
                > self.policy.relocation.min_expected_percent;
        let percent = f64::from(placed.percent.max(1));
        let projected = age.as_secs_f64() * 100.0 / percent;
        if is_stalled || projected > estimate * self.policy.relocation.min_slowness {
            self.run_times.record_ratio(
                &placed.agent,
                projected / estimate,
                self.policy.relocation.learning_weight,
            );
        }
        let slowness = self.run_times.slowness(&placed.agent);
        if !is_stalled && slowness < self.policy.relocation.min_slowness {
            return;
        }
        let seconds_here = if is_stalled {
            f64::INFINITY
        } else {
            (projected - age.as_secs_f64()).max(0.0)
        };
        let work_seconds = if is_stalled {
            estimate
        } else {
            projected / slowness
        };
        let others = self
            .large_enough_agents(job)
            .filter(|v| v.agent != placed.agent);
        // Agents without free room count too. Where all are full the task goes to the head of the queue, and
        // some room becomes free every few milliseconds.
        let best = others
            .map(|v| {
                self.expected_seconds(job, v, self.run_times.slowness(&v.agent)) / estimate
                    * work_seconds
            })
            .fold(f64::INFINITY, f64::min);
        let seconds_elsewhere = best + self.policy.relocation.move_cost.as_secs_f64();
        let ends_at = now + time::Duration::from_secs_f64(seconds_elsewhere.min(1e6));
        if seconds_elsewhere * self.policy.relocation.min_gain < seconds_here
            && ends_at < job.submission.deadline
        {
            log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                agent = placed.agent.as_str(), percent = placed.percent, age_ms = age.as_millis() as u64,
                slowness = (slowness * 100.0).round() / 100.0, standing = is_stalled, elsewhere_ms = (seconds_elsewhere * 1e3) as u64;
                "moving a run");
            self.move_run(now, no, run, placed);
        }
    }

    fn move_run(&mut self, now: time::Duration, no: JobNo, run: &Run, placed: &PlacedRun) {
        if !self.send_stop(now, &placed.agent, run.clone()) {
            return;
        }
        if let Some((_, placed)) = self.placed_run(run, &placed.agent) {
            placed.is_moving = true;
        }
        if let Some(job) = self.jobs.get_mut(&no) {
            job.moved_runs += 1;
        }
        self.counts.moved_runs += 1;
    }
}
