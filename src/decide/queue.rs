//! The queue of a cell's waiting tasks: light client accounts first, then heavy ones by used slot
//! time.
//!
//! No client account has a configured weight. [`demand`](crate::decide::demand) classifies them:
//! the light ones are those with low demand, which fits into the capacity if the largest ones get
//! only what is left. Their tasks go first, the one with the least slack before the others. The
//! heavy ones share the remaining slots by used slot time, which decays with a time constant of
//! [`usage::DECAY_TIME`]. `docs/design/queue.md` compares this with the baselines.

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

/// Number of tasks of light client accounts in a row after which a task of a heavy one goes first,
/// so that heavy ones aren't starved where the light ones alone exceed the capacity for long.
const MAX_LIGHT_STREAK: u32 = 50;

/// How the next task is chosen. The baselines remain available for comparison with the default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Light client accounts first, heavy ones by used slot time.
    #[default]
    Fair,
    /// Baseline: all client accounts by used slot time.
    LeastUsed,
    /// Baseline: one queue, first in first out.
    Fifo,
    /// Baseline: client accounts take turns.
    RoundRobin,
}

/// A job with waiting tasks: its client account, the number of those tasks, and their distinct
/// needs.
#[derive(Clone, Debug)]
struct Job {
    client_account: id::ClientAccount,
    tasks: usize,
    needs: Vec<task::Needs>,
}

/// The waiting tasks of one cell.
#[derive(Clone, Debug)]
pub struct Queue {
    policy: Policy,
    /// The time from which deadlines are counted in `backlogs`.
    opened: time::Instant,
    groups: BTreeMap<task::Needs, needs_group::NeedsGroup>,
    jobs: HashMap<id::JobKey, Job>,
    heavy: HashSet<id::ClientAccount>,
    usage: usage::Usage,
    backlogs: HashMap<id::ClientAccount, backlog::Backlog>,
    tasks: usize,
    /// Estimated slot time of all waiting tasks.
    seconds: f64,
    /// Estimated slot time of the waiting tasks of light client accounts.
    light_seconds: f64,
    /// Tasks of light client accounts that were started since the last one of a heavy one.
    light_streak: u32,
}

impl Queue {
    /// Creates an empty queue with a policy.
    pub fn open(policy: Policy, now: time::Instant) -> Queue {
        Queue {
            policy,
            opened: now,
            groups: BTreeMap::new(),
            jobs: HashMap::new(),
            heavy: HashSet::new(),
            usage: usage::Usage::open(now),
            backlogs: HashMap::new(),
            tasks: 0,
            seconds: 0.0,
            light_seconds: 0.0,
            light_streak: 0,
        }
    }

