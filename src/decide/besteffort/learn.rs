//! Learns from observed run times how long the tasks of each class run, and how fast each agent's backend
//! server is.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::policy;
use crate::id;

/// Lower bound of run times, in seconds; keeps their logarithms finite.
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
    /// Median of the values in `agents`.
    median: f64,
}

impl RunTimes {
    /// Returns the state in which nothing has been learned yet.
    pub fn open(policy: policy::Learning) -> RunTimes {
        RunTimes {
            policy,
            classes: HashMap::new(),
            agents: HashMap::new(),
            median: 0.0,
        }
    }

    /// Returns the expected run time of a task on a backend server of median speed: the declared time,
    /// weighted against the mean of the class once there is one.
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

    /// Returns the factor by which runs at an agent take longer than at the median agent.
    pub fn slowness(&self, agent: &str) -> f64 {
        let agent_log = self.agents.get(agent).copied().unwrap_or(self.median);
        let (least, most) = self.policy.slowness_bounds;
        (agent_log - self.median).exp().clamp(least, most)
    }

    /// Learns from the run time of a task that is done.
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

    /// Learns from a ratio of actual to expected run time at an agent, with weight `gain`.
    pub fn record_ratio(&mut self, agent: &str, ratio: f64, gain: f64) {
        let agent_log = self.agents.entry(agent.into()).or_insert(self.median);
        let (least, most) = self.policy.slowness_bounds;
        let ratio = ratio.clamp(least, most).ln();
        *agent_log += gain * (ratio - *agent_log);
    }

    /// Recomputes the median of the agents, and moves each agent a little towards it. The policy's
    /// `deviation_kept` assumes fifty calls a second.
    pub fn update_median(&mut self) {
        let mut all: Vec<f64> = self.agents.values().copied().collect();
        all.sort_unstable_by(f64::total_cmp);
        self.median = all.get(all.len() / 2).copied().unwrap_or(0.0);
        for agent_log in self.agents.values_mut() {
            *agent_log = self.median + self.policy.deviation_kept * (*agent_log - self.median);
        }
    }

    /// Forgets the speed of an agent whose backend server was replaced, or that is no longer known.
    pub fn forget_agent(&mut self, agent: &str) {
        self.agents.remove(agent);
    }
}
