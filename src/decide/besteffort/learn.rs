//! What run times teach: how far declared times are off, by class, and how fast each agent works.

use std::collections::HashMap;
use std::time;

use compact_str::CompactString;

use crate::id;

/// Weight of the declared time against the class's mean, both as logarithms. Declared times and
/// work scatter about equally (0.4 each on today's deployments), so each tells half.
const DECLARED: f64 = 0.5;

/// Weight of a new run time in the mean of a class.
const CLASS_GAIN: f64 = 0.02;

/// Weight of a new run time in the speed of an agent.
const AGENT_GAIN: f64 = 0.1;

/// Bounds of an agent's slowness, so that one strange run can't bar an agent or draw all work.
const SLOWNESS: (f64, f64) = (0.5, 16.0);

/// Shortest run time that is told apart.
const SHORTEST: f64 = 0.001;

/// What a look at the agents leaves of a difference from their median, fifty times a second: half
/// of it after three seconds in which nothing ran there. A worker that was slow is tried again.
const KEEP: f64 = 0.995;

/// What was learned.
#[derive(Debug, Default)]
pub struct Learned {
    /// Mean logarithm of the run time in seconds, and how many were seen.
    classes: HashMap<CompactString, (f64, u32)>,
    /// Logarithm of the run time against the estimate. Only differences between agents count: what
    /// all have in common says that the estimate is off.
    agents: HashMap<id::AgentId, f64>,
    median: f64,
}

impl Learned {
    /// How long a task runs on a usual worker.
    pub fn estimate(&self, class: &str, declared: time::Duration) -> time::Duration {
        let declared = declared.as_secs_f64().max(SHORTEST).ln();
        let seconds = match self.classes.get(class) {
            Some((mean, _)) => DECLARED * declared + (1.0 - DECLARED) * mean,
            None => declared,
        };
        time::Duration::from_secs_f64(seconds.exp())
    }

    /// How many times the usual run time an agent takes.
    pub fn slowness(&self, agent: &str) -> f64 {
        let own = self.agents.get(agent).copied().unwrap_or(self.median);
        (own - self.median).exp().clamp(SLOWNESS.0, SLOWNESS.1)
    }

    /// Takes in a run that was done.
    pub fn done(
        &mut self,
        class: &str,
        agent: &str,
        estimate: time::Duration,
        took: time::Duration,
    ) {
        let took = took.as_secs_f64().max(SHORTEST);
        let usual = (took / self.slowness(agent)).max(SHORTEST).ln();
        let (mean, seen) = self.classes.entry(class.into()).or_insert((usual, 0));
        *seen += 1;
        let gain = CLASS_GAIN.max(1.0 / f64::from(*seen));
        *mean += gain * (usual - *mean);
        let ratio = took / estimate.as_secs_f64().max(SHORTEST);
        self.ratio(agent, ratio, AGENT_GAIN);
    }

    /// Takes in how an agent's work compares with what was expected of it.
    pub fn ratio(&mut self, agent: &str, ratio: f64, gain: f64) {
        let own = self.agents.entry(agent.into()).or_insert(self.median);
        let ratio = ratio.clamp(SLOWNESS.0, SLOWNESS.1).ln();
        *own += gain * (ratio - *own);
    }

    /// Compares the agents anew. To be called fifty times a second.
    pub fn compare(&mut self) {
        let mut all: Vec<f64> = self.agents.values().copied().collect();
        all.sort_unstable_by(f64::total_cmp);
        self.median = all.get(all.len() / 2).copied().unwrap_or(0.0);
        for own in self.agents.values_mut() {
            *own = self.median + KEEP * (*own - self.median);
        }
    }

    /// Forgets an agent whose backend server was replaced.
    pub fn forget(&mut self, agent: &str) {
        self.agents.remove(agent);
    }
}
