//! Every threshold and weight by which best-effort work is ordered, placed, refused and moved.
//!
//! Each is one documented value that the decisions are given, so that an experiment can vary them one at a
//! time; `docs/design/decisions.md` says what callers gain by each. Operators can't set them: their settings
//! hold classes and targets only. The time limits that keep two runs of a task apart are in
//! [`lease`](crate::decide::besteffort::lease), since a guarantee depends on them and they can't be traded
//! against other aims.

use std::time;

use crate::decide::besteffort::features::Features;

/// The thresholds of all decisions of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Refusing jobs, and the forecast of the wait.
    pub admission: Admission,
    /// Choosing the agent for a task.
    pub placement: Placement,
    /// Moving runs off slow and stalled backend servers.
    pub relocation: Relocation,
    /// Sending no work to agents whose backend servers fail runs.
    pub barring: Barring,
    /// Learning from run times.
    pub learning: Learning,
    /// Choosing the agents that an entry links to.
    pub subset: Subset,
    /// The optional decisions that are switched on.
    pub features: Features,
}

/// When a job is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Largest part of a job's slack that the forecast may spend on waiting in the queue. Under lasting
    /// overload the wait settles at this bound.
    pub max_slack_used: f64,
    /// Part of an equal share of the backend servers that an entry counts on at least, while its own starts
    /// don't show a larger one.
    pub min_share: f64,
    /// Least part of its room rate that an entry leaves to a class beside more urgent ones; keeps the
    /// forecast finite.
    pub min_rate_left: f64,
    /// Part of the forecast wait that must be left in addition before the caller stops waiting, for a job to be
    /// accepted behind all other work. There is none: with half of the wait, 279 of 513 refused jobs could have
    /// been answered, against 54 of 298, and a late answer is worth more than a refusal.
    pub late_margin: f64,
    /// Shortest delay after which callers of refused jobs submit them again. Room shown as free is up to a
    /// heartbeat (120 ms) old, so that an earlier submission would meet the same refusal.
    pub min_retry: time::Duration,
}

/// Where a task is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// How many times as long a task is expected to run on a backend server that isn't near its data.
    pub far_factor: f64,
    /// Time that an exchange with another failure domain takes in addition.
    pub other_domain_cost: time::Duration,
    /// By which part of its run time a task may end later at an agent that counts as equal to the best one.
    /// It is less than the difference between a sound and a slow backend server, and more than chance causes
    /// in the learned speed of agents.
    pub alike_margin: f64,
    /// Slowness from which an agent gets a task only if the task can still meet its target there.
    pub slow_from: f64,
    /// Factor on the expected run time at the agent that had the task last, and lost it, failed it or had no
    /// room for it. Another agent is tried first unless it is slower by more than that.
    pub same_agent_factor: f64,
    /// Longest time that a start may wait at an agent that was full on arrival, because another entry was
    /// quicker. After a longer wait the entry could have placed the task elsewhere.
    pub max_wait_at_agent: time::Duration,
    /// Part of a backend server's room that late work leaves free.
    pub share_kept_from_late: f64,
    /// The same for the first two seconds after an entry has found its agents, with the feature `recovery`: new work
    /// fills the backend servers within its run time, and the entries don't know each other's late work.
    pub share_kept_after_return: f64,
    /// How many times the earlier wait of a caller that comes again counts in these two seconds, with the feature
    /// `recovery`. Such work adds to the new work, and at full load there isn't room for both: what has spent a third
    /// of its slack would make new work late.
    pub earlier_wait_weight: f64,
    /// Most tasks at the head of the queue that are passed over because nothing has room for them.
    pub max_passed_over: usize,
}

/// When a run is stopped so that its task can start elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relocation {
    /// Time that a move takes: the stop, and two exchanges.
    pub move_cost: time::Duration,
    /// How many times sooner the task has to end elsewhere: estimates scatter, and a move discards the work
    /// done so far.
    pub min_gain: f64,
    /// Longest time without progress that isn't a stall yet, since a listing and a message may be under way.
    pub min_standstill: time::Duration,
    /// Percent of the work that a sound backend server must have been able to do in the time without progress
    /// for it to count as a stall.
    pub min_expected_percent: f64,
    /// Weight of a stall or a slow run in the agent's slowness.
    pub learning_weight: f64,
    /// Age from which a run may be moved; before that its progress says too little about its pace.
    pub min_age: time::Duration,
    /// Slowness of an agent from which runs are moved off it, and of a run from which it counts as slow; one
    /// slow run alone doesn't bring an agent there.
    pub min_slowness: f64,
}

