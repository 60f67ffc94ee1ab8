//! What an owned cell is given by its entry.

use std::sync::Arc;
use std::time;

use crate::class;
use crate::count;
use crate::decide::owner;
use crate::id;
use crate::wire::platform;

/// What a cell is spawned with.
pub struct Scope {
    /// The cell.
    pub cell: id::Cell,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The revision of the cell's row.
    pub revision: platform::Revision,
    /// When the operation began that showed the ownership.
    pub begun: time::Instant,
    /// Until when the owner before may have started work ahead of its claims.
    pub doubt: time::Instant,
    /// This entry.
    pub entry: id::EntryId,
    /// The platform's table.
    pub table: platform::Table,
    /// The counters.
    pub messages: count::Messages,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// The configuration in force.
    pub config: Arc<class::Versioned>,
    /// Called where the cell turns out to have another owner.
    pub deposed: Box<dyn Fn() + Send + Sync>,
    /// Called where a write that began at the time given proved the ownership.
    pub proved: Box<dyn Fn(time::Instant) + Send + Sync>,
}
