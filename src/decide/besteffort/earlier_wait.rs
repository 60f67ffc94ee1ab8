//! Which callers have waited before.
//!
//! A caller that lost its connection submits its job again with what is left of its time. Served in the order of
//! arrival, such jobs hold up new ones after a fault of many machines, though their own targets have passed. Callers
//! wait for the time of their class at least, so that a shorter wait tells of an earlier submission; unless most
//! callers of the class say so, whose habit it is then.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

/// Weight of one job in the share of short waits.
const GAIN: f64 = 0.01;

/// Share of short waits in a class from which they tell nothing.
const HABIT: f64 = 0.5;

/// How callers of each class wait.
#[derive(Debug, Default)]
pub struct EarlierWaits {
    /// Share of jobs whose callers waited shorter than the class's time.
    short: HashMap<CompactString, f64>,
}

impl EarlierWaits {
    /// How long the caller of a job has waited before, given by how much its wait falls short of the class's
    /// time.
    pub fn earlier_wait(
        &mut self,
        class: &CompactString,
        short_by: time::Duration,
    ) -> time::Duration {
        let share = self.short.entry(class.clone()).or_default();
        let is_short = f64::from(u8::from(!short_by.is_zero()));
        *share += (is_short - *share) * GAIN;
        if *share < HABIT {
            short_by
        } else {
            time::Duration::ZERO
        }
    }
}
