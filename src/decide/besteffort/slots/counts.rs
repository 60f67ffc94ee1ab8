//! Counters of what an agent has done since its start, for the metrics page.

use std::collections::BTreeMap;

use crate::metrics;

/// Messages of the backend server that are ignored because newer information is known.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StaleMessage {
    /// A heartbeat, in which the backend server announces its state.
    Heartbeat,
    /// A listing of the backend server's runs.
    Listing,
}

impl StaleMessage {
    /// The value of the label `word` in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StaleMessage::Heartbeat => "heartbeat",
            StaleMessage::Listing => "listing",
        }
    }
}

/// What an agent has counted since its start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Time from a run's start, or from its arrival if it never began, to its end, by outcome.
    pub run_seconds: metrics::Seconds,
    /// Starts sent, by their answer ([`StartAnswer::name`](super::StartAnswer::name)).
    pub starts: BTreeMap<&'static str, u64>,
    /// Stops sent, including those sent again.
    pub stops: u64,
    /// Stops of entries that named a run which the agent doesn't hold. A few are normal, since a run may end
    /// while its stop is under way.
    pub stops_unmatched: u64,
    /// How often runs were lost because the lease ran out or another incarnation of the backend server
    /// answered, by cause.
    pub leases_lost: BTreeMap<&'static str, u64>,
    /// Crashes of the backend server with runs on it that may have caused the crash.
    pub crashes: u64,
    /// Incarnations of the backend server that the agent has accepted as the current one.
    pub incarnations: u64,
    /// Messages of the backend server that were ignored as outdated. A few are normal, since messages overtake
    /// each other; a steady stream means that the agent ignores a backend server that is up.
    pub stale_messages: BTreeMap<StaleMessage, u64>,
}
