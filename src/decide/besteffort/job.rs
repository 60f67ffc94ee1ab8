//! A best-effort job at its entry: the submission, the state of its tasks, and the job's outcome.

use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::message::{JobId, Room, Run, RunNumber};
use crate::id;

/// Numbers the jobs of one incarnation of an entry.
pub type JobNo = u64;

/// Numbers the links of an entry to its agents.
pub type LinkNo = u64;

/// Most agents that the log line of an answered job names, so that the line stays short.
const MAX_LOGGED_AGENTS: usize = 32;

/// Memory of a task in its job, in the queue and in the messages about it, in bytes, at most.
const TASK_BYTES: usize = 512;

/// Priority of work whose target can't be met any more; it goes behind every class.
pub const LATE_PRIORITY: u32 = u32::MAX;

/// Orders the waiting tasks: by priority, then the latest start that meets the target, the job and the
/// task's index.
pub type QueueKey = (u32, time::Duration, JobNo, id::TaskIndex);

/// A job as its caller asked for it, with what the configuration says of its class.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The id that the caller chose.
    pub job: JobId,
    /// The class of work.
    pub class: CompactString,
    /// The service whose backend servers run the job.
    pub service: CompactString,
    /// The input that each task gets.
    pub input: CompactString,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Room that each task takes.
    pub need: Room,
    /// The caller's rough statement of how long a task runs.
    pub declared_run_time: time::Duration,
    /// A label that the backend server must have.
    pub required_label: Option<CompactString>,
    /// The label of the backend servers near the job's data.
    pub near_label: Option<CompactString>,
    /// Most tasks of the job that may be on one backend server at a time.
    pub max_per_worker: Option<u32>,
    /// Number of failed runs of one task after which the job has failed.
    pub max_attempts: u32,
    /// Urgency of the class; 0 goes first.
    pub priority: u32,
    /// The target for the time until the answer: this multiple of the run time, plus `slack`.
    pub stretch: f64,
    /// The constant part of the target; see `stretch`.
    pub slack: time::Duration,
    /// When the caller stops waiting.
    pub deadline: time::Duration,
    /// By how much the caller waits shorter than callers of the class do; see
    /// [`earlier_wait`](crate::decide::besteffort::earlier_wait).
    pub wait_shortfall: time::Duration,
    /// Larger than the number of any run that an earlier submission of this job may have had.
    pub first_run_number: RunNumber,
}

impl Submission {
    /// Returns the memory that the open job takes, roughly, in bytes.
    pub fn memory(&self) -> usize {
        let labels = [&self.required_label, &self.near_label];
        let labels: usize = labels.into_iter().flatten().map(|label| label.len()).sum();
        self.input.len() + labels + self.tasks as usize * TASK_BYTES
    }
}

/// The outcome of a job, as its caller learns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All tasks are done.
    Complete,
    /// A task failed as often as its class allows.
    Failed,
    /// Time ran out after some of the job may have run.
    GaveUp,
    /// Nothing of the job ran; the time is when the caller may submit it again.
    NotRun(NotRunReason, time::Duration),
}

/// Why nothing of a job ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// No backend server of its service accepts work.
    NoWorker,
    /// No backend server is large enough or has the label that the job requires.
    NoFit,
    /// No backend server is large enough now, though some are at their full size.
    Shrunk,
    /// The target can't be met behind the work that waits already.
    Overloaded,
    /// The entry is stopping, and the job couldn't end in time.
    Stopping,
}

impl NotRunReason {
    /// Returns the reason's name in logs and metrics.
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
    /// Returns the outcome's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Failed => "failed",
            Outcome::GaveUp => "gave_up",
            Outcome::NotRun(..) => "not_run",
        }
    }
}

/// The state of one task.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// The task waits for room.
    Waiting,
    /// A run of the task was sent to an agent.
    Placed(PlacedRun),
    /// The task is done.
    Done,
}

/// A run that was sent to an agent and hasn't ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The agent that has the run.
    pub agent: id::AgentId,
    /// The run's number.
    pub number: RunNumber,
    /// The part of the work that is done, in percent, as last reported.
    pub percent: u8,
    /// When `percent` changed last.
    pub progressed_at: time::Duration,
    /// Whether the run is being stopped so that the task can start elsewhere.
    pub is_moving: bool,
}

