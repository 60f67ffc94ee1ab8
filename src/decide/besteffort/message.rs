//! What entries and agents say to each other about best-effort jobs; JSON lines on the wire.
//!
//! The entry connects. Each side sends one line for all that waits at the moment, at least one a
//! heartbeat. A line of the entry repeats the agent's clock as last heard, so that the agent can
//! tell how old it is, however long the network held it back.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::decide::besteffort::evacuation;
use crate::id;

/// Longest line that is read, in bytes: a hundred starts with inputs of four kilobytes each.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Names a job; chosen by its caller.
pub type JobId = CompactString;

/// Numbers the starts of one task over all entries; a later start has a larger number.
pub type RunNumber = u64;

/// Names one run of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Run {
    /// The job.
    pub job: JobId,
    /// The task inside the job, from 0.
    pub task: id::TaskIndex,
    /// Which run of the task.
    pub number: RunNumber,
}

impl Crash {
    /// All tasks that may have caused it.
    pub fn suspects(&self) -> impl Iterator<Item = &TaskName> {
        let known = self.proven.iter().chain(&self.likely);
        known.chain(&self.possible)
    }
}

impl Run {
    /// The task that it is a run of.
    pub fn task_name(&self) -> TaskName {
        TaskName {
            job: self.job.clone(),
            task: self.task,
        }
    }
}

/// Names one task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The task inside the job, from 0.
    pub task: id::TaskIndex,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.task)
    }
}

/// A backend server that has crashed, and what may have caused it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Which of the backend servers beside the agent, counted over the agent's life.
    pub server: u64,
    /// Suspects that were on probation there, when nothing else began; then no others are named.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub proven: Vec<TaskName>,
    /// Tasks that had just begun on it, or may have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub likely: Vec<TaskName>,
    /// Tasks that had run on it for a while. Neither these nor others are named where the backend server
    /// turned out to be alive.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub possible: Vec<TaskName>,
}

/// Room on a backend server. Signed, unlike [`Needs`](crate::task::Needs): what is left goes below nothing where a
/// backend server has shrunk under its runs, or several entries have counted on the same room.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Processor time, in thousandths of a core.
    pub cpu: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Accelerators.
    pub accelerators: i64,
}

impl Room {
    /// Whether there is none at all.
    pub fn is_empty(&self) -> bool {
        *self == Room::default()
    }

    /// Whether `need` fits.
    pub fn fits(&self, need: &Room) -> bool {
        need.cpu <= self.cpu
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// The larger of each.
    pub fn max(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// What is left without `need`.
    pub fn minus(&self, need: &Room) -> Room {
        Room {
            cpu: self.cpu - need.cpu,
            memory_mb: self.memory_mb - need.memory_mb,
            accelerators: self.accelerators - need.accelerators,
        }
    }

    /// What there is with `need` given back.
    pub fn plus(&self, need: &Room) -> Room {
        Room {
            cpu: self.cpu + need.cpu,
            memory_mb: self.memory_mb + need.memory_mb,
            accelerators: self.accelerators + need.accelerators,
        }
    }
}

/// Who an agent is, and what it still has of the entry's; the first line of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The agent.
    pub agent: id::AgentId,
    /// Which life of it.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// Runs of this entry that wait, run or are being stopped. What the entry started on an earlier
    /// link and isn't here nor in `ended` never runs.
    pub runs: Vec<Run>,
    /// Latest ends of this entry's runs; they may have been lost on an earlier link.
    pub ended: Vec<RunEnd>,
}

/// One life of a backend server.
///
/// The next life may go by the same id, so that the id alone names no life. Whatever is remembered of a
/// backend server, and every number that it counts or clock that it reads, belongs to one life. Lives are
/// the same or not, and never earlier or later: the time of day that they read at their start may have
/// been set back in between.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerIncarnation {
    /// What the backend server is called; empty where none has announced itself.
    #[serde(rename = "instance")]
    pub id: CompactString,
    /// When this life began, in milliseconds since 1970 by its own time of day; none where it doesn't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
}

impl ServerIncarnation {
    /// The life with an id of its own.
    pub fn with_id(id: impl Into<CompactString>) -> ServerIncarnation {
        ServerIncarnation {
            id: id.into(),
            born_ms: None,
        }
    }
}

/// What a backend server says of itself.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// What it is.
    pub backend: Backend,
    /// Counts the heartbeats of one life, so that a late one can be told.
    pub number: u64,
}

