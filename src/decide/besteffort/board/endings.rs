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
        self.give_up_jobs(now, |_| true);
    }

    pub(super) fn give_up_jobs(&mut self, now: time::Duration, is_lost: impl Fn(&Job) -> bool) {
        let lost = self.jobs.iter().filter(|(_, job)| is_lost(job));
        let lost: Vec<JobNo> = lost.map(|(no, _)| *no).collect();
        for no in lost {
            self.finish_job(now, no, Outcome::GaveUp);
        }
    }

    /// Ends a job: stops what still runs and answers its caller.
    pub(super) fn finish_job(&mut self, now: time::Duration, no: JobNo, outcome: Outcome) {
        let Some(job) = self.remove_job(no) else {
            return;
        };
        let outcome = match outcome {
            Outcome::GaveUp if job.starts_sent == 0 => {
                let is_served = self.suitable_agents(&job).next().is_some();
                let why = if is_served {
                    NotRunReason::Overloaded
                } else {
                    NotRunReason::NoWorker
                };
                Outcome::NotRun(why, RETRY_NO_WORKER)
            }
            other => other,
        };
        self.record_answer(now, &job, &outcome);
        if matches!(outcome, Outcome::Complete | Outcome::Failed) {
            self.endings
                .insert(job.submission.job.clone(), outcome.clone());
            self.endings_by_age.push_back((now, job.submission.job));
        }
        self.actions.push(Action::Answer(no, outcome));
    }

    /// Takes a job out and stops all that runs of it.
    pub(super) fn remove_job(&mut self, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.by_id.remove(&job.submission.job);
        for task in 0..job.submission.tasks {
            self.queue.remove(&job.queue_key(no, task));
        }
        for (run, placed) in job.placed_runs() {
            let Some(view) = self.agents.get_mut(&placed.agent) else {
                continue;
            };
            view.runs_ended(1);
            if let Some(link) = view.link {
                self.actions.push(Action::Stop(link, run));
            }
        }
        Some(job)
    }

    pub(super) fn forget_old_endings(&mut self, now: time::Duration) {
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

    pub(super) fn record_answer(&mut self, now: time::Duration, job: &Job, outcome: &Outcome) {
        let key = (job.submission.class.clone(), outcome.name());
        *self.counts.jobs.entry(key).or_default() += 1;
        let took = now.saturating_sub(job.arrived_at);
        let labels = [("outcome", outcome.name())];
        self.counts.job_seconds.observe(&labels, took);
        let waited = job
            .first_start_at
            .unwrap_or(now)
            .saturating_sub(job.arrived_at);
        if job.first_start_at.is_some() {
            let labels = [("class", job.submission.class.as_str())];
            self.counts.wait_seconds.observe(&labels, waited);
        }
        let why = match outcome {
            Outcome::NotRun(why, _) => why.name(),
            _ => "",
        };
        if !why.is_empty() {
            let key = (job.submission.class.clone(), why);
            *self.counts.refused.entry(key).or_default() += 1;
        }
        let failed: u32 = job.tasks.iter().map(|task: &Task| task.failed_runs).sum();
        let ms = |d: time::Duration| d.as_millis() as u64;
        let places = if now > job.latest_start + job.estimate.mul_f64(SLACK_OF_WIDTH)
            || failed + job.moved_runs > 0
        {
            job.agent_names()
        } else {
            CompactString::default()
        };
        log::info!(job = job.submission.job.as_str(), class = job.submission.class.as_str(), places = places.as_str(),
            outcome = outcome.name(), why = why, tasks = job.submission.tasks, starts = job.starts_sent,
            failed = failed, moved = job.moved_runs, estimate_ms = ms(job.estimate),
            slack_ms = ms(job.latest_start.saturating_sub(job.arrived_at)), waited_ms = ms(waited), took_ms = ms(took),
            queued = self.queue.len(), agents = self.agents.len(); "job answered");
    }
}
