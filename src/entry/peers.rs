//! The links to the owners of other cells, and the configuration versions of other entries.

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
use crate::wire::peer::{self, DownItem, UpItem, SILENCE, SUSPECT_AFTER};

/// The links to the owners of other cells, by address, and the configuration versions of the other
/// entries.
pub struct Peers {
    links: Mutex<HashMap<CompactString, Arc<PeerLink>>>,
    versions: Mutex<BTreeMap<id::EntryId, id::Version>>,
    inward: InwardLinks,
}

/// The link to one owner, over all its connections, and the submissions and cancellations that wait
/// for its replies.
pub struct PeerLink {
    tx: Mutex<Option<link::Sender<DownItem>>>,
    pending_replies: Mutex<HashMap<u64, oneshot::Sender<Arc<Ending>>>>,
    next_seq: AtomicU64,
    last_heard: Mutex<time::Instant>,
    connecting: AtomicBool,
    connection: Mutex<Arc<Connection>>,
}

/// One connection of a link. Its number keeps the end of an old connection from closing the next
/// one.
#[derive(Default)]
pub struct Connection {
    /// The number that this entry gave to the connection.
    pub link: id::Link,
    delivery: Mutex<delivery::Delivery>,
}

impl Connection {
    /// Notes that a message is being sent on the connection now.
    pub fn record_sent(&self) {
        let mut delivery = self.delivery.lock().expect("not poisoned");
        delivery.record_sent(time::Instant::now());
    }
}

impl Peers {
    /// Opens an empty set of links; `inward` holds those that other entries open to this one.
    pub fn open(inward: InwardLinks) -> Peers {
        Peers {
            links: Mutex::default(),
            versions: Mutex::default(),
            inward,
        }
    }

    /// Tells all linked entries the new configuration version, which a heartbeat carries.
    pub fn announce_config(&self) {
        self.send_to_all(|| DownItem::Heartbeat);
        self.inward.send_to_all(|| UpItem::Heartbeat);
    }

    /// Tells the entries that rely on this one's reads that the watched rows have changed; a
    /// heartbeat carries their digest.
    pub fn announce_head(&self) {
        self.inward.send_to_all(|| UpItem::Heartbeat);
    }

    /// Asks all linked entries for a configuration newer than the one given.
    pub fn request_config(&self, version: id::Version) {
        self.send_to_all(|| DownItem::WantConfig(version));
        self.inward.send_to_all(|| UpItem::WantConfig(version));
    }

    fn send_to_all(&self, item: impl Fn() -> DownItem) {
        let links = self.links.lock().expect("not poisoned");
        for link in links.values() {
            if let Some(tx) = &*link.tx.lock().expect("not poisoned") {
                let _ = tx.send(item());
            }
        }
    }

    /// Notes the configuration version of another entry; if it is new, sends all known versions to
    /// the entries that are linked to this one.
    pub fn note_version(&self, entry: &id::EntryId, version: id::Version) {
        let mut versions = self.versions.lock().expect("not poisoned");
        if versions.insert(entry.clone(), version) != Some(version) {
            self.inward
                .send_to_all(|| UpItem::Versions(versions.clone()));
        }
    }

    /// The configuration versions of other entries, as last heard.
    pub fn versions(&self) -> BTreeMap<id::EntryId, id::Version> {
        self.versions.lock().expect("not poisoned").clone()
    }

    /// Notes the configuration versions that another entry knows.
    pub fn note_versions(&self, heard: BTreeMap<id::EntryId, id::Version>) {
        let mut versions = self.versions.lock().expect("not poisoned");
        versions.extend(heard);
    }

    /// Closes the links to addresses that aren't among the owners' any more.
    pub fn retain(&self, owners: &HashSet<CompactString>) {
        let mut links = self.links.lock().expect("not poisoned");
        links.retain(|addr, link| {
            let stays = owners.contains(addr);
            if !stays {
                link.disconnect();
            }
            stays
        });
    }

    /// Passes a submission on to an owner. Returns whether it was sent, and its ending unless the
    /// link was lost or the receiver isn't the owner.
    pub async fn submit(
        &self,
        addr: &CompactString,
        submission: Arc<Submission>,
    ) -> (bool, Option<Arc<Ending>>) {
        let submission = Box::new(Submission::clone(&submission));
        self.pass_on(addr, |seq| DownItem::Submit(seq, submission))
            .await
    }

    /// Passes a cancellation on to an owner; returns the same as [`Peers::submit`].
    pub async fn cancel(
        &self,
        addr: &CompactString,
        key: id::JobKey,
    ) -> (bool, Option<Arc<Ending>>) {
        self.pass_on(addr, |seq| DownItem::Cancel(seq, key)).await
    }