fn allowed_wait(submission: &Submission, estimate: time::Duration) -> time::Duration {
    estimate.mul_f64((submission.stretch - 1.0).max(0.0)) + submission.slack
}

/// One task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Whether the task waits, was placed or is done.
    pub state: State,
    /// Number of its runs that failed.
    pub failed_runs: u32,
    /// The agent that had its last run; the next run prefers another one.
    pub last_agent: Option<id::AgentId>,
}

/// A job that hasn't been answered, with the state of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the caller asked for.
    pub submission: Submission,
    /// The tasks, by their index.
    pub tasks: Vec<Task>,
    /// When the job arrived.
    pub arrived_at: time::Duration,
    /// How long a task is expected to run on a sound backend server.
    pub estimate: time::Duration,
    /// Urgency of its class, or [`LATE_PRIORITY`].
    pub priority: u32,
    /// The latest start of a task that still meets the target. Where the target can't be met any more, the
    /// latest start that still lets the answer arrive before the deadline.
    pub latest_start: time::Duration,
    /// The number that the next run of any of the tasks gets.
    pub next_run_number: RunNumber,
    /// Number of starts sent, over all tasks.
    pub starts_sent: u32,
    /// Number of starts that an agent returned without having begun them; counted only with the feature
    /// `demand`.
    pub starts_returned: u32,
    /// The wait that was forecast when the job was accepted; none where the earlier forecast applied.
    pub forecast: Option<time::Duration>,
    /// Number of tasks that aren't done.
    pub unfinished_tasks: u32,
    /// Number of runs that were moved off a slow or stalled backend server.
    pub moved_runs: u32,
    /// When the first task was sent to an agent.
    pub first_start_at: Option<time::Duration>,
}

impl Job {
    /// Returns the position of a task of the job in the queue.
    pub fn queue_key(&self, no: JobNo, task: id::TaskIndex) -> QueueKey {
        (self.priority, self.latest_start, no, task)
    }

    /// Returns a run of one of the job's tasks.
    pub fn run(&self, task: id::TaskIndex, number: u64) -> Run {
        Run {
            job: self.submission.job.clone(),
            task,
            number,
        }
    }

    /// Returns the runs that were sent to an agent and haven't ended, with the agents that have them.
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

    /// Returns the agents that have or had the tasks, in the order of the tasks, for the log.
    pub fn agent_names(&self) -> CompactString {
        let names = self.tasks.iter().map(|task| match &task.state {
            State::Placed(placed) => placed.agent.as_str(),
            State::Waiting | State::Done => task.last_agent.as_deref().unwrap_or("-"),
        });
        let names: Vec<&str> = names.take(MAX_LOGGED_AGENTS).collect();
        names.join(",").into()
    }

    /// Whether the latest start has passed before any task has begun to run. Without the feature `demand` the job is
    /// refused then: late, it would delay others that can still be in time. With it, a job in time becomes late work,
    /// and late work is refused.
    pub fn is_past_latest_start(&self, now: time::Duration) -> bool {
        self.has_run_nothing() && now > self.latest_start
    }

    /// Whether it is certain that no task has begun to run.
    pub fn has_run_nothing(&self) -> bool {
        self.starts_sent == self.starts_returned
    }

    /// Returns how long a new job of this kind may wait until its last task starts, to meet its target.
    pub fn allowed_wait(&self) -> time::Duration {
        allowed_wait(&self.submission, self.estimate)
    }

    /// Makes the job late work, which goes behind all other. None of its tasks may be in the queue.
    pub fn become_late(&mut self) {
        self.priority = LATE_PRIORITY;
        self.latest_start = self.submission.deadline.saturating_sub(self.estimate);
    }

    /// Whether the target can't be met any more, on arrival or since the job became late work.
    pub fn is_late(&self) -> bool {
        self.priority == LATE_PRIORITY
    }

    /// Returns the room of all its tasks, in thousandths of a core.
    pub fn total_room(&self) -> f64 {
        self.submission.need.cpu as f64 * f64::from(self.submission.tasks)
    }

    /// Opens a job whose tasks all wait; its caller has already waited for `waited` on earlier submissions.
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
        let allowed = allowed_wait(&submission, estimate);
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
            starts_returned: 0,
            forecast: None,
            unfinished_tasks: submission.tasks,
            moved_runs: 0,
            first_start_at: None,
            submission,
        }
    }
}
