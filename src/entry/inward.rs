//! The way in for other entries: what they pass on, and what goes back to them.

use std::sync::{Arc, OnceLock, Weak};

use crate::count;
use crate::entry::cell::Waiter;
use crate::entry::core::{Core, Place};
use crate::entry::inward_links::{Inward, InwardLinks};
use crate::id;
use crate::key;
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned};

/// The core that answers other entries; clones share it. The listener can be bound before the core
/// is there.
#[derive(Clone, Default)]
pub struct CoreRef(Arc<OnceLock<Weak<Core>>>);

impl CoreRef {
    /// Puts the core behind the listener.
    pub fn put(&self, core: &Arc<Core>) {
        // It is put once, when the entry opens.
        let _ = self.0.set(Arc::downgrade(core));
    }

    fn core(&self) -> Option<Arc<Core>> {
        self.0.get()?.upgrade()
    }
}

/// The service behind an entry's listener for other entries.
pub fn service(
    links: &InwardLinks,
    core_ref: &CoreRef,
    entry: id::EntryId,
    messages: count::Messages,
) -> link::Service<peer::Hello, Returned, peer::Down, peer::Up> {
    let (greeting, taking) = (links.clone(), links.clone());
    let (greeter, taker) = (core_ref.clone(), core_ref.clone());
    link::Service {
        greet: Arc::new(move |hello, tx| greet(&greeting, &greeter, &entry, hello, tx)),
        take: Arc::new(move |down: peer::Down| {
            let inward = taking.received(&down.entry, down.link);
            if let (Some(core), Some(inward)) = (taker.core(), inward) {
                take(&core, &inward, down);
            }
        }),
        sent: Arc::new(move |up, bytes| messages.sent(peer::kind_up(&up.items), bytes)),
        weigh: peer::weigh_up,
    }
}

fn greet(
    links: &InwardLinks,
    core_ref: &CoreRef,
    entry: &id::EntryId,
    hello: peer::Hello,
    tx: link::Sender<Returned>,
) -> link::Group<Returned, peer::Up> {
    let link = hello.link;
    let inward = Inward::open(link, tx);
    // The entry learns at once what this one knows of the watched rows.
    let _ = inward.tx.send(Returned::Heartbeat);
    links.admit(hello.entry, inward.clone());
    let (core_ref, entry) = (core_ref.clone(), entry.clone());
    Arc::new(move |items: Vec<Returned>| {
        let received = inward.spoke();
        let core = core_ref.core();
        peer::Up {
            entry: entry.clone(),
            link,
            received,
            config: core.as_ref().map_or(0, |core| core.config.version()),
            head: core.and_then(|core| core.tell_head()),
            items,
        }
    })
}

fn take(core: &Arc<Core>, inward: &Inward, down: peer::Down) {
    core.config.note_version(down.config);
    core.peers.note_version(&down.entry, down.config);
    for item in down.items {
        match item {
            Passed::Submit(seq, submission) => {
                let waiter = Waiter::Peer(inward.tx.clone(), seq);
                match core.place(key::cell(&submission.key, core.cfg.cells)) {
                    Place::Here(owner) => owner.submit(Arc::new(*submission), waiter),
                    Place::There(_) | Place::Nowhere => turn_away(inward, seq),
                }
            }
            Passed::Cancel(seq, key) => {
                let waiter = Waiter::Peer(inward.tx.clone(), seq);
                match core.place(key::cell(&key, core.cfg.cells)) {
                    Place::Here(owner) => owner.cancel(&key, waiter),
                    Place::There(_) | Place::Nowhere => turn_away(inward, seq),
                }
            }
            Passed::WantConfig(version) => give_config(core, inward, version),
            Passed::Config(config) => core.config.accept_document(*config),
            Passed::Heartbeat => {}
        }
    }
}

fn turn_away(inward: &Inward, seq: u64) {
    let _ = inward.tx.send(Returned::NotOwner(seq));
}

fn give_config(core: &Core, inward: &Inward, than: id::Version) {
    let newer = core.config.get().filter(|config| config.version > than);
    if let Some(config) = newer {
        let config = Box::new((*config).clone());
        let _ = inward.tx.send(Returned::Config(config));
    }
}
