//! The rows that the system keeps in the platform's table: their keys and values.
//!
//! `docs/design/interfaces.md` lists them too, with the writers and readers of each.

use compact_str::{format_compact, CompactString};
use serde::{Deserialize, Serialize};

use crate::decide::inherit;
use crate::id;

/// Key of the row of the configuration; its value is a
/// [`class::Versioned`](crate::class::Versioned).
pub const CONFIG: &str = "config";

/// Prefix of the few small rows that every entry watches with one scan.
pub const HEAD: &str = "head/";

/// Key of the row with the newest version of the configuration; its value is a [`ConfigHead`].
///
/// The same transaction writes it and [`CONFIG`], so that a process can watch for a new version
/// without reading the whole document.
pub const CONFIG_VERSION: &str = "head/config";

/// Prefix of the rows with the owners of the cells.
pub const CELLS: &str = "head/cell/";

/// Returns the key of the row that every join and leave of a cell's agents changes, so that an
/// owner reads the agents' rows only after a change.
pub fn members(cell: id::Cell) -> CompactString {
    format_compact!("head/members/{cell:05}")
}

/// Returns the key of the row with the owner of a cell; its value is an [`Owner`].
pub fn cell(cell: id::Cell) -> CompactString {
    format_compact!("{CELLS}{cell:05}")
}

/// Returns the key of the row that the owner of a cell changes every second, so that other entries
/// can see that the owner is alive.
pub fn heartbeat(cell: id::Cell) -> CompactString {
    format_compact!("beat/{cell:05}")
}

/// Prefix of the rows of the entries that are alive.
pub const ENTRIES: &str = "entry/";

/// Returns the key of the row that an entry changes regularly while it is alive, so that cells are
/// spread over the live entries.
pub fn entry(id: &str) -> CompactString {
    format_compact!("{ENTRIES}{id}")
}

/// Returns the prefix of the rows of a cell's agents.
pub fn agents(cell: id::Cell) -> CompactString {
    format_compact!("agent/{cell:05}/")
}

/// Returns the key of the row of one agent; its value is an [`Agent`].
pub fn agent(cell: id::Cell, id: &str) -> CompactString {
    format_compact!("agent/{cell:05}/{id}")
}

/// Returns the prefix of the rows of a cell's claims, of all epochs.
pub fn claims(cell: id::Cell) -> CompactString {
    format_compact!("claim/{cell:05}/")
}

/// Returns the key of the row of one group of claims that an owner wrote in its epoch.
pub fn claim(cell: id::Cell, epoch: id::Epoch, group: u64) -> CompactString {
    format_compact!("claim/{cell:05}/{epoch:012}/{group:012}")
}

/// The newest version of the configuration, and the last changes that led to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigHead {
    /// The newest version; each accepted change has a larger one.
    pub version: id::Version,
    /// The last accepted changes: the version of each and the random number that identifies it. By
    /// that number an operator whose answer was lost finds its change also after later ones.
    pub changes: Vec<(id::Version, u64)>,
}

/// The owner of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// The entry that owns the cell; empty if the last owner has given the cell up.
    pub entry: id::EntryId,
    /// The entry's incarnation, by which a restarted entry sees that its predecessor is the owner.
    pub incarnation: id::Incarnation,
    /// Address to which other entries forward submissions (host and port).
    pub addr: CompactString,
    /// Number of the ownership, which grows with each new owner of the cell; a fencing token.
    pub epoch: id::Epoch,
}

/// An agent of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Agent {
    /// The agent's current incarnation.
    pub incarnation: id::Incarnation,
    /// Address to which the owner of the cell connects (host and port).
    pub addr: CompactString,
    /// Incarnations that ended and that had the only record of the work they had started.
    #[serde(default)]
    pub lost: Vec<inherit::LostIncarnation>,
    /// True once the agent has left in order; the row is kept for the incarnations in `lost`.
    #[serde(default)]
    pub left: bool,
}
