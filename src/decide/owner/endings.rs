//! How jobs end, who is told, and how long it is remembered.

use std::sync::Arc;
use std::time;

use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::job::{self, Progress};
use crate::decide::order;
use crate::decide::owner::{self, Owner};
use crate::decide::timing;
use crate::id;
use crate::refusal;
use crate::submission;

impl Owner {
    /// Attaches a waiter to a job that is known under the key.
    pub(super) fn attach(
        &mut self,
        submission: &submission::Submission,
        waiter: action::Waiter,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&submission.key) else {
            let past = self.past.look(&submission.key, submission.digest);
            let known = past.is_some();
            let reply = past.map(|ending| Action::Reply(waiter, ending));
            self.actions.extend(reply);
            return known;
        };
        if job.submission.digest != submission.digest {
            self.refuse(waiter, refusal::Refusal::new(code::Code::KeyReused));
            return true;
        }
        match &job.ending {
            Some(ending) => self.actions.push(Action::Reply(waiter, ending.clone())),
            None => job.waiters.push(waiter),
        }
        true
    }

    pub(super) fn refuse(&mut self, waiter: action::Waiter, refusal: refusal::Refusal) {
        let ending = Arc::new(submission::Ending::Failed(refusal));
        self.actions.push(Action::Reply(waiter, ending));
    }

    /// Ends a job without an answer, if it hasn't ended.
    pub(super) fn fail(&mut self, now: time::Instant, key: &id::JobKey, reason: code::Code) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.ending.is_some() {
            return;
        }
        let mut refusal = job.refusal(reason);
        if refusal.code == code::Code::Expired {
            refusal = refusal.retry_after(self.wait_of(&job.submission.job.customer));
        }
        let withdrawn = self.queue.remove(key);
        let job = self.jobs.get_mut(key).expect("the job was there");
        for task in &withdrawn {
            job.tasks[task.id.index as usize] = Progress::Dropped;
        }
        // One order for each agent that still has tasks of the job, however many those are.
        for agent in job.holders() {
            self.actions
                .push(Action::Order(agent, order::Order::Cancel(key.clone())));
        }
        let forget = refusal.not_run;
        self.end(now, key, submission::Ending::Failed(refusal));
        if forget {
            // Nothing ran, so a retry under the same key starts from nothing.
            self.jobs.remove(key);
            self.ended.pop_back();
            self.unacknowledged.pop_back();
        }
    }

    pub(super) fn end(&mut self, now: time::Instant, key: &id::JobKey, ending: submission::Ending) {
        let job = self.jobs.get_mut(key).expect("a job that ends is there");
        if let Some(timing) = job_timing(job, now, &ending) {
            self.actions.push(Action::Record(timing));
        }
        let ending = Arc::new(ending);
        job.ending = Some(ending.clone());
        for waiter in std::mem::take(&mut job.waiters) {
            self.actions.push(Action::Reply(waiter, ending.clone()));
        }
        for task in &mut job.tasks {
            if matches!(task, Progress::Done(_)) {
                *task = Progress::Dropped;
            }
        }
        self.deadlines.remove(&(job.deadline, key.clone()));
        self.ended.push_back((now, key.clone()));
        self.unacknowledged.push_back((now, key.clone()));
    }

    /// Lets agents drop the answers of jobs that ended a while ago and whose claim is written.
    pub(super) fn acknowledge(&mut self, now: time::Instant) {
        while let Some((at, key)) = self.unacknowledged.front() {
            if now.saturating_duration_since(*at) < owner::ACKNOWLEDGE_AFTER {
                return;
            }
            let job = self.jobs.get(key);
            if job.is_some_and(|job| job.claim != job::Claim::Written && job.ending.is_some()) {
                // Without its claim in the table the agents' records are all that tells of it.
                let later = (now, key.clone());
                self.unacknowledged.pop_front();
                self.unacknowledged.push_back(later);
                return;
            }
            if let Some(job) = job.filter(|job| job.ending.is_some()) {
                for agent in &job.agents {
                    let order = order::Order::Acknowledge(key.clone());
                    self.actions.push(Action::Order(agent.clone(), order));
                }
            }
            self.unacknowledged.pop_front();
        }
    }

    pub(super) fn forget(&mut self, now: time::Instant) {
        self.past.forget(now, owner::KEEP);
        while let Some((at, key)) = self.ended.front() {
            let old = now.saturating_duration_since(*at) >= owner::KEEP
                || self.ended.len() > owner::MAX_KEPT;
            if !old {
                return;
            }
            let job = self.jobs.get(key);
            if let Some((job, ending)) = job.and_then(|job| Some((job, job.ending.as_ref()?))) {
                self.past.keep(*at, &job.submission, ending);
                self.jobs.remove(key);
            }
            self.ended.pop_front();
        }
    }
}

/// Where the time of a job went; nothing without a trace.
fn job_timing(
    job: &job::Job,
    now: time::Instant,
    ending: &submission::Ending,
) -> Option<timing::Timing> {
    Some(timing::Timing::Job(timing::Job {
        traceparent: job.submission.traceparent.clone()?,
        key: job.submission.key.clone(),
        tasks: job.tasks.len(),
        submitted: job.moments.submitted,
        startable: job.moments.startable,
        ended: now,
        failure: ending.failure(),
    }))
}
