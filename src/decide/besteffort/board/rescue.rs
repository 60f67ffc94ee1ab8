//! Moving work off workers that stand still or turn slow.
//!
//! The first run is stopped and the next begins only when its end is known, so that never two run
//! at a time. It answers workers that slow down six- to eightfold or stand still for seconds while
//! their heartbeats are good; a task of 60 to 900 ms can't wait for a health check to tell.

use std::time;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::job::{JobNo, PlacedRun};
use crate::decide::besteffort::message::{Progress, Run};

impl Board {
    /// Takes in how far a run is, and moves it where that ends it sooner.
    pub(super) fn progress(&mut self, now: time::Duration, agent: &str, progress: &Progress) {
        let Some((no, placed)) = self.placed(&progress.run, agent) else {
            return;
        };
        if progress.percent != placed.percent {
            placed.percent = progress.percent;
            placed.changed = now;
        }
        let placed = placed.clone();
        let age = time::Duration::from_millis(progress.age_ms);
        if age < self.policy.rescue.young || placed.moving {
            return;
        }
        self.judge(now, no, &progress.run, &placed, age);
    }

    fn judge(
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
        let still = now.saturating_sub(placed.changed);
        let standing = still > self.policy.rescue.standstill
            && still.as_secs_f64() / estimate * 100.0 > self.policy.rescue.expected;
        let percent = f64::from(placed.percent.max(1));
        let projected = age.as_secs_f64() * 100.0 / percent;
        if standing || projected > estimate * self.policy.rescue.slow {
            self.learned.ratio(
                &placed.agent,
                projected / estimate,
                self.policy.rescue.tells,
            );
        }
        let slowness = self.learned.slowness(&placed.agent);
        if !standing && slowness < self.policy.rescue.slow {
            return;
        }
        let here = if standing {
            f64::INFINITY
        } else {
            (projected - age.as_secs_f64()).max(0.0)
        };
        let work = if standing {
            estimate
        } else {
            projected / slowness
        };
        let others = self.holding(job).filter(|v| v.agent != placed.agent);
        // Where all are full a task goes to the head of the queue, and room comes free every few
        // milliseconds.
        let best = others
            .map(|v| self.cost(job, v, self.learned.slowness(&v.agent)) / estimate * work)
            .fold(f64::INFINITY, f64::min);
        let elsewhere = best + self.policy.rescue.cost.as_secs_f64();
        let end = now + time::Duration::from_secs_f64(elsewhere.min(1e6));
        if elsewhere * self.policy.rescue.gain < here && end < job.ask.deadline {
            log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                agent = placed.agent.as_str(), percent = placed.percent, age_ms = age.as_millis() as u64,
                slowness = (slowness * 100.0).round() / 100.0, standing = standing, elsewhere_ms = (elsewhere * 1e3) as u64;
                "moving a run");
            self.move_away(no, run, placed);
        }
    }

    fn move_away(&mut self, no: JobNo, run: &Run, placed: &PlacedRun) {
        let Some(link) = self.agents.get(&placed.agent).and_then(|view| view.link) else {
            return;
        };
        if let Some((_, placed)) = self.placed(run, &placed.agent) {
            placed.moving = true;
        }
        if let Some(job) = self.jobs.get_mut(&no) {
            job.moved += 1;
        }
        self.counts.moved += 1;
        self.actions.push(Action::Stop(link, run.clone()));
    }
}
