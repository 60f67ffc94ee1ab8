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
    pub rescue: Relocation,
    /// Leaving failing workers alone.
    pub bar: Barring,
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
    pub admitted: f64,
    /// Least part of an equal share of the workers that an entry counts on before its own starts tell.
    pub least_share: f64,
    /// Least part of its rate that is left for a class by more urgent ones; keeps the wait finite.
    pub least_left: f64,
}

/// Where a task goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// How many times as long a task runs away from its data, where the settings don't say.
    pub far: f64,
    /// What an exchange with another failure domain takes more.
    pub other_domain: time::Duration,
    /// By which share of the run time a task may end later at an agent that counts as alike to the best: less
    /// than between a sound and a slow worker, and more than chance does to the learned speed of agents.
    pub alike: f64,
    /// Slowness from which an agent gets work only if the target can still be met there.
    pub slow: f64,
    /// How many times as long a task is taken to run at the agent that had it last, which lost, failed or
    /// turned it away: another one is tried first unless it is that much slower.
    pub again: f64,
    /// Longest that a start may wait at an agent that was full on arrival, because another entry was
    /// quicker. Longer, and the entry could have placed it elsewhere.
    pub patience: time::Duration,
    /// Share of a backend server's room that late work leaves free.
    pub kept: f64,
    /// Tasks at the head of the queue that may be passed over because nothing has room for them.
    pub look_ahead: usize,
}

/// When a run is stopped to begin elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relocation {
    /// What a move costs: the stop, and two exchanges.
    pub cost: time::Duration,
    /// How many times sooner the end elsewhere has to be: estimates scatter, and a move throws the work done so
    /// far away.
    pub gain: f64,
    /// Shortest time without progress that counts as standing still: a listing and a line may be on their way.
    pub standstill: time::Duration,
    /// Hundredths that a sound worker would have done in that time, at least.
    pub expected: f64,
    /// Weight of a standstill and of a slow run in the agent's slowness.
    pub tells: f64,
    /// Age from which a run's pace tells anything.
    pub young: time::Duration,
    /// Slowness that one run on its own doesn't show: an agent must be known as slow to lose a run.
    pub slow: f64,
}

/// When an agent whose worker fails gets no work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Barring {
    /// Weight of past failures, each counted as 1, after which an agent is barred and then gets one task
    /// at a time. A second failure within two tasks of the first reaches it.
    pub failing: f64,
    /// What a task that was done leaves of that weight.
    pub forgives: f64,
    /// Weight under which an agent counts as sound again.
    pub sound: f64,
    /// How long such an agent is left alone before the next task is risked; doubled each time, up to the
    /// longest.
    pub first: time::Duration,
    /// See `first`.
    pub longest: time::Duration,
    /// How long an agent that turned a start away is passed over: the time in which its word of what room
    /// it has arrives.
    pub turned_away: time::Duration,
}

/// How many links an entry keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subset {
    /// Agents that an entry links to at any time. So many have room for a job of some hundred tasks at an ordinary
    /// load, and hold sound ones enough to tell slow ones by.
    pub size: usize,
    /// How many of the own failure domain stand before one of another.
    pub near: usize,
    /// Most agents that it links to beyond these while work waits.
    pub most_extra: usize,
    /// How many of these at a time.
    pub step: usize,
    /// How long work waits before they are linked to, and the least until the next ones are.
    pub pause: time::Duration,
    /// How long a link may take to open on an entry VM that has used up its share of the processor.
    pub opens_within: time::Duration,
    /// How long no more are linked to after such that took hardly any work.
    pub in_vain: time::Duration,
    /// How many agents near a job's data, or with what it needs, are linked to for it.
    pub sought: usize,
    /// How long a job waits for these.
    pub patience: time::Duration,
    /// How long such a link is kept unused.
    pub linger: time::Duration,
    /// How long an agent may be out of reach before another stands in for it.
    pub missing: time::Duration,
}

/// How run times are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learning {
    /// Weight of the declared time against the class's mean, both as logarithms.
    pub declared: f64,
    /// Weight of a new run time in the mean of a class.
    pub class_gain: f64,
    /// Weight of a new run time in the speed of an agent.
    pub agent_gain: f64,
    /// Bounds of an agent's slowness, so that one strange run can't bar an agent or draw all work.
    pub slowness: (f64, f64),
    /// What a look at the agents leaves of a difference from their median, so that a worker that was slow is
    /// tried again.
    pub keep: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            admission: Admission {
                admitted: 1.0,
                least_share: 0.9,
                least_left: 0.1,
            },
            placement: Placement {
                far: 1.5,
                other_domain: time::Duration::from_millis(2),
                alike: 0.25,
                slow: 2.0,
                again: 2.0,
                patience: time::Duration::from_millis(40),
                kept: 0.1,
                look_ahead: 4,
            },
            rescue: Relocation {
                cost: time::Duration::from_millis(80),
                gain: 1.6,
                standstill: time::Duration::from_millis(350),
                expected: 12.0,
                tells: 0.08,
                young: time::Duration::from_millis(60),
                slow: 1.8,
            },
            bar: Barring {
                failing: 1.4,
                forgives: 0.7,
                sound: 0.5,
                first: time::Duration::from_millis(500),
                longest: time::Duration::from_secs(4),
                turned_away: time::Duration::from_millis(20),
            },
            learning: Learning {
                declared: 0.5,
                class_gain: 0.02,
                agent_gain: 0.1,
                slowness: (0.5, 16.0),
                keep: 0.995,
            },
            subset: Subset {
                size: 32,
                near: 3,
                most_extra: 224,
                step: 4,
                pause: time::Duration::from_millis(10),
                opens_within: time::Duration::from_millis(100),
                in_vain: time::Duration::from_secs(1),
                sought: 8,
                patience: time::Duration::from_millis(30),
                linger: time::Duration::from_secs(2),
                missing: time::Duration::from_secs(1),
            },
        }
    }
}
