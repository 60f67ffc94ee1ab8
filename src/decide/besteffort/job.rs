//! A best-effort job at its entry: what its caller asked for, its tasks, and how it ends.

use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::message::{JobId, Room, Run, RunNumber};
use crate::id;

/// Numbers the jobs of one life of an entry.
pub type JobNo = u64;

/// Tells the links of an entry to its agents apart.
pub type LinkNo = u64;

/// Most agents that an ending names, so that a line stays short.
const MAX_PLACES: usize = 32;

/// Urgency of work whose target can't be met any more; behind that of every class.
pub const LATE_PRIORITY: u32 = u32::MAX;

/// The order in which tasks wait: urgency of the class, then the latest start that meets the target.
pub type QueueKey = (u32, time::Duration, JobNo, id::TaskIndex);

/// What a caller asked for, with what the configuration says of its class.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job.
    pub job: JobId,
    /// The class of work.
    pub class: CompactString,
    /// The service whose backend servers run it.
    pub service: CompactString,
    /// What each task gets.
    pub input: CompactString,
    /// How many tasks, at least 1.
    pub tasks: u32,
    /// Room that a task takes.
    pub need: Room,
    /// How long a task is said to run; rough.
    pub declared_run_time: time::Duration,
    /// A label that a worker must have.
    pub required_label: Option<CompactString>,
    /// A label of the workers near the data.
    pub near_label: Option<CompactString>,
    /// Most tasks on one worker.
    pub max_per_worker: Option<u32>,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Urgency of the class; 0 comes first.
    pub priority: u32,
    /// The target, as a multiple of the run time.
    pub stretch: f64,
    /// What is added to that multiple.
    pub slack: time::Duration,
    /// When its caller stops waiting.
    pub deadline: time::Duration,
    /// By how much its caller's wait falls short of what callers of the class wait; see
    /// [`earlier_wait`](crate::decide::besteffort::earlier_wait).
    pub wait_shortfall: time::Duration,
    /// Larger than the number of any run that an earlier submission of this job may have had.
    pub first_run_number: RunNumber,
}

/// How a job ended, for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All tasks were done.
    Complete,
    /// A task failed as often as its class allows.
    Failed,
    /// Time ran out after part of it may have run.
    GaveUp,
    /// Nothing of it ran; when to come back.
    NotRun(NotRunReason, time::Duration),
}

/// Why nothing of a job ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// No worker of its service takes work.
    NoWorker,
    /// No worker is large enough, or has the label that it needs.
    NoFit,
    /// No worker is large enough now; some are when they haven't shrunk.
    Shrunk,
    /// Its target can't be met behind what waits already.
    Overloaded,
    /// This entry is stopping and it couldn't end in time.
    Stopping,
}

impl NotRunReason {
    /// The reason as logs and metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::NoWorker => "no_worker",
            NotRunReason::NoFit => "no_fit",
            NotRunReason::Shrunk => "shrunk",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::Stopping => "stopping",
        }
    }
}

impl Outcome {
    /// The outcome as logs and metrics name it.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::GaveUp => "gave_up",
            Outcome::NotRun(..) => "not_run",
        }
    }
}

/// Where one task stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// It waits for room.
    Waiting,
    /// It was sent to an agent.
    Placed(PlacedRun),
    /// It is done.
    Done,
}

/// A run that an agent has.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The agent.
    pub agent: id::AgentId,
    /// The run.
    pub number: RunNumber,
    /// Hundredths done, as last heard.
    pub percent: u8,
    /// When that changed last.
    pub progressed_at: time::Duration,
    /// Whether it is being stopped to go elsewhere.
    pub is_moving: bool,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub state: State,
    /// Runs that failed.
    pub failed_runs: u32,
    /// The agent that had it last; the next run prefers another.
    pub last_agent: Option<id::AgentId>,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was asked for.
    pub submission: Submission,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// When it came.
    pub arrived_at: time::Duration,
    /// How long a task is thought to run on a sound worker.
    pub estimate: time::Duration,
    /// Urgency of its class, or [`LATE_PRIORITY`].
    pub priority: u32,
    /// Latest time for a task to start if the target is to be met, or the answer to come in time if it
    /// can't be.
    pub latest_start: time::Duration,
    /// The number of the next run.
    pub next_run_number: RunNumber,
    /// Starts sent, over all tasks.
    pub starts_sent: u32,
    /// Tasks that aren't done.
    pub unfinished_tasks: u32,
    /// Tasks that were moved off a slow or failing worker.
    pub moved_runs: u32,
    /// When the first task was sent.
    pub first_start_at: Option<time::Duration>,
}

impl Job {
    /// Where a task of the job stands in the queue.
    pub fn queue_key(&self, no: JobNo, task: id::TaskIndex) -> QueueKey {
        (self.priority, self.latest_start, no, task)
    }

    /// A run of one of its tasks.
    pub fn run(&self, task: id::TaskIndex, number: u64) -> Run {
        Run {
            job: self.submission.job.clone(),
            task,
            number,
        }
    }

    /// Its runs that were sent to an agent and haven't ended, and where they are.
    pub fn placed_runs(&self) -> impl Iterator<Item = (Run, &PlacedRun)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, task)| match &task.state {
            State::Placed(placed) => {
                let run = self.run(index as id::TaskIndex, placed.number);
                Some((run, placed))
            }
            State::Waiting | State::Done => None,
        })
    }

    /// The agents that have or had the tasks, in the order of the tasks, for the log.
    pub fn agent_names(&self) -> CompactString {
        let names = self.tasks.iter().map(|task| match &task.state {
            State::Placed(placed) => placed.agent.as_str(),
            State::Waiting | State::Done => task.last_agent.as_deref().unwrap_or("-"),
        });
        let names: Vec<&str> = names.take(MAX_PLACES).collect();
        names.join(",").into()
    }

    /// Whether the latest time for a start has passed before the first one. What would be late holds
    /// up what needn't be; its caller does better to come back.
    pub fn is_hopeless(&self, now: time::Duration) -> bool {
        self.starts_sent == 0 && now > self.latest_start
    }

    /// Whether its target had passed when it came.
    pub fn is_late(&self) -> bool {
        self.priority == LATE_PRIORITY
    }

    /// The room of all its tasks, in thousandths of a core.
    pub fn total_room(&self) -> f64 {
        self.submission.need.cpu as f64 * f64::from(self.submission.tasks)
    }

    /// Opens a job whose tasks all wait, of a caller that has waited for so long before.
    pub fn open(
        submission: Submission,
        now: time::Duration,
        estimate: time::Duration,
        waited: time::Duration,
    ) -> Job {
        let task = Task {
            state: State::Waiting,
            failed_runs: 0,
            last_agent: None,
        };
        let allowed = estimate.mul_f64((submission.stretch - 1.0).max(0.0)) + submission.slack;
        let (priority, latest_start) = if waited <= allowed {
            (submission.priority, now + allowed - waited)
        } else {
            (LATE_PRIORITY, submission.deadline.saturating_sub(estimate))
        };
        Job {
            tasks: vec![task; submission.tasks as usize],
            arrived_at: now,
            estimate,
            priority,
            latest_start,
            next_run_number: submission.first_run_number,
            starts_sent: 0,
            unfinished_tasks: submission.tasks,
            moved_runs: 0,
            first_start_at: None,
            submission,
        }
    }
}
