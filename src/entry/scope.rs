//! The values and callbacks that an entry gives to a cell which it owns.

use std::sync::Arc;
use std::time;

use crate::class;
use crate::count;
use crate::decide::owner;
use crate::id;
use crate::wire::platform;

/// The values and callbacks that a cell is spawned with.
pub struct Scope {
    /// The number of the cell.
    pub cell: id::Cell,
    /// The epoch of this entry's ownership of the cell.
    pub epoch: id::Epoch,
    /// The revision of the cell's row that holds this epoch.
    pub revision: platform::Revision,
    /// The time at which the table operation that proved the ownership began.
    pub proof_begun: time::Instant,
    /// The end of the time in which the previous owner may have started tasks before it wrote their
    /// claims.
    pub unclaimed_starts_until: time::Instant,
    /// The id of this entry.
    pub entry: id::EntryId,
    /// The platform's table, for members and claims.
    pub table: platform::Table,
    /// The counters of messages sent, by kind.
    pub messages: count::Messages,
    /// How the owner orders waiting tasks and chooses agents for them.
    pub policy: owner::Policy,
    /// The configuration in force when the cell was spawned.
    pub config: Arc<class::Versioned>,
    /// Called when the cell turns out to have another owner.
    pub ownership_lost: Box<dyn Fn() + Send + Sync>,
    /// Called when a write that began at the time given proved the ownership.
    pub ownership_proved: Box<dyn Fn(time::Instant) + Send + Sync>,
}
