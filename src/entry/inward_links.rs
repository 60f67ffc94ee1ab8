//! The links that other entries have opened to this one, and the heartbeats on them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use crate::id;
use crate::wire::link;
use crate::wire::peer::{UpItem, HEARTBEAT};

/// The newest link of each other entry; clones share them.
#[derive(Clone, Default)]
pub struct InwardLinks {
    links: Arc<Mutex<HashMap<id::EntryId, InwardLink>>>,
}

/// A link that another entry has opened; clones share its state.
#[derive(Clone)]
pub struct InwardLink {
    link: id::Link,
    /// Sends items back to the entry.
    pub tx: link::Sender<UpItem>,
    received: Arc<AtomicU64>,
    last_sent: Arc<Mutex<time::Instant>>,
}

impl InwardLink {
    /// Opens the state of a link that was just connected.
    pub fn open(link: id::Link, tx: link::Sender<UpItem>) -> InwardLink {
        InwardLink {
            link,
            tx,
            received: Arc::default(),
            last_sent: Arc::new(Mutex::new(time::Instant::now())),
        }
    }

    /// Notes that a message is being sent now; returns how many messages have come on this link,
    /// for the message to confirm.
    pub fn record_sent(&self) -> u64 {
        *self.last_sent.lock().expect("not poisoned") = time::Instant::now();
        self.received.load(Ordering::SeqCst)
    }
}

impl InwardLinks {
    /// Sends an item to all entries that are linked to this one.
    pub fn send_to_all(&self, item: impl Fn() -> UpItem) {
        for inward in self.links().values() {
            let _ = inward.tx.send(item());
        }
    }

    /// Replaces an entry's link by a new one, and spawns the heartbeats on it.
    pub fn replace(&self, entry: id::EntryId, inward: InwardLink) {
        let link = inward.link;
        self.links().insert(entry.clone(), inward);
        tokio::spawn(send_heartbeats(self.clone(), entry, link));
    }

    fn links(&self) -> MutexGuard<'_, HashMap<id::EntryId, InwardLink>> {
        self.links.lock().expect("not poisoned")
    }

    /// Counts a received message and returns the link that it came on, unless another link has
    /// replaced that one.
    pub fn count_received(&self, entry: &id::EntryId, link: id::Link) -> Option<InwardLink> {
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
        let last_sent = *inward.last_sent.lock().expect("not poisoned");
        (inward.link == link).then(|| HEARTBEAT.saturating_sub(last_sent.elapsed()))
    }

    fn remove(&self, entry: &id::EntryId, link: id::Link) {
        let mut links = self.links();
        if links.get(entry).is_some_and(|inward| inward.link == link) {
            links.remove(entry);
        }
    }
}

/// Sends a heartbeat whenever nothing else was sent on a link for [`HEARTBEAT`], until it is closed
/// or replaced.
async fn send_heartbeats(links: InwardLinks, entry: id::EntryId, link: id::Link) {
    while let Some(remaining) = links.heartbeat_due_in(&entry, link) {
        if !remaining.is_zero() {
            tokio::time::sleep(remaining).await;
            continue;
        }
        let inward = links.links().get(&entry).cloned();
        let sent = inward.is_some_and(|inward| inward.tx.send(UpItem::Heartbeat).is_ok());
        if !sent {
            links.remove(&entry, link);
            return;
        }
        // The heartbeat counts as sent only when the writer sends it. Without this pause the loop
        // would queue more heartbeats until then.
        tokio::time::sleep(HEARTBEAT / 4).await;
    }
}
