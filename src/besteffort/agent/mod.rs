//! An agent for best-effort work, between the entries that link to it and its backend server.
//!
//! [`Slots`] decides what runs; this module sends its orders to the backend server and its messages to the
//! entries. Everything runs on one thread: the small machines beside backend servers have a fraction of one
//! core.

mod link;
mod server;

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
use crate::decide::besteffort::features::Features;
use crate::decide::besteffort::lease::{self, Bounds};
use crate::decide::besteffort::message::{
    Backend, Crash, EntryIncarnation, Heartbeat, Room, Run, ServerIncarnation,
};
use crate::decide::besteffort::slots::{Counts, Listing, Recipient, Slots, StartAnswer};
use crate::decide::besteffort::told::Pace;
use crate::id;
use crate::mutex;

/// Interval at which the time bounds are checked; shorter than the shortest of them (40 ms).
const TICK: time::Duration = time::Duration::from_millis(20);

/// How long a listing's answer may take beyond the time that the backend server waits for an end. After that
/// the answer counts as lost.
const LISTING_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// A boxed future, as the closures of [`BackendServer`] return it.
pub type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Why a listing failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingError {
    /// There was no answer, so that nobody knows what the backend server did.
    NoAnswer,
    /// Another incarnation of the backend server answered, so that all runs on the one that was asked have
    /// ended.
    AnotherIncarnation,
    /// The connection was refused: the backend server has ended.
    Refused,
}

/// The calls of an agent to its backend server.
pub struct BackendServer {
    /// Starts a run under a lease that ends at the given time of the backend server's clock, in milliseconds.
    #[allow(clippy::type_complexity)]
    pub start: Box<dyn Fn(Recipient, Run, CompactString, u64) -> Answer<StartAnswer> + Send + Sync>,
    /// Stops a run, or makes sure that it never begins; resolves to true once that is certain.
    pub stop: Box<dyn Fn(Recipient, Run) -> Answer<bool> + Send + Sync>,
    /// Lists the runs that the backend server has.
    pub list: Box<dyn Fn(ListCall) -> Answer<Result<Listing, ListingError>> + Send + Sync>,
    /// The number of starts that were sent a second time, because the first had no answer yet.
    pub starts_resent: Arc<AtomicU64>,
}

/// The content of a request for a listing.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// The incarnation that is asked.
    pub to: Recipient,
    /// The requested end of the lease, in milliseconds of the backend server's clock; none to leave the lease
    /// as it is.
    pub lease_until_ms: Option<u64>,
    /// The number of the last end that needn't be listed again.
    pub acknowledged: u64,
    /// How long the backend server may delay its answer until a run ends.
    pub wait: time::Duration,
}

/// The identity of an agent, and the bounds it keeps.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name by which the agent is listed.
    pub name: id::AgentId,
    /// The incarnation of the agent, which changes with each start of the process.
    pub incarnation: id::Incarnation,
    /// The failure domain of the agent and its backend server.
    pub failure_domain: CompactString,
    /// The address to listen at for links of entries.
    pub link_addr: SocketAddr,
    /// The time bounds on silence, leases and heartbeats.
    pub bounds: Bounds,
    /// The optional decisions that are switched on.
    pub features: Features,
}

/// A snapshot of an agent for the metrics page.
#[derive(Clone, Debug)]
pub struct Status {
    /// Whether any run was sent to the backend server and hasn't ended.
    pub working: bool,
    /// The room that is neither used nor needed by waiting starts.
    pub free: Room,
    /// The room that work waiting at all entries needs here, in thousandths of a core, by priority; none unless
    /// the feature `demand` is on.
    pub demand_cpu: Option<BTreeMap<u32, u64>>,
    /// The number of entries that have a link.
    pub linked_entries: usize,
    /// The time since the backend server last answered; none if it never has.
    pub last_answer_age: Option<time::Duration>,
    /// Whether the agent accepts new work.
    pub takes_work: bool,
    /// The pace of the backend server; none before a run has shown it.
    pub pace: Option<Pace>,
    /// What the agent has counted since its start.
    pub counts: Counts,
    /// The number of starts that were sent to the backend server a second time.
    pub starts_resent: u64,
}

struct Inner {
    cfg: Config,
    server: BackendServer,
    slots: Mutex<Slots>,
    links: Mutex<HashMap<EntryIncarnation, Link>>,
    /// Wakes the listing loop, which may be idle, when a start or a stop was answered.
    work_began: Notify,
    /// Wakes the listing loop when the backend server has a new incarnation.
    new_incarnation: Notify,
    /// Whether all runs that an earlier incarnation of the agent started have ended. Before that the lease
    /// isn't renewed, and no entry is told that nothing runs here.
    leftovers_ended: AtomicBool,
}

