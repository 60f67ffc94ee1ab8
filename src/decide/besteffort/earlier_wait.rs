//! Estimates how long the caller of a job has waited on earlier submissions.
//!
//! A caller that lost its connection submits its job again with what is left of its time. Served in the order
//! of arrival, such jobs would delay new ones after a fault of many machines, although their own targets have
//! passed. Callers wait at least the time of their class, so that a shorter wait indicates an earlier
//! submission; unless most callers of the class state a shorter wait, which is then their habit.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

/// Weight of the latest job in the moving average of the share of short waits.
const GAIN: f64 = 0.01;

/// Share of short waits in a class from which they indicate nothing.
const HABIT_SHARE: f64 = 0.5;

/// The share of short waits by class.
#[derive(Debug, Default)]
pub struct EarlierWaits {
    /// By class, the share of jobs whose callers wait shorter than the class's time.
    short: HashMap<CompactString, f64>,
}

impl EarlierWaits {
    /// Returns how long the caller of a job has presumably waited on earlier submissions. `shortfall` is by
    /// how much the wait that it states is shorter than the class's time.
    pub fn earlier_wait(
        &mut self,
        class: &CompactString,
        shortfall: time::Duration,
    ) -> time::Duration {
        let share = self.short.entry(class.clone()).or_default();
        let is_short = f64::from(u8::from(!shortfall.is_zero()));
        *share += (is_short - *share) * GAIN;
        if *share < HABIT_SHARE {
            shortfall
        } else {
            time::Duration::ZERO
        }
    }
}
