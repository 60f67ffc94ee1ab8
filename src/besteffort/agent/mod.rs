//! An agent for best-effort work: links to the entries on one side, a backend server on the other.
//!
//! What may run is decided by [`Slots`]; this part carries orders out and words across. All runs on
//! one thread: the small machines beside backend servers have a fraction of one core.

mod link;
mod server;

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::CompactString;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::besteffort::agent::link::accept_links;
pub use crate::besteffort::agent::link::MAX_LINKS;
use crate::besteffort::agent::server::{check_incarnation, keep_listing, send_orders, tick};
use crate::clock;
use crate::decide::besteffort::lease::{self, Bounds};
use crate::decide::besteffort::message::{
    Backend, Crash, EntryIncarnation, Heartbeat, Room, Run, ServerIncarnation,
};
use crate::decide::besteffort::slots::{Counts, Listing, Recipient, Slots, StartAnswer};
use crate::id;
use crate::mutex;

/// How often time bounds are looked at; small against the shortest of them (40 ms).
const TICK: time::Duration = time::Duration::from_millis(20);

/// How long past that a listing's answer may take before it counts as lost.
const LISTING_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// A boxed future, as the closures of [`BackendServer`] return it.
pub type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Why a listing brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingError {
    /// No answer; nobody can tell what the backend server did.
    NoAnswer,
    /// Another life of the backend server answered: what was started before has ended.
    AnotherIncarnation,
    /// Nothing listens there: the backend server has ended.
    Refused,
}

/// How the agent speaks to the backend server beside it.
pub struct BackendServer {
    /// Starts a run under a lease that ends at the given time of the backend server's clock.
    #[allow(clippy::type_complexity)]
    pub start: Box<dyn Fn(Recipient, Run, CompactString, u64) -> Answer<StartAnswer> + Send + Sync>,
    /// Stops a run, or makes sure that it never begins; true once that is certain.
    pub stop: Box<dyn Fn(Recipient, Run) -> Answer<bool> + Send + Sync>,
    /// Lists what it has.
    pub list: Box<dyn Fn(ListCall) -> Answer<Result<Listing, ListingError>> + Send + Sync>,
}

/// What is asked with a listing.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// Whom it is meant for.
    pub to: Recipient,
    /// The end of the lease to renew, on the backend server's clock.
    pub lease_until_ms: Option<u64>,
    /// The last end that needn't be listed any more.
    pub acknowledged: u64,
    /// How long to wait for an end.
    pub wait: time::Duration,
}

/// Who an agent is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: id::AgentId,
    /// Which life of it.
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// Where entries connect.
    pub link_addr: SocketAddr,
    /// The time bounds that it keeps.
    pub bounds: Bounds,
}

/// An agent in numbers.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether anything is with the backend server.
    pub working: bool,
    /// Room that nobody uses or waits for.
    pub free: Room,
    /// Entries that are linked.
    pub linked_entries: usize,
    /// How long ago the backend server answered; none if it never did.
    pub last_answer_age: Option<time::Duration>,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Counts since the start.
    pub counts: Counts,
}

struct Inner {
    cfg: Config,
    server: BackendServer,
    slots: Mutex<Slots>,
    links: Mutex<HashMap<EntryIncarnation, Link>>,
    /// Wakes the listing loop when work begins after a quiet time.
    work_began: Notify,
    /// Wakes it when the backend server has a new life.
    new_incarnation: Notify,
    /// Whether nothing runs any more that an earlier life of the agent had started. Before that the
    /// lease isn't renewed, and no entry is told that nothing runs here.
    leftovers_ended: AtomicBool,
}

/// The link of an entry.
#[derive(Clone)]
struct Link {
    /// Which of the entry's links.
    number: u64,
    wake: Arc<Notify>,
    close: Arc<Notify>,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    inner: Arc<Inner>,
    addr: SocketAddr,
}

/// Starts an agent that entries can connect to. It first ends whatever an earlier life left running.
///
/// # Errors
///
/// Returns what the system says where the address can't be bound.
pub async fn bind(cfg: Config, server: BackendServer) -> io::Result<Agent> {
    let listener = TcpListener::bind(cfg.link_addr).await?;
    let addr = listener.local_addr()?;
    let inner = Arc::new(Inner {
        slots: Mutex::new(Slots::open(cfg.bounds)),
        cfg,
        server,
        links: Mutex::default(),
        work_began: Notify::new(),
        new_incarnation: Notify::new(),
        leftovers_ended: AtomicBool::new(false),
    });
    tokio::spawn(accept_links(inner.clone(), listener));
    tokio::spawn(keep_listing(inner.clone()));
    tokio::spawn(tick(inner.clone()));
    Ok(Agent { inner, addr })
}