/// The registered link of an entry.
#[derive(Clone)]
struct Link {
    /// The number that the entry gave the link; a later link has a larger one.
    number: u64,
    wake: Arc<Notify>,
    close: Arc<Notify>,
}

/// A handle to a running agent.
#[derive(Clone)]
pub struct Agent {
    inner: Arc<Inner>,
    addr: SocketAddr,
}

/// Starts an agent and listens for links of entries. It first ends the runs that an earlier incarnation of it
/// left running.
///
/// # Errors
///
/// Returns the system's error if the address can't be bound.
pub async fn bind(cfg: Config, server: BackendServer) -> io::Result<Agent> {
    let listener = TcpListener::bind(cfg.link_addr).await?;
    let addr = listener.local_addr()?;
    let mut slots = Slots::open(cfg.bounds);
    slots.set_features(cfg.features);
    let inner = Arc::new(Inner {
        slots: Mutex::new(slots),
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
    /// Returns the address at which entries connect.
    pub fn link_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Handles a heartbeat of the backend server. If it comes from an incarnation that isn't the current one,
    /// that incarnation is checked first.
    pub fn heartbeat_received(&self, heartbeat: Heartbeat) {
        let check =
            mutex::lock(&self.inner.slots).heartbeat_received(clock::since_boot(), heartbeat);
        if let Some(check) = check {
            tokio::spawn(check_incarnation(self.inner.clone(), check));
        }
        send_orders(&self.inner);
        wake_all_links(&self.inner);
    }

    /// Returns the current incarnation of the backend server; its id is empty before one is known.
    pub fn server_incarnation(&self) -> ServerIncarnation {
        mutex::lock(&self.inner.slots).server_incarnation().clone()
    }

    /// Returns the backend server as it last announced itself.
    pub fn backend(&self) -> Backend {
        mutex::lock(&self.inner.slots).announced_backend().clone()
    }

    /// Restores the backend server as an earlier incarnation of the agent knew it, if a check finds it up.
    /// Without this the agent would get no work before the next heartbeat. Does nothing once an incarnation is
    /// known.
    pub async fn restore_backend(&self, backend: Backend) {
        if !self.server_incarnation().id.is_empty() {
            return;
        }
        let incarnation = backend.incarnation.clone();
        // Number 0 makes every heartbeat that the backend server has sent count as newer.
        let heartbeat = Heartbeat { backend, number: 0 };
        let check =
            mutex::lock(&self.inner.slots).heartbeat_received(clock::since_boot(), heartbeat);
        if let Some(check) = check {
            check_incarnation(self.inner.clone(), check).await;
        }
        let is_up = self.server_incarnation() == incarnation;
        log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms, there = is_up;
            "backend server is remembered");
    }

    /// Handles the announcement of an incarnation of the backend server that it leaves.
    pub fn server_left(&self, incarnation: &ServerIncarnation) {
        mutex::lock(&self.inner.slots).server_left(clock::since_boot(), incarnation);
        send_orders(&self.inner);
        wake_all_links(&self.inner);
    }

    /// Returns the incarnation of the agent itself.
    pub fn incarnation(&self) -> id::Incarnation {
        self.inner.cfg.incarnation
    }

    /// Returns the crashes of the backend server that are remembered.
    pub fn crashes(&self) -> Vec<Crash> {
        mutex::lock(&self.inner.slots).crashes()
    }

    /// Accepts no new work, waits at most `max_wait` for the runs to end, and ends the rest.
    pub async fn stop(&self, max_wait: time::Duration) {
        mutex::lock(&self.inner.slots).stop_accepting(clock::since_boot());
        send_orders(&self.inner);
        wake_all_links(&self.inner);
        let idle = async {
            while !mutex::lock(&self.inner.slots).is_idle() {
                sleep(TICK).await;
            }
        };
        if timeout(max_wait, idle).await.is_err() {
            log::warn!("stopping with runs left; they are ended");
            mutex::lock(&self.inner.slots).end_all_runs(clock::since_boot());
            send_orders(&self.inner);
            sleep(2 * lease::MAX_STOP_TIME).await;
        }
        // The last ends are sent with the next message on each link.
        sleep(TICK).await;
    }

    /// Returns a snapshot of the agent, for the metrics page.
    pub fn status(&self) -> Status {
        let now = clock::since_boot();
        let linked_entries = mutex::lock(&self.inner.links).len();
        let slots = mutex::lock(&self.inner.slots);
        Status {
            working: slots.is_working(),
            free: slots.free(),
            demand_cpu: slots.demand_cpu(now),
            linked_entries,
            last_answer_age: slots.last_answer_age(now),
            takes_work: slots.advertised_backend().takes_work,
            pace: slots.pace(),
            counts: slots.counts.clone(),
            starts_resent: self.inner.server.starts_resent.load(Ordering::Relaxed),
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
