//! Finds the tasks that crash backend servers.
//!
//! A crash ends every run on the backend server, so that each of their tasks becomes a suspect. Suspicion is
//! counted in points: a task that had just begun gets [`LIKELY_POINTS`], any other [`POSSIBLE_POINTS`]. The
//! next run of a suspect is on probation, and a crash in that time proves the suspect to be the cause. So
//! does a total of [`CAUSE_POINTS`], which a task reaches with two crashes shortly after its start, or with
//! four crashes later in its run. The job of such a task is given up, and the tasks that ran beside it are
//! cleared. Agents report crashes to every entry, so that the points outlive an entry and apply to a job that
//! is submitted again elsewhere. `docs/design/crashes.md` has the argument.

use std::collections::{HashMap, HashSet};
use std::time;

use crate::decide::besteffort::message::{Crash, JobId, TaskName};
use crate::id;

/// Points for a crash shortly after the task's start.
pub const LIKELY_POINTS: u32 = 2;

/// Points for a crash after the task had run for a while.
pub const POSSIBLE_POINTS: u32 = 1;

/// Points from which a task counts as the cause, and its job is given up.
pub const CAUSE_POINTS: u32 = 4;

/// How long after its start a task is the likely cause of a crash. A suspect that has run for so long without
/// a crash no longer keeps others from starting beside it.
pub const PROBATION: time::Duration = time::Duration::from_millis(100);

/// How long a crash is remembered: longer than callers take to submit a job again.
pub const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(15);

/// Largest number of crashes that are remembered; a new one then replaces the oldest.
const MAX_REMEMBERED: usize = 512;

/// Whether the next run of a task with so many points starts on probation.
pub fn is_suspect(points: u32) -> bool {
    points >= LIKELY_POINTS
}

/// Identifies a crash: the agent, its incarnation, and the number of the backend server beside it.
type CrashId = (id::AgentId, id::Incarnation, u64);

#[derive(Debug)]
struct KnownCrash {
    id: CrashId,
    at: time::Duration,
    crash: Crash,
    /// Likely suspects that were cleared when the cause of the crash became known.
    cleared: Vec<TaskName>,
}

/// The crashes that agents have reported, and the points of the tasks suspected of them.
#[derive(Debug, Default)]
pub struct Crashes {
    known: Vec<KnownCrash>,
    points: HashMap<JobId, HashMap<id::TaskIndex, u32>>,
    /// Tasks that were cleared of a crash. They still run on probation, since two causes may have been on one
    /// backend server.
    cleared_tasks: HashSet<TaskName>,
}

impl Crashes {
    /// Records an agent's report of a crash. It replaces an earlier report of the same crash, and withdraws
    /// that one if it names no suspects.
    pub fn record(
        &mut self,
        now: time::Duration,
        agent: &str,
        incarnation: id::Incarnation,
        crash: &Crash,
    ) {
        let id = (agent.into(), incarnation, crash.server);
        self.known.retain(|known| known.id != id);
        if self.known.len() == MAX_REMEMBERED {
            self.known.remove(0);
        }
        if crash.suspects().next().is_some() {
            self.known.push(KnownCrash {
                id,
                at: now,
                crash: crash.clone(),
                cleared: Vec::new(),
            });
        }
        self.recount_points();
        self.clear_innocent();
    }

    /// Returns the points of a task. A task that was cleared of a crash has at least [`LIKELY_POINTS`], so
    /// that it still runs on probation.
    pub fn suspicion(&self, job: &str, task: id::TaskIndex) -> u32 {
        if self.known.is_empty() {
            return 0;
        }
        let job = job.into();
        let name = TaskName { job, task };
        let min_points = u32::from(self.cleared_tasks.contains(&name)) * LIKELY_POINTS;
        self.points_of(&name).max(min_points)
    }

    fn points_of(&self, name: &TaskName) -> u32 {
        let points = self.points.get(&name.job);
        let points = points.and_then(|tasks| tasks.get(&name.task));
        points.copied().unwrap_or(0)
    }

    /// Returns the first task of a job that counts as a cause of crashes.
    pub fn cause_in(&self, job: &str) -> Option<id::TaskIndex> {
        let tasks = self.points.get(job)?.iter();
        let causes = tasks.filter(|(_, points)| **points >= CAUSE_POINTS);
        causes.map(|(task, _)| *task).min()
    }

    /// Returns the agents whose backend servers crashed while they had this task, unless it was cleared of
    /// the crash, for the log.
    pub fn crashed_agents(&self, job: &str, task: id::TaskIndex) -> Vec<&str> {
        let is_this_task = |name: &TaskName| name.job == job && name.task == task;
        let crashes = self.known.iter();
        let crashes = crashes.filter(|known| known.crash.suspects().any(is_this_task));
        crashes.map(|known| known.id.0.as_str()).collect()
    }

    /// Forgets the crashes that are older than [`REMEMBERED_FOR`].
    pub fn forget_old(&mut self, now: time::Duration) {
        let before = self.known.len();
        self.known
            .retain(|known| now.saturating_sub(known.at) < REMEMBERED_FOR);
        if self.known.len() < before {
            self.recount_points();
        }
    }

    fn recount_points(&mut self) {
        self.points.clear();
        self.cleared_tasks.clear();
        for known in &self.known {
            let crash = &known.crash;
            let proven = crash.proven.iter().map(|name| (name, CAUSE_POINTS));
            let likely = crash.likely.iter().map(|name| (name, LIKELY_POINTS));
            let possible = crash.possible.iter().map(|name| (name, POSSIBLE_POINTS));
            for (name, points) in proven.chain(likely).chain(possible) {
                let tasks = self.points.entry(name.job.clone()).or_default();
                *tasks.entry(name.task).or_default() += points;
            }
            self.cleared_tasks.extend(known.cleared.iter().cloned());
        }
    }

    /// Clears the tasks that ran beside a known cause: the crash is no evidence against them.
    fn clear_innocent(&mut self) {
        let all = self.known.iter().flat_map(|known| known.crash.suspects());
        let causes = all.filter(|name| self.points_of(name) >= CAUSE_POINTS);
        let causes: HashSet<TaskName> = causes.cloned().collect();
        if causes.is_empty() {
            return;
        }
        for KnownCrash { crash, cleared, .. } in &mut self.known {
            if crash.suspects().any(|name| causes.contains(name)) {
                let innocent = |name: &&TaskName| !causes.contains(*name);
                cleared.extend(crash.likely.iter().filter(innocent).cloned());
                crash.likely.retain(|name| causes.contains(name));
                crash.possible.retain(|name| causes.contains(name));
            }
        }
        self.recount_points();
    }
}
