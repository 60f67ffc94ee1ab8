//! Learns from run times how far declared run times are off, by class, and how fast each agent works.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::policy;
use crate::id;

/// Shortest run time that is distinguished, in seconds.
const MIN_SECONDS: f64 = 0.001;

/// What was learned from run times.
#[derive(Debug)]
pub struct RunTimes {
    policy: policy::Learning,
    /// By class, the mean logarithm of the run time in seconds and the number of runs.
    classes: HashMap<CompactString, (f64, u32)>,
    /// By agent, the logarithm of the run time over the estimate. Only differences between agents count: what
    /// all have in common shows that the estimates are off.
    agents: HashMap<id::AgentId, f64>,
    median: f64,
}

impl RunTimes {
    /// Opens the state before any run has ended.
    pub fn open(policy: policy::Learning) -> RunTimes {
        RunTimes {
            policy,
            classes: HashMap::new(),
            agents: HashMap::new(),
            median: 0.0,
        }
    }

    /// Returns how long a task runs on a typical backend server.
    pub fn estimate(&self, class: &str, declared: time::Duration) -> time::Duration {
        let declared = declared.as_secs_f64().max(MIN_SECONDS).ln();
        let seconds = match self.classes.get(class) {
            Some((mean, _)) => {
                let weight = self.policy.declared_weight;
                weight * declared + (1.0 - weight) * mean
            }
            None => declared,
        };
        time::Duration::from_secs_f64(seconds.exp())
    }

    /// Returns by which factor runs at an agent take longer than usual.
    pub fn slowness(&self, agent: &str) -> f64 {
        let agent_log = self.agents.get(agent).copied().unwrap_or(self.median);
        let (least, most) = self.policy.slowness_bounds;
        (agent_log - self.median).exp().clamp(least, most)
    }

    /// Takes in the run time of a task that is done.
    pub fn record_run(
        &mut self,
        class: &str,
        agent: &str,
        estimate: time::Duration,
        took: time::Duration,
    ) {
        let took = took.as_secs_f64().max(MIN_SECONDS);
        let usual_log = (took / self.slowness(agent)).max(MIN_SECONDS).ln();
        let (mean, count) = self.classes.entry(class.into()).or_insert((usual_log, 0));
        *count += 1;
        let gain = self.policy.class_gain.max(1.0 / f64::from(*count));
        *mean += gain * (usual_log - *mean);
        let ratio = took / estimate.as_secs_f64().max(MIN_SECONDS);
        self.record_ratio(agent, ratio, self.policy.agent_gain);
    }

    /// Takes in a ratio of actual to expected run time at an agent, with weight `gain`.
    pub fn record_ratio(&mut self, agent: &str, ratio: f64, gain: f64) {
        let agent_log = self.agents.entry(agent.into()).or_insert(self.median);
        let (least, most) = self.policy.slowness_bounds;
        let ratio = ratio.clamp(least, most).ln();
        *agent_log += gain * (ratio - *agent_log);
    }

    /// Recomputes the median of the agents, and moves each agent a little towards it. To be called fifty
    /// times a second.
    pub fn update_median(&mut self) {
        let mut all: Vec<f64> = self.agents.values().copied().collect();
        all.sort_unstable_by(f64::total_cmp);
        self.median = all.get(all.len() / 2).copied().unwrap_or(0.0);
        for agent_log in self.agents.values_mut() {
            *agent_log = self.median + self.policy.deviation_kept * (*agent_log - self.median);
        }
    }

    /// Forgets the speed of an agent, since its backend server was replaced.
    pub fn forget_agent(&mut self, agent: &str) {
        self.agents.remove(agent);
    }
}