/// The backend server beside an agent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Which life of it.
    #[serde(flatten)]
    pub incarnation: ServerIncarnation,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Its kind, rack and whatever else tasks may ask for.
    pub labels: Vec<CompactString>,
    /// All of its room.
    pub size: Room,
    /// Whether it takes new work.
    pub takes_work: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It was done.
    Done,
    /// It failed, through its own fault or the backend server's.
    Failed,
    /// It was stopped or lost; it doesn't run any more and may be started again.
    Gone,
    /// It never began: there was no room in time, or the start came too late.
    NotRun,
    /// The backend server turned it away since it is unwell; it never began.
    Rejected,
}

impl RunOutcome {
    /// Its name in logs and metrics.
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

/// The end of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunEnd {
    /// The run.
    pub run: Run,
    /// How it ended.
    #[serde(rename = "how")]
    pub outcome: RunOutcome,
    /// For how long it ran, in milliseconds.
    #[serde(default)]
    pub took_ms: u64,
}

/// How far a run has come.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Progress {
    /// The run.
    pub run: Run,
    /// Hundredths of its work.
    pub percent: u8,
    /// For how long it has run, in milliseconds.
    pub age_ms: u64,
}

/// A line of an agent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AgentMessage {
    /// The agent's clock, in milliseconds since its machine started, suspensions included.
    pub now_ms: u64,
    /// Starts of this link that have been read.
    #[serde(rename = "taken")]
    pub starts_read: u64,
    /// Room that nobody uses or waits for, and that isn't kept for another entry.
    pub free: Room,
    /// The part of it that is kept for this entry for a moment. The entry's next line either uses it or
    /// gives it back.
    #[serde(default, skip_serializing_if = "Room::is_empty")]
    pub lent: Room,
    /// How many entries compete for the room: this one, and the others with work waiting.
    pub sharers: u32,
    /// Who speaks; on the first line only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hello: Option<Hello>,
    /// The backend server, where it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<Backend>,
    /// Crashes of the backend server, whoever's runs it had.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<Crash>,
    /// Runs that have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<RunEnd>,
    /// How far the entry's runs are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<Progress>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

fn is_none(link: &u64) -> bool {
    *link == 0
}

/// An order to start a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Start {
    /// The run.
    pub run: Run,
    /// What the backend server gets.
    pub input: CompactString,
    /// Room that it takes.
    pub need: Room,
    /// Urgency of its class; 0 goes first where several wait.
    pub priority: u32,
    /// Within a priority, smaller goes first: the latest start that meets the target.
    pub urgency_ms: u64,
    /// When it must have ended, on the agent's clock.
    pub deadline_ms: u64,
    /// Longest that it may wait at the agent for room.
    pub patience_ms: u64,
    /// How much speaks for its task as the cause of crashes; see
    /// [`crashes`](crate::decide::besteffort::crashes).
    #[serde(default, skip_serializing_if = "is_zero")]
    pub suspicion: u32,
}

/// Work that waits at an entry for room: its most urgent task, and how many tasks there are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitingWork {
    /// Urgency of its class; 0 goes first.
    pub priority: u32,
    /// Within a priority, smaller goes first: the latest start that meets the target, on the agent's
    /// clock.
    pub urgency_ms: u64,
    /// Room that it takes.
    pub need: Room,
    /// Tasks that wait, this one included.
    pub tasks: u32,
}

/// A line of an entry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EntryMessage {
    /// The agent's clock as last heard on this link.
    pub seen_ms: u64,
    /// Which entry speaks, and which life of it; on the first line only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryIncarnation>,
    /// Counts the links that the entry has opened; on the first line only. Of two links of one entry the later one
    /// holds.
    #[serde(default, skip_serializing_if = "is_none")]
    pub link: u64,
    /// What waits at the entry for room, if anything does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "wants")]
    pub waiting: Option<WaitingWork>,
    /// Whether the agent's failure domain is evacuated; on a link's first line after the agent has said
    /// who it is, and when it changes. It holds for the starts of the same line already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuation: Option<evacuation::DomainState>,
    /// Runs to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub starts: Vec<Start>,
    /// Runs to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<Run>,
}

/// One life of an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EntryIncarnation {
    /// The entry.
    pub entry: id::EntryId,
    /// Which life of it.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
}
