//! Messages between entries and agents about best-effort jobs; each is one line of JSON on the wire.
//!
//! The entry opens the connection. Each side gathers what is due at the moment into one message, and sends at
//! least one per heartbeat. A message from the entry repeats the agent's clock as last received, so that the
//! agent has an upper bound on the message's age, however long the network delayed it.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::decide::besteffort::{evacuation, told};
use crate::id;

/// Longest message that is read, in bytes: a hundred starts with inputs of four kilobytes each.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The id that the caller chose for a job.
pub type JobId = CompactString;

/// Numbers the starts of one task over all entries; a later start has a larger number.
pub type RunNumber = u64;

/// Identifies one run of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub task: id::TaskIndex,
    /// Tells the runs of the task apart.
    pub number: RunNumber,
}

impl Crash {
    /// Returns all tasks that may have caused the crash.
    pub fn suspects(&self) -> impl Iterator<Item = &TaskName> {
        let known = self.proven.iter().chain(&self.likely);
        known.chain(&self.possible)
    }
}

impl Run {
    /// Returns the name of the task that this is a run of.
    pub fn task_name(&self) -> TaskName {
        TaskName {
            job: self.job.clone(),
            task: self.task,
        }
    }
}

/// Identifies one task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskName {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub task: id::TaskIndex,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.task)
    }
}

/// Reports that a backend server has crashed, and which tasks may have caused it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Number of the backend server's incarnation that crashed. This incarnation of the agent counts the
    /// incarnations of its backend server.
    pub server: u64,
    /// Suspects that were on probation on the server while nothing else began. Where there are any, the other
    /// two lists are empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub proven: Vec<TaskName>,
    /// Tasks that had just begun on the server, or may have begun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub likely: Vec<TaskName>,
    /// Tasks that had run on the server for a while. All three lists are empty where the backend server
    /// turned out to be alive.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub possible: Vec<TaskName>,
}

/// Room on a backend server. Signed, unlike [`Needs`](crate::task::Needs): the remaining room is negative
/// where a backend server has shrunk below what its runs take, or where several entries have counted on the
/// same room.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Processor time, in thousandths of a core.
    pub cpu: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

impl Room {
    /// Whether every part is zero.
    pub fn is_empty(&self) -> bool {
        *self == Room::default()
    }

    /// Whether `need` fits into this room.
    pub fn fits(&self, need: &Room) -> bool {
        need.cpu <= self.cpu
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Returns the larger value of each part.
    pub fn max(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns this room less `need`; parts may become negative.
    pub fn minus(&self, need: &Room) -> Room {
        Room {
            cpu: self.cpu - need.cpu,
            memory_mb: self.memory_mb - need.memory_mb,
            accelerators: self.accelerators - need.accelerators,
        }
    }

    /// Returns this room with `need` added.
    pub fn plus(&self, need: &Room) -> Room {
        Room {
            cpu: self.cpu + need.cpu,
            memory_mb: self.memory_mb + need.memory_mb,
            accelerators: self.accelerators + need.accelerators,
        }
    }
}

/// Introduces an agent, with the entry's runs that it still has; sent in the first message of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The agent's id.
    pub agent: id::AgentId,
    /// Tells this incarnation of the agent from earlier ones.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// The failure domain of the agent and its backend server.
    pub failure_domain: CompactString,
    /// Runs of this entry that wait, run or are being stopped. A run that the entry started on an earlier
    /// link and that is neither here nor in `ended` never begins any more.
    pub runs: Vec<Run>,
    /// The latest ends of this entry's runs, since their reports may have been lost on an earlier link.
    pub ended: Vec<RunEnd>,
}

/// One incarnation of a backend server.
///
/// The next incarnation may have the same id, so that the id alone doesn't identify an incarnation. Whatever
/// is remembered of a backend server, and every number or clock that it sends, belongs to one incarnation.
/// Two incarnations can be compared for equality, but not ordered: the time of day that they read at their
/// start may have been set back in between.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerIncarnation {
    /// The backend server's id; empty where none has announced itself.
    #[serde(rename = "instance")]
    pub id: CompactString,
    /// When this incarnation began, in milliseconds since 1970 by its own time of day; none where it doesn't
    /// say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
}

impl ServerIncarnation {
    /// Returns the incarnation of a backend server that doesn't say when it began, and so is identified by
    /// its id alone.
    pub fn with_id(id: impl Into<CompactString>) -> ServerIncarnation {
        ServerIncarnation {
            id: id.into(),
            born_ms: None,
        }
    }
}

/// The announcement that a backend server repeats about itself.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The backend server's present state.
    pub backend: Backend,
    /// Counts the heartbeats of one incarnation, so that a heartbeat that arrives late can be recognised.
    pub number: u64,
}

