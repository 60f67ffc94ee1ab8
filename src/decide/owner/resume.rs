//! Resumption of jobs that an earlier owner accepted and whose callers submit them again.

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
    /// Resumes a job that an earlier owner accepted: asks the agents for the tasks that they know
    /// and queues the rest.
    ///
    /// The job ends at once with an unknown outcome if an answer is gone, if an agent that had a
    /// task is lost, or if the tasks that no agent knows may have run (`rest_startable` is false).
    pub(super) fn resume_job(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::WaiterId,
        tasks: inherit::RememberedTasks,
        rest_startable: bool,
    ) {
        let class = self.config.document.class(&submission.job.class);
        let target = class.map_or(class::MAX_TARGET, class::Class::target);
        let mut job = job::Job::open(
            submission.clone(),
            now,
            now + target,
            job::ClaimState::Written,
        );
        job.waiters.push(waiter);
        let key = submission.key.clone();
        let mut asked: HashMap<id::AgentId, Vec<order::Attempt>> = HashMap::new();
        let (mut answer_gone, mut agent_lost) = (false, false);
        for (index, (incarnation, state)) in &tasks {
            let agent = &incarnation.agent;
            let Some(progress) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            answer_gone |= *state == ledger::TaskState::Gone;
            // Guards against an incarnation of an agent that reported a task and then ended. The
            // agent's next incarnation doesn't know the task and would answer that it may be
            // started, so it would run twice.
            agent_lost |= !self.is_current_incarnation(incarnation);
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
        self.add_open(job);
        if answer_gone || agent_lost {
            let reason = if answer_gone {
                code::Code::AnswerGone
            } else {
                code::Code::WorkerLost
            };
            self.drop_waiting_tasks(&key);
            self.fail_job(now, &key, reason);
            return;
        }
        if missing && !rest_startable {
            self.drop_waiting_tasks(&key);
            self.fail_job(now, &key, code::Code::MayHaveRun);
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

    /// Tells whether an incarnation of an agent is the one that this owner is linked to.
    fn is_current_incarnation(&self, incarnation: &inherit::AgentIncarnation) -> bool {
        let agent = self.fleet.get(&incarnation.agent);
        agent.is_some_and(|agent| agent.incarnation == incarnation.incarnation)
    }

    /// Marks the waiting tasks of a job as dropped, so that none of them starts.
    pub(super) fn drop_waiting_tasks(&mut self, key: &id::JobKey) {
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
