//! The links that other entries hold to this one.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use crate::id;
use crate::wire::link;
use crate::wire::peer::{Returned, HEARTBEAT};

/// The links of other entries; clones share them.
#[derive(Clone, Default)]
pub struct InwardLinks {
    links: Arc<Mutex<HashMap<id::EntryId, Inward>>>,
}

/// The link of one other entry.
#[derive(Clone)]
pub struct Inward {
    link: id::Link,
    /// What goes back to the entry.
    pub tx: link::Sender<Returned>,
    received: Arc<AtomicU64>,
    spoke: Arc<Mutex<time::Instant>>,
}

impl Inward {
    /// Opens a link that has just been made.
    pub fn open(link: id::Link, tx: link::Sender<Returned>) -> Inward {
        Inward {
            link,
            tx,
            received: Arc::default(),
            spoke: Arc::new(Mutex::new(time::Instant::now())),
        }
    }

    /// Notes that something leaves on it; returns how many messages have come.
    pub fn spoke(&self) -> u64 {
        *self.spoke.lock().expect("the time is whole") = time::Instant::now();
        self.received.load(Ordering::SeqCst)
    }
}

impl InwardLinks {
    /// Tells all entries that are linked here.
    pub fn tell(&self, item: impl Fn() -> Returned) {
        for inward in self.links().values() {
            let _ = inward.tx.send(item());
        }
    }

    /// Puts an entry's link in the place of its last one, and keeps it from going silent.
    pub fn admit(&self, entry: id::EntryId, inward: Inward) {
        let link = inward.link;
        self.links().insert(entry.clone(), inward);
        tokio::spawn(heartbeat(self.clone(), entry, link));
    }

    fn links(&self) -> MutexGuard<'_, HashMap<id::EntryId, Inward>> {
        self.links.lock().expect("the links are whole")
    }

    /// The link that a message came on, unless another has replaced it.
    pub fn received(&self, entry: &id::EntryId, link: id::Link) -> Option<Inward> {
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

/// Says something on a link where nothing else was said for a while.
async fn heartbeat(links: InwardLinks, entry: id::EntryId, link: id::Link) {
    while let Some(left) = links.heartbeat_due_in(&entry, link) {
        if !left.is_zero() {
            tokio::time::sleep(left).await;
            continue;
        }
        let inward = links.links().get(&entry).cloned();
        let sent = inward.is_some_and(|inward| inward.tx.send(Returned::Heartbeat).is_ok());
        if !sent {
            links.forget(&entry, link);
            return;
        }
        // The message leaves as soon as the writer is free; until then none other is due.
        tokio::time::sleep(HEARTBEAT / 4).await;
    }
}
