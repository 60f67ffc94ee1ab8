//! The inputs of one decision on a job: what waits, what is free and what becomes free, and the job's times.

use std::time;

use crate::decide::besteffort::job;
use crate::decide::besteffort::told;

/// Lower bound of a run time in rates, in seconds; keeps rates finite.
const MIN_RUN_SECONDS: f64 = 0.001;

/// The work that goes before a job, and the room that it leaves. Room is in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Room that this work needs at this entry.
    pub here: f64,
    /// Room that this work needs at other entries, beyond what is free on the agents where it waits.
    pub at_others: f64,
    /// Free room that no such work at other entries waits for.
    pub free: f64,
    /// Room that classes before the job start per second, at all entries.
    pub started_per_s: f64,
}

/// Everything that a decision on a job depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Known {
    /// Number of tasks of the job's size that fit now, beside the work that waits at other entries.
    pub fitting_tasks: i64,
    /// Room that the job needs in all, in thousandths of a core.
    pub own: f64,
    /// The work that goes before a job of this class.
    pub ahead: Backlog,
    /// The work that goes before late work: all other, late work that waits already included.
    pub all: Backlog,
    /// Room that becomes free per second, in thousandths of a core.
    pub freed_per_s: f64,
    /// The agents that this entry may be linked to, as a multiple of those that are linked.
    pub reach: f64,
    /// Expected run time of a task.
    pub run_time: time::Duration,
    /// How long a new job of the class may wait until its last task starts, to meet its target.
    pub slack: time::Duration,
    /// Whether the job's target can't be met any more, however short the wait is.
    pub is_late: bool,
    /// Time until the caller stops waiting.
    pub left: time::Duration,
    /// How long callers of the class wait from their first submission on.
    pub class_wait: time::Duration,
    /// Age of the oldest statement of an agent that is used.
    pub age: time::Duration,
}

/// What is known of one agent that suits the job.
#[derive(Clone, Copy, Debug)]
pub struct AgentRoom<'a> {
    /// Free room there, in thousandths of a core; 0 where the agent takes no task at the moment.
    pub free: i64,
    /// Room of its backend server when idle, in thousandths of a core.
    pub size: i64,
    /// Room that becomes free there per second, in thousandths of a core.
    pub frees_per_s: f64,
    /// What it reported by class; empty where it is idle.
    pub classes: &'a [told::ClassDemand],
    /// Age of its report.
    pub age: time::Duration,
}

impl Backlog {
    /// Adds what waits at other entries for an agent with this much free room. Returns the room left there.
    fn add_agent(&mut self, waiting: f64, free: f64) -> f64 {
        self.at_others += (waiting - free).max(0.0);
        let left = (free - waiting).max(0.0);
        self.free += left;
        left
    }
}

impl Known {
    /// Adds an agent for a job of class `priority` whose tasks need `need` thousandths of a core each. Late
    /// work leaves `kept_from_late` of the backend server free; runs take `run_seconds` on average.
    ///
    /// What waits at other entries is set against the room of the agent where it waits. Set against the sum
    /// over all agents, room that others are about to take would count as free.
    pub fn add_agent(
        &mut self,
        agent: &AgentRoom<'_>,
        priority: u32,
        need: i64,
        kept_from_late: f64,
        run_seconds: f64,
    ) {
        let free = agent.free.max(0) as f64;
        let (mut before, mut all) = (0.0, 0.0);
        for class in agent.classes {
            let (waiting, started) = (class.others_cpu as f64, class.starts_per_s as f64);
            all += waiting;
            if class.priority <= priority {
                before += waiting;
            }
            if class.priority < priority {
                self.ahead.started_per_s += started;
            }
            if class.priority < job::LATE_PRIORITY {
                self.all.started_per_s += started;
            }
        }
        let left = self.ahead.add_agent(before, free);
        self.fitting_tasks += left as i64 / need.max(1);
        let free_for_late = (free - agent.size as f64 * kept_from_late).max(0.0);
        self.all.add_agent(all, free_for_late);
        // Room that is free now and taken by others' waiting work becomes free again after its run.
        let taken = before.min(free) / run_seconds.max(MIN_RUN_SECONDS);
        self.freed_per_s += agent.frees_per_s + taken;
        self.age = self.age.max(agent.age);
    }
}