    /// Adds tasks to a job, and the job itself if none of its tasks waits yet.
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
        self.add_waiting(account, deadline, &tasks);
        let needs = first.needs;
        if tasks.iter().all(|task| task.needs == needs) {
            self.push_group(now, account, job, deadline, needs, tasks);
            return;
        }
        let mut by_needs: HashMap<task::Needs, Vec<WaitingTask>> = HashMap::new();
        for task in tasks {
            by_needs.entry(task.needs).or_default().push(task);
        }
        for (needs, tasks) in by_needs {
            self.push_group(now, account, job, deadline, needs, tasks);
        }
    }

    /// Adds tasks of a job that all have the same needs.
    fn push_group(
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
            needs: Vec::new(),
        });
        job.tasks += tasks.len();
        if !job.needs.contains(&needs) {
            job.needs.push(needs);
        }
        let line_account = self.line_account_of(account);
        let job_order = self.job_order(&line_account);
        let group = self.groups.entry(needs).or_default();
        let (_, line) = group
            .lines
            .entry(line_account.clone())
            .or_insert_with(|| (None, line::Line::open(job_order)));
        line.push(now, key, deadline, tasks);
        self.relist(&needs, &line_account);
    }

    /// Removes and returns the next task among those for whose needs there is room.
    pub fn pop(&mut self, has_room: impl Fn(&task::Needs) -> bool) -> Option<WaitingTask> {
        let heavy_first = self.light_streak >= MAX_LIGHT_STREAK;
        let candidates = self.groups.iter().filter_map(|(needs, group)| {
            let (rank, line_account) = group.first(heavy_first)?;
            has_room(needs).then_some((rank, line_account, *needs))
        });
        let (_, line_account, needs) =
            candidates.min_by_key(|(rank, ..)| rank.sort_key(heavy_first))?;
        let line_account = line_account.clone();
        let group = self.groups.get_mut(&needs)?;
        let (_, line) = group.lines.get_mut(&line_account)?;
        let (deadline, task) = line.pop()?;
        self.relist(&needs, &line_account);
        let job = self.jobs.get_mut(&task.id.job)?;
        job.tasks -= 1;
        let account = job.client_account.clone();
        if job.tasks == 0 {
            self.jobs.remove(&task.id.job);
        }
        self.subtract_waiting(&account, deadline, 1, task.estimate.as_secs_f64());
        Some(task)
    }

    /// Removes a job and returns its waiting tasks.
    pub fn remove(&mut self, key: &id::JobKey) -> Vec<WaitingTask> {
        let Some(job) = self.jobs.remove(key) else {
            return Vec::new();
        };
        let line_account = self.line_account_of(&job.client_account);
        let mut all = Vec::new();
        for needs in job.needs {
            let group = self.groups.get_mut(&needs);
            let line = group.and_then(|group| group.lines.get_mut(&line_account));
            let Some((deadline, tasks)) = line.and_then(|(_, line)| line.remove(key)) else {
                continue;
            };
            self.relist(&needs, &line_account);
            let seconds = tasks.iter().map(|task| task.estimate.as_secs_f64()).sum();
            self.subtract_waiting(&job.client_account, deadline, tasks.len(), seconds);
            all.extend(tasks);
        }
        all
    }

    /// Adds slot time, in seconds, to what a client account has used; a negative amount corrects an
    /// earlier one.
    pub fn charge(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        let amount = match self.policy {
            Policy::Fair | Policy::LeastUsed => seconds * self.charge_weight(now),
            Policy::Fifo => return,
            // Each start counts as one turn, however much slot time the task uses.
            Policy::RoundRobin if seconds > 0.0 => 1.0,
            Policy::RoundRobin => return,
        };
        self.usage.add(account, amount);
        let all_needs: Vec<task::Needs> = self.groups.keys().copied().collect();
        for needs in all_needs {
            self.relist(&needs, account);
        }
    }

    /// Records that a task of a client account was started.
    pub fn record_start(&mut self, account: &id::ClientAccount) {
        if self.heavy.contains(account) {
            self.light_streak = 0;
        } else {
            self.light_streak += 1;
        }
    }

    /// Sets whether a client account is light from now on. Has an effect under [`Policy::Fair`]
    /// only.
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
        let job_order = self.job_order(account);
        let all_needs: Vec<task::Needs> = self.groups.keys().copied().collect();
        for needs in all_needs {
            let group = self.groups.get_mut(&needs);
            if let Some((_, line)) = group.and_then(|group| group.lines.get_mut(account)) {
                line.set_job_order(job_order);
            }
            self.relist(&needs, account);
        }
    }

    /// Returns the number of waiting tasks of all client accounts.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Returns the number of waiting tasks of a client account.
    pub fn waiting_tasks(&self, account: &id::ClientAccount) -> usize {
        self.backlogs
            .get(account)
            .map_or(0, backlog::Backlog::tasks)
    }

    /// Returns the estimated slot time of a client account's waiting tasks, in seconds.
    pub fn backlog_seconds(&self, account: &id::ClientAccount) -> f64 {
        self.backlogs
            .get(account)
            .map_or(0.0, backlog::Backlog::seconds)
    }

    /// Returns the estimated slot time of all waiting tasks, in seconds.
    pub fn total_seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the estimated slot time of the waiting tasks of light client accounts, in seconds.
    pub fn light_seconds(&self) -> f64 {
        self.light_seconds
    }

    /// Returns the client accounts, each with its number of waiting tasks, which may be 0.
    pub fn client_accounts(&self) -> impl Iterator<Item = (&id::ClientAccount, usize)> {
        self.backlogs
            .iter()
            .map(|(account, backlog)| (account, backlog.tasks()))
    }

    /// Returns by how much the jobs of a client account would be late if a job of it were added;
    /// see [`backlog::Backlog::lateness`].
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

    /// Returns the time from the queue's creation to `at`, which is how backlogs count deadlines.
    fn since_opened(&self, at: time::Instant) -> time::Duration {
        at.saturating_duration_since(self.opened)
    }

    /// Adds waiting tasks to the totals and to the backlog of their client account.
    fn add_waiting(
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

    /// Subtracts waiting tasks from the totals and from the backlog of their client account.
    fn subtract_waiting(
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

    /// Lists a line under its present rank, or removes it if it is empty.
    fn relist(&mut self, needs: &task::Needs, line_account: &id::ClientAccount) {
        let rank_of = |line: &line::Line| match (self.policy, line.first_due()) {
            (Policy::Fair, Some(due)) if !self.heavy.contains(line_account) => Rank::Light(due),
            _ => Rank::Heavy(self.usage.used_by(line_account).to_bits()),
        };
        let Some(group) = self.groups.get_mut(needs) else {
            return;
        };
        let Some((listed_rank, line)) = group.lines.get_mut(line_account) else {
            return;
        };
        if let Some(old) = listed_rank.take() {
            group.sorted.remove(&(old, line_account.clone()));
        }
        if !line.is_empty() {
            let rank = rank_of(line);
            *listed_rank = Some(rank);
            group.sorted.insert((rank, line_account.clone()));
            return;
        }
        group.lines.remove(line_account);
        if group.lines.is_empty() {
            self.groups.remove(needs);
        }
    }

    /// Returns the criterion by which the jobs of a line are ordered under the policy.
    fn job_order(&self, line_account: &id::ClientAccount) -> line::JobOrder {
        match self.policy {
            Policy::Fair if !self.heavy.contains(line_account) => line::JobOrder::Slack,
            Policy::Fair | Policy::LeastUsed => line::JobOrder::Deadline,
            Policy::Fifo | Policy::RoundRobin => line::JobOrder::Arrival,
        }
    }

    /// Returns the client account under which a line is kept; under FIFO all share one line, kept
    /// under the empty client account.
    fn line_account_of(&self, account: &id::ClientAccount) -> id::ClientAccount {
        match self.policy {
            Policy::Fifo => id::ClientAccount::default(),
            _ => account.clone(),
        }
    }

    /// Returns the weight of one second of slot time now. If the amounts were rescaled for it,
    /// lists all lines under their new ranks and drops empty backlogs.
    fn charge_weight(&mut self, now: time::Instant) -> f64 {
        let (weight, rescaled) = self.usage.current_weight(now);
        if rescaled {
            let groups = self.groups.iter();
            let all_lines = groups.flat_map(|(needs, group)| {
                group
                    .lines
                    .keys()
                    .map(|line_account| (*needs, line_account.clone()))
            });
            let all_lines: Vec<(task::Needs, id::ClientAccount)> = all_lines.collect();
            for (needs, line_account) in all_lines {
                self.relist(&needs, &line_account);
            }
            self.backlogs.retain(|_, backlog| backlog.tasks() > 0);
        }
        weight
    }
}
