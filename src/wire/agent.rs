//! The messages between the owner of a cell and an agent, which travel over a
//! [`link`](crate::wire::link).
//!
//! The epoch in the hello is a fencing token: an agent that has seen an epoch refuses every start
//! of a smaller one.

use std::time;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::decide::notice;
use crate::decide::order;
use crate::id;
use crate::task;

/// Time without a message after which the agent sends a heartbeat; two heartbeats fit into
/// [`SILENCE`].
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(700);

/// Interval at which an agent checks its timers, such as those of heartbeats.
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Time without a message from the agent, or without its confirmation of a message sent to it,
/// after which the owner treats the link as failed.
pub const SILENCE: time::Duration = time::Duration::from_millis(1_600);

/// The first message of a link, which the owner sends to the agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The entry that owns the cell.
    pub entry: id::EntryId,
    /// The cell that the link serves.
    pub cell: id::Cell,
    /// The epoch of the owner; a newer owner of the cell has a larger one.
    pub epoch: id::Epoch,
    /// The number that the owner gave this link; all later messages repeat it.
    pub link: id::Link,
}

/// A message from the owner to an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Down {
    /// The cell whose owner sends the message.
    pub cell: id::Cell,
    /// The epoch of the owner that sends the message.
    pub epoch: id::Epoch,
    /// The incarnation of the agent that the message is for.
    pub incarnation: id::Incarnation,
    /// The link that carries the message.
    pub link: id::Link,
    /// The orders that the agent is to carry out, in the order of sending.
    pub orders: Vec<order::Order>,
}

/// A message from an agent to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Up {
    /// The agent's notices to the owner, in the order of sending.
    pub notices: Vec<notice::Notice>,
    /// The agent's load when the message was sent; every message carries it.
    pub load: notice::Load,
    /// The link that carries the message.
    pub link: id::Link,
    /// Number of messages that the agent has received from the owner on this link; see
    /// [`delivery`](crate::decide::delivery).
    pub received: u64,
}

/// Returns the kind under which a message from the owner is counted: one that holds a start counts
/// as a start.
pub fn kind_down(orders: &[order::Order]) -> count::Kind {
    if orders
        .iter()
        .any(|order| matches!(order, order::Order::Start(_)))
    {
        count::Kind::Start
    } else {
        count::Kind::Control
    }
}

/// Returns the kind under which a message from the agent is counted: one that holds an answer
/// counts as an answer.
pub fn kind_up(notices: &[notice::Notice]) -> count::Kind {
    if notices
        .iter()
        .any(|n| matches!(n, notice::Notice::Answer(_)))
    {
        count::Kind::Answer
    } else {
        count::Kind::Control
    }
}

/// Approximate bytes of an order or notice without its input, answer or list of tasks.
const ITEM_BYTES: usize = 300;

/// Approximate bytes of one task in a list of tasks.
const LISTED_TASK_BYTES: usize = 120;

/// Returns the approximate size of an order on the wire, in bytes.
pub fn estimate_order_bytes(order: &order::Order) -> usize {
    match order {
        order::Order::Start(start) => ITEM_BYTES + start.input.get().len(),
        order::Order::Resolve(ids) => ids.len() * LISTED_TASK_BYTES,
        _ => ITEM_BYTES,
    }
}

/// Returns the approximate size of a notice on the wire, in bytes.
pub fn estimate_notice_bytes(notice: &notice::Notice) -> usize {
    match notice {
        notice::Notice::Answer(answer) => match &answer.outcome {
            task::Outcome::Done(value) => ITEM_BYTES + value.get().len(),
            task::Outcome::Failed(_) => ITEM_BYTES,
        },
        notice::Notice::Welcome(welcome) => ITEM_BYTES + welcome.tasks.len() * LISTED_TASK_BYTES,
        _ => ITEM_BYTES,
    }
}
