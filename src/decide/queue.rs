//! Who goes next: customers share slot time by what they have lately used, without weights.
//!
//! Each customer's used slot time fades with a time constant of [`FADE`]. The waiting customer that
//! has used least goes first, so the one that sends most gets all that the others leave and no
//! more. Inside a customer the job with the earliest deadline goes first, and inside a job the
//! longest task. `docs/design/queue.md` compares this with the baselines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::task;

/// Time constant with which used slot time fades.
pub const FADE: time::Duration = time::Duration::from_secs(5);

/// Growth of the scale, in units of [`FADE`], after which the books are scaled back.
const MAX_GROWTH: f64 = 100.0;

/// Jobs of one customer that are looked at for a task that fits into what is free.
const MAX_LOOKAHEAD: usize = 4;

/// How the next task is chosen; the baselines stay runnable beside the chosen policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Fair shares of used slot time.
    #[default]
    Fair,
    /// Baseline: one queue, first in first out.
    Fifo,
    /// Baseline: customers in turns.
    RoundRobin,
}

/// A task that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The task.
    pub id: task::Id,
    /// How long it is thought to run.
    pub estimate: time::Duration,
    /// What it takes of a worker.
    pub needs: task::Needs,
}

/// Where a job stands among its customer's: by deadline (none under the baselines), then arrival.
type Place = (Option<time::Instant>, u64);

#[derive(Clone, Debug)]
struct Job {
    line: id::Customer,
    place: Place,
    /// Shortest first, so that the longest is taken from the end.
    tasks: Vec<Waiting>,
}

#[derive(Clone, Debug, Default)]
struct Line {
    used: f64,
    jobs: BTreeMap<Place, id::JobKey>,
    tasks: usize,
    backlog: time::Duration,
}

/// The waiting tasks of one cell.
#[derive(Clone, Debug)]
pub struct Queue {
    policy: Policy,
    lines: HashMap<id::Customer, Line>,
    /// Lines with waiting jobs, by used time. A float that isn't negative sorts as its bits do.
    order: BTreeSet<(u64, id::Customer)>,
    jobs: HashMap<id::JobKey, Job>,
    base: time::Instant,
    arrivals: u64,
    tasks: usize,
    backlog: time::Duration,
}

impl Queue {
    /// Opens an empty queue under a policy.
    pub fn open(policy: Policy, now: time::Instant) -> Queue {
        Queue {
            policy,
            lines: HashMap::new(),
            order: BTreeSet::new(),
            jobs: HashMap::new(),
            base: now,
            arrivals: 0,
            tasks: 0,
            backlog: time::Duration::ZERO,
        }
    }

    /// Adds waiting tasks of a job; a job that waits already gets them added.
    pub fn push(
        &mut self,
        customer: &id::Customer,
        job: &id::JobKey,
        deadline: time::Instant,
        tasks: Vec<Waiting>,
    ) {
        if tasks.is_empty() {
            return;
        }
        let key = self.line_of(customer);
        let backlog: time::Duration = tasks.iter().map(|task| task.estimate).sum();
        self.tasks += tasks.len();
        self.backlog += backlog;
        let line = self.lines.entry(key.clone()).or_default();
        if line.jobs.is_empty() {
            self.order.insert((line.used.to_bits(), key.clone()));
        }
        line.tasks += tasks.len();
        line.backlog += backlog;
        self.arrivals += 1;
        let place = match self.policy {
            Policy::Fair => (Some(deadline), self.arrivals),
            Policy::Fifo | Policy::RoundRobin => (None, self.arrivals),
        };
        let entry = self.jobs.entry(job.clone()).or_insert_with(|| Job {
            line: key,
            place,
            tasks: Vec::new(),
        });
        line.jobs.insert(entry.place, job.clone());
        entry.tasks.extend(tasks);
        entry.tasks.sort_by_key(|task| task.estimate);
    }

    /// Takes the next task that `fits`, if any does.
    pub fn pop(&mut self, fits: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut found = None;
        for (_, customer) in &self.order {
            let jobs = &self.lines[customer].jobs;
            found = jobs.values().take(MAX_LOOKAHEAD).find_map(|key| {
                let tasks = &self.jobs[key].tasks;
                let at = tasks.iter().rposition(&fits)?;
                Some((key.clone(), at))
            });
            if found.is_some() {
                break;
            }
        }
        let (key, at) = found?;
        Some(self.take(&key, at))
    }

