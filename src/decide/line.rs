//! A line: the sorted queue of the waiting jobs of one client account whose tasks have the same
//! needs.

use std::collections::{BTreeMap, HashMap};
use std::time;

use crate::decide::waiting::WaitingTask;
use crate::id;

/// Share of the run time of a job's longest task by which the job may end later than if all its
/// tasks had started on arrival. This sets the time at which each task is due.
const ALLOWED_WAIT_SHARE: f64 = 0.25;

/// The criterion by which the jobs of a line are ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOrder {
    /// By the time at which the next task is due: the latest start with which the job can still end
    /// near its ideal time, its arrival plus the run time of its longest task. `ALLOWED_WAIT_SHARE`
    /// says how near. No task is due later than the job's deadline.
    Slack,
    /// By deadline plus remaining work. Among jobs with the same deadline the one that can end
    /// soonest goes first, so that few jobs are in progress at a time.
    Deadline,
    /// By time of arrival.
    Arrival,
}

/// The time by which a job is ordered, and its arrival number to order equal times.
type SortKey = (time::Instant, u64);

/// A job with waiting tasks in this line.
#[derive(Clone, Debug)]
struct Job {
    sort_key: SortKey,
    arrival: u64,
    arrived: time::Instant,
    deadline: time::Instant,
    /// Estimated run time of the longest task that was ever added.
    longest: time::Duration,
    /// Sum of the estimated run times of the waiting tasks.
    work: time::Duration,
    /// The waiting tasks, shortest first; the longest is taken from the end.
    tasks: Vec<WaitingTask>,
}

impl Job {
    fn compute_sort_key(&self, job_order: JobOrder) -> SortKey {
        let next = self.tasks.last().map_or(self.longest, |task| task.estimate);
        match job_order {
            JobOrder::Slack => {
                let slack = self
                    .longest
                    .mul_f64(1.0 + ALLOWED_WAIT_SHARE)
                    .saturating_sub(next);
                let due = (self.arrived + slack).min(self.deadline);
                (due, self.arrival)
            }
            JobOrder::Deadline => {
                // The work counts up to the target at most, so that a job with an excessive
                // declared run time isn't postponed without end.
                let target = self.deadline.saturating_duration_since(self.arrived);
                (self.deadline + self.work.min(target), self.arrival)
            }
            JobOrder::Arrival => (self.arrived, self.arrival),
        }
    }
}

/// The waiting jobs of one client account, in the order in which their tasks start.
#[derive(Clone, Debug)]
pub struct Line {
    job_order: JobOrder,
    sorted: BTreeMap<SortKey, id::JobKey>,
    jobs: HashMap<id::JobKey, Job>,
    arrivals: u64,
}

impl Line {
    /// Creates an empty line.
    pub fn open(job_order: JobOrder) -> Line {
        Line {
            job_order,
            sorted: BTreeMap::new(),
            jobs: HashMap::new(),
            arrivals: 0,
        }
    }

    /// Adds tasks to a job, and the job itself if none of its tasks waits here yet.
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
            sort_key: (now, arrival),
            arrival,
            arrived: now,
            deadline,
            longest: time::Duration::ZERO,
            work: time::Duration::ZERO,
            tasks: Vec::new(),
        });
        self.sorted.remove(&job.sort_key);
        job.work += tasks
            .iter()
            .map(|task| task.estimate)
            .sum::<time::Duration>();
        job.tasks.extend(tasks);
        job.tasks.sort_by_key(|task| task.estimate);
        let longest = job.tasks.last().map(|task| task.estimate);
        job.longest = job.longest.max(longest.unwrap_or_default());
        job.sort_key = job.compute_sort_key(self.job_order);
        self.sorted.insert(job.sort_key, key.clone());
    }

    /// Removes the next task and returns it with its job's deadline.
    pub fn pop(&mut self) -> Option<(time::Instant, WaitingTask)> {
        let (sort_key, key) = self.sorted.pop_first()?;
        let job = self.jobs.get_mut(&key).expect("a listed job has an entry");
        let task = job.tasks.pop().expect("a listed job has tasks");
        let deadline = job.deadline;
        debug_assert_eq!(sort_key, job.sort_key, "a job is listed under its sort key");
        job.work = job.work.saturating_sub(task.estimate);
        if job.tasks.is_empty() {
            self.jobs.remove(&key);
        } else {
            job.sort_key = job.compute_sort_key(self.job_order);
            self.sorted.insert(job.sort_key, key);
        }
        Some((deadline, task))
    }

    /// Removes a job. Returns its deadline and its waiting tasks. The cost doesn't grow with the
    /// number of tasks.
    pub fn remove(&mut self, key: &id::JobKey) -> Option<(time::Instant, Vec<WaitingTask>)> {
        let job = self.jobs.remove(key)?;
        self.sorted.remove(&job.sort_key);
        Some((job.deadline, job.tasks))
    }

    /// Sorts the jobs by another criterion from now on.
    pub fn set_job_order(&mut self, job_order: JobOrder) {
        if self.job_order == job_order {
            return;
        }
        self.job_order = job_order;
        self.sorted.clear();
        for (key, job) in &mut self.jobs {
            job.sort_key = job.compute_sort_key(job_order);
            self.sorted.insert(job.sort_key, key.clone());
        }
    }

    /// Returns the time by which the first job is ordered.
    pub fn first_due(&self) -> Option<time::Instant> {
        self.sorted.first_key_value().map(|((due, _), _)| *due)
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}
