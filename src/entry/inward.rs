//! The way in for other entries: what they pass on, and what goes back to them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time;

use crate::count;
use crate::entry::cell::Waiter;
use crate::entry::core::{Core, Place};
use crate::id;
use crate::key;
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned, HEARTBEAT};

/// The links of other entries, and the core that answers on them. Clones share both, so that the
/// listener can be bound before the core is there.
#[derive(Clone, Default)]
pub struct Door {
    core: Arc<OnceLock<Weak<Core>>>,
    links: Arc<Mutex<HashMap<id::EntryId, Inward>>>,
}

/// The link of one other entry.
#[derive(Clone)]
struct Inward {
    link: id::Link,
    tx: link::Sender<Returned>,
    received: Arc<AtomicU64>,
    spoke: Arc<Mutex<time::Instant>>,
}

impl Door {
    /// Puts the core behind the listener.
    pub fn open(&self, core: &Arc<Core>) {
        let _ = self.core.set(Arc::downgrade(core));
    }

    /// Tells all entries that are linked here.
    pub fn tell(&self, item: impl Fn() -> Returned) {
        for inward in self.links().values() {
            let _ = inward.tx.send(item());
        }
    }

    fn core(&self) -> Option<Arc<Core>> {
        self.core.get()?.upgrade()
    }

    fn links(&self) -> MutexGuard<'_, HashMap<id::EntryId, Inward>> {
        self.links.lock().expect("the links are whole")
    }

    /// The link that a message came on, unless another has replaced it.
    fn received(&self, entry: &id::EntryId, link: id::Link) -> Option<Inward> {
        let inward = self.links().get(entry).cloned()?;
        if inward.link != link {
            return None;
        }
        inward.received.fetch_add(1, Ordering::SeqCst);
        Some(inward)
    }

    /// Time until a heartbeat is due on a link, unless another has replaced it.
    fn heartbeat_due_in(&self, entry: &id::EntryId, link: id::Link) -> Option<time::Duration> {
        let inward = self.links().get(entry).cloned()?;
        let spoke = *inward.spoke.lock().expect("the time is whole");
        (inward.link == link).then(|| HEARTBEAT.saturating_sub(spoke.elapsed()))
    }

    fn forget(&self, entry: &id::EntryId, link: id::Link) {
        let mut links = self.links();
        if links.get(entry).is_some_and(|inward| inward.link == link) {
            links.remove(entry);
        }
    }
}

/// The service behind an entry's listener for other entries.
pub fn service(
    door: &Door,
    entry: id::EntryId,
    messages: count::Messages,
) -> link::Service<peer::Hello, Returned, peer::Down, peer::Up> {
    let (greeting, taking) = (door.clone(), door.clone());
    link::Service {
        greet: Arc::new(move |hello, tx| greet(&greeting, &entry, hello, tx)),
        take: Arc::new(move |down: peer::Down| {
            let inward = taking.received(&down.entry, down.link);
            if let (Some(core), Some(inward)) = (taking.core(), inward) {
                take(&core, &inward, down);
            }
        }),
        sent: Arc::new(move |up, bytes| messages.sent(peer::kind_up(&up.items), bytes)),
        weigh: peer::weigh_up,
    }
}

fn greet(
    door: &Door,
    entry: &id::EntryId,
    hello: peer::Hello,
    tx: link::Sender<Returned>,
) -> link::Group<Returned, peer::Up> {
    let inward = Inward {
        link: hello.link,
        tx,
        received: Arc::default(),
        spoke: Arc::new(Mutex::new(time::Instant::now())),
    };
    // The entry learns at once what this one knows of the watched rows.
    let _ = inward.tx.send(Returned::Heartbeat);
    door.links().insert(hello.entry.clone(), inward.clone());
    tokio::spawn(heartbeat(door.clone(), hello.entry, hello.link));
    let (door, entry) = (door.clone(), entry.clone());
    let (received, spoke) = (inward.received, inward.spoke);
    Arc::new(move |items: Vec<Returned>| {
        *spoke.lock().expect("the time is whole") = time::Instant::now();
        let core = door.core();
        peer::Up {
            entry: entry.clone(),
            link: hello.link,
            received: received.load(Ordering::SeqCst),
            config: core.as_ref().map_or(0, |core| core.config.version()),
            head: core.and_then(|core| core.tell_head()),
            items,
        }
    })
}

/// Says something on a link where nothing else was said for a while.
async fn heartbeat(door: Door, entry: id::EntryId, link: id::Link) {
    while let Some(left) = door.heartbeat_due_in(&entry, link) {
        if !left.is_zero() {
            tokio::time::sleep(left).await;
            continue;
        }
        let inward = door.links().get(&entry).cloned();
        let sent = inward.is_some_and(|inward| inward.tx.send(Returned::Heartbeat).is_ok());
        if !sent {
            door.forget(&entry, link);
            return;
        }
        // The message leaves as soon as the writer is free; until then none other is due.
        tokio::time::sleep(HEARTBEAT / 4).await;
    }
}

fn take(core: &Arc<Core>, inward: &Inward, down: peer::Down) {
    core.config.hear(down.config);
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
            Passed::Config(config) => core.config.offer(*config),
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
