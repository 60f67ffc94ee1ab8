//! Maintains the links to the owners of other cells and handles their messages.

use std::collections::HashSet;
use std::sync::{Arc, Weak};
use std::time;

use compact_str::CompactString;

use crate::controller::cell_state::Suspicion;
use crate::entry::core::{CellOwner, Core};
use crate::entry::peers::PeerLink;
use crate::id;
use crate::wire::link;
use crate::wire::peer::{self, DownItem, UpItem};
use crate::wire::reach;

/// Interval at which the links are checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Maintains a link to the owner of each cell that another entry owns, and reports owners that seem
/// to be dead.
pub async fn maintain_links(core: Weak<Core>) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let Some(core) = core.upgrade() else {
            return;
        };
        let mut owners = HashSet::new();
        for (cell, owner) in core.cell_owners().into_iter().enumerate() {
            if let CellOwner::Remote(remote) = owner {
                owners.insert(remote.addr.clone());
                maintain_link(&core, cell as id::Cell, &remote.addr, remote.epoch);
            }
        }
        core.peers.retain(&owners);
    }
}

fn maintain_link(core: &Arc<Core>, cell: id::Cell, addr: &CompactString, epoch: id::Epoch) {
    let link = core.peers.link(addr);
    if link.is_up() {
        if link.is_silent() {
            log::warn!("link to the owner at {addr} went silent; it is replaced");
            link.disconnect();
        }
        if link.is_heartbeat_overdue() {
            // Guards against a machine that is gone: no connection is refused, so missing
            // heartbeats are the only sign. The sooner the owner is suspected, the sooner the cell
            // is taken over.
            core.ownership.suspect(cell, epoch, Suspicion::Silent);
        } else {
            core.ownership.clear_suspicion(cell);
        }
        return;
    }
    if !link.try_begin_connecting() {
        return;
    }
    let core = core.clone();
    let addr = addr.clone();
    tokio::spawn(async move {
        let connected = connect(&core, &addr, &link).await;
        match &connected {
            Ok(_) => core.ownership.clear_suspicion(cell),
            Err(_) => {
                let suspicion = match reach::probe(&addr).await {
                    reach::Reach::Refused => Suspicion::Refusing,
                    reach::Reach::Open | reach::Reach::Silent => Suspicion::Silent,
                };
                core.ownership.suspect(cell, epoch, suspicion);
            }
        }
        link.end_connecting(connected.ok());
    });
}

async fn connect(
    core: &Arc<Core>,
    addr: &str,
    link: &Arc<PeerLink>,
) -> anyhow::Result<link::Sender<DownItem>> {
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    let (receiving, closing) = (link.clone(), link.clone());
    let weak = Arc::downgrade(core);
    let config = core.config.clone();
    let messages = core.messages.clone();
    let entry = core.cfg.id.clone();
    let connection = link.begin_connection();
    let link_id = connection.link;
    let hello = peer::Hello {
        entry: entry.clone(),
        link: link_id,
    };
    let callbacks = link::ClientHandlers {
        on_message: Arc::new(move |up| handle_message(&weak, &receiving, up)),
        group: Arc::new(move |items: Vec<DownItem>| {
            connection.record_sent();
            peer::Down {
                entry: entry.clone(),
                link: link_id,
                config: config.version(),
                items,
            }
        }),
        on_sent: Arc::new(move |down, bytes| messages.sent(peer::kind_down(&down.items), bytes)),
        estimate_bytes: peer::estimate_down_bytes,
        on_closed: Box::new(move || {
            if closing.connection().link == link_id {
                closing.disconnect();
            }
        }),
    };
    link::connect(addr, hello, rx, callbacks).await?;
    // The heartbeat tells the owner this entry's configuration version.
    let _ = tx.send(DownItem::Heartbeat);
    Ok(tx)
}

/// Handles one message of an owner.
fn handle_message(core: &Weak<Core>, link: &PeerLink, up: peer::Up) {
    link.record_message(&up);
    let Some(core) = core.upgrade() else {
        return;
    };
    core.config.note_version(up.config);
    core.peers.note_version(&up.entry, up.config);
    if let Some(head) = &up.head {
        core.note_peer_head(head);
    }
    for item in up.items {
        match item {
            UpItem::Ending(seq, ending) => link.end_wait(seq, Some(ending)),
            UpItem::NotOwner(seq) => link.end_wait(seq, None),
            UpItem::WantConfig(version) => {
                let newer = core.config.get().filter(|config| config.version > version);
                if let Some(config) = newer {
                    link.send_config(&config);
                }
            }
            UpItem::Config(config) => core.config.accept_document(*config),
            UpItem::Versions(mut versions) => {
                versions.remove(&core.cfg.id);
                core.peers.note_versions(versions);
            }
            UpItem::Heartbeat => {}
        }
    }
}
