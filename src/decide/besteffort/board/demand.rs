//! States the work that waits at the entry; see [`sharing`](crate::decide::besteffort::sharing).

use std::time;

use crate::decide::besteffort::board::Board;
use crate::decide::besteffort::job::{QueueKey, LATE_PRIORITY};
use crate::decide::besteffort::sharing::demand;
use crate::decide::besteffort::told::Statement;

/// How long a statement is sent before it is composed anew. A long queue takes a small VM a while to sum up, and
/// the six agents that are asked every 10 ms may get the same one.
const STATEMENT_MAX_AGE: time::Duration = time::Duration::from_millis(10);

/// The latest statement, and when it was composed.
#[derive(Debug, Default)]
pub(super) struct LatestStatement {
    statement: Option<Statement>,
    composed_at: Option<time::Duration>,
}

impl Board {
    /// Returns what waits at the entry by class, with times on the entry's clock; none if nothing waits or the
    /// feature is off.
    pub fn statement(&mut self, now: time::Duration) -> Option<Statement> {
        if !self.policy.features.demand || self.queue.is_empty() {
            self.latest_statement = LatestStatement::default();
            return None;
        }
        let latest = &self.latest_statement;
        let is_fresh = |composed_at| now < composed_at + STATEMENT_MAX_AGE;
        if !latest.composed_at.is_some_and(is_fresh) {
            self.latest_statement = LatestStatement {
                statement: demand::compose(self.waiting_tasks(), self.links.len() as u32),
                composed_at: Some(now),
            };
        }
        self.latest_statement.statement.clone()
    }

    /// Chooses the class whose turn it is among those behind the first one of the queue, and its first task that can
    /// still be in time: the one with the earliest latest start. A task past its latest start, whose job has begun,
    /// doesn't take the turn from the tasks behind it.
    pub(super) fn update_turn(&mut self, now: time::Duration) {
        self.turn = None;
        let first = self.queue.first().copied();
        let Some((mut priority, ..)) = first.filter(|_| self.policy.features.demand) else {
            return;
        };
        let behind = |priority: u32| (priority.saturating_add(1), time::Duration::ZERO, 0, 0);
        while let Some((next, ..)) = self.queue.range(behind(priority)..).next() {
            priority = *next;
            if priority == LATE_PRIORITY {
                return;
            }
            let can_be_in_time = self.queue.range((priority, now, 0, 0)..behind(priority));
            let Some(key) = can_be_in_time.copied().next() else {
                continue;
            };
            if self.turns.is_overdue(now, priority, key.1)
                && self.turn.is_none_or(|turn: QueueKey| key.1 < turn.1)
            {
                self.turn = Some(key);
            }
        }
    }

    /// Places the task whose turn it is, if an agent has room for it.
    pub(super) fn place_turn(&mut self, now: time::Duration) {
        self.update_turn(now);
        let Some(key) = self.turn.filter(|key| self.place_task(now, key.2, key.3)) else {
            return;
        };
        self.queue.remove(&key);
        if let Some(job) = self.jobs.get(&key.2) {
            let class = job.submission.class.clone();
            log::debug!(job = job.submission.job.as_str(), class = class.as_str(), task = key.3,
                queued = self.queue.len(); "task goes before more urgent ones since its class would starve");
            *self.counts.turns.entry(class).or_default() += 1;
        }
        self.update_turn(now);
    }

    fn waiting_tasks(&self) -> impl Iterator<Item = demand::WaitingTask> + '_ {
        self.queue
            .iter()
            .filter_map(|(priority, latest_start, no, _)| {
                Some(demand::WaitingTask {
                    priority: *priority,
                    cpu: self.jobs.get(no)?.submission.need.cpu,
                    urgency_ms: latest_start.as_millis() as u64,
                })
            })
    }
}
