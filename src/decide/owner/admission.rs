//! What a new job has to pass before anything of it runs, and when its claim must come first.

use std::sync::Arc;
use std::time;

use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::backlog;
use crate::decide::inherit;
use crate::decide::job;
use crate::decide::owner::Owner;
use crate::decide::queue;
use crate::id;
use crate::refusal;
use crate::submission;

/// Most tasks that may wait in a cell, whatever the targets allow.
const MAX_WAITING: usize = 200_000;

/// How much work a job is thought to be.
struct Work {
    /// Seconds of slot time of all its tasks.
    seconds: f64,
    /// Run time of its longest task.
    longest: time::Duration,
}

impl Owner {
    /// Takes a new job, or refuses it with nothing run.
    pub(super) fn admit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
    ) {
        let work = self.work_of(&submission.job);
        let account = &submission.job.client_account;
        self.demand.offer(now, account, work.seconds);
        self.sort_accounts(now);
        let target = match self.check(now, &submission, &work) {
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
        let mut job = job::Job::open(submission.clone(), now, now + target, claim);
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
            self.enqueue(now, &submission.key);
        }
    }

    /// Everything that refuses a job before anything of it runs. Returns the class target.
    fn check(
        &self,
        now: time::Instant,
        submission: &submission::Submission,
        work: &Work,
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
        let mut tasks = job.tasks.iter();
        if !tasks.all(|task| self.fleet.could_ever_run(now, &task.needs)) {
            return Err(refusal::Refusal::new(code::Code::NeverRunnable));
        }
        if let Some(quota) = self.config.document.quota(&job.client_account) {
            let waiting = self.queue.waiting(&job.client_account) + job.tasks.len();
            if waiting as i64 > quota.waiting_tasks {
                let wait = self.wait_of(&job.client_account);
                return Err(refusal::Refusal::new(code::Code::OverQuota).retry_after(wait));
            }
        }
        if self.queue.len() + job.tasks.len() > MAX_WAITING {
            let wait = self.wait_of(&job.client_account);
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(wait));
        }
        if self.finds_room(job) {
            return Ok(class.target());
        }
        let late = self.lateness(now, &job.client_account, class.target(), work);
        if !late.is_zero() {
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(late));
        }
        Ok(class.target())
    }

    /// Tells whether all of a job can start at once, so that no forecast of a wait is needed.
    fn finds_room(&self, job: &submission::Job) -> bool {
        let waiting = self.queue.waiting(&job.client_account);
        waiting == 0 && self.fleet.free_slots() as usize >= job.tasks.len()
    }

    /// How much too late a job would end, or make others of its client account end; nothing where all is
    /// in time. This is also how long the caller had better wait before it asks again.
    fn lateness(
        &self,
        now: time::Instant,
        account: &id::ClientAccount,
        target: time::Duration,
        work: &Work,
    ) -> time::Duration {
        let slots = f64::from(self.fleet.slots());
        if slots == 0.0 {
            return time::Duration::ZERO;
        }
        // An estimate alone, however wrong, never refuses a job that finds the system idle.
        let longest = work.longest.min(target.mul_f64(backlog::HEADROOM / 2.0));
        let share = self.demand.share(account);
        if let (Some(rate), false) = (share, self.policy.queue == queue::Policy::Fifo) {
            let deadline = now + target;
            return self
                .queue
                .lateness(now, account, deadline, longest, work.seconds, rate);
        }
        let wait = self.wait_of(account).as_secs_f64() + longest.as_secs_f64();
        let late = wait - backlog::HEADROOM * target.as_secs_f64();
        time::Duration::from_secs_f64(late.max(0.0))
    }

    /// How long a client account's new task would wait for a slot.
    pub(super) fn wait_of(&self, account: &id::ClientAccount) -> time::Duration {
        let slots = f64::from(self.fleet.slots());
        if slots == 0.0 {
            return time::Duration::ZERO;
        }
        let seconds = match (self.policy.queue, self.demand.share(account)) {
            (queue::Policy::Fifo, _) => self.queue.seconds() / slots,
            (_, Some(rate)) => self.queue.backlog(account) / rate,
            // Whatever others say of their tasks, a client account's own backlog bounds its wait.
            (_, None) => {
                let own = self.queue.backlog(account) * (self.demand.light() + 1) as f64;
                self.queue.light_seconds().min(own) / slots
            }
        };
        time::Duration::from_secs_f64(seconds)
    }

    /// How much work a job is thought to be.
    fn work_of(&self, job: &submission::Job) -> Work {
        let mut work = Work {
            seconds: 0.0,
            longest: time::Duration::ZERO,
        };
        for task in &job.tasks {
            let run = self
                .estimates
                .guess(&job.client_account, &task.kind, task.run_ms);
            work.seconds += run.as_secs_f64();
            work.longest = work.longest.max(run);
        }
        work
    }

    /// Tells light client accounts from heavy ones anew, where that is due.
    pub(super) fn sort_accounts(&mut self, now: time::Instant) {
        for (account, light) in self.demand.refresh(now, self.fleet.slots()) {
            self.queue.classify(&account, light);
        }
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
