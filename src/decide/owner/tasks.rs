//! Handing tasks out, and taking answers and refusals back.

use std::time;

use crate::code;
use crate::decide::action::Action;
use crate::decide::job::{self, Progress};
use crate::decide::notice;
use crate::decide::order;
use crate::decide::owner::Owner;
use crate::decide::queue;
use crate::id;
use crate::task;

impl Owner {
    /// Hands out what can be handed out; called once after a message was taken in.
    pub fn dispatch(&mut self, now: time::Instant) {
        if !self.ready {
            return;
        }
        while self.fleet.free_slots() > 0 {
            let fleet = &self.fleet;
            let Some(waiting) = self.queue.pop(|task| fleet.has_room(&task.needs)) else {
                return;
            };
            let agent = self.fleet.choose(&waiting.needs);
            self.start(
                now,
                &agent.expect("a task was taken only where it fits"),
                &waiting,
            );
        }
    }

    /// Puts a job's waiting tasks into the queue.
    pub(super) fn enqueue(&mut self, key: &id::JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut waiting = Vec::new();
        for (index, progress) in job.tasks.iter().enumerate() {
            if matches!(progress, Progress::Waiting) {
                waiting.push(self.waiting(job, index as id::TaskIndex));
            }
        }
        let customer = job.submission.job.customer.clone();
        self.queue.push(&customer, key, job.deadline, waiting);
    }

    pub(super) fn waiting(&self, job: &job::Job, index: id::TaskIndex) -> queue::Waiting {
        let declared = &job.submission.job.tasks[index as usize];
        let customer = &job.submission.job.customer;
        queue::Waiting {
            id: task::Id {
                job: job.submission.key.clone(),
                index,
            },
            estimate: self
                .estimates
                .guess(customer, &declared.kind, declared.run_ms),
            needs: declared.needs,
        }
    }

    pub(super) fn start(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        waiting: &queue::Waiting,
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
            estimate: waiting.estimate,
        };
        job.agents.insert(agent.clone());
        job.attempts += 1;
        let customer = job.submission.job.customer.clone();
        let left = job.deadline.saturating_duration_since(now);
        let start = order::Start {
            id: id.clone(),
            attempt: job.attempts,
            customer: customer.clone(),
            deadline_ms: left.as_millis().max(1) as u64,
            needs: waiting.needs,
            input: declared.input.clone(),
            direct: job.claim != job::Claim::Written,
            traceparent: job.submission.traceparent.clone(),
        };
        self.actions
            .push(Action::Order(agent.clone(), order::Order::Start(start)));
        self.outstanding
            .entry(agent.clone())
            .or_default()
            .insert(id.clone());
        self.fleet.book(agent, &waiting.needs);
        self.queue
            .charge(now, &customer, waiting.estimate.as_secs_f64());
    }

    /// Takes an agent's answer; one that isn't awaited from that agent reaches nobody.
    pub(super) fn answer(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        answer: notice::Answer,
    ) {
        let Some(index) = self.give_back(now, agent, &answer.id, Some(answer.ran_us)) else {
            return;
        };
        let key = &answer.id.job;
        let job = self
            .jobs
            .get_mut(key)
            .expect("a task that was given back has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        match answer.outcome {
            task::Outcome::Done(value) => {
                job.tasks[index] = Progress::Done(value);
                job.left -= 1;
                if let Some(ending) = job.complete() {
                    self.end(now, key, ending);
                }
            }
            task::Outcome::Failed(reason) => self.fail(now, key, reason),
        }
    }

    /// Takes back a start that provably didn't run.
    pub(super) fn refused(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        refused: &order::Attempt,
        code: code::Code,
    ) {
        let id = &refused.id;
        if code == code::Code::StaleEpoch {
            return;
        }
        if code == code::Code::CancelledBefore {
            // The job was withdrawn under an owner before; starting it elsewhere would undo that.
            if !self.is_current(refused) {
                return;
            }
            if let Some(index) = self.give_back(now, agent, id, None) {
                let job = self.jobs.get_mut(&id.job);
                job.expect("a task that was given back has a job").tasks[index] = Progress::Dropped;
                self.fail(now, &id.job, code::Code::Cancelled);
            }
            return;
        }
        self.requeue(now, agent, refused);
    }

    /// Tells whether a refusal covers the start that is under way, no earlier one.
    ///
    /// Guards against a refusal that arrives twice: after the first the task may have been sent to
    /// the same agent again, and run there.
    fn is_current(&self, refused: &order::Attempt) -> bool {
        let job = self.jobs.get(&refused.id.job);
        match job.and_then(|job| job.tasks.get(refused.id.index as usize)) {
            Some(Progress::Sent { attempt, .. }) => *attempt <= refused.attempt,
            // What was dropped is not started again.
            Some(_) | None => true,
        }
    }

    /// Queues a task again that an agent provably doesn't run.
    pub(super) fn requeue(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        refused: &order::Attempt,
    ) {
        if !self.is_current(refused) {
            return;
        }
        let id = &refused.id;
        let Some(index) = self.give_back(now, agent, id, None) else {
            return;
        };
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("a task that was given back has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        job.tasks[index] = Progress::Waiting;
        let job = &self.jobs[&id.job];
        let waiting = self.waiting(job, id.index);
        let customer = job.submission.job.customer.clone();
        self.queue
            .push(&customer, &id.job, job.deadline, vec![waiting]);
    }

    /// Ends the booking of a task on an agent. Returns its index if it was booked there.
    pub(super) fn give_back(
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
        let customer = &job.submission.job.customer;
        let ran = time::Duration::from_micros(ran_us.unwrap_or(0));
        if let Progress::Sent { estimate, .. } = &job.tasks[index] {
            self.fleet.release(agent, &declared.needs);
            let correction = ran.as_secs_f64() - estimate.as_secs_f64();
            self.queue.charge(now, customer, correction);
        }
        if ran_us.is_some() {
            self.estimates.observe(customer, &declared.kind, ran);
        }
        Some(index)
    }
}
