//! Dispatch of tasks to agents, and the handling of their answers and refusals.

use std::time;

use crate::code;
use crate::decide::action::Action;
use crate::decide::health;
use crate::decide::job::{self, Progress};
use crate::decide::notice;
use crate::decide::order;
use crate::decide::owner::Owner;
use crate::decide::timing;
use crate::decide::waiting;
use crate::id;
use crate::task;

impl Owner {
    /// Starts waiting tasks for as long as agents have room for them. Most methods that handle an
    /// event call it at their end; after [`Owner::handle_notice`] the caller does.
    pub fn dispatch(&mut self, now: time::Instant) {
        if !self.ready {
            return;
        }
        while self.fleet.free_slots() > 0 {
            let fleet = &self.fleet;
            let Some(waiting) = self.queue.pop(|needs| fleet.has_room(needs)) else {
                return;
            };
            if self.is_too_late(now, &waiting) {
                // The caller learns now that no task ran, and not only at the job's deadline.
                self.fail_job(now, &waiting.id.job, code::Code::TaskTimeout);
                continue;
            }
            let agent = self.fleet.choose(&waiting.needs);
            self.start_task(
                now,
                &agent.expect("a task was taken only where it fits"),
                &waiting,
            );
        }
    }

    /// Puts a job's waiting tasks into the queue.
    pub(super) fn enqueue(&mut self, now: time::Instant, key: &id::JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.timestamps.startable = Some(now);
        let job = &self.jobs[key];
        let mut waiting = Vec::new();
        for (index, progress) in job.tasks.iter().enumerate() {
            if matches!(progress, Progress::Waiting) {
                waiting.push(self.waiting_task(job, index as id::TaskIndex));
            }
        }
        let account = job.submission.job.client_account.clone();
        for task in &waiting {
            self.fleet.index_needs(&task.needs);
        }
        self.queue.push(now, &account, key, job.deadline, waiting);
    }

    /// Tells whether a job of which no task was started can't meet its deadline any more, even if
    /// the next task takes only half of its estimate.
    fn is_too_late(&self, now: time::Instant, waiting: &waiting::WaitingTask) -> bool {
        self.jobs
            .get(&waiting.id.job)
            .is_some_and(|job| job.agents.is_empty() && now + waiting.estimate / 2 > job.deadline)
    }

    /// Builds the queue entry of a job's task, with a new estimate of its run time.
    pub(super) fn waiting_task(
        &self,
        job: &job::Job,
        index: id::TaskIndex,
    ) -> waiting::WaitingTask {
        let declared = &job.submission.job.tasks[index as usize];
        let account = &job.submission.job.client_account;
        waiting::WaitingTask {
            id: task::Id {
                job: job.submission.key.clone(),
                index,
            },
            estimate: self
                .estimates
                .estimate(account, &declared.kind, declared.run_ms),
            needs: declared.needs,
        }
    }

    /// Sends the start of a task to an agent, reserves its slot and resources there, and charges
    /// its estimated run time to the client account.
    pub(super) fn start_task(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        waiting: &waiting::WaitingTask,
    ) {
        let id = &waiting.id;
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("a waiting task has a job");
        let declared = &job.submission.job.tasks[id.index as usize];
        job.tasks[id.index as usize] = Progress::Sent {
            agent: agent.clone(),
            attempt: job.attempts + 1,
            at: now,
            queued: job.timestamps.queued_at(id.index),
            estimate: waiting.estimate,
        };
        job.agents.insert(agent.clone());
        job.attempts += 1;
        let account = job.submission.job.client_account.clone();
        let left = job.deadline.saturating_duration_since(now);
        let start = order::Start {
            id: id.clone(),
            attempt: job.attempts,
            client_account: account.clone(),
            deadline_ms: left.as_millis().max(1) as u64,
            needs: waiting.needs,
            input: declared.input.clone(),
            traceparent: job.submission.traceparent.clone(),
        };
        self.actions
            .push(Action::Order(agent.clone(), order::Order::Start(start)));
        self.outstanding
            .entry(agent.clone())
            .or_default()
            .insert(id.clone());
        self.fleet.reserve(agent, &waiting.needs);
        self.retries.earn();
        self.queue.record_start(&account);
        self.queue
            .charge(now, &account, waiting.estimate.as_secs_f64());
    }

    /// Handles an agent's answer. An answer is ignored if its task isn't outstanding at that agent.
    pub(super) fn handle_answer(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        answer: notice::Answer,
    ) {
        self.learn_from_answer(now, agent, &answer);
        let Some(index) = self.release_task(now, agent, &answer.id, Some(answer.ran_us)) else {
            return;
        };
        let key = &answer.id.job;
        let job = self.jobs.get_mut(key).expect("a released task has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        match answer.outcome {
            task::Outcome::Done(value) => {
                job.tasks[index] = Progress::Done(value);
                job.unanswered -= 1;
                if let Some(ending) = job.complete_answer() {
                    self.end_job(now, key, ending);
                }
            }
            task::Outcome::Failed(reason) => self.fail_job(now, key, reason),
        }
    }

