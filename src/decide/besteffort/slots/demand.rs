//! Keeps what entries state of their waiting work, and reports to each entry what waits at the others and what
//! becomes free here; see [`sharing`](crate::decide::besteffort::sharing).

use std::collections::BTreeMap;
use std::time;

use crate::decide::besteffort::message::EntryIncarnation;
use crate::decide::besteffort::sharing::{demand, rates};
use crate::decide::besteffort::slots::{millis, Slots, State};
use crate::decide::besteffort::told::{Demand, Statement};

/// Least time between two reports on one link. Waiting work changes within a heartbeat (120 ms), and an entry
/// on a small VM hears of each loan and each end, up to several hundred per second.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);

impl Slots {
    /// Updates what an entry states of the work that waits there; none if nothing waits. Does nothing unless
    /// the feature is on.
    pub fn update_statement(&mut self, name: &EntryIncarnation, statement: Option<Statement>) {
        if !self.features.demand {
            return;
        }
        let size = self.backend.size.cpu;
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let share = statement.map(|statement| demand::share(&statement, size));
        let share = share.unwrap_or_default();
        if share.is_cut && !entry.waiting_share.is_cut {
            log::debug!(entry = name.entry.as_str(), size = size;
                "entry states more waiting work than the backend server has room for");
        }
        entry.waiting_share = share;
    }

    /// Returns the room that work waiting at all entries needs here, in thousandths of a core, by priority; none unless
    /// the feature is on.
    pub fn demand_cpu(&self, now: time::Duration) -> Option<BTreeMap<u32, u64>> {
        if !self.features.demand {
            return None;
        }
        let alive = self.entries.values().filter(|e| now < e.alive_until);
        let rows = demand::rows(alive.map(|e| &e.waiting_share), std::iter::empty());
        Some(
            rows.into_iter()
                .map(|row| (row.priority, row.others_cpu))
                .collect(),
        )
    }

    /// Returns the report to an entry that is due now, and counts it as sent.
    pub(super) fn take_demand(
        &mut self,
        name: &EntryIncarnation,
        now: time::Duration,
    ) -> Option<Demand> {
        if !self.features.demand {
            return None;
        }
        let sent_at = self.entries.get(name)?.demand_sent_at;
        if sent_at.is_some_and(|sent_at| now < sent_at + REPORT_INTERVAL) {
            return None;
        }
        let others = self.entries.iter().filter(|(other, _)| *other != name);
        let others = others.filter(|(_, entry)| now < entry.alive_until);
        let others: Vec<&demand::Share> = others.map(|(_, entry)| &entry.waiting_share).collect();
        let is_waiting = others.iter().any(|share| !share.classes.is_empty());
        if self.held.is_empty() && !is_waiting {
            return None;
        }
        let runs = self.held.values().filter(|h| h.state != State::Waiting);
        let runs = runs.map(|held| rates::CurrentRun {
            cpu: held.start.need.cpu,
            estimate: millis(held.start.estimate_ms),
            age: now.saturating_sub(held.since),
        });
        let report = Demand {
            frees_per_s: rates::frees_per_s(runs),
            classes: demand::rows(others.into_iter(), self.start_rates.per_second(now)),
        };
        self.entries.get_mut(name)?.demand_sent_at = Some(now);
        Some(report)
    }
}
