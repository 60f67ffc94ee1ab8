//! Ending of jobs: replies to the waiters, orders to the agents, and how long endings are kept.

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
    /// Tells whether a job is known under the submission's key. If so, the waiter gets its ending,
    /// now or when the job ends.
    pub(super) fn attach_waiter(
        &mut self,
        submission: &submission::Submission,
        waiter: action::WaiterId,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&submission.key) else {
            return self.refuse_evicted(submission, waiter);
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

    /// Refuses a submission if its job ended and the ending was evicted. Tells whether that is so.
    ///
    /// Guards against a second run: without the evicted key the job would look new to this owner,
    /// since it has read only the claims of earlier owners.
    fn refuse_evicted(
        &mut self,
        submission: &submission::Submission,
        waiter: action::WaiterId,
    ) -> bool {
        let Some(digest) = self.evicted.get(&submission.key) else {
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

    /// Cancels a job that this owner doesn't have: one of an earlier owner that nobody has
    /// submitted again yet, one whose ending was evicted, or one that never existed. The reply says
    /// that the outcome is unknown.
    pub(super) fn cancel_unknown(&mut self, key: &id::JobKey, waiter: action::WaiterId) {
        if self.inheritance.knows_key(key) {
            for agent in self.fleet.agents().keys() {
                let order = order::Order::Cancel(key.clone());
                self.actions.push(Action::Order(agent.clone(), order));
            }
        }
        // An owner learns of the jobs of the previous owner only when they are submitted again, so
        // it can't tell whether this one ran.
        self.refuse(waiter, refusal::Refusal::new(code::Code::JobUnknown));
    }

    /// Replies to a waiter with a refusal.
    pub(super) fn refuse(&mut self, waiter: action::WaiterId, refusal: refusal::Refusal) {
        let ending = Arc::new(submission::Ending::Failed(refusal));
        self.actions.push(Action::Reply(waiter, ending));
    }

    /// Ends a job with a refusal, unless it has ended: withdraws its waiting tasks and cancels
    /// those that agents have.
    pub(super) fn fail_job(&mut self, now: time::Instant, key: &id::JobKey, reason: code::Code) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.ending.is_some() {
            return;
        }
        let mut refusal = job.refusal(reason);
        if refusal.code == code::Code::Expired {
            refusal = refusal.retry_after(self.expected_wait(&job.submission.job.client_account));
        }
        if refusal.code == code::Code::StoreDown {
            refusal = refusal.retry_after(owner::STORE_RETRY);
        }
        let withdrawn = self.queue.remove(key);
        let job = self.jobs.get_mut(key).expect("the job was there");
        for task in &withdrawn {
            job.tasks[task.id.index as usize] = Progress::Dropped;
        }
        // Each agent that still has tasks of the job gets one order for all of them.
        for agent in job.agents_holding_tasks() {
            self.actions
                .push(Action::Order(agent, order::Order::Cancel(key.clone())));
        }
        let ran_nothing = refusal.not_run;
        self.end_job(now, key, submission::Ending::Failed(refusal));
        if ran_nothing {
            // No task ran, so the job is removed and a retry under the same key is a new job.
            if let Some(job) = self.jobs.remove(key) {
                self.kept_bytes -= job.kept_bytes();
            }
            self.ended.pop_back();
            self.unacknowledged.pop_back();
        }
    }

    /// Ends a job: replies to its waiters, drops the answers of its tasks and keeps the ending for
    /// resubmissions.
    pub(super) fn end_job(
        &mut self,
        now: time::Instant,
        key: &id::JobKey,
        ending: submission::Ending,
    ) {
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
        let of = &job.submission.job;
        self.open_bytes.remove(&of.client_account, of.input_bytes());
        if matches!(*ending, submission::Ending::Complete(_)) {
            job.release_inputs();
        }
        self.deadlines.remove(&(job.deadline, key.clone()));
        self.kept_bytes += job.kept_bytes();
        self.ended.push_back((now, key.clone()));
        self.unacknowledged.push_back((now, key.clone()));
    }

    /// Lets agents drop their records of jobs that ended at least [`owner::ACKNOWLEDGE_AFTER`] ago
    /// and whose claim is written.
    pub(super) fn acknowledge_ended(&mut self, now: time::Instant) {
        while let Some((at, key)) = self.unacknowledged.front() {
            if now.saturating_duration_since(*at) < owner::ACKNOWLEDGE_AFTER {
                return;
            }
            let job = self.jobs.get(key);
            if job.is_some_and(|job| job.claim != job::ClaimState::Written && job.ending.is_some())
            {
                // As long as the claim isn't in the table, only the agents' records show that the
                // job ran.
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

    /// Evicts endings that are too old, too many or too large. Their keys and digests are kept
    /// until [`owner::ENDING_RETENTION`] is over.
    pub(super) fn evict_endings(&mut self, now: time::Instant) {
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
                self.kept_bytes -= job.kept_bytes();
                self.evicted.insert(key.clone(), job.submission.digest);
                self.evicted_order.push_back((*at, key.clone()));
            }
            self.ended.pop_front();
        }
        while self
            .evicted_order
            .front()
            .is_some_and(|(at, _)| is_old(*at))
        {
            if let Some((_, key)) = self.evicted_order.pop_front() {
                self.evicted.remove(&key);
            }
        }
    }
}

/// Returns the times at which the stages of a job began and ended, if the submission carries a
/// trace.
fn job_timing(
    job: &job::Job,
    now: time::Instant,
    ending: &submission::Ending,
) -> Option<timing::Timing> {
    Some(timing::Timing::Job(timing::Job {
        traceparent: job.submission.traceparent.clone()?,
        key: job.submission.key.clone(),
        tasks: job.tasks.len(),
        submitted: job.timestamps.submitted,
        startable: job.timestamps.startable,
        ended: now,
        failure: ending.failure(),
    }))
}
