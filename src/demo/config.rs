//! What a demo is run with.

use std::time;

use crate::decide::owner;
use crate::demo::deployment::Deployment;
use crate::demo::fault::Fault;

/// The settings of one run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Whose sizes, latencies and workload.
    pub deployment: Deployment,
    /// How long work is offered.
    pub duration: time::Duration,
    /// Seeds the workload.
    pub seed: u64,
    /// Work that the largest client account offers, as a share of the capacity.
    pub dominant_load: f64,
    /// Work that all others offer together, as a share of the capacity.
    pub small_load: f64,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// Whether callers use keys that tell their age.
    pub aged_keys: bool,
    /// Faults to inject while work is offered.
    pub faults: Vec<Fault>,
    /// Whether progress is shown on the terminal.
    pub progress: bool,
}