/// When an agent whose backend server fails runs gets no work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Barring {
    /// Weight of past failures, each counted as 1, from which an agent is barred and afterwards gets one task
    /// at a time. A second failure within two tasks of the first reaches it.
    pub barred_from: f64,
    /// Factor on that weight for each task that was done.
    pub success_factor: f64,
    /// Weight below which an agent counts as sound again.
    pub sound_below: f64,
    /// How long a barred agent gets no work before it is tried with one task; doubled each time, up to
    /// `longest_bar`.
    pub first_bar: time::Duration,
    /// Longest time that an agent is barred at a stretch.
    pub longest_bar: time::Duration,
    /// How long an agent that had no room for a start is passed over: the time until its message on its
    /// present room arrives.
    pub no_room_pause: time::Duration,
}

/// How many links an entry keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subset {
    /// Number of agents that an entry links to at any time. So many have room for a job of some hundred tasks
    /// at an ordinary load, and hold enough sound agents to tell slow ones by comparison.
    pub base_size: usize,
    /// Number of agents of the entry's own failure domain for each one of another.
    pub own_per_other: usize,
    /// Most agents that an entry links to beyond the base while work waits.
    pub max_extra: usize,
    /// Number of these extra links that are opened at a time.
    pub extra_at_once: usize,
    /// How long work waits before extra links are opened, and the shortest time until the next ones are.
    pub extra_pause: time::Duration,
    /// How long a link may take to open on an entry VM that has used up its share of the processor.
    pub open_timeout: time::Duration,
    /// How long no more extra links are opened after some whose agents took hardly any work.
    pub no_room_pause: time::Duration,
    /// Number of agents near a job's data, or with what it requires, that are linked to for it.
    pub links_for_job: usize,
    /// How long a job waits for these links.
    pub max_link_wait: time::Duration,
    /// How long an extra link is kept unused.
    pub unused_timeout: time::Duration,
    /// How long an agent may be unreachable before another one replaces it in the base.
    pub replaced_after: time::Duration,
}

/// How run times are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learning {
    /// Weight of the declared run time against the mean of the class, both as logarithms.
    pub declared_weight: f64,
    /// Weight of a new run time in the mean of a class.
    pub class_gain: f64,
    /// Weight of a new run time in the speed of an agent.
    pub agent_gain: f64,
    /// Bounds of an agent's slowness, so that one odd run can neither bar an agent nor draw all work to it.
    pub slowness_bounds: (f64, f64),
    /// Factor on an agent's deviation from the median at each comparison of the agents, so that a backend
    /// server that was slow is tried again.
    pub deviation_kept: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            admission: Admission {
                max_slack_used: 1.0,
                min_share: 0.9,
                min_rate_left: 0.1,
                late_margin: 0.0,
                min_retry: time::Duration::from_millis(100),
            },
            placement: Placement {
                far_factor: 1.5,
                other_domain_cost: time::Duration::from_millis(2),
                alike_margin: 0.25,
                slow_from: 2.0,
                same_agent_factor: 2.0,
                max_wait_at_agent: time::Duration::from_millis(40),
                share_kept_from_late: 0.1,
                share_kept_after_return: 0.9,
                earlier_wait_weight: 3.0,
                max_passed_over: 4,
            },
            relocation: Relocation {
                move_cost: time::Duration::from_millis(80),
                min_gain: 1.6,
                min_standstill: time::Duration::from_millis(350),
                min_expected_percent: 12.0,
                learning_weight: 0.08,
                min_age: time::Duration::from_millis(60),
                min_slowness: 1.8,
            },
            barring: Barring {
                barred_from: 1.4,
                success_factor: 0.7,
                sound_below: 0.5,
                first_bar: time::Duration::from_millis(500),
                longest_bar: time::Duration::from_secs(4),
                no_room_pause: time::Duration::from_millis(20),
            },
            learning: Learning {
                declared_weight: 0.5,
                class_gain: 0.02,
                agent_gain: 0.1,
                slowness_bounds: (0.5, 16.0),
                deviation_kept: 0.995,
            },
            subset: Subset {
                base_size: 32,
                own_per_other: 3,
                max_extra: 224,
                extra_at_once: 4,
                extra_pause: time::Duration::from_millis(10),
                open_timeout: time::Duration::from_millis(100),
                no_room_pause: time::Duration::from_secs(1),
                links_for_job: 8,
                max_link_wait: time::Duration::from_millis(30),
                unused_timeout: time::Duration::from_secs(2),
                replaced_after: time::Duration::from_secs(1),
            },
            features: Features::default(),
        }
    }
}
