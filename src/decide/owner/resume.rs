//! Taking up a job that an earlier owner accepted.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time;

use crate::class;
use crate::code;
use crate::decide::action::{self, Action};
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
        tasks: BTreeMap<id::TaskIndex, (id::AgentId, ledger::Standing)>,
        rest_startable: bool,
    ) {
        let class = self.config.document.class(&submission.job.class);
        let target = class.map_or(class::MAX_TARGET, class::Class::target);
        let mut job = job::Job::open(submission.clone(), now + target, job::Claim::Written);
        job.waiters.push(waiter);
        let key = submission.key.clone();
        let mut asked: HashMap<id::AgentId, Vec<order::Attempt>> = HashMap::new();
        let mut gone = false;
        for (index, (agent, standing)) in &tasks {
            let Some(progress) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            gone |= *standing == ledger::Standing::Gone;
            *progress = Progress::Inherited {
                agent: agent.clone(),
            };
            job.agents.insert(agent.clone());
            let id = task::Id {
                job: key.clone(),
                index: *index,
            };
            self.outstanding
                .entry(agent.clone())
                .or_default()
                .insert(id.clone());
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
        if missing && !rest_startable {
            self.drop_waiting_as_unknown(&key);
            self.fail(now, &key, code::Code::MayHaveRun);
            return;
        }
        for (agent, ids) in asked {
            self.actions
                .push(Action::Order(agent, order::Order::Resolve(ids)));
        }
        self.enqueue(&key);
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
