//! The links to the owners of other cells, and what this entry knows of other entries.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::CompactString;
use tokio::sync::oneshot;

use crate::class;
use crate::decide::delivery;
use crate::entry::inward_links::InwardLinks;
use crate::id;
use crate::submission::{Ending, Submission};
use crate::wire::link;
use crate::wire::peer::{self, Passed, Returned, LATE, SILENCE};

/// The links to owners, by address.
pub struct Peers {
    links: Mutex<HashMap<CompactString, Arc<PeerLink>>>,
    versions: Mutex<BTreeMap<id::EntryId, id::Version>>,
    inward: InwardLinks,
}

/// One link to an owner.
pub struct PeerLink {
    tx: Mutex<Option<link::Sender<Passed>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Arc<Ending>>>>,
    next: AtomicU64,
    heard: Mutex<time::Instant>,
    connecting: AtomicBool,
    connection: Mutex<Arc<Connection>>,
}

/// One connection of a link. The end of an old one doesn't close its successor.
#[derive(Default)]
pub struct Connection {
    /// Its number.
    pub link: id::Link,
    delivery: Mutex<delivery::Delivery>,
}

impl Connection {
    /// Notes that a message leaves on it.
    pub fn send(&self) {
        let mut delivery = self.delivery.lock().expect("the delivery is whole");
        delivery.record_sent(time::Instant::now());
    }
}

impl Peers {
    /// Opens an entry's side of the links.
    pub fn open(inward: InwardLinks) -> Peers {
        Peers {
            links: Mutex::default(),
            versions: Mutex::default(),
            inward,
        }
    }

    /// Tells all linked entries that the configuration has changed here.
    pub fn announce_config(&self) {
        self.tell(|| Passed::Heartbeat);
        self.inward.tell(|| Returned::Heartbeat);
    }

    /// Tells the entries that rely on this one's reads that the watched rows have changed.
    pub fn announce_head(&self) {
        self.inward.tell(|| Returned::Heartbeat);
    }

    /// Asks all linked entries for a configuration newer than the one given.
    pub fn want_config(&self, version: id::Version) {
        self.tell(|| Passed::WantConfig(version));
        self.inward.tell(|| Returned::WantConfig(version));
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
            self.inward.tell(|| Returned::Versions(versions.clone()));
        }
    }

    /// The configuration versions of other entries, as last heard.
    pub fn versions(&self) -> BTreeMap<id::EntryId, id::Version> {
        self.versions
            .lock()
            .expect("the versions are whole")
            .clone()
    }

    /// Notes what another entry knows of all versions.
    pub fn note_versions(&self, heard: BTreeMap<id::EntryId, id::Version>) {
        let mut versions = self.versions.lock().expect("the versions are whole");
        versions.extend(heard);
    }

    /// Gives up links to entries that own nothing any more.
    pub fn retain(&self, owners: &HashSet<CompactString>) {
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

    /// The link to an address, which may not be connected yet.
    pub fn link(&self, addr: &CompactString) -> Arc<PeerLink> {
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
    pub fn lose(&self) {
        self.tx.lock().expect("the link is whole").take();
        self.waiting.lock().expect("the link is whole").clear();
    }

    fn hear(&self) {
        *self.heard.lock().expect("the link is whole") = time::Instant::now();
    }

    /// Sends a configuration to the owner, if the link is up.
    pub fn give_config(&self, config: &class::Versioned) {
        let tx = self.tx.lock().expect("the link is whole");
        if let Some(tx) = &*tx {
            let _ = tx.send(Passed::Config(Box::new(config.clone())));
        }
    }

    /// Tells whether it can be sent on.
    pub fn is_up(&self) -> bool {
        self.tx.lock().expect("the link is whole").is_some()
    }

    /// Tells whether the owner isn't heard, or doesn't receive what is sent.
    pub fn is_silent(&self) -> bool {
        let heard = *self.heard.lock().expect("the link is whole");
        let connection = self.connection();
        let delivery = connection.delivery.lock().expect("the delivery is whole");
        heard.elapsed() > SILENCE || delivery.is_stuck(time::Instant::now(), SILENCE)
    }

    /// The newest connection.
    pub fn connection(&self) -> Arc<Connection> {
        self.connection.lock().expect("the link is whole").clone()
    }

    /// Tells whether a heartbeat is overdue.
    pub fn is_late(&self) -> bool {
        self.heard.lock().expect("the link is whole").elapsed() > LATE
    }

    /// Notes that an attempt to connect begins, unless one is under way; tells whether it does.
    pub fn begins_connecting(&self) -> bool {
        !self.connecting.swap(true, Ordering::SeqCst)
    }

    /// Notes that an attempt to connect has ended.
    pub fn connected(&self, tx: Option<link::Sender<Passed>>) {
        if let Some(tx) = tx {
            *self.tx.lock().expect("the link is whole") = Some(tx);
        }
        self.connecting.store(false, Ordering::SeqCst);
    }

    /// Begins a new connection, which counts as heard.
    pub fn begin(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            // JSON numbers of other languages hold 53 bits.
            link: rand::random::<u64>() >> 11,
            delivery: Mutex::default(),
        });
        *self.connection.lock().expect("the link is whole") = connection.clone();
        self.hear();
        connection
    }

    /// Notes a message of the owner: it is heard, and what it confirms has arrived.
    pub fn heard(&self, up: &peer::Up) {
        self.hear();
        let connection = self.connection();
        if connection.link == up.link {
            let mut delivery = connection.delivery.lock().expect("the delivery is whole");
            delivery.confirm(up.received);
        }
    }

    /// Ends the wait for a submission or cancellation; none says that the owner isn't one.
    pub fn answer(&self, seq: u64, ending: Option<Arc<Ending>>) {
        let tx = self.waiting.lock().expect("the link is whole").remove(&seq);
        if let (Some(tx), Some(ending)) = (tx, ending) {
            let _ = tx.send(ending);
        }
    }
}
