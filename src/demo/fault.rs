//! The faults that a demo injects, by the names that the command line knows.
//!
//! `docs/FAULTS.md` says what each one does and what the system has to make of it.

use clap::ValueEnum;
use serde::Serialize;

/// A fault, as named on the command line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The entry that owns the cell dies; a new life follows
    EntryDeath,
    /// A worker's agent and backend server die; new lives follow
    AgentDeath,
    /// All workers of a rack are lost; new lives follow
    RackLoss,
    /// All workers and the entry of a failure domain are lost; new lives follow
    DomainLoss,
    /// The entry that owns the cell stops for seconds and resumes unaware
    Pause,
    /// The table refuses everything for seconds
    TableDown,
    /// The table is slow for seconds
    TableSlow,
    /// Writes to the table take effect and their answers are lost
    LostWriteAnswers,
    /// Open connections go silent for good while new ones work
    SilentConnection,
    /// A worker fails every task at once
    BlackHole,
    /// Some tasks run several times slower
    Stragglers,
    /// Callers cancel many jobs at once
    CancelWave,
    /// A backend server, an agent and an entry leave as planned
    Leave,
    /// Operators change the configuration at once, with lost answers
    OperatorRace,
}

/// All faults.
pub const ALL: &[Fault] = &[
    Fault::EntryDeath,
    Fault::AgentDeath,
    Fault::RackLoss,
    Fault::DomainLoss,
    Fault::Pause,
    Fault::TableDown,
    Fault::TableSlow,
    Fault::LostWriteAnswers,
    Fault::SilentConnection,
    Fault::BlackHole,
    Fault::Stragglers,
    Fault::CancelWave,
    Fault::Leave,
    Fault::OperatorRace,
];

impl Fault {
    /// The name on the command line.
    pub fn name(self) -> String {
        let value = self.to_possible_value();
        value.map_or_else(String::new, |value| value.get_name().to_owned())
    }
}
