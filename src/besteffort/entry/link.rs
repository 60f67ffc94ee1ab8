//! The entry's links to agents: taken in, and spoken over.

use std::io;
use std::sync::{Arc, Mutex};
use std::time;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::besteffort::entry::{carry_out, Inner, TICK};
use crate::besteffort::line;
use crate::clock;
use crate::decide::besteffort::evacuation;
use crate::decide::besteffort::job::LinkNo;
use crate::decide::besteffort::message::{FromAgent, FromEntry, Wants};
use crate::mutex;

/// How long an agent may take to say who it is.
const HELLO: time::Duration = time::Duration::from_millis(1_000);

/// The entry's side of a link.
#[derive(Default)]
pub(super) struct Link {
    /// What waits for the writer.
    pub(super) out: Mutex<FromEntry>,
    /// When the last line left.
    pub(super) written: Mutex<time::Duration>,
    pub(super) news: Notify,
    pub(super) close: Notify,
}

pub(super) async fn accept(inner: Arc<Inner>, listener: TcpListener) {
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
    let no = {
        let mut next = mutex::lock(&inner.next_link);
        *next += 1;
        *next
    };
    let link = Arc::new(Link::default());
    mutex::lock(&inner.links).insert(no, link.clone());
    let result = converse(&inner, no, &link, stream).await;
    mutex::lock(&inner.links).remove(&no);
    mutex::lock(&inner.waits).asking.closed(no);
    if let Err(e) = result {
        log::debug!(link = no, error = e.to_string().as_str(); "link has ended");
    }
    mutex::lock(&inner.board).agent_down(clock::since_boot(), no);
    carry_out(&inner);
}

async fn converse(inner: &Inner, no: LinkNo, link: &Link, stream: TcpStream) -> io::Result<()> {
    let (mut reader, mut writer) = line::open(stream)?;
    let first = FromEntry {
        entry: Some(inner.cfg.name.clone()),
        ..FromEntry::default()
    };
    writer.write(&first).await?;
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let hello: FromAgent = timeout(HELLO, reader.read()).await.map_err(late)??;
    let domain = hello.hello.as_ref().map(|hello| &hello.failure_domain);
    let domain = domain.cloned().unwrap_or_default();
    let mut told = evacuation::Told::default();
    let mut seen = Seen::default();
    take(inner, no, &mut seen, hello);
    loop {
        tokio::select! {
            line = reader.read::<FromAgent>() => {
                let line = line?;
                let lent = !line.lent.is_empty();
                take(inner, no, &mut seen, line);
                if lent {
                    link.news.notify_one();
                }
            }
            () = link.news.notified() => {
                let mut line = seen.line(link, say_wants(inner, no));
                let word = mutex::lock(&inner.evacuations).word(&domain);
                line.evacuation = told.due(clock::since_boot(), word);
                writer.write(&line).await?;
            }
            () = link.close.notified() => return Ok(()),
        }
    }
}

/// What waits for room now; the agent of a link is about to hear of it.
fn say_wants(inner: &Inner, no: LinkNo) -> Option<Wants> {
    let mut waits = mutex::lock(&inner.waits);
    let wants = waits.wants;
    waits.asking.said(no, wants.map(|wants| wants.priority));
    wants
}

fn take(inner: &Inner, no: LinkNo, seen: &mut Seen, line: FromAgent) {
    let now = clock::since_boot();
    seen.agent_ms = line.now_ms;
    seen.at = now;
    {
        let mut board = mutex::lock(&inner.board);
        if let Some(hello) = &line.hello {
            board.agent_up(now, no, hello);
        }
        board.heard(now, no, &line);
    }
    carry_out(inner);
}

/// The agent's clock as last heard, and when that was.
#[derive(Default)]
struct Seen {
    agent_ms: u64,
    at: time::Duration,
}

impl Seen {
    /// The next line, with what waits for the writer; times become those of the agent's clock. The
    /// way here makes them too early at most.
    fn line(&self, link: &Link, wants: Option<Wants>) -> FromEntry {
        *mutex::lock(&link.written) = clock::since_boot();
        let mut line = std::mem::take(&mut *mutex::lock(&link.out));
        line.wants = wants;
        line.seen_ms = self.agent_ms;
        let at = self.at.as_millis() as u64;
        let there = |ms: u64| (ms + self.agent_ms).saturating_sub(at);
        for start in &mut line.starts {
            start.deadline_ms = there(start.deadline_ms);
            start.urgency_ms = there(start.urgency_ms);
        }
        if let Some(wants) = &mut line.wants {
            wants.urgency_ms = there(wants.urgency_ms);
        }
        line
    }
}
