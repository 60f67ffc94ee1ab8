//! Which tasks an entry believes to crash backend servers.
//!
//! A crash takes down all that runs beside its cause, so that each of those tasks becomes a suspect. Suspicion
//! is counted in points: a task that had just begun gets [`LIKELY_POINTS`], any other [`POSSIBLE_POINTS`]. A suspect's next run
//! is on probation, and a crash in that time proves it the cause. So does [`CAUSE_POINTS`], after two crashes, or four
//! for a task that takes a while. It is given up then, which clears what was beside it. Agents tell every entry,
//! so that the count outlives an entry and holds for a job that is submitted again elsewhere.
//! `docs/design/crashes.md` has the argument.

use std::collections::{HashMap, HashSet};
use std::time;

use crate::decide::besteffort::message::{Crash, JobId, TaskName};
use crate::id;

/// Points of a task that had just begun when the backend server crashed.
pub const LIKELY_POINTS: u32 = 2;

/// Points of one that had run for a while.
pub const POSSIBLE_POINTS: u32 = 1;

/// Points with which a task is given up.
pub const CAUSE_POINTS: u32 = 4;

/// How long after its start a task is the likely cause of a crash. A suspect that has run for so long
/// without one is let run beside others.
pub const PROBATION: time::Duration = time::Duration::from_millis(100);

/// How long a crash is remembered: longer than callers submit one job again.
pub const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(15);

/// Most crashes that are remembered.
const MAX_KNOWN: usize = 512;

/// Whether so many points make a task run apart from others at first.
pub fn is_suspect(points: u32) -> bool {
    points >= LIKELY_POINTS
}

/// Tells crashes apart: the agent, which life of it, and which of the backend servers beside it.
type CrashId = (id::AgentId, id::Incarnation, u64);

#[derive(Debug)]
struct Known {
    id: CrashId,
    at: time::Duration,
    crash: Crash,
    /// Tasks that were suspected of it before its cause was known.
    cleared: Vec<TaskName>,
}

/// The crashes that agents have told of.
#[derive(Debug, Default)]
pub struct Crashes {
    known: Vec<Known>,
    points: HashMap<JobId, HashMap<id::TaskIndex, u32>>,
    /// Tasks that have been suspected. They run on probation even if they were cleared: two causes may have been
    /// on one backend server.
    watched: HashSet<TaskName>,
}

impl Crashes {
    /// Takes in what an agent tells of a crash. It replaces what the agent told of it before.
    pub fn record(
        &mut self,
        now: time::Duration,
        agent: &str,
        life: id::Incarnation,
        crash: &Crash,
    ) {
        let id = (agent.into(), life, crash.server);
        self.known.retain(|known| known.id != id);
        if self.known.len() == MAX_KNOWN {
            self.known.remove(0);
        }
        if crash.suspects().next().is_some() {
            self.known.push(Known {
                id,
                at: now,
                crash: crash.clone(),
                cleared: Vec::new(),
            });
        }
        self.recount_points();
        self.clear_innocent();
    }

    /// Points of a task, or those of a suspect where it was one.
    pub fn suspicion(&self, job: &str, task: id::TaskIndex) -> u32 {
        if self.known.is_empty() {
            return 0;
        }
        let job = job.into();
        let name = TaskName { job, task };
        let least = u32::from(self.watched.contains(&name)) * LIKELY_POINTS;
        self.points_of(&name).max(least)
    }

    fn points_of(&self, name: &TaskName) -> u32 {
        let points = self.points.get(&name.job);
        let points = points.and_then(|tasks| tasks.get(&name.task));
        points.copied().unwrap_or(0)
    }

    /// The first task of a job that has to be given up.
    pub fn cause_in(&self, job: &str) -> Option<id::TaskIndex> {
        let tasks = self.points.get(job)?.iter();
        let causes = tasks.filter(|(_, points)| **points >= CAUSE_POINTS);
        causes.map(|(task, _)| *task).min()
    }

    /// The agents whose backend servers have crashed under a task, for the log.
    pub fn crashed_agents(&self, job: &str, task: id::TaskIndex) -> Vec<&str> {
        let is_meant = |name: &TaskName| name.job == job && name.task == task;
        let of = self.known.iter();
        let of = of.filter(|known| known.crash.suspects().any(is_meant));
        of.map(|known| known.id.0.as_str()).collect()
    }

    /// Forgets what was too long ago.
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
        self.watched.clear();
        for known in &self.known {
            let crash = &known.crash;
            let proven = crash.proven.iter().map(|name| (name, CAUSE_POINTS));
            let likely = crash.likely.iter().map(|name| (name, LIKELY_POINTS));
            let possible = crash.possible.iter().map(|name| (name, POSSIBLE_POINTS));
            for (name, points) in proven.chain(likely).chain(possible) {
                let tasks = self.points.entry(name.job.clone()).or_default();
                *tasks.entry(name.task).or_default() += points;
            }
            self.watched.extend(known.cleared.iter().cloned());
        }
    }

    /// A crash whose cause is known tells nothing against what ran beside it.
    fn clear_innocent(&mut self) {
        let all = self.known.iter().flat_map(|known| known.crash.suspects());
        let causes = all.filter(|name| self.points_of(name) >= CAUSE_POINTS);
        let causes: HashSet<TaskName> = causes.cloned().collect();
        if causes.is_empty() {
            return;
        }
        for Known { crash, cleared, .. } in &mut self.known {
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
