//! An agent for best-effort work: links to the entries on one side, a backend server on the other.
//!
//! What may run is decided by [`Slots`]; this part carries orders out and words across. All runs on
//! one thread: the small machines beside backend servers have a fraction of one core.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use compact_str::CompactString;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::besteffort::line;
use crate::clock;
use crate::decide::besteffort::lease::{self, Bounds};
use crate::decide::besteffort::message::{Backend, EntryName, FromAgent, FromEntry, Run};
use crate::decide::besteffort::slots::{Listing, Order, Slots, StartAnswer};
use crate::id;

/// How often time bounds are looked at; small against the shortest of them (40 ms).
const TICK: time::Duration = time::Duration::from_millis(20);

/// The same while nothing is held.
const IDLE_TICK: time::Duration = time::Duration::from_millis(100);

/// How long a listing may wait for an end; bounds the age of the lease and of the progress.
const LISTING_WAIT: time::Duration = time::Duration::from_millis(150);

/// How long past that a listing's answer may take before it counts as lost.
const LISTING_SLACK: time::Duration = time::Duration::from_millis(200);

/// Pause after a listing that failed.
const LISTING_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest that a connect to an entry may take; several round trips between failure domains.
const CONNECT: time::Duration = time::Duration::from_millis(500);

/// Pause before the next connect to an entry.
const RECONNECT: time::Duration = time::Duration::from_millis(150);

/// A boxed future, as the closures of [`BackendServer`] return it.
pub type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Why a listing brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoListing {
    /// No answer; nobody can tell what the backend server did.
    Silent,
    /// Another life of the backend server answered: what was started before has ended.
    AnotherLife,
}

/// How the agent speaks to the backend server beside it.
pub struct BackendServer {
    /// Starts a run under a lease that ends at the given time of the backend server's clock.
    #[allow(clippy::type_complexity)]
    pub start:
        Box<dyn Fn(CompactString, Run, CompactString, u64) -> Answer<StartAnswer> + Send + Sync>,
    /// Stops a run, or makes sure that it never begins; true once that is certain.
    pub stop: Box<dyn Fn(CompactString, Run) -> Answer<bool> + Send + Sync>,
    /// Lists what it has.
    pub list: Box<dyn Fn(ListCall) -> Answer<Result<Listing, NoListing>> + Send + Sync>,
}

/// What is asked with a listing.
#[derive(Clone, Debug)]
pub struct ListCall {
    /// The life of the backend server that is meant; empty for any.
    pub life: CompactString,
    /// The end of the lease to renew, on the backend server's clock.
    pub until: Option<u64>,
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
    pub life: id::Incarnation,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The time bounds that it keeps.
    pub bounds: Bounds,
}

struct Inner {
    cfg: Config,
    server: BackendServer,
    slots: Mutex<Slots>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    /// Wakes the listing loop when work begins after a quiet time.
    work: Notify,
    /// Whether nothing runs any more that an earlier life of the agent had started. Before that the
    /// lease isn't renewed, and no entry is told that nothing runs here.
    clean: AtomicBool,
}

struct Link {
    task: JoinHandle<()>,
    news: Arc<Notify>,
    name: Option<EntryName>,
    hungry: bool,
    free_told: crate::decide::besteffort::message::Room,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    inner: Arc<Inner>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts an agent that has no links yet. It first ends whatever an earlier life left running.
pub fn spawn(cfg: Config, server: BackendServer) -> Agent {
    let inner = Arc::new(Inner {
        slots: Mutex::new(Slots::open(cfg.bounds)),
        cfg,
        server,
        links: Mutex::default(),
        work: Notify::new(),
        clean: AtomicBool::new(false),
    });
    tokio::spawn(watch(inner.clone()));
    tokio::spawn(tick(inner.clone()));
    Agent { inner }
}

impl Agent {
    /// The backend server has announced itself.
    pub fn announced(&self, backend: Backend) {
        let now = clock::since_boot();
        let before = lock(&self.inner.slots).instance();
        lock(&self.inner.slots).announced(now, backend);
        if lock(&self.inner.slots).instance() != before {
            let inner = self.inner.clone();
            tokio::spawn(async move { list_once(&inner, time::Duration::ZERO).await });
        }
        flush(&self.inner);
        tell_all(&self.inner);
    }

    /// The life of the backend server that is known; empty before any.
    pub fn instance(&self) -> CompactString {
        lock(&self.inner.slots).instance()
    }

    /// The backend server as it last announced itself.
    pub fn backend(&self) -> Backend {
        lock(&self.inner.slots).known().clone()
    }

    /// The backend server as an earlier life of the agent knew it. It is taken for the one that is
    /// there only if that very life of it answers; its own word, which may take a heartbeat, goes
    /// first.
    pub async fn remembered(&self, backend: Backend) {
        let call = (self.inner.server.list)(ListCall {
            life: backend.instance.clone(),
            until: None,
            acknowledged: 0,
            wait: time::Duration::ZERO,
        });
        let answer = timeout(LISTING_SLACK, call).await;
        let there = matches!(answer, Ok(Ok(_)));
        log::info!(instance = backend.instance.as_str(), there = there; "backend server is remembered");
        if there && self.instance().is_empty() {
            self.announced(backend);
        }
    }

