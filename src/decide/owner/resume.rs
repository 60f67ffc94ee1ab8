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
        let mut gone = false;
        let mut lost = false;
        for (index, (life, standing)) in &tasks {
            let agent = &life.agent;
            let Some(progress) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            gone |= *standing == ledger::Standing::Gone;
            // The life that reported the task may have ended since. Its successor would say that
            // it never saw the task, which proves nothing, so it isn't asked.
            let current = self.fleet.get(agent).map(|agent| agent.incarnation);
            lost |= current != Some(life.incarnation);
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
        if gone {
            self.fail(now, &key, code::Code::AnswerGone);
            return;
        }
        if lost {
            self.drop_waiting_as_unknown(&key);
            self.fail(now, &key, code::Code::WorkerLost);
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
