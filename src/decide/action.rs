//! The actions that a cell's owner returns; the daemon carries them out in order.

use std::sync::Arc;

use crate::decide::order;
use crate::decide::timing;
use crate::id;
use crate::submission;

/// Identifies a caller that waits for a job's ending; the daemon maps it to the caller.
pub type WaiterId = u64;

/// One action for the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order to an agent.
    Order(id::AgentId, order::Order),
    /// Write a claim to the table, then call the owner's `claims_written` or `claims_refused`.
    Claim(Claim),
    /// Send a waiter the ending of its job.
    Reply(WaiterId, Arc<submission::Ending>),
    /// Record the times of a job that ended, or of a task that an agent answered or refused, for
    /// the trace that it belongs to.
    Record(timing::Timing),
}

/// A claim states that the owner has accepted the submission with this key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The job's key, with its client account as a prefix.
    pub key: id::JobKey,
    /// Digest of the submission's body.
    pub digest: u64,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// True if no task may start before the claim is in the table.
    pub blocks_starts: bool,
    /// When the submission was accepted, in milliseconds since the Unix epoch, by the owner's
    /// clock.
    pub at_ms: u64,
}
