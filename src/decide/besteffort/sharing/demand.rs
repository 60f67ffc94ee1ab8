//! What an entry states of the work that waits there, and how much of it counts at one agent.

use std::collections::BTreeMap;

use crate::decide::besteffort::job::LATE_PRIORITY;
use crate::decide::besteffort::told::{ClassDemand, ClassWaiting, Statement, MAX_CLASSES};

/// A task that waits at an entry.
#[derive(Clone, Copy, Debug)]
pub struct WaitingTask {
    /// Urgency of its class, or [`LATE_PRIORITY`].
    pub priority: u32,
    /// Room that it takes, in thousandths of a core.
    pub cpu: i64,
    /// Its latest start, in milliseconds.
    pub urgency_ms: u64,
}

/// Composes the statement of an entry from its waiting tasks, the next one first; none if nothing waits.
///
/// Classes beyond the bound are added to the last row before the late work, so that the sum of the room
/// stays right however many classes operators define.
pub fn compose(tasks: impl Iterator<Item = WaitingTask>, links: u32) -> Option<Statement> {
    let mut classes: Vec<ClassWaiting> = Vec::new();
    for task in tasks {
        let is_late = task.priority == LATE_PRIORITY;
        let is_full = classes.len() >= MAX_CLASSES - 1 && !is_late;
        let cpu = task.cpu.max(0) as u64;
        match classes.last_mut() {
            Some(row) if row.priority == task.priority || is_full => {
                row.cpu += cpu;
                row.tasks += 1;
            }
            _ => classes.push(ClassWaiting {
                priority: task.priority,
                cpu,
                tasks: 1,
                urgency_ms: task.urgency_ms,
            }),
        }
    }
    (!classes.is_empty()).then_some(Statement { classes, links })
}

/// The part of an entry's statement that counts at one agent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// The rows, with the room and the number of tasks that fall to this agent; the most urgent first.
    pub classes: Vec<ClassWaiting>,
    /// Whether the bound on the room has cut the statement.
    pub is_cut: bool,
}

/// Returns the part of a statement that counts at an agent whose backend server has this much room, in
/// thousandths of a core.
///
/// The work is spread over the entry's links. All rows together count at most as the whole backend server, so
/// that an entry that overstates its work or has few links can't claim more than there is.
pub fn share(statement: &Statement, size_cpu: i64) -> Share {
    let mut share = Share::default();
    let mut left = size_cpu.max(0) as u64;
    let links = statement.links.max(1);
    for row in statement.classes.iter().take(MAX_CLASSES) {
        let wanted = row.cpu.div_ceil(u64::from(links));
        let cpu = wanted.min(left);
        share.is_cut |= cpu < wanted;
        left -= cpu;
        let tasks = row.tasks.div_ceil(links);
        share.classes.push(ClassWaiting { cpu, tasks, ..*row });
    }
    share
}

/// Merges what waits at other entries and what was started here into the rows of a report.
///
/// Where there are more classes than a message may have, the least urgent ones before the late work are left
/// out: forecasts subtract what more urgent classes take, which needs the first rows most.
pub fn rows<'a>(
    others: impl Iterator<Item = &'a Share>,
    starts: impl Iterator<Item = (u32, u64)>,
) -> Vec<ClassDemand> {
    let mut rows: BTreeMap<u32, ClassDemand> = BTreeMap::new();
    let row = |priority| ClassDemand {
        priority,
        ..ClassDemand::default()
    };
    for waiting in others.flat_map(|share| &share.classes) {
        let priority = waiting.priority;
        rows.entry(priority).or_insert(row(priority)).others_cpu += waiting.cpu;
    }
    for (priority, rate) in starts {
        rows.entry(priority).or_insert(row(priority)).starts_per_s = rate;
    }
    let late = rows.remove(&LATE_PRIORITY);
    let kept = MAX_CLASSES - usize::from(late.is_some());
    rows.into_values().take(kept).chain(late).collect()
}
