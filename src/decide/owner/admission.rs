//! Admission of new jobs: the checks that refuse a job before any of its tasks starts, and the rule
//! that decides whether its claim has to be in the table before the first start.

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

/// Most tasks that may wait in a cell, even if all of them could meet their targets.
const MAX_WAITING_TASKS: usize = 200_000;

/// Estimated run times of a job's tasks.
struct WorkEstimate {
    /// Sum over all tasks, in seconds of slot time.
    seconds: f64,
    /// Run time of the longest task.
    longest: time::Duration,
}

impl Owner {
    /// Admits a new job, or refuses it before any of its tasks starts.
    ///
    /// An admitted job is queued at once, unless its claim has to be written first.
    pub(super) fn admit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::WaiterId,
    ) {
        let work = self.estimate_work(&submission.job);
        let account = &submission.job.client_account;
        self.demand.record_offer(now, account, work.seconds);
        self.reclassify_accounts(now);
        let target = match self.check_admission(now, &submission, &work) {
            Ok(target) => target,
            Err(refusal) => {
                self.refuse(waiter, refusal);
                return;
            }
        };
        let blocks_starts = self.must_write_claim_first(now, &submission);
        let claim = if blocks_starts {
            job::ClaimState::Awaited
        } else {
            job::ClaimState::InFlight
        };
        let mut job = job::Job::open(submission.clone(), now, now + target, claim);
        job.waiters.push(waiter);
        self.actions.push(Action::Claim(action::Claim {
            key: submission.key.clone(),
            digest: submission.digest,
            tasks: submission.job.tasks.len() as u32,
            blocks_starts,
            at_ms: self.wall_clock(now).as_millis() as u64,
        }));
        self.add_open(job);
        if !blocks_starts {
            self.enqueue(now, &submission.key);
        }
    }

    /// Checks whether a new job may be admitted, and returns the target of its class.
    ///
    /// # Errors
    ///
    /// Refuses a job of an unknown class, with a wrong number of tasks, with a task that no agent
    /// could ever run, over its client account's quota, with which more than [`MAX_WAITING_TASKS`]
    /// would wait, for whose inputs there is no memory, or by which it or others of its client account would miss their targets.
    fn check_admission(
        &self,
        now: time::Instant,
        submission: &submission::Submission,
        work: &WorkEstimate,
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
            let waiting = self.queue.waiting_tasks(&job.client_account) + job.tasks.len();
            if waiting as i64 > quota.waiting_tasks {
                let wait = self.expected_wait(&job.client_account);
                return Err(refusal::Refusal::new(code::Code::OverQuota).retry_after(wait));
            }
        }
        if self.queue.len() + job.tasks.len() > MAX_WAITING_TASKS {
            let wait = self.expected_wait(&job.client_account);
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(wait));
        }
        if !self.open_bytes.fits(&job.client_account, job.input_bytes()) {
            let wait = self.expected_wait(&job.client_account);
            return Err(refusal::Refusal::new(code::Code::NoMemory).retry_after(wait));
        }
        if self.can_start_at_once(job) {
            return Ok(class.target());
        }
        let late = self.expected_lateness(now, &job.client_account, class.target(), work);
        if !late.is_zero() {
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(late));
        }
        Ok(class.target())
    }

    /// Tells whether all tasks of a job can start at once, so that its wait needn't be estimated.
    fn can_start_at_once(&self, job: &submission::Job) -> bool {
        let waiting = self.queue.waiting_tasks(&job.client_account);
        waiting == 0 && self.fleet.free_slots() as usize >= job.tasks.len()
    }

    /// Estimates by how much the job would end after [`backlog::PLANNED_TARGET_SHARE`] of its
    /// target, or because of it other jobs of its client account after their deadlines; zero if
    /// none would or if no agent has slots. The caller should wait this long before it submits the
    /// job again.
    fn expected_lateness(
        &self,
        now: time::Instant,
        account: &id::ClientAccount,
        target: time::Duration,
        work: &WorkEstimate,
    ) -> time::Duration {
        let slots = f64::from(self.fleet.slots());
        if slots == 0.0 {
            return time::Duration::ZERO;
        }
        // The bound on the estimate guarantees that a wrong estimate alone never refuses a job
        // that arrives while the system is idle.
        let longest = work
            .longest
            .min(target.mul_f64(backlog::PLANNED_TARGET_SHARE / 2.0));
        let slots_of_account = self.demand.heavy_share(account);
        if let (Some(rate), false) = (slots_of_account, self.policy.queue == queue::Policy::Fifo) {
            let deadline = now + target;
            return self
                .queue
                .lateness(now, account, deadline, longest, work.seconds, rate);
        }
        let wait = self.expected_wait(account).as_secs_f64() + longest.as_secs_f64();
        let late = wait - backlog::PLANNED_TARGET_SHARE * target.as_secs_f64();
        time::Duration::from_secs_f64(late.max(0.0))
    }

    /// Estimates how long a new task of a client account would wait for a slot.
    pub(super) fn expected_wait(&self, account: &id::ClientAccount) -> time::Duration {
        let slots = f64::from(self.fleet.slots());
        if slots == 0.0 {
            return time::Duration::ZERO;
        }
        let seconds = match (self.policy.queue, self.demand.heavy_share(account)) {
            (queue::Policy::Fifo, _) => self.queue.total_seconds() / slots,
            (_, Some(rate)) => self.queue.backlog_seconds(account) / rate,
            // The client account's own backlog bounds its wait, whatever run times other client
            // accounts declare for their tasks.
            (_, None) => {
                let own =
                    self.queue.backlog_seconds(account) * (self.demand.light_count() + 1) as f64;
                self.queue.light_seconds().min(own) / slots
            }
        };
        time::Duration::from_secs_f64(seconds)
    }

    /// Estimates the run times of a job's tasks from what they declared and from earlier runs.
    fn estimate_work(&self, job: &submission::Job) -> WorkEstimate {
        let mut work = WorkEstimate {
            seconds: 0.0,
            longest: time::Duration::ZERO,
        };
        for task in &job.tasks {
            let run = self
                .estimates
                .estimate(&job.client_account, &task.kind, task.run_ms);
            work.seconds += run.as_secs_f64();
            work.longest = work.longest.max(run);
        }
        work
    }

    /// Reclassifies client accounts as light or heavy by their recent demand, if that is due.
    pub(super) fn reclassify_accounts(&mut self, now: time::Instant) {
        for (account, light) in self.demand.classify(now, self.fleet.slots()) {
            self.queue.set_light(&account, light);
        }
    }

    /// Tells whether a submission's claim must be in the table before any of its tasks starts.
    ///
    /// A start without a written claim is safe only if a later owner can see from the key that the
    /// job may have been started: the key has to contain the time at which it was minted, and the
    /// work has to be idempotent. A later owner would take the key for new if that time is more
    /// than [`inherit::TABLE_CONTACT_WINDOW`] after this owner's last proof of ownership. This
    /// happens if the caller's clock is ahead, or if this process was paused without noticing.
    pub(super) fn must_write_claim_first(
        &self,
        now: time::Instant,
        submission: &submission::Submission,
    ) -> bool {
        let proof_is_fresh =
            now.saturating_duration_since(self.last_proof) < inherit::TABLE_CONTACT_WINDOW;
        let latest_minted = self.wall_clock(self.last_proof) + inherit::TABLE_CONTACT_WINDOW;
        let minted = submission.minted_ms.map(time::Duration::from_millis);
        let age_is_known = minted.is_some_and(|minted| minted <= latest_minted);
        self.policy.claims_ahead || !submission.idempotent || !age_is_known || !proof_is_fresh
    }
}