    fn take(&mut self, key: &id::JobKey, at: usize) -> Waiting {
        let job = self.jobs.get_mut(key).expect("a listed job has an entry");
        let task = job.tasks.remove(at);
        let line = self.lines.get_mut(&job.line).expect("a job has a line");
        line.tasks -= 1;
        line.backlog = line.backlog.saturating_sub(task.estimate);
        self.tasks -= 1;
        self.backlog = self.backlog.saturating_sub(task.estimate);
        if job.tasks.is_empty() {
            line.jobs.remove(&job.place);
            if line.jobs.is_empty() {
                self.order.remove(&(line.used.to_bits(), job.line.clone()));
            }
            self.jobs.remove(key);
        }
        task
    }

    /// Takes a job's waiting tasks away, in one step however many they are.
    pub fn remove(&mut self, key: &id::JobKey) -> Vec<Waiting> {
        let Some(job) = self.jobs.remove(key) else {
            return Vec::new();
        };
        let backlog: time::Duration = job.tasks.iter().map(|task| task.estimate).sum();
        let line = self.lines.get_mut(&job.line).expect("a job has a line");
        line.jobs.remove(&job.place);
        line.tasks -= job.tasks.len();
        line.backlog = line.backlog.saturating_sub(backlog);
        self.tasks -= job.tasks.len();
        self.backlog = self.backlog.saturating_sub(backlog);
        if line.jobs.is_empty() {
            self.order.remove(&(line.used.to_bits(), job.line.clone()));
        }
        job.tasks
    }

    /// Books slot time, in seconds, on a customer; a negative amount corrects an earlier one.
    pub fn charge(&mut self, now: time::Instant, customer: &id::Customer, seconds: f64) {
        let amount = match self.policy {
            Policy::Fair => seconds * self.scale(now),
            Policy::Fifo => 0.0,
            // A turn is taken when a task starts, whatever it uses.
            Policy::RoundRobin if seconds > 0.0 => 1.0,
            Policy::RoundRobin => 0.0,
        };
        let key = self.line_of(customer);
        let line = self.lines.entry(key.clone()).or_default();
        let listed = self.order.remove(&(line.used.to_bits(), key.clone()));
        line.used = (line.used + amount).max(0.0);
        if listed {
            self.order.insert((line.used.to_bits(), key));
        }
    }

    /// Waiting tasks in all.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Waiting tasks of a customer.
    pub fn waiting(&self, customer: &id::Customer) -> usize {
        self.lines.get(customer).map_or(0, |line| line.tasks)
    }

    /// Slot time that a customer's waiting tasks are thought to take.
    pub fn backlog(&self, customer: &id::Customer) -> time::Duration {
        self.lines
            .get(customer)
            .map_or(time::Duration::ZERO, |line| line.backlog)
    }

    /// Slot time that all waiting tasks are thought to take.
    pub fn total_backlog(&self) -> time::Duration {
        self.backlog
    }

    /// Customers with waiting tasks.
    pub fn active(&self) -> usize {
        self.order.len()
    }

    /// Customers and their waiting tasks.
    pub fn customers(&self) -> impl Iterator<Item = (&id::Customer, usize)> {
        self.lines
            .iter()
            .map(|(customer, line)| (customer, line.tasks))
    }

    /// Under FIFO all customers stand in one line.
    fn line_of(&self, customer: &id::Customer) -> id::Customer {
        match self.policy {
            Policy::Fifo => id::Customer::default(),
            Policy::Fair | Policy::RoundRobin => customer.clone(),
        }
    }

    /// What one second of slot time weighs now. Instead of fading all that was booked, new
    /// bookings weigh more, so that the order of the lines never changes by itself.
    fn scale(&mut self, now: time::Instant) -> f64 {
        let growth = now.saturating_duration_since(self.base).as_secs_f64() / FADE.as_secs_f64();
        if growth <= MAX_GROWTH {
            return growth.exp();
        }
        self.base = now;
        self.order.clear();
        self.lines
            .retain(|_, line| !line.jobs.is_empty() || line.used > 0.0);
        for (customer, line) in &mut self.lines {
            line.used *= (-growth).exp();
            if !line.jobs.is_empty() {
                self.order.insert((line.used.to_bits(), customer.clone()));
            }
        }
        1.0
    }
}
