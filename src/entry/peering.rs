//! Keeps the links to the owners of other cells up, and takes what they say.

use std::collections::HashSet;
use std::sync::{Arc, Weak};
use std::time;

use compact_str::CompactString;

use crate::controller::cell_state::Suspicion;
use crate::entry::core::{Core, Place};
use crate::entry::peers::PeerLink;
use crate::id;
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned};
use crate::wire::reach;

/// How often the links are looked after.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Keeps a link to the owner of every cell of others, and reports owners that seem gone.
pub async fn tend(core: Weak<Core>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let Some(core) = core.upgrade() else {
            return;
        };
        let mut owners = HashSet::new();
        for (cell, place) in core.places().into_iter().enumerate() {
            if let Place::There(owner) = place {
                owners.insert(owner.addr.clone());
                tend_one(&core, cell as id::Cell, &owner.addr, owner.epoch);
            }
        }
        core.peers.retain(&owners);
    }
}

fn tend_one(core: &Arc<Core>, cell: id::Cell, addr: &CompactString, epoch: id::Epoch) {
    let link = core.peers.link(addr);
    if link.is_up() {
        if link.is_silent() {
            log::warn!("link to the owner at {addr} went silent; it is replaced");
            link.lose();
        }
        if link.is_late() {
            // Guards against a machine that is gone: nothing refuses, so all that tells is beats
            // that don't come, and the sooner they are watched the sooner the cell is taken.
            core.ownership.suspect(cell, epoch, Suspicion::Silent);
        } else {
            core.ownership.clear_suspicion(cell);
        }
        return;
    }
    if !link.begins_connecting() {
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
        link.connected(connected.ok());
    });
}

async fn connect(
    core: &Arc<Core>,
    addr: &str,
    link: &Arc<PeerLink>,
) -> anyhow::Result<link::Sender<Passed>> {
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    let (taking, closing) = (link.clone(), link.clone());
    let weak = Arc::downgrade(core);
    let grouping = core.config.clone();
    let messages = core.messages.clone();
    let entry = core.cfg.id.clone();
    let connection = link.begin();
    let number = connection.link;
    let hello = peer::Hello {
        entry: entry.clone(),
        link: number,
    };
    let ends = link::Peer {
        take: Arc::new(move |up| take(&weak, &taking, up)),
        group: Arc::new(move |items: Vec<Passed>| {
            connection.send();
            peer::Down {
                entry: entry.clone(),
                link: number,
                config: grouping.version(),
                items,
            }
        }),
        sent: Arc::new(move |down, bytes| messages.sent(peer::kind_down(&down.items), bytes)),
        weigh: peer::weigh_down,
        closed: Box::new(move || {
            if closing.connection().link == number {
                closing.lose();
            }
        }),
    };
    link::connect(addr, hello, rx, ends).await?;
    // Tells the owner this entry's configuration version.
    let _ = tx.send(Passed::Heartbeat);
    Ok(tx)
}

/// Takes one message of an owner.
fn take(core: &Weak<Core>, link: &PeerLink, up: peer::Up) {
    link.heard(&up);
    let Some(core) = core.upgrade() else {
        return;
    };
    core.config.note_version(up.config);
    core.peers.note_version(&up.entry, up.config);
    if let Some(head) = &up.head {
        core.hear_head(head);
    }
    for item in up.items {
        match item {
            Returned::Ending(seq, ending) => link.answer(seq, Some(ending)),
            Returned::NotOwner(seq) => link.answer(seq, None),
            Returned::WantConfig(version) => {
                let newer = core.config.get().filter(|config| config.version > version);
                if let Some(config) = newer {
                    link.give_config(&config);
                }
            }
            Returned::Config(config) => core.config.accept_document(*config),
            Returned::Versions(mut versions) => {
                versions.remove(&core.cfg.id);
                core.peers.note_versions(versions);
            }
            Returned::Heartbeat => {}
        }
    }
}
