//! What a new job has to pass before anything of it runs, and when its claim must come first.

use std::sync::Arc;
use std::time;

use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::inherit;
use crate::decide::job;
use crate::decide::owner::Owner;
use crate::id;
use crate::refusal;
use crate::submission;

impl Owner {
    /// Takes a new job, or refuses it with nothing run.
    pub(super) fn admit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
    ) {
        let target = match self.check(&submission) {
            Ok(target) => target,
            Err(refusal) => {
                self.refuse(waiter, refusal);
                return;
            }
        };
        let ahead = self.must_claim_ahead(now, &submission);
        let claim = if ahead {
            job::Claim::Awaited
        } else {
            job::Claim::Behind
        };
        let mut job = job::Job::open(submission.clone(), now + target, claim);
        job.waiters.push(waiter);
        self.actions.push(Action::Claim(action::Claim {
            key: submission.key.clone(),
            digest: submission.digest,
            tasks: submission.job.tasks.len() as u32,
            ahead,
            at_ms: self.wall(now).as_millis() as u64,
        }));
        self.deadlines
            .insert((job.deadline, submission.key.clone()));
        self.jobs.insert(submission.key.clone(), job);
        if !ahead {
            self.enqueue(&submission.key);
        }
    }

    /// Everything that refuses a job before anything of it runs. Returns the class target.
    pub(super) fn check(
        &self,
        submission: &submission::Submission,
    ) -> Result<time::Duration, refusal::Refusal> {
        let job = &submission.job;
        let Some(class) = self.config.document.class(&job.class) else {
            return Err(refusal::Refusal::detailed(
                code::Code::UnknownClass,
                &job.class,
            ));
        };
        if job.tasks.is_empty() || job.tasks.len() > class.max_tasks as usize {
            return Err(refusal::Refusal::new(code::Code::TaskCount));
        }
        let known = !self.fleet.agents().is_empty();
        if known
            && job
                .tasks
                .iter()
                .any(|task| !self.fleet.could_ever_run(&task.needs))
        {
            return Err(refusal::Refusal::new(code::Code::NeverRunnable));
        }
        if let Some(quota) = self.config.document.quota(&job.customer) {
            let waiting = self.queue.waiting(&job.customer) + job.tasks.len();
            if waiting as i64 > quota.waiting_tasks {
                let wait = self.wait_of(&job.customer);
                return Err(refusal::Refusal::new(code::Code::OverQuota).retry_after(wait));
            }
        }
        let wait = self.wait_of(&job.customer);
        if wait > class.target() {
            let back = wait - class.target();
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(back));
        }
        Ok(class.target())
    }

    /// How long a customer's new task would wait behind the customer's own, at its fair share.
    pub(super) fn wait_of(&self, customer: &id::Customer) -> time::Duration {
        let slots = self.fleet.slots();
        if slots == 0 {
            return time::Duration::ZERO;
        }
        let others = self.queue.active().saturating_sub(1).max(1);
        let share = f64::from(slots) / others as f64;
        let fair = self.queue.backlog(customer).as_secs_f64() / share;
        let whole = self.queue.total_backlog().as_secs_f64() / f64::from(slots);
        time::Duration::from_secs_f64(fair.min(whole))
    }

    /// Tells whether a submission's claim must be in the table before anything of it starts.
    ///
    /// Without a claim a start is safe only if a later owner can tell that the key is old enough
    /// to have been started: a key that tells its age, of idempotent work. A key that says it is
    /// younger than this owner's last sight of the table would look fresh to the later owner,
    /// whether the caller's clock is ahead or this process was paused without noticing.
    pub(super) fn must_claim_ahead(
        &self,
        now: time::Instant,
        submission: &submission::Submission,
    ) -> bool {
        let in_sight = now.saturating_duration_since(self.table_seen) < inherit::TABLE_SIGHT;
        let latest = self.wall(self.table_seen) + inherit::TABLE_SIGHT;
        let minted = submission.minted_ms.map(time::Duration::from_millis);
        let tells_age = minted.is_some_and(|minted| minted <= latest);
        self.policy.claims_ahead || !submission.idempotent || !tells_age || !in_sight
    }
}
