//! Who goes next, without weights: light client accounts first, heavy ones by what they have used.
//!
//! Client accounts that together fit beside the largest ones are light ([`demand`](crate::decide::demand)
//! tells); their tasks go first, the one with the least slack before the others. The heavy ones
//! share what is left by used slot time, which fades with a time constant of [`usage::DECAY_TIME`].
//! `docs/design/queue.md` compares this with the baselines.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time;

use serde::{Deserialize, Serialize};

use crate::decide::backlog;
use crate::decide::line;
use crate::decide::needs_group::{self, Rank};
use crate::decide::usage;
use crate::decide::waiting::WaitingTask;
use crate::id;
use crate::task;

/// Tasks of light client accounts after which one of a heavy client account goes first, so that these
/// are never starved where the light ones alone exceed the capacity for long.
const LIGHT_RUN: u32 = 50;

/// How the next task is chosen; the baselines stay runnable beside the chosen policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Light client accounts first, the others by used slot time.
    #[default]
    Fair,
    /// Baseline: all client accounts by used slot time.
    LeastUsed,
    /// Baseline: one queue, first in first out.
    Fifo,
    /// Baseline: client accounts in turns.
    RoundRobin,
}

/// A waiting job: whose it is, how many tasks of it wait, and in which shapes.
#[derive(Clone, Debug)]
struct Job {
    client_account: id::ClientAccount,
    tasks: usize,
    shapes: Vec<task::Needs>,
}

/// The waiting tasks of one cell.
#[derive(Clone, Debug)]
pub struct Queue {
    policy: Policy,
    opened: time::Instant,
    shapes: BTreeMap<task::Needs, needs_group::NeedsGroup>,
    jobs: HashMap<id::JobKey, Job>,
    heavy: HashSet<id::ClientAccount>,
    usage: usage::Usage,
    backlogs: HashMap<id::ClientAccount, backlog::Backlog>,
    tasks: usize,
    seconds: f64,
    light_seconds: f64,
    /// Tasks of light client accounts since the last of a heavy one.
    light_run: u32,
}

impl Queue {
    /// Opens an empty queue under a policy.
    pub fn open(policy: Policy, now: time::Instant) -> Queue {
        Queue {
            policy,
            opened: now,
            shapes: BTreeMap::new(),
            jobs: HashMap::new(),
            heavy: HashSet::new(),
            usage: usage::Usage::open(now),
            backlogs: HashMap::new(),
            tasks: 0,
            seconds: 0.0,
            light_seconds: 0.0,
            light_run: 0,
        }
    }

    /// Adds waiting tasks of a job; a job that waits already gets them added.
    pub fn push(
        &mut self,
        now: time::Instant,
        account: &id::ClientAccount,
        job: &id::JobKey,
        deadline: time::Instant,
        tasks: Vec<WaitingTask>,
    ) {
        let Some(first) = tasks.first() else {
            return;
        };
        self.note(account, deadline, &tasks);
        let needs = first.needs;
        if tasks.iter().all(|task| task.needs == needs) {
            self.push_shape(now, account, job, deadline, needs, tasks);
            return;
        }
        let mut by_needs: HashMap<task::Needs, Vec<WaitingTask>> = HashMap::new();
        for task in tasks {
            by_needs.entry(task.needs).or_default().push(task);
        }
        for (needs, tasks) in by_needs {
            self.push_shape(now, account, job, deadline, needs, tasks);
        }
    }

    fn push_shape(
        &mut self,
        now: time::Instant,
        account: &id::ClientAccount,
        key: &id::JobKey,
        deadline: time::Instant,
        needs: task::Needs,
        tasks: Vec<WaitingTask>,
    ) {
        let job = self.jobs.entry(key.clone()).or_insert_with(|| Job {
            client_account: account.clone(),
            tasks: 0,
            shapes: Vec::new(),
        });
        job.tasks += tasks.len();
        if !job.shapes.contains(&needs) {
            job.shapes.push(needs);
        }
        let name = self.line_of(account);
        let rule = self.rule(&name);
        let shape = self.shapes.entry(needs).or_default();
        let (_, line) = shape
            .lines
            .entry(name.clone())
            .or_insert_with(|| (None, line::Line::open(rule)));
        line.push(now, key, deadline, tasks);
        self.settle(&needs, &name);
    }

