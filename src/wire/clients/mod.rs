//! The connections of a listener's clients, with the limits on their number and on the memory that they hold.
//!
//! [`decide::clients`](crate::decide::clients) chooses which connection makes way; this module closes it.

pub mod accept;
pub mod body;
pub mod connection;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use tokio::sync::Notify;

use crate::clock;
use crate::decide::clients::{self, ConnectionNo, Limits, NoMemory};
use crate::metrics::Page;
use crate::mutex;
use crate::wire::clients::connection::Connection;

/// Shortest time between two log lines that say that connections are closed or requests refused.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The connections of a listener; clones share them.
#[derive(Clone)]
pub struct Clients(Arc<Inner>);

struct Inner {
    /// The listener's name in logs.
    name: &'static str,
    list: Mutex<clients::Clients>,
    /// Tells each connection that it has to close.
    closing: Mutex<HashMap<ConnectionNo, Arc<Notify>>>,
    /// Notified when a connection has ended, or waits for its client and could make way.
    changed: Notify,
    counts: Counts,
    /// When the last log line was written, since boot.
    logged_at: Mutex<time::Duration>,
}

/// How often limits were met over the life of the process.
#[derive(Debug, Default)]
struct Counts {
    closed_for_place: AtomicU64,
    closed_for_memory: AtomicU64,
    refused: AtomicU64,
}

/// Creates the list of a listener's connections. `name` names the listener in logs.
pub fn open(name: &'static str, limits: Limits) -> Clients {
    Clients(Arc::new(Inner {
        name,
        list: Mutex::new(clients::Clients::open(limits)),
        closing: Mutex::default(),
        changed: Notify::new(),
        counts: Counts::default(),
        logged_at: Mutex::default(),
    }))
}

impl Clients {
    /// Waits for a place for a new connection. Where all are taken, closes the connection that has waited longest for its
    /// client.
    pub async fn connect(&self) -> Connection {
        loop {
            let no = mutex::lock(&self.0.list).connect(clock::since_boot());
            if let Some(no) = no {
                let closing: Arc<Notify> = Arc::default();
                mutex::lock(&self.0.closing).insert(no, closing.clone());
                return connection::open(no, self.clone(), closing);
            }
            let chosen = mutex::lock(&self.0.list).choose_for_place();
            self.close_for_place(chosen);
            self.0.changed.notified().await;
        }
    }

    /// Closes the connection that has waited longest for its client, if there is one.
    pub fn close_longest_wait(&self) {
        let chosen = mutex::lock(&self.0.list).choose_longest_wait();
        self.close_for_place(chosen);
    }

    fn close_for_place(&self, chosen: Option<ConnectionNo>) {
        if let Some(no) = chosen {
            self.close(&[no]);
            self.0
                .counts
                .closed_for_place
                .fetch_add(1, Ordering::Relaxed);
            self.log();
        }
    }

    /// Adds the connections, their memory, and how often each limit was met to a page of metrics.
    pub fn add_to(&self, page: &mut Page) {
        let (connections, held) = self.load();
        page.gauge(
            "connections",
            "Open connections of callers",
            connections as i64,
        );
        let help = "Memory of requests and answers, in bytes";
        page.gauge("held_bytes", help, held as i64);
        let met = self.limits_met().into_iter();
        let met = met.map(|(limit, n)| ([limit.to_owned()], n));
        let help = "Connections closed and requests refused at a limit on callers";
        page.counters("limits_met", help, ["limit"], met);
    }

    /// Returns the number of open connections, and the memory that they hold in bytes.
    fn load(&self) -> (usize, usize) {
        let list = mutex::lock(&self.0.list);
        (list.connections(), list.held())
    }

    /// Returns how often each limit was met, by its name in metrics.
    fn limits_met(&self) -> [(&'static str, u64); 3] {
        let counts = &self.0.counts;
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        [
            ("closed_for_place", load(&counts.closed_for_place)),
            ("closed_for_memory", load(&counts.closed_for_memory)),
            ("refused", load(&counts.refused)),
        ]
    }

    fn disconnect(&self, no: ConnectionNo) {
        mutex::lock(&self.0.list).disconnect(no);
        mutex::lock(&self.0.closing).remove(&no);
        self.0.changed.notify_one();
    }

    fn wait(&self, no: ConnectionNo) {
        mutex::lock(&self.0.list).wait(no, clock::since_boot());
        self.0.changed.notify_one();
    }

    fn serve(&self, no: ConnectionNo) {
        mutex::lock(&self.0.list).serve(no);
    }

    fn hold(&self, no: ConnectionNo, more: usize) -> Result<(), NoMemory> {
        let result = mutex::lock(&self.0.list).hold(no, more);
        match result {
            Ok(chosen) => self.close_for_memory(&chosen),
            Err(e) => {
                self.0.counts.refused.fetch_add(1, Ordering::Relaxed);
                self.log();
                return Err(e);
            }
        }
        Ok(())
    }

    fn hold_answer(&self, no: ConnectionNo, bytes: usize) {
        let chosen = mutex::lock(&self.0.list).hold_answer(no, bytes);
        self.close_for_memory(&chosen);
    }

    fn release(&self, no: ConnectionNo, bytes: usize) {
        mutex::lock(&self.0.list).release(no, bytes);
    }

    fn close(&self, chosen: &[ConnectionNo]) {
        let closing = mutex::lock(&self.0.closing);
        for no in chosen {
            if let Some(notify) = closing.get(no) {
                notify.notify_one();
            }
        }
    }

    fn close_for_memory(&self, chosen: &[ConnectionNo]) {
        if chosen.is_empty() {
            return;
        }
        self.close(chosen);
        let n = chosen.len() as u64;
        self.0
            .counts
            .closed_for_memory
            .fetch_add(n, Ordering::Relaxed);
        self.log();
    }

    /// Logs the counts, at most once in [`LOG_INTERVAL`].
    fn log(&self) {
        let now = clock::since_boot();
        let mut logged_at = mutex::lock(&self.0.logged_at);
        if now.saturating_sub(*logged_at) < LOG_INTERVAL {
            return;
        }
        *logged_at = now;
        drop(logged_at);
        let [(_, place), (_, memory), (_, refused)] = self.limits_met();
        let (connections, held) = self.load();
        log::warn!(listener = self.0.name, connections = connections, held_bytes = held, closed_for_place = place,
            closed_for_memory = memory, refused = refused; "clients meet a limit");
    }
}