impl Agent {
    /// Where entries connect.
    pub fn link_addr(&self) -> SocketAddr {
        self.addr
    }

    /// The backend server has announced itself.
    pub fn heartbeat_received(&self, heartbeat: Heartbeat) {
        let check =
            mutex::lock(&self.inner.slots).heartbeat_received(clock::since_boot(), heartbeat);
        if let Some(check) = check {
            tokio::spawn(check_incarnation(self.inner.clone(), check));
        }
        send_orders(&self.inner);
        wake_all_links(&self.inner);
    }

    /// The life of the backend server that is known; with an empty id before any.
    pub fn server_incarnation(&self) -> ServerIncarnation {
        mutex::lock(&self.inner.slots).server_incarnation().clone()
    }

    /// The backend server as it last announced itself.
    pub fn backend(&self) -> Backend {
        mutex::lock(&self.inner.slots).announced_backend().clone()
    }

    /// The backend server as an earlier life of the agent knew it. Its own word, which may take a
    /// heartbeat, goes first.
    pub async fn restore_backend(&self, backend: Backend) {
        if !self.server_incarnation().id.is_empty() {
            return;
        }
        let life = backend.incarnation.clone();
        // Whatever it has said since goes first.
        let heartbeat = Heartbeat { backend, number: 0 };
        let check =
            mutex::lock(&self.inner.slots).heartbeat_received(clock::since_boot(), heartbeat);
        if let Some(check) = check {
            check_incarnation(self.inner.clone(), check).await;
        }
        let there = self.server_incarnation() == life;
        log::info!(instance = life.id.as_str(), born_ms = life.born_ms, there = there;
            "backend server is remembered");
    }

    /// A life of the backend server has left.
    pub fn server_left(&self, life: &ServerIncarnation) {
        mutex::lock(&self.inner.slots).server_left(clock::since_boot(), life);
        send_orders(&self.inner);
        wake_all_links(&self.inner);
    }

    /// Which life of the agent this is.
    pub fn incarnation(&self) -> id::Incarnation {
        self.inner.cfg.incarnation
    }

    /// The crashes of its backend servers that are remembered.
    pub fn crashes(&self) -> Vec<Crash> {
        mutex::lock(&self.inner.slots).crashes()
    }

    /// Takes no new work, lets what runs end, `longest` at most, and ends the rest.
    pub async fn stop(&self, longest: time::Duration) {
        mutex::lock(&self.inner.slots).stop_accepting(clock::since_boot());
        send_orders(&self.inner);
        wake_all_links(&self.inner);
        let idle = async {
            while !mutex::lock(&self.inner.slots).is_idle() {
                sleep(TICK).await;
            }
        };
        if timeout(longest, idle).await.is_err() {
            log::warn!("stopping with runs left; they are ended");
            mutex::lock(&self.inner.slots).end_all_runs(clock::since_boot());
            send_orders(&self.inner);
            sleep(2 * lease::MAX_STOP_TIME).await;
        }
        // The last ends leave with the next line.
        sleep(TICK).await;
    }

    /// What it has and did, for the metrics page.
    pub fn status(&self) -> Status {
        let now = clock::since_boot();
        let linked_entries = mutex::lock(&self.inner.links).len();
        let slots = mutex::lock(&self.inner.slots);
        Status {
            working: slots.is_working(),
            free: slots.free(),
            linked_entries,
            last_answer_age: slots.last_answer_age(now),
            takes_work: slots.advertised_backend().takes_work,
            counts: slots.counts.clone(),
        }
    }
}

fn wake_links_with_unsent(inner: &Inner) {
    let slots = mutex::lock(&inner.slots);
    for (name, link) in mutex::lock(&inner.links).iter() {
        if slots.has_unsent(name) {
            link.wake.notify_one();
        }
    }
}

fn wake_all_links(inner: &Inner) {
    for link in mutex::lock(&inner.links).values() {
        link.wake.notify_one();
    }
}