    /// The backend server has left, all of it.
    pub fn left(&self, instance: &str) {
        lock(&self.inner.slots).left(clock::since_boot(), instance);
        flush(&self.inner);
        tell_all(&self.inner);
    }

    /// Says where the entries are. Links to new addresses are opened; those to others are closed.
    pub fn entries(&self, addrs: &[SocketAddr]) {
        let mut links = lock(&self.inner.links);
        links.retain(|addr, link| {
            // A link that is up proves more than a list that may be stale.
            let stays = addrs.contains(addr) || link.name.is_some();
            if !stays {
                log::info!(entry_addr = addr.to_string().as_str(); "entry is listed no more");
                link.task.abort();
            }
            stays
        });
        for addr in addrs {
            let inner = self.inner.clone();
            let addr = *addr;
            links.entry(addr).or_insert_with(|| {
                let news = Arc::new(Notify::new());
                Link {
                    task: tokio::spawn(keep_link(inner, addr, news.clone())),
                    news,
                    name: None,
                    hungry: false,
                    free_told: Default::default(),
                }
            });
        }
    }

    /// Takes no new work, lets what runs end, `longest` at most, and ends the rest.
    pub async fn stop(&self, longest: time::Duration) {
        lock(&self.inner.slots).stop(clock::since_boot());
        flush(&self.inner);
        tell_all(&self.inner);
        let idle = async {
            while !lock(&self.inner.slots).is_idle() {
                sleep(TICK).await;
            }
        };
        if timeout(longest, idle).await.is_err() {
            log::warn!("stopping with runs left; they are ended");
            lock(&self.inner.slots).stop_all(clock::since_boot());
            flush(&self.inner);
            sleep(2 * lease::STOP).await;
        }
        // The last ends leave with the next line.
        sleep(TICK).await;
    }

