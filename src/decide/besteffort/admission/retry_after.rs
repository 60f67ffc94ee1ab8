//! Tells the caller of a refused job when to submit it again.

use std::time;

use xxhash_rust::xxh3;

use crate::decide::besteffort::admission::decision::Forecast;
use crate::decide::besteffort::admission::known::Known;
use crate::decide::besteffort::policy;

/// Longest addition to a delay, as a part of it. Callers that were refused in the same burst return over half
/// of the time that the backlog needs, instead of all at once.
const SPREAD: f64 = 0.5;

/// Returns the delay after which the caller of a refused job may submit it again: the time until the work
/// before it has shrunk to what a new job of its class can wait behind, and up to half of that in addition by
/// the job's id. It is at most the time that callers of the class wait.
pub fn retry_after(
    known: &Known,
    forecast: &Forecast,
    job: &str,
    policy: &policy::Admission,
) -> time::Duration {
    let acceptable = known.slack.mul_f64(policy.max_slack_used);
    let drained = forecast.wait.saturating_sub(acceptable);
    let longest = known.class_wait.max(policy.min_retry);
    let delay = drained
        .min(longest.div_f64(1.0 + SPREAD))
        .max(policy.min_retry);
    // The upper 53 bits fit a float without rounding.
    let part = (xxh3::xxh3_64(job.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    delay.mul_f64(1.0 + SPREAD * part).min(longest)
}
