//! One job at its owner: the progress of each of its tasks, and how the job ends.

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

/// The progress of one task.
#[derive(Clone, Debug)]
pub enum Progress {
    /// It waits in the queue, or for the job's claim to be written.
    Waiting,
    /// Its start was sent to an agent, so it may run.
    Sent {
        /// The agent to which it was sent.
        agent: id::AgentId,
        /// Number of this start among the starts of the job's tasks in this epoch.
        attempt: u32,
        /// When the start was sent.
        at: time::Instant,
        /// When it began to wait for a slot.
        queued: time::Instant,
        /// Estimated run time that was charged to its client account.
        estimate: time::Duration,
    },
    /// An earlier owner sent it to an agent, and that agent still has a record of it.
    Inherited {
        /// The agent that has the record.
        agent: id::AgentId,
    },
    /// Its answer has arrived.
    Done(Box<RawValue>),
    /// It will not be started, or its job has ended; no answer of it is awaited.
    Dropped,
}

/// The state of a job's claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// It is being written, and no task may start before it is in the table.
    Awaited,
    /// It is being written while tasks may already start.
    InFlight,
    /// It is in the table.
    Written,
}

/// A job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the caller submitted.
    pub submission: Arc<submission::Submission>,
    /// When the class target passes; an answer after it is of no use to the caller.
    pub deadline: time::Instant,
    /// Callers that wait for the job's ending.
    pub waiters: Vec<action::WaiterId>,
    /// Progress of the tasks, by index.
    pub tasks: Vec<Progress>,
    /// Number of tasks without an answer.
    pub unanswered: usize,
    /// Whether the job's claim is in the table, and whether tasks wait for it.
    pub claim: ClaimState,
    /// Number of starts that were sent for its tasks in this epoch.
    pub attempts: u32,
    /// Agents to which any of its tasks was sent.
    pub agents: BTreeSet<id::AgentId>,
    /// Timestamps for the job's trace.
    pub timestamps: timing::Timestamps,
    /// How the job ended; `None` while it hasn't.
    pub ending: Option<Arc<submission::Ending>>,
}

impl Job {
    /// Creates a job of which no task was started.
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

    /// Drops the tasks and inputs of a complete job to free their memory. All tasks have answered,
    /// so none is looked up by its index again; resubmissions need only the key, the digest and the
    /// ending.
    pub fn release_inputs(&mut self) {
        let full = &self.submission;
        self.submission = Arc::new(submission::Submission {
            key: full.key.clone(),
            digest: full.digest,
            minted_ms: full.minted_ms,
            idempotent: full.idempotent,
            job: submission::Job {
                client_account: full.job.client_account.clone(),
                class: full.job.class.clone(),
                tasks: Vec::new(),
            },
            traceparent: None,
        });
        self.tasks = Vec::new();
    }

    /// Returns whether any task was sent to an agent that hasn't refused it. This holds until the
    /// job ends, since the answered tasks of an ended job are marked as dropped.
    pub fn may_have_run(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| !matches!(task, Progress::Waiting | Progress::Dropped))
    }

    /// Returns the agents to which tasks of the job were sent that have no answer yet.
    pub fn agents_holding_tasks(&self) -> BTreeSet<id::AgentId> {
        let holder = |task: &Progress| match task {
            Progress::Sent { agent, .. } | Progress::Inherited { agent } => Some(agent.clone()),
            _ => None,
        };
        self.tasks.iter().filter_map(holder).collect()
    }

    /// Returns the size of the inputs and the ending that the job keeps, in bytes.
    pub fn kept_bytes(&self) -> usize {
        let inputs = self.submission.job.input_bytes();
        let answers = match self.ending.as_deref() {
            Some(submission::Ending::Complete(answers)) => {
                answers.iter().map(|answer| answer.get().len()).sum()
            }
            Some(submission::Ending::Failed(_)) | None => 0,
        };
        inputs + answers
    }

    /// Returns the job's complete ending once every task has an answer.
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

    /// Returns the refusal with which the job fails for `reason`. Its code says "not run" only if
    /// no task can have run.
    ///
    /// A cancelled job is never reported as not run: the cancellation is recorded at this owner
    /// only, and the same submission, sent again to a later owner, would still run.
    pub fn refusal(&self, reason: code::Code) -> refusal::Refusal {
        let ran = self.may_have_run();
        let code = match (reason, ran) {
            (code::Code::TaskTimeout, false) => code::Code::Expired,
            // "Not run" is reported only if no task can have run.
            (code::Code::Expired, true) => code::Code::TaskTimeout,
            (reason, true) if reason.outcome() == code::Outcome::NotRun => code::Code::RetriesSpent,
            (reason, _) => reason,
        };
        refusal::Refusal::new(code)
    }
}
