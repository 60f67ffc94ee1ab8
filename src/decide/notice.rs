//! What an agent tells the owner of its cell.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::code;
use crate::decide::ledger;
use crate::decide::order;
use crate::id;
use crate::task;

/// One thing that an agent tells its owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// The first notice of a link: who the agent is and what it started.
    Welcome(Welcome),
    /// The hello or an order came from an owner of the past.
    Stale(id::Epoch),
    /// A task ended.
    Answer(Answer),
    /// The starts of a task up to this one were refused; nothing ran.
    Refused(order::Attempt, code::Code),
    /// How a task stands that the owner asked for, and up to which start that holds.
    Standing(order::Attempt, ledger::TaskState),
    /// The state of the backend server changed, or nothing else was said for a while.
    Heartbeat,
}

/// The agent's first notice.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Welcome {
    /// The agent's life.
    pub incarnation: id::Incarnation,
    /// Where it stands.
    pub failure_domain: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// All tasks of the cell that it remembers.
    pub tasks: Vec<(task::Id, ledger::TaskState)>,
}

/// The load of an agent and what its backend server offers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Tasks that run at a time; 0 while no backend server is there or it leaves.
    pub slots: u32,
    /// What the backend server has for tasks.
    pub capacity: task::Needs,
    /// Tasks that run now.
    pub running: u32,
    /// True once the agent or its backend server stops.
    pub draining: bool,
}

/// The answer of one task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The task.
    pub id: task::Id,
    /// How it ended.
    pub outcome: task::Outcome,
    /// Microseconds that it ran.
    pub ran_us: u64,
}