    async fn pass_on(
        &self,
        addr: &CompactString,
        item: impl FnOnce(u64) -> DownItem,
    ) -> (bool, Option<Arc<Ending>>) {
        let link = self.link(addr);
        let Some(tx) = link.tx.lock().expect("not poisoned").clone() else {
            return (false, None);
        };
        let seq = link.next_seq.fetch_add(1, Ordering::Relaxed);
        let (tx_ending, rx) = oneshot::channel();
        link.pending_replies
            .lock()
            .expect("not poisoned")
            .insert(seq, tx_ending);
        let pending = PendingReply { link: &link, seq };
        if tx.send(item(seq)).is_err() {
            return (false, None);
        }
        drop(tx);
        let ending = rx.await.ok();
        drop(pending);
        (true, ending)
    }

    /// Returns the link to an address; a new one isn't connected yet.
    pub fn link(&self, addr: &CompactString) -> Arc<PeerLink> {
        let mut links = self.links.lock().expect("not poisoned");
        links.entry(addr.clone()).or_default().clone()
    }

    /// Closes all links.
    pub fn close(&self) {
        for (_, link) in self.links.lock().expect("not poisoned").drain() {
            link.disconnect();
        }
    }
}

/// A wait for a reply. Dropping it, also when the caller has given up, removes its sequence number
/// from the pending replies.
struct PendingReply<'a> {
    link: &'a PeerLink,
    seq: u64,
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.link
            .pending_replies
            .lock()
            .expect("not poisoned")
            .remove(&self.seq);
    }
}

impl Default for PeerLink {
    fn default() -> PeerLink {
        PeerLink {
            tx: Mutex::default(),
            pending_replies: Mutex::default(),
            next_seq: AtomicU64::new(1),
            last_heard: Mutex::new(time::Instant::now()),
            connecting: AtomicBool::new(false),
            connection: Mutex::default(),
        }
    }
}

impl PeerLink {
    /// Closes the connection and ends the waits, so that each submission searches for the owner
    /// again.
    pub fn disconnect(&self) {
        self.tx.lock().expect("not poisoned").take();
        self.pending_replies.lock().expect("not poisoned").clear();
    }

    fn record_heard(&self) {
        *self.last_heard.lock().expect("not poisoned") = time::Instant::now();
    }

    /// Sends a configuration to the owner, if the link is up.
    pub fn send_config(&self, config: &class::Versioned) {
        let tx = self.tx.lock().expect("not poisoned");
        if let Some(tx) = &*tx {
            let _ = tx.send(DownItem::Config(Box::new(config.clone())));
        }
    }

    /// Tells whether the link is connected.
    pub fn is_up(&self) -> bool {
        self.tx.lock().expect("not poisoned").is_some()
    }

    /// Tells whether the owner wasn't heard, or hasn't confirmed what was sent, for [`SILENCE`].
    pub fn is_silent(&self) -> bool {
        let last_heard = *self.last_heard.lock().expect("not poisoned");
        let connection = self.connection();
        let delivery = connection.delivery.lock().expect("not poisoned");
        last_heard.elapsed() > SILENCE || delivery.is_stuck(time::Instant::now(), SILENCE)
    }

    /// The newest connection, which may have ended.
    pub fn connection(&self) -> Arc<Connection> {
        self.connection.lock().expect("not poisoned").clone()
    }

    /// Tells whether the owner wasn't heard for [`SUSPECT_AFTER`], so that a heartbeat is overdue.
    pub fn is_heartbeat_overdue(&self) -> bool {
        self.last_heard.lock().expect("not poisoned").elapsed() > SUSPECT_AFTER
    }

    /// Marks the link as connecting; returns false if an attempt to connect is already under way.
    pub fn try_begin_connecting(&self) -> bool {
        !self.connecting.swap(true, Ordering::SeqCst)
    }

    /// Ends an attempt to connect; `tx` is the sending half if it succeeded.
    pub fn end_connecting(&self, tx: Option<link::Sender<DownItem>>) {
        if let Some(tx) = tx {
            *self.tx.lock().expect("not poisoned") = Some(tx);
        }
        self.connecting.store(false, Ordering::SeqCst);
    }

    /// Begins a new connection under a random number; the owner counts as heard now.
    pub fn begin_connection(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            // Numbers in the JSON of other languages hold only 53 bits.
            link: rand::random::<u64>() >> 11,
            delivery: Mutex::default(),
        });
        *self.connection.lock().expect("not poisoned") = connection.clone();
        self.record_heard();
        connection
    }

    /// Records a message of the owner: the owner was heard, and the messages that it confirms have
    /// arrived.
    pub fn record_message(&self, up: &peer::Up) {
        self.record_heard();
        let connection = self.connection();
        if connection.link == up.link {
            let mut delivery = connection.delivery.lock().expect("not poisoned");
            delivery.confirm(up.received);
        }
    }

    /// Ends the wait for a submission or cancellation; `None` means that the receiver isn't the
    /// owner.
    pub fn end_wait(&self, seq: u64, ending: Option<Arc<Ending>>) {
        let tx = self
            .pending_replies
            .lock()
            .expect("not poisoned")
            .remove(&seq);
        if let (Some(tx), Some(ending)) = (tx, ending) {
            let _ = tx.send(ending);
        }
    }
}
