//! The links to the owners of other cells, and what this entry knows of other entries.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time;

use compact_str::CompactString;
use tokio::sync::oneshot;

use crate::controller::standing::Suspicion;
use crate::decide::delivery;
use crate::entry::core::{Core, Place};
use crate::entry::inward;
use crate::id;
use crate::submission::{Ending, Submission};
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned, LATE, SILENCE};
use crate::wire::reach;

/// How often the links are looked after.
const TICK: time::Duration = time::Duration::from_millis(100);

/// The links to owners, by address.
pub struct Peers {
    links: Mutex<HashMap<CompactString, Arc<PeerLink>>>,
    versions: Mutex<BTreeMap<id::EntryId, id::Version>>,
    door: inward::Door,
}

/// One link to an owner.
struct PeerLink {
    tx: Mutex<Option<link::Sender<Passed>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Arc<Ending>>>>,
    next: AtomicU64,
    heard: Mutex<time::Instant>,
    connecting: AtomicBool,
    connection: Mutex<Arc<Connection>>,
}

/// One connection of a link. The end of an old one doesn't close its successor.
#[derive(Default)]
struct Connection {
    link: id::Link,
    delivery: Mutex<delivery::Delivery>,
}

impl Peers {
    /// Opens an entry's side of the links.
    pub fn open(door: inward::Door) -> Peers {
        Peers {
            links: Mutex::default(),
            versions: Mutex::default(),
            door,
        }
    }

    /// Tells all linked entries that the configuration has changed here.
    pub fn announce_config(&self) {
        self.tell(|| Passed::Heartbeat);
        self.door.tell(|| Returned::Heartbeat);
    }

    /// Tells the entries that rely on this one's reads that the watched rows have changed.
    pub fn announce_head(&self) {
        self.door.tell(|| Returned::Heartbeat);
    }

    /// Asks all linked entries for a configuration newer than the one given.
    pub fn want_config(&self, version: id::Version) {
        self.tell(|| Passed::WantConfig(version));
        self.door.tell(|| Returned::WantConfig(version));
    }

    fn tell(&self, item: impl Fn() -> Passed) {
        let links = self.links.lock().expect("the links are whole");
        for link in links.values() {
            if let Some(tx) = &*link.tx.lock().expect("the link is whole") {
                let _ = tx.send(item());
            }
        }
    }

    /// Notes the configuration version of another entry, and passes news of it on.
    pub fn note_version(&self, entry: &id::EntryId, version: id::Version) {
        let mut versions = self.versions.lock().expect("the versions are whole");
        if versions.insert(entry.clone(), version) != Some(version) {
            self.door.tell(|| Returned::Versions(versions.clone()));
        }
    }

    /// The configuration versions of other entries, as last heard.
    pub fn versions(&self) -> BTreeMap<id::EntryId, id::Version> {
        self.versions
            .lock()
            .expect("the versions are whole")
            .clone()
    }

    fn note_versions(&self, heard: BTreeMap<id::EntryId, id::Version>) {
        let mut versions = self.versions.lock().expect("the versions are whole");
        versions.extend(heard);
    }

    /// Gives up links to entries that own nothing any more.
    fn retain(&self, owners: &HashSet<CompactString>) {
        let mut links = self.links.lock().expect("the links are whole");
        links.retain(|addr, link| {
            let stays = owners.contains(addr);
            if !stays {
                link.lose();
            }
            stays
        });
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
            connection: Mutex::default(),
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

    fn give_config(&self, core: &Core, than: id::Version) {
        let newer = core.config.get().filter(|config| config.version > than);
        let tx = self.tx.lock().expect("the link is whole");
        if let (Some(config), Some(tx)) = (newer, &*tx) {
            let _ = tx.send(Passed::Config(Box::new((*config).clone())));
        }
    }

    fn is_up(&self) -> bool {
        self.tx.lock().expect("the link is whole").is_some()
    }

    /// Tells whether the owner isn't heard, or doesn't receive what is sent.
    fn is_silent(&self) -> bool {
        let heard = *self.heard.lock().expect("the link is whole");
        let connection = self.connection();
        let delivery = connection.delivery.lock().expect("the delivery is whole");
        heard.elapsed() > SILENCE || delivery.is_stuck(time::Instant::now(), SILENCE)
    }

    fn connection(&self) -> Arc<Connection> {
        self.connection.lock().expect("the link is whole").clone()
    }

    /// Tells whether a heartbeat is overdue.
    fn is_late(&self) -> bool {
        self.heard.lock().expect("the link is whole").elapsed() > LATE
    }

    fn take(&self, core: &Weak<Core>, up: peer::Up) {
        self.hear();
        let connection = self.connection();
        if connection.link == up.link {
            let mut delivery = connection.delivery.lock().expect("the delivery is whole");
            delivery.confirm(up.received);
        }
        let Some(core) = core.upgrade() else {
            return;
        };
        core.config.hear(up.config);
        core.peers.note_version(&up.entry, up.config);
        if let Some(head) = &up.head {
            core.hear_head(head);
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
                Returned::WantConfig(version) => self.give_config(&core, version),
                Returned::Config(config) => core.config.offer(*config),
                Returned::Versions(mut versions) => {
                    versions.remove(&core.cfg.id);
                    core.peers.note_versions(versions);
                }
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
            core.ownership.trust(cell);
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
                let suspicion = match reach::probe(&addr).await {
                    reach::Reach::Refused => Suspicion::Refusing,
                    reach::Reach::Open | reach::Reach::Silent => Suspicion::Silent,
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
    let entry = core.cfg.id.clone();
    let connection = Arc::new(Connection {
        // JSON numbers of other languages hold 53 bits.
        link: rand::random::<u64>() >> 11,
        delivery: Mutex::default(),
    });
    *link.connection.lock().expect("the link is whole") = connection.clone();
    link.hear();
    let hello = peer::Hello {
        entry: entry.clone(),
        link: connection.link,
    };
    let number = connection.link;
    let ends = link::Peer {
        take: Arc::new(move |up| taking.take(&weak, up)),
        group: Arc::new(move |items: Vec<Passed>| {
            let mut delivery = connection.delivery.lock().expect("the delivery is whole");
            delivery.send(time::Instant::now());
            peer::Down {
                entry: entry.clone(),
                link: connection.link,
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
    *link.tx.lock().expect("the link is whole") = Some(tx);
    Ok(())
}
