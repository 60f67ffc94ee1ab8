//! How jobs end: answered, given up, refused after all; what is kept of them, and their log line.

use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::board::{Action, Board, RETRY_NO_WORKER};
use crate::decide::besteffort::job::{Job, JobNo, NotRunReason, Outcome, Task};

/// How long endings answer a submission that arrives once more; callers do so seconds later.
const KEEP_ENDINGS: time::Duration = time::Duration::from_secs(15);

/// Most endings that are kept; a few hundred bytes each.
const MAX_ENDINGS: usize = 4_000;

/// Run times over the estimate after which a job's ending names the agents that had its tasks.
const SLACK_OF_WIDTH: f64 = 1.5;

impl Board {
    /// Gives up every job that hasn't ended, since the entry ends now.
    pub fn give_up_all(&mut self, now: time::Duration) {
        self.give_up(now, |_| true);
    }

    pub(super) fn give_up(&mut self, now: time::Duration, is_lost: impl Fn(&Job) -> bool) {
        let lost = self.jobs.iter().filter(|(_, job)| is_lost(job));
        let lost: Vec<JobNo> = lost.map(|(no, _)| *no).collect();
        for no in lost {
            self.finish(now, no, Outcome::GaveUp);
        }
    }

    /// Ends a job: stops what still runs and answers its caller.
    pub(super) fn finish(&mut self, now: time::Duration, no: JobNo, outcome: Outcome) {
        let Some(job) = self.remove(no) else {
            return;
        };
        let outcome = match outcome {
            Outcome::GaveUp if job.starts == 0 => {
                let is_served = self.suiting(&job).next().is_some();
                let why = if is_served {
                    NotRunReason::Overloaded
                } else {
                    NotRunReason::NoWorker
                };
                Outcome::NotRun(why, RETRY_NO_WORKER)
            }
            other => other,
        };
        self.log_end(now, &job, &outcome);
        if matches!(outcome, Outcome::Complete | Outcome::Failed) {
            self.endings.insert(job.ask.job.clone(), outcome.clone());
            self.endings_by_age.push_back((now, job.ask.job));
        }
        self.actions.push(Action::Answer(no, outcome));
    }

    /// Takes a job out and stops all that runs of it.
    pub(super) fn remove(&mut self, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.by_id.remove(&job.ask.job);
        for task in 0..job.ask.tasks {
            self.queue.remove(&job.rank(no, task));
        }
        for (run, placed) in job.runs() {
            let Some(view) = self.agents.get_mut(&placed.agent) else {
                continue;
            };
            view.ended(1);
            if let Some(link) = view.link {
                self.actions.push(Action::Stop(link, run));
            }
        }
        Some(job)
    }

    pub(super) fn forget_endings(&mut self, now: time::Duration) {
        let old = |at: time::Duration| now.saturating_sub(at) > KEEP_ENDINGS;
        while let Some((at, _)) = self.endings_by_age.front() {
            if !old(*at) && self.endings_by_age.len() <= MAX_ENDINGS {
                break;
            }
            if let Some((_, job)) = self.endings_by_age.pop_front() {
                self.endings.remove(&job);
            }
        }
    }

    pub(super) fn log_end(&mut self, now: time::Duration, job: &Job, outcome: &Outcome) {
        let key = (job.ask.class.clone(), outcome.name());
        *self.counts.jobs.entry(key).or_default() += 1;
        let took = now.saturating_sub(job.arrived);
        let labels = [("outcome", outcome.name())];
        self.counts.took.observe(&labels, took);
        let waited = job.first_start.unwrap_or(now).saturating_sub(job.arrived);
        if job.first_start.is_some() {
            let labels = [("class", job.ask.class.as_str())];
            self.counts.waited.observe(&labels, waited);
        }
        let why = match outcome {
            Outcome::NotRun(why, _) => why.name(),
            _ => "",
        };
        if !why.is_empty() {
            let key = (job.ask.class.clone(), why);
            *self.counts.refused.entry(key).or_default() += 1;
        }
        let failed: u32 = job.tasks.iter().map(|task: &Task| task.failed).sum();
        let ms = |d: time::Duration| d.as_millis() as u64;
        let places =
            if now > job.latest + job.estimate.mul_f64(SLACK_OF_WIDTH) || failed + job.moved > 0 {
                job.places()
            } else {
                CompactString::default()
            };
        log::info!(job = job.ask.job.as_str(), class = job.ask.class.as_str(), places = places.as_str(),
            outcome = outcome.name(), why = why, tasks = job.ask.tasks, starts = job.starts,
            failed = failed, moved = job.moved, estimate_ms = ms(job.estimate),
            slack_ms = ms(job.latest.saturating_sub(job.arrived)), waited_ms = ms(waited), took_ms = ms(took),
            queued = self.queue.len(), agents = self.agents.len(); "job answered");
    }
}
