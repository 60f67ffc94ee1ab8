//! Timestamps of jobs and tasks at their owner, from which the daemon makes the spans of a trace.

use std::collections::BTreeMap;
use std::time;

use compact_str::CompactString;

use crate::code;
use crate::id;
use crate::task;

/// The timestamps of a job that hasn't ended.
#[derive(Clone, Debug)]
pub struct Timestamps {
    /// When the owner accepted the job.
    pub submitted: time::Instant,
    /// When its tasks became free to start: its claim was written, or they didn't have to wait for
    /// it.
    pub startable: Option<time::Instant>,
    /// When each task that an agent refused went back into the queue.
    pub requeued: BTreeMap<id::TaskIndex, time::Instant>,
}

impl Timestamps {
    /// Creates the timestamps of a job that is accepted at `now`.
    pub fn open(now: time::Instant) -> Timestamps {
        Timestamps {
            submitted: now,
            startable: None,
            requeued: BTreeMap::new(),
        }
    }

    /// Returns when a task last began to wait for a slot.
    pub fn queued_at(&self, index: id::TaskIndex) -> time::Instant {
        let requeued = self.requeued.get(&index).copied();
        requeued.or(self.startable).unwrap_or(self.submitted)
    }
}

/// The times of a job that has ended, or of a task that an agent answered or refused.
#[derive(Clone, Debug)]
pub enum Timing {
    /// A task, for one start.
    Task(Task),
    /// A job that ended.
    Job(Job),
}

/// The times of one task at its owner.
#[derive(Clone, Debug)]
pub struct Task {
    /// W3C trace context of the trace that it belongs to.
    pub traceparent: CompactString,
    /// Identifies the task.
    pub id: task::Id,
    /// The agent to which it was sent.
    pub agent: id::AgentId,
    /// When it began to wait for a slot, for this start.
    pub queued: time::Instant,
    /// When its start was sent to the agent.
    pub sent: time::Instant,
    /// When its answer or refusal arrived.
    pub returned: time::Instant,
    /// True if it ran, false if the agent refused it.
    pub ran: bool,
}

/// The times of one job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// W3C trace context of the trace that it belongs to.
    pub traceparent: CompactString,
    /// The job's key, with its client account as a prefix.
    pub key: id::JobKey,
    /// Number of its tasks.
    pub tasks: usize,
    /// When the owner accepted the job.
    pub submitted: time::Instant,
    /// When its tasks became free to start, if they ever did.
    pub startable: Option<time::Instant>,
    /// When the job ended.
    pub ended: time::Instant,
    /// The code with which the job failed, if it failed.
    pub failure: Option<code::Code>,
}