    /// Handles an agent's refusal of a start, which proves that the task didn't run.
    pub(super) fn handle_refusal(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        refused: &order::Attempt,
        code: code::Code,
    ) {
        let id = &refused.id;
        // The agent knows a newer owner, which decides on the task.
        if code == code::Code::StaleEpoch {
            return;
        }
        if code == code::Code::Cancelled {
            // The job was cancelled under an earlier owner. Starting its task on another agent
            // would undo the cancellation.
            if !self.is_current_start(refused) {
                return;
            }
            if let Some(index) = self.release_task(now, agent, id, None) {
                let job = self.jobs.get_mut(&id.job);
                job.expect("a released task has a job").tasks[index] = Progress::Dropped;
                self.fail_job(now, &id.job, code::Code::Cancelled);
            }
            return;
        }
        if code == code::Code::WorkerBusy {
            self.observe_health(now, agent, &id.job, health::Outcome::Refused);
        }
        self.requeue(now, agent, refused, code);
    }

    /// Tells whether a refusal belongs to the start that is under way, and not to an earlier one.
    ///
    /// Guards against a refusal that arrives twice: after the first arrival the task may have been
    /// sent to the same agent again and may run there.
    fn is_current_start(&self, refused: &order::Attempt) -> bool {
        let job = self.jobs.get(&refused.id.job);
        match job.and_then(|job| job.tasks.get(refused.id.index as usize)) {
            Some(Progress::Sent { attempt, .. }) => *attempt <= refused.attempt,
            // This owner has no start of the task under way with which the refusal could be
            // confused, and it doesn't start a dropped task again.
            Some(_) | None => true,
        }
    }

    /// Queues a task again that provably didn't start; fails the job if the retry budget is spent.
    pub(super) fn requeue(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        refused: &order::Attempt,
        reason: code::Code,
    ) {
        if !self.is_current_start(refused) {
            return;
        }
        let id = &refused.id;
        let Some(index) = self.release_task(now, agent, id, None) else {
            return;
        };
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("a released task has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        job.tasks[index] = Progress::Waiting;
        job.timestamps.requeued.insert(id.index, now);
        if !self.retries.spend() {
            self.fail_job(now, &id.job, reason);
            return;
        }
        let job = &self.jobs[&id.job];
        let waiting = self.waiting_task(job, id.index);
        let account = job.submission.job.client_account.clone();
        self.queue
            .push(now, &account, &id.job, job.deadline, vec![waiting]);
    }

    /// Releases what is reserved for a task on an agent, and corrects the time charged to its
    /// client account from the estimate to the time that it ran. Returns the task's index if it was
    /// outstanding there.
    pub(super) fn release_task(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        id: &task::Id,
        ran_us: Option<u64>,
    ) -> Option<usize> {
        if !self.outstanding.get_mut(agent)?.remove(id) {
            return None;
        }
        let job = self.jobs.get(&id.job)?;
        let index = id.index as usize;
        let declared = &job.submission.job.tasks[index];
        let account = &job.submission.job.client_account;
        let ran = time::Duration::from_micros(ran_us.unwrap_or(0));
        if let Progress::Sent { estimate, .. } = &job.tasks[index] {
            self.fleet.release(agent, &declared.needs);
            let correction = ran.as_secs_f64() - estimate.as_secs_f64();
            self.queue.charge(now, account, correction);
            self.demand.correct(now, account, correction);
        }
        if let Some(timing) = task_timing(job, now, agent, id, ran_us.is_some()) {
            self.actions.push(Action::Record(timing));
        }
        Some(index)
    }

    /// Updates the run time estimate of tasks of this kind, and the agent's health, by an answer.
    fn learn_from_answer(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        answer: &notice::Answer,
    ) {
        let Some(job) = self.jobs.get(&answer.id.job) else {
            return;
        };
        let index = answer.id.index as usize;
        let Some(Progress::Sent {
            agent: sent_to,
            estimate,
            ..
        }) = job.tasks.get(index)
        else {
            return;
        };
        if sent_to != agent {
            return;
        }
        let ran = time::Duration::from_micros(answer.ran_us);
        let outcome = match &answer.outcome {
            task::Outcome::Done(_) => {
                let job = &job.submission.job;
                let declared = &job.tasks[index];
                self.estimates
                    .observe(&job.client_account, &declared.kind, declared.run_ms, ran);
                health::Outcome::Done(ran, *estimate)
            }
            task::Outcome::Failed(code::Code::TaskFailed | code::Code::AnswerTruncated) => {
                health::Outcome::Failed
            }
            task::Outcome::Failed(code::Code::TaskTimeout | code::Code::Cancelled) => {
                health::Outcome::Stopped(ran, *estimate)
            }
            task::Outcome::Failed(_) => return,
        };
        self.observe_health(now, agent, &answer.id.job, outcome);
    }

    /// Updates an agent's health by the outcome of a start, and with it the agent's task limit.
    fn observe_health(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        job: &id::JobKey,
        outcome: health::Outcome,
    ) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        let account = &job.submission.job.client_account;
        let agents = self.fleet.agents().len();
        let limit = self.health.observe(now, agent, account, outcome, agents);
        self.fleet.set_limit(agent, limit);
    }
}

/// Returns the times at which a task that an agent returned was queued, sent and returned, if this
/// owner sent it and the submission carries a trace.
fn task_timing(
    job: &job::Job,
    now: time::Instant,
    agent: &id::AgentId,
    id: &task::Id,
    ran: bool,
) -> Option<timing::Timing> {
    let traceparent = job.submission.traceparent.clone()?;
    let Progress::Sent { at, queued, .. } = &job.tasks[id.index as usize] else {
        return None;
    };
    Some(timing::Timing::Task(timing::Task {
        traceparent,
        id: id.clone(),
        agent: agent.clone(),
        queued: *queued,
        sent: *at,
        returned: now,
        ran,
    }))
}
