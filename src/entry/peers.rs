//! Between entries: the links to the owners of other cells, and the way in for other entries.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time;

use compact_str::CompactString;
use tokio::sync::oneshot;

use crate::controller::ownership::Suspicion;
use crate::count;
use crate::entry::cell::Waiter;
use crate::entry::core::{Core, Place};
use crate::id;
use crate::key;
use crate::submission::{Ending, Submission};
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned, HEARTBEAT, SILENCE};

/// How often the links are looked after.
const TICK: time::Duration = time::Duration::from_millis(100);

/// The links to owners, by address.
pub struct Peers {
    entry: id::EntryId,
    links: Mutex<HashMap<CompactString, Arc<PeerLink>>>,
}

/// One link to an owner.
struct PeerLink {
    tx: Mutex<Option<link::Sender<Passed>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Arc<Ending>>>>,
    next: AtomicU64,
    heard: Mutex<time::Instant>,
    connecting: AtomicBool,
    /// Counts connections, so that the end of an old one doesn't close its successor.
    connections: AtomicU64,
}

impl Peers {
    /// Opens an entry's side of the links.
    pub fn open(entry: id::EntryId) -> Peers {
        Peers {
            entry,
            links: Mutex::default(),
        }
    }

    /// Passes a submission on. Returns whether it left, and its ending unless the link broke or
    /// the receiver isn't the owner.
    pub async fn submit(
        &self,
        addr: &CompactString,
        submission: Arc<Submission>,
    ) -> (bool, Option<Arc<Ending>>) {
        let submission = Box::new(Submission::clone(&submission));
        self.pass(addr, |seq| Passed::Submit(seq, submission)).await
    }

    /// Passes a cancellation on.
    pub async fn cancel(
        &self,
        addr: &CompactString,
        key: id::JobKey,
    ) -> (bool, Option<Arc<Ending>>) {
        self.pass(addr, |seq| Passed::Cancel(seq, key)).await
    }

    async fn pass(
        &self,
        addr: &CompactString,
        item: impl FnOnce(u64) -> Passed,
    ) -> (bool, Option<Arc<Ending>>) {
        let link = self.link(addr);
        let Some(tx) = link.tx.lock().expect("the link is whole").clone() else {
            return (false, None);
        };
        let seq = link.next.fetch_add(1, Ordering::Relaxed);
        let (reply, rx) = oneshot::channel();
        link.waiting
            .lock()
            .expect("the link is whole")
            .insert(seq, reply);
        let waiting = Waiting { link: &link, seq };
        if tx.send(item(seq)).is_err() {
            return (false, None);
        }
        drop(tx);
        let ending = rx.await.ok();
        drop(waiting);
        (true, ending)
    }

    fn link(&self, addr: &CompactString) -> Arc<PeerLink> {
        let mut links = self.links.lock().expect("the links are whole");
        links.entry(addr.clone()).or_default().clone()
    }

    /// Closes all links.
    pub fn close(&self) {
        for (_, link) in self.links.lock().expect("the links are whole").drain() {
            link.lose();
        }
    }
}

/// Takes a waiting number off the list even where its caller gave up.
struct Waiting<'a> {
    link: &'a PeerLink,
    seq: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.link
            .waiting
            .lock()
            .expect("the link is whole")
            .remove(&self.seq);
    }
}

impl Default for PeerLink {
    fn default() -> PeerLink {
        PeerLink {
            tx: Mutex::default(),
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
            heard: Mutex::new(time::Instant::now()),
            connecting: AtomicBool::new(false),
            connections: AtomicU64::new(0),
        }
    }
}

impl PeerLink {
    /// Gives the link up: whoever waits on it looks for the owner again.
    fn lose(&self) {
        self.tx.lock().expect("the link is whole").take();
        self.waiting.lock().expect("the link is whole").clear();
    }

    fn hear(&self) {
        *self.heard.lock().expect("the link is whole") = time::Instant::now();
    }

    fn is_up(&self) -> bool {
        self.tx.lock().expect("the link is whole").is_some()
    }

    fn is_silent(&self) -> bool {
        self.heard.lock().expect("the link is whole").elapsed() > SILENCE
    }

    fn take(&self, core: &Weak<Core>, up: peer::Up) {
        self.hear();
        if let Some(core) = core.upgrade() {
            core.config.hear(up.config);
        }
        let mut waiting = self.waiting.lock().expect("the link is whole");
        for item in up.items {
            match item {
                Returned::Ending(seq, ending) => {
                    if let Some(tx) = waiting.remove(&seq) {
                        let _ = tx.send(ending);
                    }
                }
                Returned::NotOwner(seq) => drop(waiting.remove(&seq)),
                Returned::Heartbeat => {}
            }
        }
    }
}

/// Keeps a link to the owner of every cell of others, and reports owners that seem gone.
pub async fn tend(core: Weak<Core>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let Some(core) = core.upgrade() else {
            return;
        };
        for (cell, place) in core.places().into_iter().enumerate() {
            if let Place::There(owner) = place {
                tend_one(&core, cell as id::Cell, &owner.addr, owner.epoch);
            }
        }
    }
}

