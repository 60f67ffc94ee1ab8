//! The optional decisions that a deployment switches on in its settings.

use serde::{Deserialize, Serialize};

/// Names an optional decision in the settings; see [hard-load.md](../../../docs/design/hard-load.md).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// Agents tell entries what waits and what becomes free; entries lend and admit by it.
    Demand,
    /// Work that is past its target leaves room to new work after a loss of everything.
    Recovery,
    /// Agents tell entries how fast their backend servers are; entries place and admit by it.
    Pace,
}

/// The optional decisions that are switched on; none by default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// See [`Feature::Demand`].
    pub demand: bool,
    /// See [`Feature::Recovery`].
    pub recovery: bool,
    /// See [`Feature::Pace`].
    pub pace: bool,
}

impl Features {
    /// Returns the features that a list of names switches on.
    pub fn from_names(names: &[Feature]) -> Features {
        Features {
            demand: names.contains(&Feature::Demand),
            recovery: names.contains(&Feature::Recovery),
            pace: names.contains(&Feature::Pace),
        }
    }

    /// Whether entries tell agents how long a run is expected to take.
    pub fn tell_estimates(self) -> bool {
        self.demand || self.pace
    }
}
