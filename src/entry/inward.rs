//! Serves the links that other entries open to this one: handles the submissions that they pass on
//! and sends the endings back.

use std::sync::{Arc, OnceLock, Weak};

use crate::count;
use crate::entry::cell::Waiter;
use crate::entry::core::{CellOwner, Core};
use crate::entry::inward_links::{InwardLink, InwardLinks};
use crate::id;
use crate::key;
use crate::wire::link;
use crate::wire::peer::{self, DownItem, UpItem};

/// A reference to the core that answers other entries; clones share it. It is empty until the core
/// is opened, since the listener for other entries is bound before.
#[derive(Clone, Default)]
pub struct CoreRef(Arc<OnceLock<Weak<Core>>>);

impl CoreRef {
    /// Sets the core that handles the listener's messages.
    pub fn set(&self, core: &Arc<Core>) {
        // It is set only once, when the entry opens.
        let _ = self.0.set(Arc::downgrade(core));
    }

    fn core(&self) -> Option<Arc<Core>> {
        self.0.get()?.upgrade()
    }
}

/// Makes the service for an entry's listener for other entries.
pub fn service(
    links: &InwardLinks,
    core_ref: &CoreRef,
    entry: id::EntryId,
    messages: count::Messages,
) -> link::ServerHandlers<peer::Hello, UpItem, peer::Down, peer::Up> {
    let (on_open_links, on_message_links) = (links.clone(), links.clone());
    let (on_open_core, on_message_core) = (core_ref.clone(), core_ref.clone());
    link::ServerHandlers {
        on_open: Arc::new(move |hello, tx| {
            open_link(&on_open_links, &on_open_core, &entry, hello, tx)
        }),
        on_message: Arc::new(move |down: peer::Down| {
            let inward = on_message_links.count_received(&down.entry, down.link);
            if let (Some(core), Some(inward)) = (on_message_core.core(), inward) {
                handle_message(&core, &inward, down);
            }
        }),
        on_sent: Arc::new(move |up, bytes| messages.sent(peer::kind_up(&up.items), bytes)),
        estimate_bytes: peer::estimate_up_bytes,
    }
}

fn open_link(
    links: &InwardLinks,
    core_ref: &CoreRef,
    entry: &id::EntryId,
    hello: peer::Hello,
    tx: link::Sender<UpItem>,
) -> link::Group<UpItem, peer::Up> {
    let link = hello.link;
    let inward = InwardLink::open(link, tx);
    // The heartbeat tells the other entry at once what this one knows of the watched rows.
    let _ = inward.tx.send(UpItem::Heartbeat);
    links.replace(hello.entry, inward.clone());
    let (core_ref, entry) = (core_ref.clone(), entry.clone());
    Arc::new(move |items: Vec<UpItem>| {
        let received = inward.record_sent();
        let core = core_ref.core();
        peer::Up {
            entry: entry.clone(),
            link,
            received,
            config: core.as_ref().map_or(0, |core| core.config.version()),
            head: core.and_then(|core| core.head_for_peers()),
            items,
        }
    })
}

fn handle_message(core: &Arc<Core>, inward: &InwardLink, down: peer::Down) {
    core.config.note_version(down.config);
    core.peers.note_version(&down.entry, down.config);
    for item in down.items {
        match item {
            DownItem::Submit(seq, submission) => {
                let waiter = Waiter::Peer(inward.tx.clone(), seq);
                match core.cell_owner(key::cell(&submission.key, core.cfg.cells)) {
                    CellOwner::Local(cell) => cell.submit(Arc::new(*submission), waiter),
                    CellOwner::Remote(_) | CellOwner::Unknown => send_not_owner(inward, seq),
                }
            }
            DownItem::Cancel(seq, key) => {
                let waiter = Waiter::Peer(inward.tx.clone(), seq);
                match core.cell_owner(key::cell(&key, core.cfg.cells)) {
                    CellOwner::Local(cell) => cell.cancel(&key, waiter),
                    CellOwner::Remote(_) | CellOwner::Unknown => send_not_owner(inward, seq),
                }
            }
            DownItem::WantConfig(version) => send_newer_config(core, inward, version),
            DownItem::Config(config) => core.config.accept_document(*config),
            DownItem::Heartbeat => {}
        }
    }
}

fn send_not_owner(inward: &InwardLink, seq: u64) {
    let _ = inward.tx.send(UpItem::NotOwner(seq));
}

fn send_newer_config(core: &Core, inward: &InwardLink, known: id::Version) {
    let newer = core.config.get().filter(|config| config.version > known);
    if let Some(config) = newer {
        let config = Box::new((*config).clone());
        let _ = inward.tx.send(UpItem::Config(config));
    }
}