fn tend_one(core: &Arc<Core>, cell: id::Cell, addr: &CompactString, epoch: id::Epoch) {
    let link = core.peers.link(addr);
    if link.is_up() {
        if link.is_silent() {
            log::warn!("link to the owner at {addr} went silent; it is replaced");
            link.lose();
        }
        return;
    }
    if link.connecting.swap(true, Ordering::SeqCst) {
        return;
    }
    let core = core.clone();
    let addr = addr.clone();
    tokio::spawn(async move {
        match connect(&core, &addr, &link).await {
            Ok(()) => core.ownership.trust(cell),
            Err(_) => {
                let suspicion = match link::probe(&addr).await {
                    link::Reach::Refused => Suspicion::Refusing,
                    link::Reach::Open | link::Reach::Silent => Suspicion::Silent,
                };
                core.ownership.suspect(cell, epoch, suspicion);
            }
        }
        link.connecting.store(false, Ordering::SeqCst);
    });
}

async fn connect(core: &Arc<Core>, addr: &str, link: &Arc<PeerLink>) -> anyhow::Result<()> {
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    let (taking, closing) = (link.clone(), link.clone());
    let weak = Arc::downgrade(core);
    let grouping = core.config.clone();
    let messages = core.messages.clone();
    let entry = core.peers.entry.clone();
    let number = link.connections.fetch_add(1, Ordering::SeqCst) + 1;
    link.hear();
    let hello = peer::Hello {
        entry: core.peers.entry.clone(),
    };
    let ends = link::Peer {
        take: Arc::new(move |up| taking.take(&weak, up)),
        group: Arc::new(move |items: Vec<Passed>| peer::Down {
            entry: entry.clone(),
            config: grouping.version(),
            items,
        }),
        sent: Arc::new(move |down, bytes| messages.sent(peer::kind_down(&down.items), bytes)),
        closed: Box::new(move || {
            if closing.connections.load(Ordering::SeqCst) == number {
                closing.lose();
            }
        }),
    };
    link::connect(addr, hello, rx, ends).await?;
    *link.tx.lock().expect("the link is whole") = Some(tx);
    Ok(())
}

/// Lets the listener be bound before the core is there that answers.
#[derive(Clone, Default)]
pub struct Door {
    core: Arc<OnceLock<Weak<Core>>>,
}

impl Door {
    /// Puts the core behind the listener.
    pub fn open(&self, core: &Arc<Core>) {
        let _ = self.core.set(Arc::downgrade(core));
    }

    fn core(&self) -> Option<Arc<Core>> {
        self.core.get()?.upgrade()
    }
}

/// The way in for other entries.
pub fn service(
    door: &Door,
    messages: count::Messages,
) -> link::Service<peer::Hello, Returned, peer::Down, peer::Up> {
    let (grouping, taking) = (door.clone(), door.clone());
    let links: Arc<Mutex<HashMap<id::EntryId, link::Sender<Returned>>>> = Arc::default();
    let greeting = links.clone();
    link::Service {
        greet: Arc::new(move |hello: peer::Hello, tx| {
            tokio::spawn(heartbeat(tx.clone()));
            greeting
                .lock()
                .expect("the links are whole")
                .insert(hello.entry, tx);
        }),
        take: Arc::new(move |down: peer::Down| {
            if let Some(core) = taking.core() {
                take(&core, &links, down);
            }
        }),
        group: Arc::new(move |items: Vec<Returned>| {
            let config = grouping.core().map_or(0, |core| core.config.version());
            peer::Up { config, items }
        }),
        sent: Arc::new(move |up, bytes| messages.sent(peer::kind_up(&up.items), bytes)),
    }
}

async fn heartbeat(tx: link::Sender<Returned>) {
    let mut interval = tokio::time::interval(HEARTBEAT);
    while tx.send(Returned::Heartbeat).is_ok() {
        interval.tick().await;
    }
}

type Inwards = Mutex<HashMap<id::EntryId, link::Sender<Returned>>>;

fn take(core: &Arc<Core>, links: &Inwards, down: peer::Down) {
    core.config.hear(down.config);
    let inward = links
        .lock()
        .expect("the links are whole")
        .get(&down.entry)
        .cloned();
    let Some(tx) = inward else {
        return;
    };
    for item in down.items {
        match item {
            Passed::Submit(seq, submission) => {
                let cell = key::cell(&submission.key, core.cfg.cells);
                let waiter = Waiter::Peer(tx.clone(), seq);
                match core.place(cell) {
                    Place::Here(owner) => owner.submit(Arc::new(*submission), waiter),
                    Place::There(_) | Place::Nowhere => {
                        let _ = tx.send(Returned::NotOwner(seq));
                    }
                }
            }
            Passed::Cancel(seq, key) => {
                let waiter = Waiter::Peer(tx.clone(), seq);
                match core.place(key::cell(&key, core.cfg.cells)) {
                    Place::Here(owner) => owner.cancel(&key, waiter),
                    Place::There(_) | Place::Nowhere => {
                        let _ = tx.send(Returned::NotOwner(seq));
                    }
                }
            }
            Passed::Heartbeat => {}
        }
    }
}