    /// Takes the next task among those whose needs have room.
    pub fn pop(&mut self, has_room: impl Fn(&task::Needs) -> bool) -> Option<WaitingTask> {
        let yields = self.light_run >= LIGHT_RUN;
        let heads = self.shapes.iter().filter_map(|(needs, shape)| {
            let (rank, name) = shape.head(yields)?;
            has_room(needs).then_some((rank, name, *needs))
        });
        let (_, name, needs) = heads.min_by_key(|(rank, ..)| rank.sort_key(yields))?;
        let name = name.clone();
        let shape = self.shapes.get_mut(&needs)?;
        let (_, line) = shape.lines.get_mut(&name)?;
        let (deadline, task) = line.pop()?;
        self.settle(&needs, &name);
        let job = self.jobs.get_mut(&task.id.job)?;
        job.tasks -= 1;
        let account = job.client_account.clone();
        if job.tasks == 0 {
            self.jobs.remove(&task.id.job);
        }
        self.strike(&account, deadline, 1, task.estimate.as_secs_f64());
        Some(task)
    }

    /// Takes a job's waiting tasks away.
    pub fn remove(&mut self, key: &id::JobKey) -> Vec<WaitingTask> {
        let Some(job) = self.jobs.remove(key) else {
            return Vec::new();
        };
        let name = self.line_of(&job.client_account);
        let mut all = Vec::new();
        for needs in job.shapes {
            let shape = self.shapes.get_mut(&needs);
            let line = shape.and_then(|shape| shape.lines.get_mut(&name));
            let Some((deadline, tasks)) = line.and_then(|(_, line)| line.remove(key)) else {
                continue;
            };
            self.settle(&needs, &name);
            let seconds = tasks.iter().map(|task| task.estimate.as_secs_f64()).sum();
            self.strike(&job.client_account, deadline, tasks.len(), seconds);
            all.extend(tasks);
        }
        all
    }

    /// Books slot time, in seconds, on a client account; a negative amount corrects an earlier one.
    pub fn charge(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        let amount = match self.policy {
            Policy::Fair | Policy::LeastUsed => seconds * self.scale(now),
            Policy::Fifo => return,
            // A turn is taken when a task starts, whatever it uses.
            Policy::RoundRobin if seconds > 0.0 => 1.0,
            Policy::RoundRobin => return,
        };
        self.usage.add(account, amount);
        let shapes: Vec<task::Needs> = self.shapes.keys().copied().collect();
        for needs in shapes {
            self.settle(&needs, account);
        }
    }

    /// Notes that a client account's task was started.
    pub fn record_start(&mut self, account: &id::ClientAccount) {
        if self.heavy.contains(account) {
            self.light_run = 0;
        } else {
            self.light_run += 1;
        }
    }

