//! What an agent did since the start, for the metrics page.

use std::collections::BTreeMap;

use crate::metrics;

/// The counts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// From a run's start, or its arrival if it never began, to its end; by how it ended.
    pub ended: metrics::Seconds,
    /// Starts by what came of them.
    pub starts: BTreeMap<&'static str, u64>,
    /// Stops sent, repeated ones included.
    pub stops: u64,
    /// Times that the lease ran out, or the backend server crashed, under runs; by which it was.
    pub lost: BTreeMap<&'static str, u64>,
    /// Lives of the backend server that were taken up.
    pub lives: u64,
}
