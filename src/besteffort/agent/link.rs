//! The agent's side of its links to entries: accepts them and exchanges messages on them.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::besteffort::agent::server::send_orders;
use crate::besteffort::agent::{wake_all_links, wake_links_with_unsent, Inner, Link, TICK};
use crate::besteffort::line;
use crate::clock;
use crate::decide::besteffort::message::{AgentMessage, Backend, EntryIncarnation, EntryMessage};
use crate::mutex;

/// Timeout of the first message of an entry, which names it.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Maximum number of links at a time. An agent usually has about ten. If many entries know few agents, as in
/// the first second of a large fleet, the entries that are turned away try the next agents in their order.
pub const MAX_LINKS: usize = 128;

/// If the agent has written nothing on a link for this many heartbeats, it answers the entry's next message. So
/// each heartbeat of an entry makes its agents send theirs.
const ANSWER_AFTER_HEARTBEATS: f64 = 0.5;

/// If nothing was written on a link for this many heartbeats, the entry is late and the agent writes a message
/// unprompted. Every write resets the timer, so that a link causes no wake-up of its own while the entry's
/// messages arrive in time.
const UNPROMPTED_AFTER_HEARTBEATS: f64 = 1.25;

pub(super) async fn accept_links(inner: Arc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(inner.clone(), stream));
            }
            Err(e) => {
                log::error!(error = e.to_string().as_str(); "no link can be accepted");
                sleep(TICK).await;
            }
        }
    }
}

async fn serve_link(inner: Arc<Inner>, stream: TcpStream) {
    let result = identify_entry(&inner, stream).await;
    let (name, number, result) = match result {
        Ok(identified) => {
            let (name, number) = (identified.name.clone(), identified.number);
            (name, number, run_link(&inner, identified).await)
        }
        Err(e) => {
            log::debug!(error = e.to_string().as_str(); "an entry's link has ended before it was up");
            return;
        }
    };
    // Both are locked, in the order of `wake_links_with_unsent`, so that a later link isn't cleared.
    let mut slots = mutex::lock(&inner.slots);
    let mut links = mutex::lock(&inner.links);
    if links.get(&name).is_some_and(|link| link.number == number) {
        links.remove(&name);
        slots.entry_disconnected(&name);
    }
    drop(links);
    drop(slots);
    if let Err(e) = result {
        log::debug!(entry = name.entry.as_str(), life = name.incarnation, error = e.to_string().as_str();
            "link to an entry has ended");
    }
}

/// A connection whose entry has named itself.
struct IdentifiedLink {
    name: EntryIncarnation,
    number: u64,
    reader: line::Reader,
    writer: line::Writer,
}

async fn identify_entry(inner: &Arc<Inner>, stream: TcpStream) -> io::Result<IdentifiedLink> {
    let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
    let (mut reader, writer) = line::open(stream)?;
    let first: EntryMessage = timeout(HELLO_TIMEOUT, reader.read())
        .await
        .map_err(timed_out)??;
    let name = first.entry.ok_or(io::ErrorKind::InvalidData)?;
    // Until an earlier incarnation's runs have ended, no entry may be told that nothing runs here.
    while !inner.leftovers_ended.load(Ordering::Relaxed) {
        sleep(TICK).await;
    }
    Ok(IdentifiedLink {
        name,
        number: first.link,
        reader,
        writer,
    })
}

/// Registers a link as the one of its entry; returns none if a later link of the entry is registered or there
/// are too many links. The entry's previous link is closed: if its connection had gone silent, ends and loans
/// would be written to it that the entry never receives.
fn register_link(inner: &Inner, name: &EntryIncarnation, number: u64) -> Option<Link> {
    let mut links = mutex::lock(&inner.links);
    if let Some(old) = links.get(name) {
        if old.number > number {
            return None;
        }
        old.close.notify_one();
    } else if links.len() >= MAX_LINKS {
        return None;
    }
    let link = Link {
        number,
        wake: Arc::new(Notify::new()),
        close: Arc::new(Notify::new()),
    };
    links.insert(name.clone(), link.clone());
    Some(link)
}

