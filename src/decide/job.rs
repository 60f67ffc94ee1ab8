//! One job at its owner: where each of its tasks stands and how the job ends.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time;

use serde_json::value::RawValue;

use crate::code;
use crate::decide::action;
use crate::decide::timing;
use crate::id;
use crate::refusal;
use crate::submission;

/// Where one task stands.
#[derive(Clone, Debug)]
pub enum Progress {
    /// It waits in the queue, or for its claim.
    Waiting,
    /// It was sent to an agent and may run.
    Sent {
        /// The agent.
        agent: id::AgentId,
        /// The number of the start.
        attempt: u32,
        /// When it was sent.
        at: time::Instant,
        /// When it had begun to wait for a slot.
        queued: time::Instant,
        /// Slot time that was booked for it.
        estimate: time::Duration,
    },
    /// It was sent by an owner of the past to an agent that remembers it.
    Inherited {
        /// The agent.
        agent: id::AgentId,
    },
    /// Its answer is here.
    Done(Box<RawValue>),
    /// It won't be run or awaited any more.
    Dropped,
}

/// How far the claim of a job has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// Nothing may start before it is written.
    Awaited,
    /// It is being written while tasks start.
    InFlight,
    /// It is in the table.
    Written,
}

/// A job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was asked for.
    pub submission: Arc<submission::Submission>,
    /// When its answer becomes worthless.
    pub deadline: time::Instant,
    /// Who waits for its ending.
    pub waiters: Vec<action::WaiterId>,
    /// Its tasks, by index.
    pub tasks: Vec<Progress>,
    /// Tasks without an answer.
    pub unanswered: usize,
    /// Its claim.
    pub claim: ClaimState,
    /// Starts that were sent in this epoch.
    pub attempts: u32,
    /// Agents that were sent any of its tasks.
    pub agents: BTreeSet<id::AgentId>,
    /// Where its time went so far.
    pub timestamps: timing::Timestamps,
    /// How it ended, once it has.
    pub ending: Option<Arc<submission::Ending>>,
}

impl Job {
    /// Opens a job of which nothing was started.
    pub fn open(
        submission: Arc<submission::Submission>,
        now: time::Instant,
        deadline: time::Instant,
        claim: ClaimState,
    ) -> Job {
        let tasks = submission.job.tasks.len();
        Job {
            submission,
            deadline,
            waiters: Vec::new(),
            tasks: vec![Progress::Waiting; tasks],
            unanswered: tasks,
            claim,
            attempts: 0,
            agents: BTreeSet::new(),
            timestamps: timing::Timestamps::open(now),
            ending: None,
        }
    }

    /// Drops the tasks and their inputs of a complete job. All of them have come back, so nobody asks
    /// for one by its index again; what resubmissions need is the key, the digest and the ending.
    pub fn release_inputs(&mut self) {
        let whole = &self.submission;
        self.submission = Arc::new(submission::Submission {
            key: whole.key.clone(),
            digest: whole.digest,
            minted_ms: whole.minted_ms,
            idempotent: whole.idempotent,
            job: submission::Job {
                client_account: whole.job.client_account.clone(),
                class: whole.job.class.clone(),
                tasks: Vec::new(),
            },
            traceparent: None,
        });
        self.tasks = Vec::new();
    }

    /// Tells whether any task was ever handed to an agent that didn't refuse it.
    pub fn may_have_run(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| !matches!(task, Progress::Waiting | Progress::Dropped))
    }

    /// Agents that have tasks of the job without an answer.
    pub fn agents_holding_tasks(&self) -> BTreeSet<id::AgentId> {
        let holder = |task: &Progress| match task {
            Progress::Sent { agent, .. } | Progress::Inherited { agent } => Some(agent.clone()),
            _ => None,
        };
        self.tasks.iter().filter_map(holder).collect()
    }

    /// Bytes of the inputs and of the ending that the job keeps.
    pub fn kept_bytes(&self) -> usize {
        let inputs = self.submission.job.tasks.iter();
        let inputs: usize = inputs.map(|task| task.input.get().len()).sum();
        let answers = match self.ending.as_deref() {
            Some(submission::Ending::Complete(answers)) => {
                answers.iter().map(|answer| answer.get().len()).sum()
            }
            Some(submission::Ending::Failed(_)) | None => 0,
        };
        inputs + answers
    }

    /// The complete answer, once every task has one.
    pub fn complete_answer(&self) -> Option<submission::Ending> {
        if self.unanswered > 0 {
            return None;
        }
        let answer = |task: &Progress| match task {
            Progress::Done(value) => Some(value.clone()),
            _ => None,
        };
        let answers: Option<Vec<_>> = self.tasks.iter().map(answer).collect();
        answers.map(submission::Ending::Complete)
    }

    /// The refusal with which the job fails for a reason, honest about what may have run.
    ///
    /// A cancelled job is never said not to have run: nothing that outlives this owner tells of the
    /// cancellation, and a submission that is made again through a successor still runs.
    pub fn refusal(&self, reason: code::Code) -> refusal::Refusal {
        let ran = self.may_have_run();
        let code = match (reason, ran) {
            (code::Code::TaskTimeout, false) => code::Code::Expired,
            // "Not run" is only ever said of a job no task of which was handed out.
            (code::Code::Expired, true) => code::Code::TaskTimeout,
            (reason, true) if reason.outcome() == code::Outcome::NotRun => code::Code::RetriesSpent,
            (reason, _) => reason,
        };
        refusal::Refusal::new(code)
    }
}
