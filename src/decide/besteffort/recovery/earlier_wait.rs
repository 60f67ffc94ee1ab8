//! Recognises callers that submit a job again, also where what is left of their wait is longer than the time of
//! their class.
//!
//! Callers wait longer for long tasks, so that the time of a class says little about these. The usual wait is learned
//! from what callers state, by class and declared run time: it is reached by one job in sixteen, since after a loss of
//! all processes most callers of the first second come again with less, and those that couldn't connect have
//! waited for some milliseconds only.

use std::collections::{HashMap, VecDeque};
use std::time;

use compact_str::CompactString;

/// Number of jobs from which the usual wait of similar ones is known; one with an unusual wait isn't enough.
const MIN_JOBS: usize = 4;

/// Most jobs by which the usual wait is known; a class that changes its wait is known anew after as many.
const MAX_JOBS: usize = 48;

/// One in so many jobs states at least the usual wait.
const USUAL_ONE_IN: usize = 16;

/// Groups of declared run times within a factor of two: wait may be proportional to the run time, and jobs of one
/// group must be comparable.
const GROUPS_PER_DOUBLING: f64 = 4.0;

/// Shortfall, as a part of the usual wait, up to which a wait counts as usual.
const USUAL_MARGIN: f64 = 0.05;

/// Part of the recent jobs with a shorter wait from which it indicates nothing. After a loss of all processes it
/// isn't applied, since most callers do come again then.
const HABIT_SHARE: f64 = 0.5;

/// The jobs of a class that declare about the same run time.
type Group = (CompactString, i32);

/// A caller's statements, in seconds.
#[derive(Clone, Copy, Debug)]
struct Stated {
    wait: f64,
    /// The wait as a multiple of the declared run time.
    multiple: f64,
}

/// The waits that callers have stated lately.
#[derive(Debug, Default)]
pub struct UsualWaits {
    stated: HashMap<Group, VecDeque<Stated>>,
}

impl UsualWaits {
    /// Returns by how much the caller of a job waits shorter than callers of similar jobs usually do, and counts its
    /// wait. `after_return` is whether the entry has started lately. Returns none while too few jobs are known.
    pub fn shortfall(
        &mut self,
        class: &CompactString,
        declared: time::Duration,
        wait: time::Duration,
        after_return: bool,
    ) -> Option<time::Duration> {
        let declared = declared.as_secs_f64().max(f64::MIN_POSITIVE);
        let wait = wait.as_secs_f64();
        let group = (declared.log2() * GROUPS_PER_DOUBLING).floor() as i32;
        let stated = self.stated.entry((class.clone(), group)).or_default();
        stated.push_back(Stated {
            wait,
            multiple: wait / declared,
        });
        if stated.len() > MAX_JOBS {
            stated.pop_front();
        }
        if stated.len() < MIN_JOBS {
            return None;
        }
        // The wait is constant or grows with the run time, up to proportionally. The smaller estimate is right at
        // both ends.
        let usual_wait = usual(stated.iter().map(|s| s.wait));
        let usual_multiple = usual(stated.iter().map(|s| s.multiple));
        let is_shorter = |s: &&Stated| {
            s.wait < usual_wait * (1.0 - USUAL_MARGIN)
                && s.multiple < usual_multiple * (1.0 - USUAL_MARGIN)
        };
        let shorter = stated.iter().filter(is_shorter).count();
        if !after_return && shorter as f64 >= stated.len() as f64 * HABIT_SHARE {
            return Some(time::Duration::ZERO);
        }
        let shortfall = usual_wait.min(usual_multiple * declared) - wait;
        Some(time::Duration::from_secs_f64(shortfall.max(0.0)))
    }
}

/// Returns the value that one in [`USUAL_ONE_IN`] reaches.
fn usual(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(|a, b| b.total_cmp(a));
    values[(values.len() - 1) / USUAL_ONE_IN]
}