async fn run_link(inner: &Arc<Inner>, identified: IdentifiedLink) -> io::Result<()> {
    let IdentifiedLink {
        name,
        number,
        mut reader,
        mut writer,
    } = identified;
    let Some(link) = register_link(inner, &name, number) else {
        return Err(io::Error::other(
            "a later link of the entry is up, or the agent has too many links",
        ));
    };
    log::info!(entry = name.entry.as_str(), life = name.incarnation; "link to an entry is up");
    let mut hello = mutex::lock(&inner.slots).entry_connected(clock::since_boot(), &name);
    hello.agent = inner.cfg.name.clone();
    hello.incarnation = inner.cfg.incarnation;
    hello.failure_domain = inner.cfg.failure_domain.clone();
    let mut session = LinkSession {
        inner: inner.clone(),
        name,
        number,
        sent_backend: Backend::default(),
        starts_read: 0,
    };
    let mut message = session.next_message()?;
    message.hello = Some(hello);
    writer.write(&message).await?;
    let mut heard_at = clock::since_boot();
    let heartbeat = inner.cfg.bounds.heartbeat;
    let mut written_at = Instant::now();
    loop {
        let must_write = tokio::select! {
            () = link.close.notified() => return Ok(()),
            message = reader.read::<EntryMessage>() => {
                heard_at = clock::since_boot();
                session.handle_message(message?)?;
                written_at.elapsed() > heartbeat.mul_f64(ANSWER_AFTER_HEARTBEATS)
            }
            () = link.wake.notified() => true,
            () = sleep_until(written_at + heartbeat.mul_f64(UNPROMPTED_AFTER_HEARTBEATS)) => {
                if clock::since_boot() - heard_at > inner.cfg.bounds.silence {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                true
            }
        };
        if must_write {
            writer.write(&session.next_message()?).await?;
            written_at = Instant::now();
        }
    }
}

/// The state of one link while it is up: what the entry was told and how many of its starts were read.
struct LinkSession {
    inner: Arc<Inner>,
    name: EntryIncarnation,
    number: u64,
    sent_backend: Backend,
    starts_read: u64,
}

impl LinkSession {
    /// Handles a message of the entry.
    ///
    /// # Errors
    ///
    /// Fails where a later link of the entry is registered. The hello on that link has told the entry which runs
    /// are here; it starts the others elsewhere, so that none of them may begin any more.
    fn handle_message(&mut self, message: EntryMessage) -> io::Result<()> {
        self.starts_read += message.starts.len() as u64;
        let now = clock::since_boot();
        let changed = {
            let mut slots = mutex::lock(&self.inner.slots);
            self.require_registered()?;
            slots.handle_message(now, &self.name, message)
        };
        send_orders(&self.inner);
        if changed {
            wake_all_links(&self.inner);
        } else {
            wake_links_with_unsent(&self.inner);
        }
        Ok(())
    }

    /// Composes the next message to the entry.
    ///
    /// # Errors
    ///
    /// Fails where a later link of the entry is registered, on which the entry expects what is unsent.
    fn next_message(&mut self) -> io::Result<AgentMessage> {
        let mut slots = mutex::lock(&self.inner.slots);
        self.require_registered()?;
        let mut message = slots.next_message(&self.name, clock::since_boot());
        message.starts_read = self.starts_read;
        let backend = slots.advertised_backend();
        if backend != self.sent_backend {
            self.sent_backend = backend.clone();
            message.backend = Some(backend);
        }
        Ok(message)
    }

    /// Fails unless this is the registered link of the entry. The caller has locked the slots, so that what it does
    /// next comes before the hello on any later link.
    fn require_registered(&self) -> io::Result<()> {
        let links = mutex::lock(&self.inner.links);
        let registered = links.get(&self.name).map(|link| link.number);
        if registered == Some(self.number) {
            Ok(())
        } else {
            Err(io::Error::other("a later link of the entry is up"))
        }
    }
}
