//! What an entry makes of the events of its controllers and of what it hears of the watched rows.

use std::sync::{Arc, Weak};
use std::time;

use crate::class;
use crate::controller::config;
use crate::controller::ownership;
use crate::entry::core::{Core, Place};
use crate::id;
use crate::wire::peer;
use crate::wire::platform;
use crate::wire::rows;

impl Core {
    fn configure(&self, config: &Arc<class::Versioned>) {
        for place in self.places() {
            if let Place::Here(cell) = place {
                cell.configure(config.clone());
            }
        }
        if config.version == 1 || !self.owns_any() {
            // Cells that were won before there was a configuration are taken up now.
            self.ownership.check_now();
        }
        self.peers.announce_config();
    }

    /// Takes what another entry knows of the watched rows.
    pub fn hear_head(&self, head: &peer::Head) {
        let age = time::Duration::from_millis(head.age_ms);
        self.ownership.note_digest(head.digest, age);
    }

    /// What other entries may be told of the watched rows.
    pub fn tell_head(&self) -> Option<peer::Head> {
        let (digest, age) = self.ownership.newest_digest()?;
        Some(peer::Head {
            digest,
            age_ms: age.as_millis() as u64,
        })
    }

    /// Takes the watched rows after a change.
    fn head_changed(&self, found: &[platform::Row]) {
        for row in found {
            if row.key == rows::CONFIG_VERSION {
                let head = serde_json::from_str::<rows::ConfigHead>(&row.value);
                self.config.note_version(head.unwrap_or_default().version);
            }
        }
        for (cell, place) in self.places().into_iter().enumerate() {
            let key = rows::members(cell as id::Cell);
            let row = found.iter().find(|row| row.key == key);
            if let (Place::Here(owner), Some(row)) = (place, row) {
                owner.members_row(row.revision);
            }
        }
        self.peers.announce_head();
    }
}

/// What the entry does about the ownership's events.
pub fn ownership(core: &Weak<Core>) -> ownership::Events {
    let (won, other, seen) = (core.clone(), core.clone(), core.clone());
    let head = core.clone();
    ownership::Events {
        owned: Box::new(move |cell| {
            if let Some(core) = won.upgrade() {
                core.won(cell);
            }
        }),
        owned_by_other: Box::new(move |cell, owner| {
            if let Some(core) = other.upgrade() {
                core.other(cell, owner);
            }
        }),
        proved: Box::new(move |cell, begun| {
            let Some(core) = seen.upgrade() else {
                return;
            };
            if let Place::Here(owner) = core.place(cell) {
                owner.table_seen(begun);
            }
        }),
        head_changed: Box::new(move |found| {
            if let Some(core) = head.upgrade() {
                core.head_changed(found);
            }
        }),
    }
}

/// What the entry does about the configuration's events.
pub fn config(core: &Arc<Core>) -> config::Events {
    let (changed, behind) = (Arc::downgrade(core), Arc::downgrade(core));
    config::Events {
        changed: Box::new(move |config| {
            if let Some(core) = changed.upgrade() {
                core.configure(&config);
            }
        }),
        behind: Box::new(move |version| {
            if let Some(core) = behind.upgrade() {
                core.peers.want_config(version);
            }
        }),
    }
}