    /// Runs held at the moment, and the room that is left.
    pub fn load(&self) -> (bool, crate::decide::besteffort::message::Room) {
        let slots = lock(&self.inner.slots);
        (slots.is_working(), slots.free())
    }
}

async fn tick(inner: Arc<Inner>) {
    let mut last = clock::since_boot();
    let bounds = inner.cfg.bounds;
    let lapsed = last + bounds.lapse();
    loop {
        let idle = lock(&inner.slots).is_idle();
        sleep(if idle { IDLE_TICK } else { TICK }).await;
        let now = clock::since_boot();
        if now - last > bounds.silence {
            log::warn!(ms = (now - last).as_millis() as u64; "this process stood still");
        }
        last = now;
        if now > lapsed {
            inner.clean.store(true, Ordering::Relaxed);
        }
        renew_if_late(&inner, now);
        lock(&inner.slots).tick(now);
        flush(&inner);
        tell_news(&inner);
    }
}

fn renew_if_late(inner: &Arc<Inner>, now: time::Duration) {
    if lock(&inner.slots).renewal_overdue(now) {
        let inner = inner.clone();
        tokio::spawn(async move {
            let _ = list_once(&inner, time::Duration::ZERO).await;
        });
    }
}

/// Keeps a listing waiting at the backend server, so that ends are heard at once and the lease is
/// renewed.
async fn watch(inner: Arc<Inner>) {
    loop {
        if !list_once(&inner, LISTING_WAIT).await {
            sleep(LISTING_PAUSE).await;
        }
        if lock(&inner.slots).is_idle() {
            let _ = timeout(LISTING_WAIT, inner.work.notified()).await;
        }
    }
}

async fn list_once(inner: &Arc<Inner>, wait: time::Duration) -> bool {
    let sent = clock::since_boot();
    let instance = lock(&inner.slots).instance();
    let clean = inner.clean.load(Ordering::Relaxed);
    let until = clean.then(|| lock(&inner.slots).renew(sent)).flatten();
    let call = (inner.server.list)(ListCall {
        life: instance.clone(),
        until,
        acknowledged: lock(&inner.slots).acknowledged(),
        wait,
    });
    let answer = timeout(wait + LISTING_SLACK, call).await;
    let now = clock::since_boot();
    // Word from or about an earlier life, which was under way when the next one announced itself,
    // says nothing of what runs now. Taken for news, it ends runs that have just begun, and their
    // tasks run twice.
    if lock(&inner.slots).instance() != instance {
        return false;
    }
    let listed = match answer {
        Ok(Ok(listed)) => listed,
        Ok(Err(NoListing::AnotherLife)) => {
            lock(&inner.slots).another_life(now);
            return false;
        }
        Ok(Err(NoListing::Silent)) | Err(_) => return false,
    };
    if listed.running.is_empty() {
        inner.clean.store(true, Ordering::Relaxed);
    }
    lock(&inner.slots).listed(now, sent, listed);
    flush(inner);
    tell_news(inner);
    true
}

/// Carries out what the slots ask for.
fn flush(inner: &Arc<Inner>) {
    let orders = lock(&inner.slots).orders();
    for order in orders {
        let inner = inner.clone();
        match order {
            Order::Start(run, input, until) => {
                tokio::spawn(start(inner, run, input, until));
            }
            Order::Stop(run) => {
                tokio::spawn(stop(inner, run));
            }
        }
    }
}

async fn start(inner: Arc<Inner>, run: Run, input: CompactString, until: u64) {
    let instance = lock(&inner.slots).instance();
    let answer = (inner.server.start)(instance, run.clone(), input, until).await;
    lock(&inner.slots).answered(clock::since_boot(), &run, answer);
    inner.work.notify_one();
    flush(&inner);
    tell_news(&inner);
}

async fn stop(inner: Arc<Inner>, run: Run) {
    let instance = lock(&inner.slots).instance();
    if (inner.server.stop)(instance, run.clone()).await {
        let unsure = lock(&inner.slots).stop_answered(clock::since_boot(), &run);
        inner.work.notify_one();
        if unsure {
            // The listing that is under way waits for an end, which may never come.
            list_once(&inner, time::Duration::ZERO).await;
        }
    }
}

fn tell_news(inner: &Inner) {
    let slots = lock(&inner.slots);
    let free = slots.free();
    for link in lock(&inner.links).values() {
        let Some(name) = &link.name else {
            continue;
        };
        if slots.has_news(name) || (link.hungry && free != link.free_told) {
            link.news.notify_one();
        }
    }
}

fn tell_all(inner: &Inner) {
    for link in lock(&inner.links).values() {
        link.news.notify_one();
    }
}

async fn keep_link(inner: Arc<Inner>, addr: SocketAddr, news: Arc<Notify>) {
    let mut down = false;
    while !inner.clean.load(Ordering::Relaxed) {
        sleep(TICK).await;
    }
    loop {
        let result = converse(&inner, addr, &news).await;
        set_link(&inner, addr, |link| link.name = None);
        if let Err(e) = result {
            if !down {
                log::warn!(entry_addr = addr.to_string().as_str(), error = e.to_string().as_str();
                    "link to an entry is down");
            }
            down = e.kind() != io::ErrorKind::UnexpectedEof;
        }
        sleep(RECONNECT).await;
    }
}

fn set_link(inner: &Inner, addr: SocketAddr, set: impl FnOnce(&mut Link)) {
    if let Some(link) = lock(&inner.links).get_mut(&addr) {
        set(link);
    }
}

async fn converse(inner: &Arc<Inner>, addr: SocketAddr, news: &Notify) -> io::Result<()> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT, TcpStream::connect(addr))
        .await
        .map_err(late)??;
    let (mut reader, mut writer) = line::open(stream)?;
    let first: FromEntry = timeout(CONNECT, reader.read()).await.map_err(late)??;
    let name = first.entry.ok_or(io::ErrorKind::InvalidData)?;
    log::info!(entry = name.entry.as_str(), life = name.life; "link to an entry is up");
    let mut hello = lock(&inner.slots).entry_up(clock::since_boot(), &name);
    hello.agent = inner.cfg.name.clone();
    hello.life = inner.cfg.life;
    hello.failure_domain = inner.cfg.failure_domain.clone();
    let mut talk = Talk {
        inner: inner.clone(),
        addr,
        name: name.clone(),
        told: Backend::default(),
        taken: 0,
    };
    let mut line = talk.line();
    line.hello = Some(hello);
    writer.write(&line).await?;
    set_link(inner, addr, |link| link.name = Some(name));
    let mut heard = clock::since_boot();
    let mut beat = interval(inner.cfg.bounds.heartbeat);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            line = reader.read::<FromEntry>() => {
                heard = clock::since_boot();
                talk.take(line?);
            }
            () = news.notified() => {
                writer.write(&talk.line()).await?;
            }
            _ = beat.tick() => {
                writer.write(&talk.line()).await?;
                if clock::since_boot() - heard > inner.cfg.bounds.silence {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
    }
}

/// One link while it is up.
struct Talk {
    inner: Arc<Inner>,
    addr: SocketAddr,
    name: EntryName,
    told: Backend,
    taken: u64,
}

impl Talk {
    fn take(&mut self, line: FromEntry) {
        let now = clock::since_boot();
        set_link(&self.inner, self.addr, |link| link.hungry = line.hungry);
        {
            let mut slots = lock(&self.inner.slots);
            let fresh = slots.heard(now, &self.name, line.seen_ms);
            for run in &line.stops {
                slots.withdraw(now, &self.name, run);
            }
            for start in line.starts {
                self.taken += 1;
                slots.start(now, &self.name, fresh, start);
            }
        }
        flush(&self.inner);
        tell_news(&self.inner);
    }

    fn line(&mut self) -> FromAgent {
        let mut slots = lock(&self.inner.slots);
        let mut line = slots.line(&self.name, clock::since_boot());
        line.taken = self.taken;
        let backend = slots.backend();
        if backend != self.told {
            self.told = backend.clone();
            line.backend = Some(backend);
        }
        drop(slots);
        set_link(&self.inner, self.addr, |link| link.free_told = line.free);
        line
    }
}
