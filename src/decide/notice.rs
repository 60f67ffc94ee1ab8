//! The messages from an agent to the owner of its cell.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::code;
use crate::decide::ledger;
use crate::decide::order;
use crate::id;
use crate::task;

/// One message of an agent to its owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Notice {
    /// The first notice on a link: which incarnation the agent is and what it started.
    Welcome(Welcome),
    /// The hello or an order came from a superseded owner. Holds the newest epoch that the agent
    /// knows.
    Stale(id::Epoch),
    /// A task ended with this answer.
    Answer(Answer),
    /// The agent refused this start of a task and all earlier ones; none of them ran.
    Refused(order::Attempt, code::Code),
    /// The state of a task, as a reply to [`Resolve`](order::Order::Resolve), with the attempt that
    /// the owner asked about.
    Standing(order::Attempt, ledger::TaskState),
    /// Shows that the agent is alive. Sent when the state of the backend server changes, or when
    /// the agent has had no other message to send for a while.
    Heartbeat,
}

/// The agent's first notice.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Welcome {
    /// Distinguishes this process of the agent from earlier ones.
    pub incarnation: id::Incarnation,
    /// The agent's failure domain.
    pub failure_domain: CompactString,
    /// The agent's rack.
    pub rack: CompactString,
    /// All tasks of the cell of which the agent keeps a record, with their states.
    pub tasks: Vec<(task::Id, ledger::TaskState)>,
}

/// The load of an agent and what its backend server offers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Number of tasks that may run at a time; 0 while there is no backend server or it is leaving.
    pub slots: u32,
    /// Resources that the backend server offers to tasks.
    pub capacity: task::Needs,
    /// Number of tasks that run now.
    pub running: u32,
    /// True once the agent or its backend server is stopping.
    pub draining: bool,
}

/// The answer of one task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The task.
    pub id: task::Id,
    /// Its result, or the code with which it failed.
    pub outcome: task::Outcome,
    /// Microseconds for which it ran.
    pub ran_us: u64,
}
