//! Placement by the speeds of backend servers; see [`pace`](crate::decide::besteffort::pace).

use std::collections::BTreeSet;
use std::time;

use crate::decide::besteffort::board::Board;
use crate::decide::besteffort::job::{Job, LinkNo};
use crate::decide::besteffort::message::AgentMessage;
use crate::decide::besteffort::pace::matching::{
    Choice, Limits, FAST_UP_TO, LAST_RESORT, SCARCE_BELOW,
};
use crate::decide::besteffort::pace::told::Source;
use crate::id;

impl Board {
    /// Returns the factor by which runs at an agent take longer than at the median agent.
    pub(super) fn slowness(&self, agent: &str) -> f64 {
        let own = self.run_times.slowness(agent);
        if self.policy.features.pace {
            self.paces.slowness(agent, own)
        } else {
            own
        }
    }

    /// Records the speed in an agent's message, for the backend server that it has announced.
    pub(super) fn record_pace(&mut self, agent: &id::AgentId, message: &AgentMessage) {
        let Some(view) = self.agents.get(agent) else {
            return;
        };
        if !self.policy.features.pace || view.backend.incarnation.id.is_empty() {
            return;
        }
        self.paces.retain_server(agent, &view.backend.incarnation);
        let Some(pace) = message.pace else {
            return;
        };
        let source = Source {
            agent: view.incarnation,
            server: view.backend.incarnation.clone(),
        };
        if self.paces.record(agent, source, pace) {
            self.update_paces();
        }
    }

    /// Compares the speeds of the linked agents.
    pub(super) fn update_paces(&mut self) {
        if self.policy.features.pace {
            let agents = &self.agents;
            self.paces
                .update_median(|agent| agents.get(agent).is_some_and(|view| view.link.is_some()));
        }
    }

    fn limits(&self, now: time::Duration, job: &Job) -> Limits {
        let left = (job.latest_start + job.estimate).saturating_sub(now);
        let mut seconds_left = left.as_secs_f64();
        if !job.is_late() {
            let submission = &job.submission;
            let nominal = self
                .nominal_times
                .nominal(&submission.class, submission.declared_run_time);
            let beyond_estimate = nominal.as_secs_f64() - job.estimate.as_secs_f64();
            seconds_left += beyond_estimate * submission.stretch;
        }
        Limits {
            // Expected run times are in estimates at the median agent.
            seconds_left: seconds_left / self.paces.median_ratio(),
            alike_seconds: job.estimate.as_secs_f64() * self.policy.placement.alike_margin,
            may_wait: !job.is_late() && now + LAST_RESORT < job.latest_start,
        }
    }

    /// Returns the shortest expected run time of a job's tasks at any agent, full ones included, in seconds.
    fn best_seconds(&self, now: time::Duration, job: &Job) -> f64 {
        self.large_enough_agents(job)
            .filter(|view| view.run_count > 0 || view.accepts_tasks(now))
            .map(|view| self.expected_seconds(job, view, self.slowness(&view.agent)))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether less than a quarter of the room is free at the fast agents that suit a job.
    fn is_fast_room_scarce(&self, job: &Job) -> bool {
        let fast = self
            .large_enough_agents(job)
            .filter(|view| self.slowness(&view.agent) <= FAST_UP_TO);
        let (free, size) = fast.fold((0, 0), |(free, size), view| {
            (free + view.free().cpu.max(0), size + view.backend.size.cpu)
        });
        (free as f64) < size as f64 * SCARCE_BELOW
    }

    /// Chooses among the expected run times at the agents with room for a task of the job.
    pub(super) fn match_speeds(&self, now: time::Duration, job: &Job, with_room: &[f64]) -> Choice {
        if with_room.is_empty() {
            return Choice::None;
        }
        let best = self.best_seconds(now, job);
        self.limits(now, job)
            .choose(with_room, best, self.is_fast_room_scarce(job))
    }

    /// Returns the links on which the first waiting work isn't announced, because it waits for faster agents.
    /// Room that they lent would be returned unused, and be lent again at once.
    pub fn links_not_asked(&self, now: time::Duration) -> BTreeSet<LinkNo> {
        let first = self.queue.first().and_then(|key| self.jobs.get(&key.2));
        let Some(job) = first.filter(|_| self.policy.features.pace) else {
            return BTreeSet::new();
        };
        let best = self.best_seconds(now, job);
        let limits = self.limits(now, job);
        let waits = self.large_enough_agents(job).filter(|view| {
            let seconds = self.expected_seconds(job, view, self.slowness(&view.agent));
            limits.waits_rather(seconds, best)
        });
        waits.filter_map(|view| view.link).collect()
    }
}
