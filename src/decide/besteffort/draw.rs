//! Draws one of several agents that suit a task equally well, in proportion to the room there.
//!
//! What an entry knows of an agent's room is up to a heartbeat old. If each of many entries chose the agent
//! with the most free room, all would choose the same one until its next message: even at an ordinary load,
//! the agent would return starts, and jobs would be late with nothing waiting (`tests/besteffort_load`).

use xxhash_rust::xxh3;

use crate::decide::besteffort::message::Run;

/// Returns the seed of the draws for a run. It depends on the run only, so that the same events always have
/// the same effects.
pub fn seed(run: &Run) -> u64 {
    xxh3::xxh3_64(run.job.as_bytes()) ^ run.number.rotate_left(32) ^ u64::from(run.task)
}

/// Returns a number between 0 and 1, by hash of the seed and the agent.
fn uniform(seed: u64, agent: &str) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(agent.as_bytes(), seed);
    // The upper 53 bits fit a float without rounding. The result is never 0, whose logarithm isn't finite.
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Returns the key of an agent in the draw of a seed; the smallest key wins. Each agent wins with a chance in
/// proportion to its `room`, since the keys are exponentially distributed with the rooms as rates.
pub fn weighted_key(seed: u64, agent: &str, room: f64) -> f64 {
    -uniform(seed, agent).ln() / room.max(f64::MIN_POSITIVE)
}
