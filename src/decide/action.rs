//! What a cell's owner wants done; the daemon does it, in order.

use std::sync::Arc;

use crate::decide::order;
use crate::decide::timing;
use crate::id;
use crate::submission;

/// Numbers someone who waits for a job's ending; the daemon knows who it is.
pub type WaiterId = u64;

/// One thing to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order to an agent.
    Order(id::AgentId, order::Order),
    /// Write a claim to the table, and report back with `claimed` or `claim_refused`.
    Claim(Claim),
    /// Tell a waiter how its job ended.
    Reply(WaiterId, Arc<submission::Ending>),
    /// Record where the time went of something that is over and belongs to a trace.
    Record(timing::Timing),
}

/// A claim: the submission with this key has been accepted by the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The scoped key.
    pub key: id::JobKey,
    /// Digest of the body.
    pub digest: u64,
    /// How many tasks it has.
    pub tasks: u32,
    /// True where nothing may start before the claim is in the table.
    pub blocks_starts: bool,
    /// When the submission was accepted, in milliseconds since the Unix epoch, by the owner's clock.
    pub at_ms: u64,
}
