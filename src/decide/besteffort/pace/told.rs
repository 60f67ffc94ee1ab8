//! The speeds of backend servers as one entry knows them: what agents report, and its own observations.

use std::collections::HashMap;

use crate::decide::besteffort::message::ServerIncarnation;
use crate::decide::besteffort::pace::observed::WINDOW_RUNS;
use crate::decide::besteffort::told::Pace;
use crate::id;

/// Weight, in runs, of the assumption that a backend server is as fast as the median. One run scatters by a
/// factor of 1.5, so that a single one must not count in full.
const PRIOR_RUNS: f64 = 2.0;

/// Number of own runs that an entry's own observation of an agent rests on; the gain is a tenth per run.
const OWN_RUNS: f64 = 10.0;

/// Bounds of a reported pace in percent. A backend server ten times as fast as any estimate, or sixteen times
/// slower, doesn't exist or is in fault.
const PERCENT_BOUNDS: (u32, u32) = (10, 1_600);

/// Bounds of the slowness against the median agent, so that an absurd report can't draw all work to an agent.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 16.0);

/// Bounds of the median run time over the estimate; half of a wrong declared run time remains in an estimate.
const MEDIAN_BOUNDS: (f64, f64) = (0.5, 2.0);

/// Change of an agent's slowness that is logged.
const LOGGED_CHANGE: f64 = 1.25;

/// Who reports a pace, and of what.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// The incarnation of the agent; its counts begin anew with it.
    pub agent: id::Incarnation,
    /// The incarnation of the backend server.
    pub server: ServerIncarnation,
}

#[derive(Debug)]
struct Known {
    source: Source,
    /// The reported logarithm, and the weight in runs.
    reported: (f64, f64),
    /// The same from an earlier incarnation of the agent, for the same backend server.
    earlier: (f64, f64),
    /// Own runs since the backend server's speed last changed.
    own_runs: f64,
    /// The logarithm of the slowness in the log.
    logged: f64,
}

impl Known {
    /// Returns the logarithm and its weight. What an earlier incarnation of the agent reported counts less
    /// with each run that the present one has seen.
    fn combined(&self) -> (f64, f64) {
        let (log, runs) = self.reported;
        let earlier_runs = (self.earlier.1 - runs).max(0.0);
        let all = runs + earlier_runs;
        (
            (log * runs + self.earlier.0 * earlier_runs) / all.max(1.0),
            all,
        )
    }
}

/// The reported speeds, by agent.
#[derive(Debug, Default)]
pub struct Paces {
    agents: HashMap<id::AgentId, Known>,
    /// Median of the logarithms of the linked agents.
    median: f64,
}

impl Paces {
    /// Records what an agent reports of its backend server. Returns whether nothing was known of the agent.
    pub fn record(&mut self, agent: &id::AgentId, source: Source, pace: Pace) -> bool {
        let (least, most) = PERCENT_BOUNDS;
        let log = (f64::from(pace.percent.clamp(least, most)) / 100.0).ln();
        let reported = (log, f64::from(pace.runs.max(1)).min(WINDOW_RUNS));
        let Some(known) = self.agents.get_mut(agent) else {
            let known = Known {
                source,
                reported,
                earlier: (0.0, 0.0),
                own_runs: 0.0,
                logged: 0.0,
            };
            self.agents.insert(agent.clone(), known);
            return true;
        };
        if known.source.server != source.server {
            known.earlier = (0.0, 0.0);
            known.own_runs = 0.0;
        } else if known.source.agent != source.agent {
            known.earlier = known.combined();
        } else if reported.1 < known.reported.1 {
            // The agent began to count anew because the speed has changed.
            known.earlier = (0.0, 0.0);
            known.own_runs = 0.0;
        }
        known.source = source;
        known.reported = reported;
        false
    }

    /// Records that a run of this entry at the agent was done.
    pub fn record_own_run(&mut self, agent: &str) {
        if let Some(known) = self.agents.get_mut(agent) {
            known.own_runs = (known.own_runs + 1.0).min(OWN_RUNS);
        }
    }

    /// Forgets an agent whose backend server isn't this incarnation.
    pub fn retain_server(&mut self, agent: &str, server: &ServerIncarnation) {
        if self
            .agents
            .get(agent)
            .is_some_and(|known| known.source.server != *server)
        {
            self.forget(agent);
        }
    }

    /// Forgets an agent that isn't listed any more.
    pub fn forget(&mut self, agent: &str) {
        self.agents.remove(agent);
    }

    /// Recomputes the median of the linked agents, and logs the changes of a quarter.
    pub fn update_median(&mut self, is_linked: impl Fn(&str) -> bool) {
        let linked = self.agents.iter().filter(|(agent, _)| is_linked(agent));
        let mut all: Vec<f64> = linked.map(|(_, known)| known.combined().0).collect();
        all.sort_unstable_by(f64::total_cmp);
        self.median = all.get(all.len() / 2).copied().unwrap_or(0.0);
        for (agent, known) in &mut self.agents {
            let (log, runs) = known.combined();
            let slowness = log - self.median;
            if (slowness - known.logged).abs() >= LOGGED_CHANGE.ln() {
                known.logged = slowness;
                log::debug!(agent = agent.as_str(), runs = runs as u64,
                    slowness = (slowness.exp() * 100.0).round() / 100.0; "agent's pace has changed");
            }
        }
    }

    /// Returns the run time at the median agent over the estimate. It isn't 1 where declared run times, which
    /// estimates contain, are set for other backend servers.
    pub fn median_ratio(&self) -> f64 {
        let (least, most) = MEDIAN_BOUNDS;
        self.median.exp().clamp(least, most)
    }

    /// Returns the factor by which runs at an agent take longer than at the median agent; `own` is what this
    /// entry has observed, and all that counts for an agent that has reported nothing.
    pub fn slowness(&self, agent: &str, own: f64) -> f64 {
        let Some(known) = self.agents.get(agent) else {
            return own;
        };
        let (log, runs) = known.combined();
        let sum = runs * (log - self.median) + known.own_runs * own.ln();
        let (least, most) = SLOWNESS_BOUNDS;
        (sum / (runs + known.own_runs + PRIOR_RUNS))
            .exp()
            .clamp(least, most)
    }
}
