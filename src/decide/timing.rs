//! Where the time of jobs and tasks went, as plain moments; the daemon makes spans of them.

use std::collections::BTreeMap;
use std::time;

use compact_str::CompactString;

use crate::code;
use crate::id;
use crate::task;

/// The moments of a job that hasn't ended.
#[derive(Clone, Debug)]
pub struct Timestamps {
    /// When the owner took it.
    pub submitted: time::Instant,
    /// When its tasks could start, once they could: its claim is written or needn't be.
    pub startable: Option<time::Instant>,
    /// When tasks that an agent refused went back into the queue.
    pub requeued: BTreeMap<id::TaskIndex, time::Instant>,
}

impl Timestamps {
    /// Opens the moments of a job that was just taken.
    pub fn open(now: time::Instant) -> Timestamps {
        Timestamps {
            submitted: now,
            startable: None,
            requeued: BTreeMap::new(),
        }
    }

    /// When a task began to wait for a slot.
    pub fn queued_at(&self, index: id::TaskIndex) -> time::Instant {
        let requeued = self.requeued.get(&index).copied();
        requeued.or(self.startable).unwrap_or(self.submitted)
    }
}

/// The times of something that is over.
#[derive(Clone, Debug)]
pub enum Timing {
    /// A task came back from an agent.
    Task(Task),
    /// A job ended.
    Job(Job),
}

/// The times of one task at its owner.
#[derive(Clone, Debug)]
pub struct Task {
    /// The trace that it belongs to.
    pub traceparent: CompactString,
    /// The task.
    pub id: task::Id,
    /// The agent that it was sent to.
    pub agent: id::AgentId,
    /// When it began to wait for a slot.
    pub queued: time::Instant,
    /// When it was sent.
    pub sent: time::Instant,
    /// When it came back.
    pub returned: time::Instant,
    /// Whether it ran; else the agent refused it.
    pub ran: bool,
}

/// The times of one job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// The trace that it belongs to.
    pub traceparent: CompactString,
    /// The scoped key.
    pub key: id::JobKey,
    /// How many tasks it has.
    pub tasks: usize,
    /// When the owner took it.
    pub submitted: time::Instant,
    /// When its tasks could start, if they ever could.
    pub startable: Option<time::Instant>,
    /// When it ended.
    pub ended: time::Instant,
    /// The code with which it failed, if it did.
    pub failure: Option<code::Code>,
}
