//! Forecasts the wait of a job, and decides whether it is accepted.
//!
//! It addresses bursts in which an entry refused jobs that would have been served: the forecast from the
//! entry's own starts showed 480 to 1,090 ms while accepted jobs waited 39 ms at most in nine of ten cases.

use std::time;

use crate::decide::besteffort::admission::known::{Backlog, Known};
use crate::decide::besteffort::policy;

/// Longest wait that is forecast, in seconds: longer than any caller waits, and a finite number.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Lower bound of a rate in thousandths of a core per second; keeps the forecast finite.
const MIN_RATE: f64 = 1.0;

/// Lower bound of a run time in rates, in seconds.
const MIN_RUN_SECONDS: f64 = 0.001;

/// The forecast behind a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// How long the job's last task waits for room, in the order of its class.
    pub wait: time::Duration,
    /// How long it waits behind all other work.
    pub late_wait: time::Duration,
    /// Room per second that becomes free for the job in the order of its class, in thousandths of a core.
    pub rate: f64,
}

/// What becomes of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is expected to meet its target.
    Accept(Forecast),
    /// It can't meet its target, but is expected to end before its caller stops waiting, behind all other work.
    AcceptLate(Forecast),
    /// It can't end before its caller stops waiting without delaying work that can be in time.
    Refuse(Forecast),
}

impl Decision {
    /// Returns the forecast behind the decision.
    pub fn forecast(&self) -> &Forecast {
        match self {
            Decision::Accept(f) | Decision::AcceptLate(f) | Decision::Refuse(f) => f,
        }
    }

    /// Returns the decision's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Decision::Accept(_) => "accept",
            Decision::AcceptLate(_) => "accept_late",
            Decision::Refuse(_) => "refuse",
        }
    }
}

/// Decides whether a job is accepted.
pub fn decide(known: &Known, policy: &policy::Admission) -> Decision {
    let (wait, rate) = wait_behind(known, &known.ahead, policy);
    let has_room = known.fitting_tasks > 0 && known.ahead.here + known.ahead.at_others == 0.0;
    let wait = if has_room { time::Duration::ZERO } else { wait };
    let late_wait = late_wait(known, policy);
    let forecast = Forecast {
        wait,
        late_wait,
        rate,
    };
    let ends_before_deadline = wait + known.run_time <= known.left;
    let meets_target = wait <= known.slack.mul_f64(policy.max_slack_used);
    if !known.is_late && meets_target && ends_before_deadline {
        Decision::Accept(forecast)
    } else if late_wait.mul_f64(1.0 + policy.late_margin) + known.run_time <= known.left {
        Decision::AcceptLate(forecast)
    } else {
        Decision::Refuse(forecast)
    }
}

/// Returns how long a job waits behind all other work.
pub fn late_wait(known: &Known, policy: &policy::Admission) -> time::Duration {
    wait_behind(known, &known.all, policy).0
}

/// Returns how long the job waits behind a backlog, and the rate at which room becomes free for it. The work
/// at this entry is spread over all agents that it may be linked to; the work at others is known only for the
/// linked ones, and counts as alike on the rest.
fn wait_behind(
    known: &Known,
    backlog: &Backlog,
    policy: &policy::Admission,
) -> (time::Duration, f64) {
    let reach = known.reach.max(1.0);
    let needed = (backlog.here + known.own) / reach;
    let missing = needed - backlog.free;
    // Free room that the job and the work before it take becomes free again after a run.
    let run_seconds = known.run_time.as_secs_f64().max(MIN_RUN_SECONDS);
    let freed = known.freed_per_s + needed.min(backlog.free) / run_seconds;
    let rate = (freed - backlog.started_per_s)
        .max(freed * policy.min_rate_left)
        .max(MIN_RATE);
    let wait = if missing <= 0.0 {
        0.0
    } else {
        ((backlog.at_others + missing) / rate).min(MAX_WAIT_SECONDS)
    };
    (time::Duration::from_secs_f64(wait), rate * reach)
}
