//! Decides when a class goes first at an entry although more urgent work waits.
//!
//! It addresses urgent classes that ask for more than all room, such as one at 2.3 times its rate: the classes
//! behind it got nothing until their targets had passed.

use std::collections::BTreeMap;
use std::time;

use crate::decide::besteffort::sharing::rates::Rate;

/// How long before its latest start the first task of a class is overdue: the time of one loan, so that it may still
/// be in time.
const OVERDUE_BEFORE: time::Duration = time::Duration::from_millis(25);

/// Part of the work started lately below which a class has a turn. Callers of more urgent classes lose no more
/// than that.
const MIN_SHARE: f64 = 0.1;

/// Part of the work started lately below which a class is forgotten. It bounds their number, and is too little to
/// decide on a turn.
const FORGOTTEN_SHARE: f64 = 0.001;

/// The work that an entry started lately, by class: room times expected run time. Were it room alone, a tenth for tasks
/// of 900 ms beside others of 60 ms would take more than half of the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    all: Rate,
    by_priority: BTreeMap<u32, Rate>,
}

impl Turns {
    /// Counts a started task that takes this much room, in thousandths of a core.
    pub fn started(
        &mut self,
        now: time::Duration,
        priority: u32,
        cpu: i64,
        run_time: time::Duration,
    ) {
        let work = cpu.max(0) as f64 * run_time.as_secs_f64();
        self.all.add(now, work);
        let rates = &mut self.by_priority;
        rates.entry(priority).or_default().add(now, work);
        let least = FORGOTTEN_SHARE * self.all.decayed_sum(now);
        rates.retain(|_, rate| rate.decayed_sum(now) >= least);
    }

    /// Whether it's the turn of a class, by the latest start of its first task that can still be in time.
    pub fn is_overdue(
        &self,
        now: time::Duration,
        priority: u32,
        latest_start: time::Duration,
    ) -> bool {
        let started = self.by_priority.get(&priority);
        let started = started.map_or(0.0, |rate| rate.decayed_sum(now));
        let is_due = (now..=now + OVERDUE_BEFORE).contains(&latest_start);
        is_due && started < MIN_SHARE * self.all.decayed_sum(now)
    }
}
