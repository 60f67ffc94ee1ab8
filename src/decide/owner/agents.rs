//! What the owner makes of its agents: links that come and go, loads, notices.

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
    /// Takes the first notice of an agent's link.
    pub fn handle_welcome(
        &mut self,
        now: time::Instant,
        id: &id::AgentId,
        welcome: notice::Welcome,
        load: notice::Load,
    ) {
        let life = inherit::Life {
            agent: id.clone(),
            incarnation: welcome.incarnation,
        };
        self.inheritance.report(&life, &welcome.tasks);
        let known = self
            .fleet
            .get(id)
            .map(|agent| (agent.incarnation, agent.sent, agent.taken));
        let same = known.filter(|(incarnation, ..)| *incarnation == welcome.incarnation);
        if known.is_some() && same.is_none() {
            // The agent came back with an empty memory; what it had started nobody can tell.
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
        self.ask_outstanding(id);
        self.settle(now);
        self.dispatch(now);
    }

    /// Takes the load that rode on an agent's message.
    pub fn update_load(&mut self, now: time::Instant, id: &id::AgentId, load: notice::Load) {
        self.fleet.load(now, id, load);
        self.dispatch(now);
    }

    /// Takes a notice of an agent, apart from its welcome.
    pub fn handle_notice(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        notice: notice::Notice,
    ) {
        match notice {
            notice::Notice::Answer(answer) => self.answer(now, agent, answer),
            notice::Notice::Refused(id, code) => self.refused(now, agent, &id, code),
            notice::Notice::Standing(id, standing) => self.standing(now, agent, &id, standing),
            notice::Notice::Welcome(_) | notice::Notice::Stale(_) | notice::Notice::Heartbeat => {}
        }
    }

    /// Notes that an agent's link is gone.
    pub fn agent_link_lost(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.silence(now, id);
    }

    /// Gives an agent up: what it may have started is answered as unknown.
    pub fn give_up_agent(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.remove(now, id);
        self.health.forget(id);
        for task in self.outstanding.remove(id).unwrap_or_default() {
            self.drop_task(&task);
            self.fail(now, &task.job, code::Code::WorkerLost);
        }
    }

    /// Gives up agents that have been silent for long, and tries barred ones again.
    pub(super) fn tend_agents(&mut self, now: time::Instant) {
        if let Some(before) = now.checked_sub(owner::AGENT_LOST_AFTER) {
            while let Some(id) = self.fleet.silent_since(before) {
                self.give_up_agent(now, &id);
            }
        }
        for id in self.health.due(now) {
            self.fleet.limit(&id, self.health.limit(&id));
        }
    }

    pub(super) fn standing(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        asked: &order::Attempt,
        standing: ledger::Standing,
    ) {
        let id = &asked.id;
        match standing {
            ledger::Standing::Withdrawn => {
                self.requeue(now, agent, asked, code::Code::Burned);
            }
            // The answer follows, or came already.
            ledger::Standing::Started | ledger::Standing::Done => {}
            ledger::Standing::Gone => {
                if self.give_back(now, agent, id, None).is_some() {
                    self.fail(now, &id.job, code::Code::AnswerGone);
                }
            }
        }
    }

    /// Marks a task whose agent is lost.
    pub(super) fn drop_task(&mut self, id: &task::Id) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let task = &mut job.tasks[id.index as usize];
            if job.ending.is_some() {
                *task = Progress::Dropped;
            }
        }
    }

    /// Asks an agent that is back how the tasks stand that were sent to it.
    pub(super) fn ask_outstanding(&mut self, id: &id::AgentId) {
        let Some(tasks) = self.outstanding.get(id) else {
            return;
        };
        if tasks.is_empty() {
            return;
        }
        let attempt = |id: &task::Id| order::Attempt {
            id: id.clone(),
            attempt: self.jobs.get(&id.job).map_or(0, |job| job.attempts),
        };
        let ids = tasks.iter().map(attempt).collect();
        self.actions
            .push(Action::Order(id.clone(), order::Order::Resolve(ids)));
    }
}
