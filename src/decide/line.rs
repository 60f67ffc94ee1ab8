//! The waiting jobs of one client account whose tasks take alike of a worker, in order.

use std::collections::{BTreeMap, HashMap};
use std::time;

use crate::decide::waiting::WaitingTask;
use crate::id;

/// Wait, as a share of a job's longest task, after which the job counts as due.
const PATIENCE: f64 = 0.25;

/// By what the jobs of a line are ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOrder {
    /// By when the next task must start for the whole job to stay near its ideal time.
    Slack,
    /// By deadline and the work that is left, so that among jobs of one target the one that can end
    /// soonest goes first and work in progress isn't spread over many.
    Deadline,
    /// By arrival.
    Arrival,
}

/// Where a job stands: a moment, and its arrival to tell equals apart.
type Place = (time::Instant, u64);

#[derive(Clone, Debug)]
struct Job {
    place: Place,
    arrival: u64,
    arrived: time::Instant,
    deadline: time::Instant,
    longest: time::Duration,
    /// Work of the waiting tasks.
    left: time::Duration,
    /// Shortest first, so that the longest is taken from the end.
    tasks: Vec<WaitingTask>,
}

impl Job {
    fn rank(&self, rule: JobOrder) -> Place {
        let next = self.tasks.last().map_or(self.longest, |task| task.estimate);
        match rule {
            JobOrder::Slack => {
                let slack = self.longest.mul_f64(1.0 + PATIENCE).saturating_sub(next);
                let due = (self.arrived + slack).min(self.deadline);
                (due, self.arrival)
            }
            JobOrder::Deadline => {
                // Bounded, so that no declared run time puts a job off for ever.
                let target = self.deadline.saturating_duration_since(self.arrived);
                (self.deadline + self.left.min(target), self.arrival)
            }
            JobOrder::Arrival => (self.arrived, self.arrival),
        }
    }
}

/// The line.
#[derive(Clone, Debug)]
pub struct Line {
    rule: JobOrder,
    order: BTreeMap<Place, id::JobKey>,
    jobs: HashMap<id::JobKey, Job>,
    arrivals: u64,
}

impl Line {
    /// Opens an empty line.
    pub fn open(rule: JobOrder) -> Line {
        Line {
            rule,
            order: BTreeMap::new(),
            jobs: HashMap::new(),
            arrivals: 0,
        }
    }

    /// Adds tasks of a job; a job that waits already gets them added.
    pub fn push(
        &mut self,
        now: time::Instant,
        key: &id::JobKey,
        deadline: time::Instant,
        tasks: Vec<WaitingTask>,
    ) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let job = self.jobs.entry(key.clone()).or_insert_with(|| Job {
            place: (now, arrival),
            arrival,
            arrived: now,
            deadline,
            longest: time::Duration::ZERO,
            left: time::Duration::ZERO,
            tasks: Vec::new(),
        });
        self.order.remove(&job.place);
        job.left += tasks
            .iter()
            .map(|task| task.estimate)
            .sum::<time::Duration>();
        job.tasks.extend(tasks);
        job.tasks.sort_by_key(|task| task.estimate);
        let longest = job.tasks.last().map(|task| task.estimate);
        job.longest = job.longest.max(longest.unwrap_or_default());
        job.place = job.rank(self.rule);
        self.order.insert(job.place, key.clone());
    }

    /// Takes the next task, and tells its job's deadline.
    pub fn pop(&mut self) -> Option<(time::Instant, WaitingTask)> {
        let (place, key) = self.order.pop_first()?;
        let job = self.jobs.get_mut(&key).expect("a listed job has an entry");
        let task = job.tasks.pop().expect("a listed job has tasks");
        let deadline = job.deadline;
        debug_assert_eq!(place, job.place, "a job is listed where it stands");
        job.left = job.left.saturating_sub(task.estimate);
        if job.tasks.is_empty() {
            self.jobs.remove(&key);
        } else {
            job.place = job.rank(self.rule);
            self.order.insert(job.place, key);
        }
        Some((deadline, task))
    }

    /// Takes a job's tasks away, in one step however many they are.
    pub fn remove(&mut self, key: &id::JobKey) -> Option<(time::Instant, Vec<WaitingTask>)> {
        let job = self.jobs.remove(key)?;
        self.order.remove(&job.place);
        Some((job.deadline, job.tasks))
    }

    /// Changes by what the jobs are ordered.
    pub fn set_job_order(&mut self, rule: JobOrder) {
        if self.rule == rule {
            return;
        }
        self.rule = rule;
        self.order.clear();
        for (key, job) in &mut self.jobs {
            job.place = job.rank(rule);
            self.order.insert(job.place, key.clone());
        }
    }

    /// The moment by which the first job is ordered.
    pub fn first_due(&self) -> Option<time::Instant> {
        self.order.first_key_value().map(|((due, _), _)| *due)
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