    /// Notes whether a client account is light from now on.
    pub fn set_light(&mut self, account: &id::ClientAccount, light: bool) {
        if self.policy != Policy::Fair {
            return;
        }
        let seconds = self.backlog_seconds(account);
        if light && self.heavy.remove(account) {
            self.light_seconds += seconds;
        } else if !light && self.heavy.insert(account.clone()) {
            self.light_seconds = (self.light_seconds - seconds).max(0.0);
        }
        let rule = self.rule(account);
        let shapes: Vec<task::Needs> = self.shapes.keys().copied().collect();
        for needs in shapes {
            let shape = self.shapes.get_mut(&needs);
            if let Some((_, line)) = shape.and_then(|shape| shape.lines.get_mut(account)) {
                line.set_job_order(rule);
            }
            self.settle(&needs, account);
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

    /// Waiting tasks of a client account.
    pub fn waiting_tasks(&self, account: &id::ClientAccount) -> usize {
        self.backlogs
            .get(account)
            .map_or(0, backlog::Backlog::tasks)
    }

    /// Slot time that a client account's waiting tasks are thought to take, in seconds.
    pub fn backlog_seconds(&self, account: &id::ClientAccount) -> f64 {
        self.backlogs
            .get(account)
            .map_or(0.0, backlog::Backlog::seconds)
    }

    /// Slot time that all waiting tasks are thought to take, in seconds.
    pub fn total_seconds(&self) -> f64 {
        self.seconds
    }

    /// Slot time that the waiting tasks of light client accounts are thought to take, in seconds.
    pub fn light_seconds(&self) -> f64 {
        self.light_seconds
    }

    /// Client accounts and their waiting tasks.
    pub fn client_accounts(&self) -> impl Iterator<Item = (&id::ClientAccount, usize)> {
        self.backlogs
            .iter()
            .map(|(account, backlog)| (account, backlog.tasks()))
    }

    /// How much too late something of a client account would be, were a job of it added.
    pub fn lateness(
        &self,
        now: time::Instant,
        account: &id::ClientAccount,
        deadline: time::Instant,
        longest: time::Duration,
        seconds: f64,
        rate: f64,
    ) -> time::Duration {
        let empty = backlog::Backlog::default();
        let backlog = self.backlogs.get(account).unwrap_or(&empty);
        let (now, deadline) = (self.since_opened(now), self.since_opened(deadline));
        backlog.lateness(now, deadline, longest, seconds, rate)
    }

    fn since_opened(&self, at: time::Instant) -> time::Duration {
        at.saturating_duration_since(self.opened)
    }

    /// Books waiting tasks on their client account.
    fn note(
        &mut self,
        account: &id::ClientAccount,
        deadline: time::Instant,
        tasks: &[WaitingTask],
    ) {
        let seconds: f64 = tasks.iter().map(|task| task.estimate.as_secs_f64()).sum();
        let deadline = self.since_opened(deadline);
        let backlog = self.backlogs.entry(account.clone()).or_default();
        backlog.add(deadline, tasks.len(), seconds);
        self.tasks += tasks.len();
        self.seconds += seconds;
        if !self.heavy.contains(account) {
            self.light_seconds += seconds;
        }
    }

    /// Strikes waiting tasks off their client account.
    fn strike(
        &mut self,
        account: &id::ClientAccount,
        deadline: time::Instant,
        tasks: usize,
        seconds: f64,
    ) {
        let deadline = self.since_opened(deadline);
        if let Some(backlog) = self.backlogs.get_mut(account) {
            backlog.sub(deadline, tasks, seconds);
        }
        self.tasks -= tasks;
        self.seconds = (self.seconds - seconds).max(0.0);
        if !self.heavy.contains(account) {
            self.light_seconds = (self.light_seconds - seconds).max(0.0);
        }
        if self.tasks == 0 {
            self.seconds = 0.0;
            self.light_seconds = 0.0;
        }
    }

    /// Lists a line where it stands now, or drops it once it is empty.
    fn settle(&mut self, needs: &task::Needs, name: &id::ClientAccount) {
        let rank_of = |line: &line::Line| match (self.policy, line.first_due()) {
            (Policy::Fair, Some(due)) if !self.heavy.contains(name) => Rank::Light(due),
            _ => Rank::Heavy(self.usage.used_by(name).to_bits()),
        };
        let Some(shape) = self.shapes.get_mut(needs) else {
            return;
        };
        let Some((listed, line)) = shape.lines.get_mut(name) else {
            return;
        };
        if let Some(old) = listed.take() {
            shape.order.remove(&(old, name.clone()));
        }
        if !line.is_empty() {
            let rank = rank_of(line);
            *listed = Some(rank);
            shape.order.insert((rank, name.clone()));
            return;
        }
        shape.lines.remove(name);
        if shape.lines.is_empty() {
            self.shapes.remove(needs);
        }
    }

    fn rule(&self, name: &id::ClientAccount) -> line::JobOrder {
        match self.policy {
            Policy::Fair if !self.heavy.contains(name) => line::JobOrder::Slack,
            Policy::Fair | Policy::LeastUsed => line::JobOrder::Deadline,
            Policy::Fifo | Policy::RoundRobin => line::JobOrder::Arrival,
        }
    }

    /// Under FIFO all client accounts stand in one line.
    fn line_of(&self, account: &id::ClientAccount) -> id::ClientAccount {
        match self.policy {
            Policy::Fifo => id::ClientAccount::default(),
            _ => account.clone(),
        }
    }

    /// What one second of slot time weighs now.
    fn scale(&mut self, now: time::Instant) -> f64 {
        let (scale, scaled_back) = self.usage.current_weight(now);
        if scaled_back {
            let shapes = self.shapes.iter();
            let listed = shapes
                .flat_map(|(needs, shape)| shape.lines.keys().map(|name| (*needs, name.clone())));
            let listed: Vec<(task::Needs, id::ClientAccount)> = listed.collect();
            for (needs, name) in listed {
                self.settle(&needs, &name);
            }
            self.backlogs.retain(|_, backlog| backlog.tasks() > 0);
        }
        scale
    }
}
