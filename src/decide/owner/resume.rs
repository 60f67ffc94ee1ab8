//! Taking up a job that an earlier owner accepted.

use std::collections::HashMap;
use std::sync::Arc;
use std::time;

use crate::class;
use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::inherit;
use crate::decide::job::{self, Progress};
use crate::decide::ledger;
use crate::decide::order;
use crate::decide::owner::Owner;
use crate::id;
use crate::submission;
use crate::task;

impl Owner {
    /// Takes up a job that an earlier owner accepted.
    pub(super) fn resume(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
        tasks: inherit::Remembered,
        rest_startable: bool,
    ) {
        let class = self.config.document.class(&submission.job.class);
        let target = class.map_or(class::MAX_TARGET, class::Class::target);
        let mut job = job::Job::open(submission.clone(), now, now + target, job::Claim::Written);
        job.waiters.push(waiter);
        let key = submission.key.clone();
        let mut asked: HashMap<id::AgentId, Vec<order::Attempt>> = HashMap::new();
        let (mut gone, mut lost) = (false, false);
        for (index, (life, standing)) in &tasks {
            let agent = &life.agent;
            let Some(progress) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            gone |= *standing == ledger::Standing::Gone;
            // Guards against a life that reported a task and then ended: its successor, which has
            // never seen the task, would have it started again.
            lost |= !self.is_alive(life);
            *progress = Progress::Inherited {
                agent: agent.clone(),
            };
            job.agents.insert(agent.clone());
            let id = task::Id {
                job: key.clone(),
                index: *index,
            };
            let attempt = order::Attempt { id, attempt: 0 };
            asked.entry(agent.clone()).or_default().push(attempt);
        }
        let missing = tasks.len() < job.tasks.len();
        self.deadlines.insert((job.deadline, key.clone()));
        self.jobs.insert(key.clone(), job);
        if gone || lost {
            let reason = if gone {
                code::Code::AnswerGone
            } else {
                code::Code::WorkerLost
            };
            self.drop_waiting_as_unknown(&key);
            self.fail(now, &key, reason);
            return;
        }
        if missing && !rest_startable {
            self.drop_waiting_as_unknown(&key);
            self.fail(now, &key, code::Code::MayHaveRun);
            return;
        }
        for (agent, ids) in asked {
            let outstanding = self.outstanding.entry(agent.clone()).or_default();
            outstanding.extend(ids.iter().map(|asked| asked.id.clone()));
            self.actions
                .push(Action::Order(agent, order::Order::Resolve(ids)));
        }
        self.enqueue(now, &key);
    }

    /// Tells whether a life of an agent still is the one that this owner uses.
    fn is_alive(&self, life: &inherit::Life) -> bool {
        let agent = self.fleet.get(&life.agent);
        agent.is_some_and(|agent| agent.incarnation == life.incarnation)
    }

    pub(super) fn drop_waiting_as_unknown(&mut self, key: &id::JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        for task in &mut job.tasks {
            if matches!(task, Progress::Waiting) {
                *task = Progress::Dropped;
            }
        }
    }
}
