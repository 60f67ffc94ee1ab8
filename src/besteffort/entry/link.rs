//! The entry's links to agents: kept up, and spoken over.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time;

use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use crate::besteffort::entry::{perform_actions, Inner};
use crate::besteffort::line;
use crate::clock;
use crate::decide::besteffort::evacuation;
use crate::decide::besteffort::job::LinkNo;
use crate::decide::besteffort::message::{AgentMessage, EntryMessage, WaitingWork};
use crate::id;
use crate::mutex;

/// Longest that a connect to an agent may take: many round trips between failure domains (2 ms); the agent's
/// system answers, however busy the agent is. An address without power answers nothing, and the sooner the next
/// try, the sooner an agent that has just started is found.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// How long an agent may take to say who it is. One that has just started first ends what its earlier life has left
/// running, which takes as long as the lease of that.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Pause before the next connect to an agent, doubled each time up to the longest. An agent that was killed is
/// mostly back within seconds.
const MIN_RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Failed connects in a row after which the agent is hardly back soon, and the pause from then on.
const MAX_FREQUENT_TRIES: u32 = 60;
const RARE_RECONNECT_PAUSE: time::Duration = time::Duration::from_secs(4);

/// The entry's side of a link.
#[derive(Default)]
pub(super) struct Link {
    /// What waits for the writer.
    pub(super) outgoing: Mutex<EntryMessage>,
    /// When the last line left.
    pub(super) written_at: Mutex<time::Duration>,
    pub(super) wake: Notify,
    pub(super) close: Notify,
}

/// Keeps a link to an agent up, until the other end of `stop` is dropped.
pub(super) async fn maintain_link(
    inner: Arc<Inner>,
    agent: id::AgentId,
    addr: SocketAddr,
    mut stop: oneshot::Receiver<()>,
) {
    let mut tries = 0;
    loop {
        let no = {
            let mut next = mutex::lock(&inner.next_link);
            *next += 1;
            *next
        };
        let result = tokio::select! {
            result = run_link(&inner, no, &agent, addr) => Some(result),
            _ = &mut stop => None,
        };
        let was_up = mutex::lock(&inner.links).remove(&no).is_some();
        mutex::lock(&inner.demand).room_requests.link_closed(no);
        if let Some(Err(e)) = &result {
            log::debug!(agent = agent.as_str(), link = no, error = e.to_string().as_str(); "link has ended");
        }
        {
            let mut board = mutex::lock(&inner.board);
            board.agent_down(clock::since_boot(), no);
            board.agent_unreachable(clock::since_boot(), &agent);
        }
        perform_actions(&inner);
        if result.is_none() {
            return;
        }
        tries = if was_up { 0 } else { tries + 1 };
        tokio::select! {
            () = sleep(reconnect_pause(tries)) => {}
            _ = &mut stop => return,
        }
    }
}

/// How long to wait after some failed connects. Entries that lost an agent together don't come back together.
fn reconnect_pause(tries: u32) -> time::Duration {
    let pause = if tries > MAX_FREQUENT_TRIES {
        RARE_RECONNECT_PAUSE
    } else {
        (MIN_RECONNECT_PAUSE * (1 << tries.min(8))).min(MAX_RECONNECT_PAUSE)
    };
    pause.mul_f64(rand::random_range(0.5..1.0))
}

async fn run_link(
    inner: &Arc<Inner>,
    no: LinkNo,
    agent: &id::AgentId,
    addr: SocketAddr,
) -> io::Result<()> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = stream.await.map_err(late)??;
    let (mut reader, mut writer) = line::open(stream)?;
    let first = EntryMessage {
        entry: Some(inner.cfg.name.clone()),
        link: no,
        ..EntryMessage::default()
    };
    writer.write(&first).await?;
    let hello: AgentMessage = timeout(HELLO_TIMEOUT, reader.read())
        .await
        .map_err(late)??;
    let named = hello.hello.as_ref().filter(|hello| hello.agent == *agent);
    let domain = named.map(|hello| hello.failure_domain.clone());
    let domain = domain.ok_or_else(|| io::Error::other("another agent has its address"))?;
    let link = Arc::new(Link::default());
    mutex::lock(&inner.links).insert(no, link.clone());
    let mut told = evacuation::LastSent::default();
    let mut seen = AgentClock::default();
    handle_message(inner, no, &mut seen, hello);
    loop {
        tokio::select! {
            line = reader.read::<AgentMessage>() => {
                let line = line?;
                let lent = !line.lent.is_empty();
                handle_message(inner, no, &mut seen, line);
                if lent {
                    link.wake.notify_one();
                }
            }
            () = link.wake.notified() => {
                let mut line = seen.next_message(&link, waiting_work_to_send(inner, no));
                let word = mutex::lock(&inner.evacuations).domain_state(&domain);
                line.evacuation = told.due(clock::since_boot(), word);
                writer.write(&line).await?;
            }
            () = link.close.notified() => return Ok(()),
        }
    }
}

/// What waits for room now; the agent of a link is about to hear of it.
fn waiting_work_to_send(inner: &Inner, no: LinkNo) -> Option<WaitingWork> {
    let mut waits = mutex::lock(&inner.demand);
    let wants = waits.waiting_work;
    waits
        .room_requests
        .message_sent(no, wants.map(|wants| wants.priority));
    wants
}

fn handle_message(inner: &Arc<Inner>, no: LinkNo, seen: &mut AgentClock, line: AgentMessage) {
    let now = clock::since_boot();
    seen.agent_ms = line.now_ms;
    seen.heard_at = now;
    {
        let mut board = mutex::lock(&inner.board);
        if let Some(hello) = &line.hello {
            board.agent_up(now, no, hello);
        }
        board.handle_message(now, no, &line);
    }
    perform_actions(inner);
}

/// The agent's clock as last heard, and when that was.
#[derive(Default)]
struct AgentClock {
    agent_ms: u64,
    heard_at: time::Duration,
}

impl AgentClock {
    /// The next line, with what waits for the writer; times become those of the agent's clock. The
    /// way here makes them too early at most.
    fn next_message(&self, link: &Link, wants: Option<WaitingWork>) -> EntryMessage {
        *mutex::lock(&link.written_at) = clock::since_boot();
        let mut line = std::mem::take(&mut *mutex::lock(&link.outgoing));
        line.waiting = wants;
        line.seen_ms = self.agent_ms;
        let at = self.heard_at.as_millis() as u64;
        let there = |ms: u64| (ms + self.agent_ms).saturating_sub(at);
        for start in &mut line.starts {
            start.deadline_ms = there(start.deadline_ms);
            start.urgency_ms = there(start.urgency_ms);
        }
        if let Some(wants) = &mut line.waiting {
            wants.urgency_ms = there(wants.urgency_ms);
        }
        line
    }
}
