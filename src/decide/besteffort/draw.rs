//! Which of several agents that suit a task alike gets it: drawn in proportion to the room there.
//!
//! Answers many entries at an ordinary load. What an entry knows of the room at an agent is up to a
//! heartbeat old. Where each takes the agent that looks emptiest, all take the same one until its next
//! word: starts come back, and jobs are late with nothing waiting (`tests/besteffort_load`).

use xxhash_rust::xxh3;

use crate::decide::besteffort::message::Run;

/// What the draws for a run depend on; the same each time, so that the same events have the same
/// effects.
pub fn seed(run: &Run) -> u64 {
    xxh3::xxh3_64(run.job.as_bytes()) ^ run.number.rotate_left(32) ^ u64::from(run.task)
}

/// A number from 0 to 1.
fn uniform(seed: u64, agent: &str) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(agent.as_bytes(), seed);
    // The upper 53 bits are what fits a float; never 0, whose logarithm isn't finite.
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// The place of an agent in the draw of a seed; the least wins. Of agents with `room` each wins with a
/// chance in proportion to it (the least of exponential times whose rates are the rooms).
pub fn weighted_key(seed: u64, agent: &str, room: f64) -> f64 {
    -uniform(seed, agent).ln() / room.max(f64::MIN_POSITIVE)
}
