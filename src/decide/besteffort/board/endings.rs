//! Ends jobs: answers them, gives them up or refuses them although they were accepted. Keeps the answers for
//! callers that submit again, and writes the log line of each answer.

use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::board::{Action, Board, RETRY_AFTER};
use crate::decide::besteffort::job::{Job, JobNo, NotRunReason, Outcome, Task};

/// How long an answer is kept; callers that submit a job again do so within seconds.
const KEEP_ANSWERS_FOR: time::Duration = time::Duration::from_secs(15);

/// Most answers that are kept; each takes a few hundred bytes.
const MAX_KEPT_ANSWERS: usize = 4_000;

/// A job that ends later than its latest start plus this many times its estimate names in its log line the
/// agents that had its tasks.
const LOG_AGENTS_AFTER: f64 = 1.5;

impl Board {
    /// Gives up every job that hasn't been answered; called when the entry process is about to exit.
    pub fn give_up_all(&mut self, now: time::Duration) {
        self.give_up_jobs(now, |_| true);
    }

    pub(super) fn give_up_jobs(&mut self, now: time::Duration, is_given_up: impl Fn(&Job) -> bool) {
        let given_up = self.jobs.iter().filter(|(_, job)| is_given_up(job));
        let given_up: Vec<JobNo> = given_up.map(|(no, _)| *no).collect();
        for no in given_up {
            self.finish_job(now, no, Outcome::GaveUp);
        }
    }

    /// Answers the caller of a job, and stops the job's runs.
    pub(super) fn finish_job(&mut self, now: time::Duration, no: JobNo, outcome: Outcome) {
        let Some(job) = self.remove_job(now, no) else {
            return;
        };
        let outcome = match outcome {
            Outcome::GaveUp if job.has_run_nothing() => {
                let is_served = self.suitable_agents(&job).next().is_some();
                let reason = if is_served {
                    NotRunReason::Overloaded
                } else {
                    NotRunReason::NoWorker
                };
                Outcome::NotRun(reason, RETRY_AFTER)
            }
            other => other,
        };
        if job.is_late() {
            let is_answered = matches!(outcome, Outcome::Complete);
            self.late_outcomes.record(now, is_answered);
        }
        self.record_answer(now, &job, &outcome);
        if matches!(outcome, Outcome::Complete | Outcome::Failed) {
            self.answers
                .insert(job.submission.job.clone(), outcome.clone());
            self.answers_by_age.push_back((now, job.submission.job));
        }
        self.actions.push(Action::Answer(no, outcome));
    }

    /// Removes a job without an answer, and stops its runs.
    pub(super) fn remove_job(&mut self, now: time::Duration, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.by_id.remove(&job.submission.job);
        for task in 0..job.submission.tasks {
            self.queue.remove(&job.queue_key(no, task));
        }
        for (run, placed) in job.placed_runs() {
            if let Some(view) = self.agents.get_mut(&placed.agent) {
                view.runs_ended(1);
            }
            self.send_stop(now, &placed.agent, run);
        }
        Some(job)
    }

    pub(super) fn forget_old_answers(&mut self, now: time::Duration) {
        let is_old = |at: time::Duration| now.saturating_sub(at) > KEEP_ANSWERS_FOR;
        while let Some((at, _)) = self.answers_by_age.front() {
            if !is_old(*at) && self.answers_by_age.len() <= MAX_KEPT_ANSWERS {
                break;
            }
            if let Some((_, job)) = self.answers_by_age.pop_front() {
                self.answers.remove(&job);
            }
        }
    }

    pub(super) fn record_answer(&mut self, now: time::Duration, job: &Job, outcome: &Outcome) {
        let key = (job.submission.class.clone(), outcome.name());
        *self.counts.jobs.entry(key).or_default() += 1;
        if job.is_late() && self.policy.features.recovery {
            let key = (job.submission.class.clone(), outcome.name());
            *self.counts.late_jobs.entry(key).or_default() += 1;
        }
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
        let reason = match outcome {
            Outcome::NotRun(reason, _) => reason.name(),
            _ => "",
        };
        if !reason.is_empty() {
            let key = (job.submission.class.clone(), reason);
            *self.counts.refused.entry(key).or_default() += 1;
        }
        let failed: u32 = job.tasks.iter().map(|task: &Task| task.failed_runs).sum();
        let ms = |d: time::Duration| d.as_millis() as u64;
        let slack = if self.policy.features.demand && job.is_late() {
            job.allowed_wait()
        } else {
            job.latest_start.saturating_sub(job.arrived_at)
        };
        let agents = if now > job.latest_start + job.estimate.mul_f64(LOG_AGENTS_AFTER)
            || failed + job.moved_runs > 0
        {
            job.agent_names()
        } else {
            CompactString::default()
        };
        log::info!(job = job.submission.job.as_str(), class = job.submission.class.as_str(), places = agents.as_str(),
            outcome = outcome.name(), why = reason, tasks = job.submission.tasks, starts = job.starts_sent,
            failed = failed, moved = job.moved_runs, estimate_ms = ms(job.estimate),
            slack_ms = ms(slack), waited_ms = ms(waited), took_ms = ms(took),
            queued = self.queue.len(), agents = self.agents.len(); "job answered");
    }
}
