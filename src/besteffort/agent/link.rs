//! The agent's links to entries: taken in, and spoken over.

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

/// Longest that an entry may take to say who it is.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Most links at a time. An agent has some ten; where many entries know few agents, as in the first second of a large
/// fleet, the others turn to the next agents of their order.
pub const MAX_LINKS: usize = 128;

/// Part of a heartbeat after which a line of the entry is answered by one of the agent, where nothing
/// left meanwhile: the heartbeats of an entry call for those of its agents.
const ANSWER_AFTER_HEARTBEATS: f64 = 0.5;

/// Heartbeats after which the agent speaks unasked, because the entry is late. Its timer is set back
/// by each line that leaves, so that a link costs no wake-up of its own while the entry is well.
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
    let mut links = mutex::lock(&inner.links);
    if links.get(&name).is_some_and(|link| link.number == number) {
        links.remove(&name);
    }
    drop(links);
    if let Err(e) = result {
        log::debug!(entry = name.entry.as_str(), life = name.incarnation, error = e.to_string().as_str();
            "link to an entry has ended");
    }
}

/// An entry that has connected and said who it is.
struct IdentifiedLink {
    name: EntryIncarnation,
    number: u64,
    reader: line::Reader,
    writer: line::Writer,
}

async fn identify_entry(inner: &Arc<Inner>, stream: TcpStream) -> io::Result<IdentifiedLink> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let (mut reader, writer) = line::open(stream)?;
    let first: EntryMessage = timeout(HELLO_TIMEOUT, reader.read())
        .await
        .map_err(late)??;
    let name = first.entry.ok_or(io::ErrorKind::InvalidData)?;
    // Until then no entry may hear that nothing runs here.
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

/// Makes a link the one of its entry; none if a later one is, or if there are too many. The one before is closed: an entry's connection that
/// went silent would take in ends and loans that the entry never hears of.
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
            "a later link of the entry is up, or too many are",
        ));
    };
    log::info!(entry = name.entry.as_str(), life = name.incarnation; "link to an entry is up");
    let mut hello = mutex::lock(&inner.slots).entry_connected(clock::since_boot(), &name);
    hello.agent = inner.cfg.name.clone();
    hello.incarnation = inner.cfg.incarnation;
    hello.failure_domain = inner.cfg.failure_domain.clone();
    let mut talk = LinkSession {
        inner: inner.clone(),
        name,
        sent_backend: Backend::default(),
        starts_read: 0,
    };
    let mut line = talk.next_message();
    line.hello = Some(hello);
    writer.write(&line).await?;
    let mut heard = clock::since_boot();
    let heartbeat = inner.cfg.bounds.heartbeat;
    let mut written = Instant::now();
    loop {
        let answers = tokio::select! {
            () = link.close.notified() => return Ok(()),
            line = reader.read::<EntryMessage>() => {
                heard = clock::since_boot();
                talk.handle_message(line?);
                written.elapsed() > heartbeat.mul_f64(ANSWER_AFTER_HEARTBEATS)
            }
            () = link.wake.notified() => true,
            () = sleep_until(written + heartbeat.mul_f64(UNPROMPTED_AFTER_HEARTBEATS)) => {
                if clock::since_boot() - heard > inner.cfg.bounds.silence {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                true
            }
        };
        if answers {
            writer.write(&talk.next_message()).await?;
            written = Instant::now();
        }
    }
}

/// One link while it is up.
struct LinkSession {
    inner: Arc<Inner>,
    name: EntryIncarnation,
    sent_backend: Backend,
    starts_read: u64,
}

impl LinkSession {
    fn handle_message(&mut self, line: EntryMessage) {
        let now = clock::since_boot();
        let changed = {
            let mut slots = mutex::lock(&self.inner.slots);
            let changed = line
                .evacuation
                .is_some_and(|word| slots.update_evacuation(now, word));
            let fresh = slots.message_received(now, &self.name, line.seen_ms);
            for run in &line.stops {
                slots.withdraw(now, &self.name, run);
            }
            for start in line.starts {
                self.starts_read += 1;
                slots.start_requested(now, &self.name, fresh, start);
            }
            slots.update_waiting_work(now, &self.name, line.seen_ms, line.waiting);
            changed
        };
        send_orders(&self.inner);
        if changed {
            wake_all_links(&self.inner);
        } else {
            wake_links_with_unsent(&self.inner);
        }
    }

    fn next_message(&mut self) -> AgentMessage {
        let mut slots = mutex::lock(&self.inner.slots);
        let mut line = slots.next_message(&self.name, clock::since_boot());
        line.starts_read = self.starts_read;
        let backend = slots.advertised_backend();
        if backend != self.sent_backend {
            self.sent_backend = backend.clone();
            line.backend = Some(backend);
        }
        line
    }
}
