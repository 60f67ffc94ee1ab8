//! Between the owner of a cell and an agent: typed messages over a [`link`](crate::wire::link).
//!
//! The hello is the fence: an agent that has seen an epoch refuses every start of a smaller one.

use std::time;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::decide::notice;
use crate::decide::order;
use crate::id;
use crate::task;

/// Silence after which the agent sends a heartbeat; two fit into [`SILENCE`].
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(700);

/// How often an agent looks whether something is due.
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Silence after which the other side takes the link for dead.
pub const SILENCE: time::Duration = time::Duration::from_millis(1_600);

/// The owner's hello.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The owner.
    pub entry: id::EntryId,
    /// The cell.
    pub cell: id::Cell,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The owner's number for this link.
    pub link: id::Link,
}

/// A message of the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Down {
    /// The cell.
    pub cell: id::Cell,
    /// The epoch under which the owner speaks.
    pub epoch: id::Epoch,
    /// The life of the agent that the owner means.
    pub incarnation: id::Incarnation,
    /// The link that carries the message.
    pub link: id::Link,
    /// What it asks for.
    pub orders: Vec<order::Order>,
}

/// A message of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Up {
    /// What it has to say.
    pub notices: Vec<notice::Notice>,
    /// Its load when the message left; rides on every message.
    pub load: notice::Load,
    /// The link that carries the message.
    pub link: id::Link,
    /// Messages of the owner that came on this link so far; see [`delivery`](crate::decide::delivery).
    pub received: u64,
}

/// The kind under which a message of the owner is counted.
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

/// The kind under which a message of the agent is counted.
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

/// Bytes that an item takes beside what varies, about.
const ITEM: usize = 300;

/// Bytes that a task takes in a list of tasks, about.
const LISTED: usize = 120;

/// About how many bytes an order takes on the wire.
pub fn estimate_order_bytes(order: &order::Order) -> usize {
    match order {
        order::Order::Start(start) => ITEM + start.input.get().len(),
        order::Order::Resolve(ids) => ids.len() * LISTED,
        _ => ITEM,
    }
}

/// About how many bytes a notice takes on the wire.
pub fn estimate_notice_bytes(notice: &notice::Notice) -> usize {
    match notice {
        notice::Notice::Answer(answer) => match &answer.outcome {
            task::Outcome::Done(value) => ITEM + value.get().len(),
            task::Outcome::Failed(_) => ITEM,
        },
        notice::Notice::Welcome(welcome) => ITEM + welcome.tasks.len() * LISTED,
        _ => ITEM,
    }
}
