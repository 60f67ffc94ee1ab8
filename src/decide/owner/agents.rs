//! How the owner handles its agents: their links, loads and notices, and the loss of an agent.

use std::time;

use crate::code;
use crate::decide::action::Action;
use crate::decide::fleet;
use crate::decide::inherit;
use crate::decide::job::Progress;
use crate::decide::ledger;
use crate::decide::notice;
use crate::decide::order;
use crate::decide::owner::{self, Owner};
use crate::id;
use crate::task;

impl Owner {
    /// Handles the first notice on a link to an agent, which reports the agent's incarnation and
    /// the tasks that it knows.
    pub fn handle_welcome(
        &mut self,
        now: time::Instant,
        id: &id::AgentId,
        welcome: notice::Welcome,
        load: notice::Load,
    ) {
        let reporting = inherit::AgentIncarnation {
            agent: id.clone(),
            incarnation: welcome.incarnation,
        };
        self.inheritance.add_report(&reporting, &welcome.tasks);
        let known = self
            .fleet
            .get(id)
            .map(|agent| (agent.incarnation, agent.sent, agent.taken));
        let same = known.filter(|(incarnation, ..)| *incarnation == welcome.incarnation);
        if known.is_some() && same.is_none() {
            // The agent restarted and lost its records, so nobody knows which of the tasks that
            // were sent to it had started.
            self.give_up_agent(now, id);
        }
        let (sent, taken) = same.map_or((0, task::Needs::default()), |(_, sent, taken)| {
            (sent, taken)
        });
        self.fleet.insert(
            now,
            id.clone(),
            fleet::Agent {
                incarnation: welcome.incarnation,
                failure_domain: welcome.failure_domain,
                rack: welcome.rack,
                state: fleet::State::Up,
                since: now,
                load,
                sent,
                taken,
                limit: self.health.limit(id),
            },
        );
        self.resolve_outstanding(id);
        self.become_ready(now);
        self.dispatch(now);
    }

    /// Updates an agent's load, which is sent along with its messages.
    pub fn update_load(&mut self, now: time::Instant, id: &id::AgentId, load: notice::Load) {
        self.fleet.set_load(now, id, load);
        self.dispatch(now);
    }

    /// Handles an answer, a refusal or the state of a task, and ignores other notices. The caller
    /// then has to call [`Owner::update_load`] or [`Owner::dispatch`], which start waiting tasks in
    /// the room that came free.
    pub fn handle_notice(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        notice: notice::Notice,
    ) {
        match notice {
            notice::Notice::Answer(answer) => self.handle_answer(now, agent, answer),
            notice::Notice::Refused(id, code) => self.handle_refusal(now, agent, &id, code),
            notice::Notice::Standing(id, state) => self.handle_task_state(now, agent, &id, state),
            notice::Notice::Welcome(_) | notice::Notice::Stale(_) | notice::Notice::Heartbeat => {}
        }
    }

    /// Notes that the link to an agent is lost. The agent's tasks stay outstanding until it has
    /// been silent for [`owner::AGENT_LOST_AFTER`].
    pub fn agent_link_lost(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.mark_silent(now, id);
    }

    /// Gives an agent up as lost: jobs with tasks that it may have started fail with an unknown
    /// outcome.
    pub fn give_up_agent(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.remove(now, id);
        self.health.forget(id);
        for task in self.outstanding.remove(id).unwrap_or_default() {
            self.mark_dropped(&task);
            self.fail_job(now, &task.job, code::Code::WorkerLost);
        }
    }

    /// Gives up agents that have been silent for [`owner::AGENT_LOST_AFTER`]. Agents that were
    /// barred from tasks by their health, for a time that is over now, may run one task at a time
    /// on trial.
    pub(super) fn check_agent_liveness(&mut self, now: time::Instant) {
        if let Some(before) = now.checked_sub(owner::AGENT_LOST_AFTER) {
            while let Some(id) = self.fleet.silent_since(before) {
                self.give_up_agent(now, &id);
            }
        }
        for id in self.health.end_due_bars(now) {
            self.fleet.set_limit(&id, self.health.limit(&id));
        }
    }

    /// Handles an agent's report on a task that the owner asked about with
    /// [`order::Order::Resolve`].
    pub(super) fn handle_task_state(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        asked: &order::Attempt,
        state: ledger::TaskState,
    ) {
        let id = &asked.id;
        match state {
            ledger::TaskState::Withdrawn => {
                self.requeue(now, agent, asked, code::Code::Burned);
            }
            // The answer follows or has arrived already.
            ledger::TaskState::Started | ledger::TaskState::Done => {}
            ledger::TaskState::Gone => {
                if self.release_task(now, agent, id, None).is_some() {
                    self.fail_job(now, &id.job, code::Code::AnswerGone);
                }
            }
        }
    }

    /// Marks a task whose agent is lost as dropped if its job has ended.
    pub(super) fn mark_dropped(&mut self, id: &task::Id) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let task = &mut job.tasks[id.index as usize];
            if job.ending.is_some() {
                *task = Progress::Dropped;
            }
        }
    }

    /// Asks an agent whose link is up again for the state of all tasks that are outstanding there.
    pub(super) fn resolve_outstanding(&mut self, id: &id::AgentId) {
        let Some(tasks) = self.outstanding.get(id) else {
            return;
        };
        if tasks.is_empty() {
            return;
        }
        // 0 stands for a job that this owner doesn't have any more.
        let attempt = |id: &task::Id| order::Attempt {
            id: id.clone(),
            attempt: self.jobs.get(&id.job).map_or(0, |job| job.attempts),
        };
        let ids = tasks.iter().map(attempt).collect();
        self.actions
            .push(Action::Order(id.clone(), order::Order::Resolve(ids)));
    }
}
