//! The agent's links to entries: kept up, and spoken over.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::besteffort::agent::server::flush;
use crate::besteffort::agent::{tell_all, tell_news, Inner, Link, TICK};
use crate::besteffort::line;
use crate::clock;
use crate::decide::besteffort::message::{Backend, EntryName, FromAgent, FromEntry};
use crate::mutex;

/// Longest that a connect to an entry may take: many round trips between failure domains (2 ms); the
/// entry's system answers, however busy the entry is. An address without power answers
/// nothing, and the sooner the next try, the sooner an entry that has just started is found: after a
/// fault of all machines agents that waited for 500 ms left it without workers for 400 ms.
const CONNECT: time::Duration = time::Duration::from_millis(80);

/// Longest that an entry may take to say who it is.
const HELLO: time::Duration = time::Duration::from_millis(500);

/// Pause before the next connect to an entry, and after how many tries it grows to the longer one.
const RECONNECT: time::Duration = time::Duration::from_millis(50);
const RECONNECT_LATER: time::Duration = time::Duration::from_millis(200);
const EAGER: u32 = 30;

/// Part of a heartbeat after which a line of the entry is answered by one of the agent, where nothing
/// left meanwhile: the heartbeats of an entry call for those of its agents.
const JUST_WRITTEN: f64 = 0.5;

/// Heartbeats after which the agent speaks unasked, because the entry is late. Its timer is set back
/// by each line that leaves, so that a link costs no wake-up of its own while the entry is well.
const UNASKED: f64 = 1.25;

pub(super) async fn keep_link(inner: Arc<Inner>, addr: SocketAddr, news: Arc<Notify>) {
    let mut down = false;
    let mut tries = 0;
    while !inner.clean.load(Ordering::Relaxed) {
        sleep(TICK).await;
    }
    loop {
        let result = converse(&inner, addr, &news).await;
        tries += 1;
        set_link(&inner, addr, |link| {
            if link.name.take().is_some() {
                tries = 0;
            }
        });
        if let Err(e) = result {
            if !down {
                log::warn!(entry_addr = addr.to_string().as_str(), error = e.to_string().as_str();
                    "link to an entry is down");
            }
            down = e.kind() != io::ErrorKind::UnexpectedEof;
        }
        sleep(if tries < EAGER {
            RECONNECT
        } else {
            RECONNECT_LATER
        })
        .await;
    }
}

fn set_link(inner: &Inner, addr: SocketAddr, set: impl FnOnce(&mut Link)) {
    if let Some(link) = mutex::lock(&inner.links).get_mut(&addr) {
        set(link);
    }
}

async fn converse(inner: &Arc<Inner>, addr: SocketAddr, news: &Notify) -> io::Result<()> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT, TcpStream::connect(addr))
        .await
        .map_err(late)??;
    let (mut reader, mut writer) = line::open(stream)?;
    let first: FromEntry = timeout(HELLO, reader.read()).await.map_err(late)??;
    let name = first.entry.ok_or(io::ErrorKind::InvalidData)?;
    log::info!(entry = name.entry.as_str(), life = name.life; "link to an entry is up");
    let mut hello = mutex::lock(&inner.slots).entry_up(clock::since_boot(), &name);
    hello.agent = inner.cfg.name.clone();
    hello.life = inner.cfg.life;
    hello.failure_domain = inner.cfg.failure_domain.clone();
    let mut talk = Talk {
        inner: inner.clone(),
        name: name.clone(),
        told: Backend::default(),
        taken: 0,
    };
    let mut line = talk.line();
    line.hello = Some(hello);
    writer.write(&line).await?;
    set_link(inner, addr, |link| link.name = Some(name));
    let mut heard = clock::since_boot();
    let heartbeat = inner.cfg.bounds.heartbeat;
    let mut written = Instant::now();
    loop {
        let answers = tokio::select! {
            line = reader.read::<FromEntry>() => {
                heard = clock::since_boot();
                talk.take(line?);
                written.elapsed() > heartbeat.mul_f64(JUST_WRITTEN)
            }
            () = news.notified() => true,
            () = sleep_until(written + heartbeat.mul_f64(UNASKED)) => {
                if clock::since_boot() - heard > inner.cfg.bounds.silence {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                true
            }
        };
        if answers {
            writer.write(&talk.line()).await?;
            written = Instant::now();
        }
    }
}

/// One link while it is up.
struct Talk {
    inner: Arc<Inner>,
    name: EntryName,
    told: Backend,
    taken: u64,
}

impl Talk {
    fn take(&mut self, line: FromEntry) {
        let now = clock::since_boot();
        let changed = {
            let mut slots = mutex::lock(&self.inner.slots);
            let changed = line
                .evacuation
                .is_some_and(|word| slots.evacuation(now, word));
            let fresh = slots.heard(now, &self.name, line.seen_ms);
            for run in &line.stops {
                slots.withdraw(now, &self.name, run);
            }
            for start in line.starts {
                self.taken += 1;
                slots.start(now, &self.name, fresh, start);
            }
            slots.waits(now, &self.name, line.seen_ms, line.wants);
            changed
        };
        flush(&self.inner);
        if changed {
            tell_all(&self.inner);
        } else {
            tell_news(&self.inner);
        }
    }

    fn line(&mut self) -> FromAgent {
        let mut slots = mutex::lock(&self.inner.slots);
        let mut line = slots.line(&self.name, clock::since_boot());
        line.taken = self.taken;
        let backend = slots.backend();
        if backend != self.told {
            self.told = backend.clone();
            line.backend = Some(backend);
        }
        line
    }
}
