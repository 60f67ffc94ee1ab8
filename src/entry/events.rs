//! How an entry handles the events of its controllers, and exchanges digests of the watched rows
//! with other entries.

use std::sync::{Arc, Weak};
use std::time;

use crate::class;
use crate::controller::config;
use crate::controller::ownership;
use crate::entry::core::{CellOwner, Core};
use crate::id;
use crate::wire::peer;
use crate::wire::platform;
use crate::wire::rows;

impl Core {
    fn configure(&self, config: &Arc<class::Versioned>) {
        for owner in self.cell_owners() {
            if let CellOwner::Local(cell) = owner {
                cell.configure(config.clone());
            }
        }
        if config.version == 1 || !self.owns_any() {
            // Cells that this entry came to own before the first configuration start to run now.
            self.ownership.check_now();
        }
        self.peers.announce_config();
    }

    /// Notes the digest of the watched rows that another entry sent, with its age.
    pub fn note_peer_head(&self, head: &peer::Head) {
        let age = time::Duration::from_millis(head.age_ms);
        self.ownership.note_digest(head.digest, age);
    }

    /// The newest digest of the watched rows, to be sent to other entries.
    pub fn head_for_peers(&self) -> Option<peer::Head> {
        let (digest, age) = self.ownership.newest_digest()?;
        Some(peer::Head {
            digest,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Passes a change of the watched rows to the configuration, to the cells and to other entries.
    fn head_changed(&self, found: &[platform::Row]) {
        for row in found {
            if row.key == rows::CONFIG_VERSION {
                let head = serde_json::from_str::<rows::ConfigHead>(&row.value);
                self.config.note_version(head.unwrap_or_default().version);
            }
        }
        for (cell, owner) in self.cell_owners().into_iter().enumerate() {
            let key = rows::members(cell as id::Cell);
            let row = found.iter().find(|row| row.key == key);
            if let (CellOwner::Local(local), Some(row)) = (owner, row) {
                local.note_members_revision(row.revision);
            }
        }
        self.peers.announce_head();
    }
}

/// Makes the handlers for the events of the ownership controller.
pub fn ownership_events(core: &Weak<Core>) -> ownership::Events {
    let (owned, owned_by_other, proved) = (core.clone(), core.clone(), core.clone());
    let head_changed = core.clone();
    ownership::Events {
        owned: Box::new(move |cell| {
            if let Some(core) = owned.upgrade() {
                core.take_over_cell(cell);
            }
        }),
        owned_by_other: Box::new(move |cell, owner| {
            if let Some(core) = owned_by_other.upgrade() {
                core.note_remote_owner(cell, owner);
            }
        }),
        proved: Box::new(move |cell, begun| {
            let Some(core) = proved.upgrade() else {
                return;
            };
            if let CellOwner::Local(owner) = core.cell_owner(cell) {
                owner.note_ownership_proof(begun);
            }
        }),
        head_changed: Box::new(move |found| {
            if let Some(core) = head_changed.upgrade() {
                core.head_changed(found);
            }
        }),
    }
}

/// Makes the handlers for the events of the configuration controller.
pub fn config_events(core: &Arc<Core>) -> config::Events {
    let (changed, behind) = (Arc::downgrade(core), Arc::downgrade(core));
    config::Events {
        changed: Box::new(move |config| {
            if let Some(core) = changed.upgrade() {
                core.configure(&config);
            }
        }),
        behind: Box::new(move |version| {
            if let Some(core) = behind.upgrade() {
                core.peers.request_config(version);
            }
        }),
    }
}
