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
            return self.attach_gone(submission, waiter);
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

    /// Answers for a job that ended and whose ending is no longer kept.
    ///
    /// Guards against a second run: the key of a forgotten job would look fresh to this owner,
    /// which has read the claims of earlier owners only.
    fn attach_gone(&mut self, submission: &submission::Submission, waiter: action::Waiter) -> bool {
        let Some(digest) = self.gone.get(&submission.key) else {
            return false;
        };
        let code = if *digest == submission.digest {
            code::Code::AnswerGone
        } else {
            code::Code::KeyReused
        };
        self.refuse(waiter, refusal::Refusal::new(code));
        true
    }

    /// Withdraws a job that this owner hasn't taken up: an earlier owner's, or none at all.
    pub(super) fn cancel_unknown(&mut self, key: &id::JobKey, waiter: action::Waiter) {
        if self.inheritance.knows(key) {
            for agent in self.fleet.agents().keys() {
                let order = order::Order::Cancel(key.clone());
                self.actions.push(Action::Order(agent.clone(), order));
            }
        }
        // A successor knows the jobs of the owner before only once they are submitted again.
        self.refuse(waiter, refusal::Refusal::new(code::Code::JobUnknown));
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
            refusal = refusal.retry_after(self.wait_of(&job.submission.job.client_account));
        }
        if refusal.code == code::Code::StoreDown {
            refusal = refusal.retry_after(owner::STORE_RETRY);
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
            if let Some(job) = self.jobs.remove(key) {
                self.kept_bytes -= job.bytes();
            }
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
        if matches!(*ending, submission::Ending::Complete(_)) {
            job.release();
        }
        self.deadlines.remove(&(job.deadline, key.clone()));
        self.kept_bytes += job.bytes();
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

    /// Drops endings that are old or too many, and later their keys too.
    pub(super) fn forget(&mut self, now: time::Instant) {
        let is_old =
            |at: time::Instant| now.saturating_duration_since(at) >= owner::ENDING_RETENTION;
        while let Some((at, key)) = self.ended.front() {
            let full = self.ended.len() > owner::MAX_KEPT_ENDINGS
                || self.kept_bytes > owner::MAX_KEPT_BYTES;
            if !is_old(*at) && !full {
                break;
            }
            let has_ended = self.jobs.get(key).is_some_and(|job| job.ending.is_some());
            if let Some(job) = has_ended.then(|| self.jobs.remove(key)).flatten() {
                self.kept_bytes -= job.bytes();
                self.gone.insert(key.clone(), job.submission.digest);
                self.gone_order.push_back((*at, key.clone()));
            }
            self.ended.pop_front();
        }
        while self.gone_order.front().is_some_and(|(at, _)| is_old(*at)) {
            if let Some((_, key)) = self.gone_order.pop_front() {
                self.gone.remove(&key);
            }
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
