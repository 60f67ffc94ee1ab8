//! What is played, and what callers got of it.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagemill::decide::besteffort::job::Submission;
use lovagemill::decide::besteffort::message::{Room, Run};
use lovagemill::decide::besteffort::slots::Isolation;

/// Tasks that a worker has room for.
pub const PLACES: u64 = 10;

/// Kinds of work: tasks of a job, run time in milliseconds, share of all jobs.
pub const CLASSES: [(u32, u64, u32); 3] = [(8, 60, 24), (2, 200, 70), (4, 900, 6)];

/// Who hears of a place that comes free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claims {
    /// The entry that it is lent to, as shipped.
    Lent,
    /// Every entry with work waiting.
    Everyone,
}

/// Which agents an entry has links to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// All, from the start.
    Mesh,
    /// Those that it picks, as shipped.
    Picked,
    /// The same, and never more.
    Base,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub entries: usize,
    pub agents: usize,
    /// Work that comes, against what the workers can do.
    pub times_capacity: f64,
    /// Starts without an answer, in a hundred.
    pub unanswered: u32,
    pub claims: Claims,
    /// One job in so many of the first class has a task that crashes each backend server that starts it;
    /// none if 0.
    pub crashing: u64,
    /// Jobs in a hundred whose callers come again after a loss, too late for their targets.
    pub returning: u32,
    /// Whether they say that they wait shorter than others.
    pub says_so: bool,
    /// How tasks that crash backend servers are kept from others.
    pub isolation: Isolation,
    pub seconds: u64,
    pub links: Links,
    /// Failure domains; entries and agents are spread over them in turn.
    pub domains: usize,
    /// Agents in an entry's base; as shipped if 0.
    pub base: usize,
    /// Share of all jobs, in a hundred, that come to the first entry beside its own part.
    pub to_first: u32,
    /// Agents of the first failure domain are lost half a second after the first job.
    pub loses_domain: bool,
    /// How long a link takes to open, in milliseconds.
    pub opens_in: u64,
    /// Jobs in a hundred that only the last of the agents has the label for.
    pub labelled: u32,
}

impl Load {
    /// Whether a run crashes its backend server.
    pub fn crashes(&self, run: &Run) -> bool {
        run.task == 0 && self.has_crashing_task(&run.job)
    }

    /// Whether a task of a job does.
    pub fn has_crashing_task(&self, job: &str) -> bool {
        let (number, class) = job.split_at(job.len() - 1);
        let number = u64::from_str_radix(number, 16).expect("numbered by the play");
        self.crashing > 0 && class == "0" && number.is_multiple_of(self.crashing)
    }
}

/// The jobs of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Jobs {
    pub all: u64,
    /// Answered in time.
    pub good: u64,
    pub refused: u64,
}

impl Jobs {
    fn share(&self, jobs: u64) -> f64 {
        jobs as f64 / self.all.max(1) as f64
    }

    pub fn in_time(&self) -> f64 {
        self.share(self.good)
    }

    /// Share that was taken in and not answered in time.
    pub fn late(&self) -> f64 {
        self.share(self.all - self.good - self.refused)
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Seen {
    pub starts: u64,
    pub tasks_done: u64,
    /// By class; without those that have a task which crashes backend servers or whose callers come again.
    pub jobs: [Jobs; 3],
    /// Sound jobs that were shown as failed.
    pub sound_failed: u64,
    /// Backend servers that each task has crashed.
    pub crashed: BTreeMap<(String, u32), u32>,
    /// Jobs that came a second and more after a failure domain was lost.
    pub after_loss: Jobs,
    /// Links at the end, of all entries.
    pub links: u64,
    /// Lines, both ways.
    pub lines: u64,
    /// Time that places were at work on runs that were done, and all the time there was, in
    /// microseconds.
    pub worked: u64,
    pub room: u64,
}

impl Seen {
    pub fn starts_per_task(&self) -> f64 {
        self.starts as f64 / self.tasks_done as f64
    }

    pub fn goodput(&self) -> f64 {
        self.worked as f64 / self.room as f64
    }

    /// Most backend servers that one task has crashed.
    pub fn most_crashed(&self) -> u32 {
        self.crashed.values().copied().max().unwrap_or(0)
    }

    pub fn refused(&self) -> u64 {
        self.jobs.iter().map(|jobs| jobs.refused).sum()
    }
}

/// A job of a class, by its number.
pub fn ask(number: u64, class: usize, now: Duration) -> Submission {
    let (tasks, ms, _) = CLASSES[class];
    Submission {
        job: format!("{number:015x}{class}").into(),
        class: format!("class-{class}").into(),
        service: "svc".into(),
        input: "input".into(),
        tasks,
        need: Room {
            cpu: 1_000,
            memory_mb: 1,
            accelerators: 0,
        },
        declared_run_time: Duration::from_millis(ms),
        required_label: None,
        near_label: None,
        max_per_worker: None,
        max_attempts: 3,
        priority: class as u32,
        stretch: 1.6,
        slack: Duration::from_millis(60),
        deadline: now + Duration::from_millis(1_500 + 5 * ms),
        wait_shortfall: Duration::ZERO,
        first_run_number: number * 1_000,
    }
}
