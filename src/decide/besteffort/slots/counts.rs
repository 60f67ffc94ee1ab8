//! What an agent did since the start, for the metrics page.

use std::collections::BTreeMap;

use crate::metrics;

/// Words of the backend server that are passed over since a newer one is known.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StaleMessage {
    /// What it says of itself.
    Heartbeat,
    /// What it says that it has.
    Listing,
}

impl StaleMessage {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StaleMessage::Heartbeat => "heartbeat",
            StaleMessage::Listing => "listing",
        }
    }
}

/// The counts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// From a run's start, or its arrival if it never began, to its end; by how it ended.
    pub run_seconds: metrics::Seconds,
    /// Starts by what came of them.
    pub starts: BTreeMap<&'static str, u64>,
    /// Stops sent, repeated ones included.
    pub stops: u64,
    /// Times that the lease ran out, or the backend server crashed, under runs; by which it was.
    pub leases_lost: BTreeMap<&'static str, u64>,
    /// Crashes of the backend server under runs that may have caused them.
    pub crashes: u64,
    /// Lives of the backend server that were taken up.
    pub incarnations: u64,
    /// Words of it that came too late to tell anything. Some are overtaken now and then; many on end tell
    /// of a backend server that isn't believed.
    pub stale_messages: BTreeMap<StaleMessage, u64>,
}