/// The backend server beside an agent, as it announced itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// The incarnation that announced itself.
    #[serde(flatten)]
    pub incarnation: ServerIncarnation,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Its kind, its rack and whatever else tasks may require.
    pub labels: Vec<CompactString>,
    /// Its room when idle.
    pub size: Room,
    /// Whether it accepts new work.
    pub takes_work: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The run failed, through a fault of its own or of the backend server.
    Failed,
    /// The run was stopped or lost. It has ended, and its task may be started again.
    Gone,
    /// The run never began: there was no room in time, or the start arrived too late.
    NotRun,
    /// The run never began: the backend server rejected it because it is unwell.
    Rejected,
}

impl RunOutcome {
    /// Returns the outcome's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Gone => "gone",
            RunOutcome::NotRun => "not_run",
            RunOutcome::Rejected => "rejected",
        }
    }
}

/// Reports the end of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunEnd {
    /// The run that ended.
    pub run: Run,
    /// How it ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// How long it ran, in milliseconds.
    #[serde(default)]
    pub took_ms: u64,
}

/// Reports the progress of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Progress {
    /// The run that makes the progress.
    pub run: Run,
    /// The part of the work that is done, in percent.
    pub percent: u8,
    /// How long the run has been going, in milliseconds.
    pub age_ms: u64,
}

/// A message from an agent to an entry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AgentMessage {
    /// The agent's clock, in milliseconds since its machine started, suspensions included.
    pub now_ms: u64,
    /// Number of starts that the agent has read on this link.
    #[serde(rename = "taken")]
    pub starts_read: u64,
    /// Room that no run uses or waits for, and that isn't reserved for another entry.
    pub free: Room,
    /// The part of `free` that is reserved for this entry for a moment. The entry's next message either uses
    /// it or gives it back.
    #[serde(default, skip_serializing_if = "Room::is_empty")]
    pub lent: Room,
    /// Number of entries that compete for the room: this one, and the others that have work waiting.
    #[serde(rename = "sharers")]
    pub competing_entries: u32,
    /// Introduces the agent, in the first message of a link only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hello: Option<Hello>,
    /// The backend server's state, where it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<Backend>,
    /// Crashes of the backend server, whichever entry's runs it had.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// The entry's runs that have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<RunEnd>,
    /// The progress of the entry's runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
    /// What waits at other entries and what becomes free here; at most once in 50 ms on a link, and none while
    /// nothing waits or runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<told::Demand>,
    /// The speed of the backend server, where that has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<told::Pace>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

fn is_none(number: &u64) -> bool {
    *number == 0
}

/// An order to start a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Start {
    /// The run to start.
    pub run: Run,
    /// The task's input, passed on to the backend server.
    pub input: CompactString,
    /// Room that the run takes.
    pub need: Room,
    /// Urgency of its class; where several runs wait, 0 goes first.
    pub priority: u32,
    /// Within a priority the smaller goes first: the latest start that still meets the target, in
    /// milliseconds on the agent's clock.
    pub urgency_ms: u64,
    /// When the run must have ended, in milliseconds on the agent's clock.
    pub deadline_ms: u64,
    /// Longest time that the run may wait at the agent for room, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Suspicion points of the task as the cause of crashes; see
    /// [`crashes`](crate::decide::besteffort::crashes).
    #[serde(default, skip_serializing_if = "is_zero")]
    pub suspicion: u32,
    /// Expected run time on a backend server of median speed, in milliseconds; 0 where it isn't told.
    #[serde(default, skip_serializing_if = "is_none")]
    pub estimate_ms: u64,
}

/// The work that waits at an entry for room: its most urgent task, and the number of tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingWork {
    /// Urgency of the task's class; 0 goes first.
    pub priority: u32,
    /// Within a priority the smaller goes first: the latest start that still meets the target, in
    /// milliseconds on the agent's clock.
    pub urgency_ms: u64,
    /// Room that the task takes.
    pub need: Room,
    /// Number of tasks that wait, this one included.
    pub tasks: u32,
    /// Whether the task goes first because it's the turn of its class.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub overdue: bool,
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EntryMessage {
    /// The agent's clock as last received on this link, in milliseconds.
    pub seen_ms: u64,
    /// The incarnation of the entry that sends, in the first message of a link only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryIncarnation>,
    /// Counts the links that the entry has opened, in the first message of a link only. Of two links of one
    /// entry the agent uses the later one.
    #[serde(default, skip_serializing_if = "is_none")]
    pub link: u64,
    /// The work that waits at the entry for room, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "wants")]
    pub waiting: Option<WaitingWork>,
    /// What waits at the entry, by class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<told::Statement>,
    /// Whether the agent's failure domain is evacuated. It is sent in the first message after the agent has
    /// introduced itself and on each change, and applies already to the starts of the same message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation: Option<evacuation::DomainState>,
    /// Runs to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Run>,
}

/// One incarnation of an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryIncarnation {
    /// The entry's id.
    pub entry: id::EntryId,
    /// Tells this incarnation of the entry from earlier ones.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
}
