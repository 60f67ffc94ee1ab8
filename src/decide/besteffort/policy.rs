//! Every threshold and weight by which best-effort work is ordered, placed, refused and moved.
//!
//! One documented value each, handed down to the decisions, so that an experiment can vary them one at
//! a time; `docs/design/decisions.md` has what callers gain by each. It is no setting of
//! operators: these give classes and targets only. Time bounds that keep two runs of a task apart are in
//! [`lease`](crate::decide::besteffort::lease), since they guard a promise and aren't weighed.

use std::time;

/// How an entry decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Admission and the forecast of the wait.
    pub admission: Admission,
    /// The choice of an agent for a task.
    pub placement: Placement,
    /// Moving runs off slow and standing workers.
    pub relocation: Relocation,
    /// Leaving failing workers alone.
    pub barring: Barring,
    /// What run times teach.
    pub learning: Learning,
    /// Which agents an entry links to.
    pub subset: Subset,
}

/// When a job is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Share of a job's slack that may be expected to pass in the queue. Under lasting overload the wait
    /// settles at this bound.
    pub max_slack_used: f64,
    /// Least part of an equal share of the workers that an entry counts on before its own starts tell.
    pub min_share: f64,
    /// Least part of its rate that is left for a class by more urgent ones; keeps the wait finite.
    pub min_rate_left: f64,
}

/// Where a task goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// How many times as long a task runs away from its data, where the settings don't say.
    pub far_factor: f64,
    /// What an exchange with another failure domain takes more.
    pub other_domain_cost: time::Duration,
    /// By which share of the run time a task may end later at an agent that counts as alike to the best: less
    /// than between a sound and a slow worker, and more than chance does to the learned speed of agents.
    pub alike_margin: f64,
    /// Slowness from which an agent gets work only if the target can still be met there.
    pub slow_from: f64,
    /// How many times as long a task is taken to run at the agent that had it last, which lost, failed or
    /// turned it away: another one is tried first unless it is that much slower.
    pub same_agent_factor: f64,
    /// Longest that a start may wait at an agent that was full on arrival, because another entry was
    /// quicker. Longer, and the entry could have placed it elsewhere.
    pub max_wait_at_agent: time::Duration,
    /// Share of a backend server's room that late work leaves free.
    pub share_kept_from_late: f64,
    /// Tasks at the head of the queue that may be passed over because nothing has room for them.
    pub max_passed_over: usize,
}

/// When a run is stopped to begin elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relocation {
    /// What a move costs: the stop, and two exchanges.
    pub move_cost: time::Duration,
    /// How many times sooner the end elsewhere has to be: estimates scatter, and a move throws the work done so
    /// far away.
    pub min_gain: f64,
    /// Shortest time without progress that counts as standing still: a listing and a line may be on their way.
    pub min_standstill: time::Duration,
    /// Hundredths that a sound worker would have done in that time, at least.
    pub min_expected_percent: f64,
    /// Weight of a standstill and of a slow run in the agent's slowness.
    pub learning_weight: f64,
    /// Age from which a run's pace tells anything.
    pub min_age: time::Duration,
    /// Slowness that one run on its own doesn't show: an agent must be known as slow to lose a run.
    pub min_slowness: f64,
}

/// When an agent whose worker fails gets no work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Barring {
    /// Weight of past failures, each counted as 1, after which an agent is barred and then gets one task
    /// at a time. A second failure within two tasks of the first reaches it.
    pub barred_from: f64,
    /// What a task that was done leaves of that weight.
    pub success_factor: f64,
    /// Weight under which an agent counts as sound again.
    pub sound_below: f64,
    /// How long such an agent is left alone before the next task is risked; doubled each time, up to the
    /// longest.
    pub first_bar: time::Duration,
    /// See `first`.
    pub longest_bar: time::Duration,
    /// How long an agent that turned a start away is passed over: the time in which its word of what room
    /// it has arrives.
    pub no_room_pause: time::Duration,
}

/// How many links an entry keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subset {
    /// Agents that an entry links to at any time. So many have room for a job of some hundred tasks at an ordinary
    /// load, and hold sound ones enough to tell slow ones by.
    pub base_size: usize,
    /// How many of the own failure domain stand before one of another.
    pub own_per_other: usize,
    /// Most agents that it links to beyond these while work waits.
    pub max_extra: usize,
    /// How many of these at a time.
    pub extra_at_once: usize,
    /// How long work waits before they are linked to, and the least until the next ones are.
    pub extra_pause: time::Duration,
    /// How long a link may take to open on an entry VM that has used up its share of the processor.
    pub open_timeout: time::Duration,
    /// How long no more are linked to after such that took hardly any work.
    pub no_room_pause: time::Duration,
    /// How many agents near a job's data, or with what it needs, are linked to for it.
    pub links_for_job: usize,
    /// How long a job waits for these.
    pub max_link_wait: time::Duration,
    /// How long such a link is kept unused.
    pub unused_timeout: time::Duration,
    /// How long an agent may be out of reach before another stands in for it.
    pub replaced_after: time::Duration,
}

/// How run times are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learning {
    /// Weight of the declared time against the class's mean, both as logarithms.
    pub declared_weight: f64,
    /// Weight of a new run time in the mean of a class.
    pub class_gain: f64,
    /// Weight of a new run time in the speed of an agent.
    pub agent_gain: f64,
    /// Bounds of an agent's slowness, so that one strange run can't bar an agent or draw all work.
    pub slowness_bounds: (f64, f64),
    /// What a look at the agents leaves of a difference from their median, so that a worker that was slow is
    /// tried again.
    pub deviation_kept: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            admission: Admission {
                max_slack_used: 1.0,
                min_share: 0.9,
                min_rate_left: 0.1,
            },
            placement: Placement {
                far_factor: 1.5,
                other_domain_cost: time::Duration::from_millis(2),
                alike_margin: 0.25,
                slow_from: 2.0,
                same_agent_factor: 2.0,
                max_wait_at_agent: time::Duration::from_millis(40),
                share_kept_from_late: 0.1,
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
        }
    }
}
