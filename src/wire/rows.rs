//! The rows that the system keeps in the platform's table: their keys and values.
//!
//! `docs/design/interfaces.md` has the same list with who writes and who reads each.

use compact_str::{format_compact, CompactString};
use serde::{Deserialize, Serialize};

use crate::decide::inherit;
use crate::id;

/// The row of the configuration; its value is a [`class::Versioned`](crate::class::Versioned).
pub const CONFIG: &str = "config";

/// Prefix of the few small rows that every entry watches with one scan.
pub const HEAD: &str = "head/";

/// The row that tells the newest version of the configuration; its value is a [`ConfigHead`].
///
/// It is written by the same transaction as [`CONFIG`], so that watching costs no read of the
/// whole document.
pub const CONFIG_VERSION: &str = "head/config";

/// Prefix of the cells' rows.
pub const CELLS: &str = "head/cell/";

/// The row that every join and leave of a cell's agents changes, so that an owner reads the
/// agents' rows only where something changed.
pub fn members(cell: id::Cell) -> CompactString {
    format_compact!("head/members/{cell:05}")
}

/// The row that says who owns a cell.
pub fn cell(cell: id::Cell) -> CompactString {
    format_compact!("{CELLS}{cell:05}")
}

/// The row that an owner changes every second, so that others can see that it lives.
pub fn heartbeat(cell: id::Cell) -> CompactString {
    format_compact!("beat/{cell:05}")
}

/// Prefix of the rows of the entries that are alive.
pub const ENTRIES: &str = "entry/";

/// The row that an entry changes now and then, so that cells spread over those that are alive.
pub fn entry(id: &str) -> CompactString {
    format_compact!("{ENTRIES}{id}")
}

/// Prefix of the rows of a cell's agents.
pub fn agents(cell: id::Cell) -> CompactString {
    format_compact!("agent/{cell:05}/")
}

/// The row of one agent.
pub fn agent(cell: id::Cell, id: &str) -> CompactString {
    format_compact!("agent/{cell:05}/{id}")
}

/// Prefix of the rows of a cell's claims.
pub fn claims(cell: id::Cell) -> CompactString {
    format_compact!("claim/{cell:05}/")
}

/// The row of one group of claims.
pub fn claim(cell: id::Cell, epoch: id::Epoch, group: u64) -> CompactString {
    format_compact!("claim/{cell:05}/{epoch:012}/{group:012}")
}

/// The newest version of the configuration, and whose changes the last ones were.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The version.
    pub version: id::Version,
    /// The last accepted changes: the version of each and the number that its operator drew, so
    /// that a change whose answer was lost is found also under later ones.
    pub changes: Vec<(id::Version, u64)>,
}

/// Who owns a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// The entry; empty where the last owner handed the cell over.
    pub entry: id::EntryId,
    /// Its life, so that a restarted entry doesn't take itself for its predecessor.
    pub incarnation: id::Incarnation,
    /// Where other entries pass submissions on to (host and port).
    pub addr: CompactString,
    /// Counts the owners.
    pub epoch: id::Epoch,
}

/// An agent of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Agent {
    /// The agent's life.
    pub incarnation: id::Incarnation,
    /// Where its owner connects (host and port).
    pub addr: CompactString,
    /// Lives that ended with work that nobody else remembers.
    #[serde(default)]
    pub lost: Vec<inherit::LostIncarnation>,
    /// True once the agent has left as planned; the row stays for the lives that ended.
    #[serde(default)]
    pub left: bool,
}
