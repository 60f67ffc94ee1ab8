//! The entry's side of its links to agents: keeps them up and exchanges messages on them.

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
use crate::decide::besteffort::asking;
use crate::decide::besteffort::evacuation;
use crate::decide::besteffort::job::LinkNo;
use crate::decide::besteffort::message::{AgentMessage, EntryMessage, WaitingWork};
use crate::decide::besteffort::told::Statement;
use crate::id;
use crate::mutex;

/// Timeout of a connect to an agent: many round trips between failure domains (2 ms), since the agent's
/// operating system answers however busy the agent is. A machine that is off doesn't answer at all, and the
/// sooner the next try, the sooner an agent that has just started is found.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// Timeout of an agent's hello. An agent that has just started first ends what its earlier incarnation left
/// running, which takes as long as that incarnation's lease.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Pause before the first reconnect to an agent, doubled after each failure up to the maximum. An agent that
/// was killed is usually back within seconds.
const MIN_RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Number of failed connects in a row after which the agent is unlikely to be back soon, and the pause from
/// then on.
const MAX_FREQUENT_TRIES: u32 = 60;
const RARE_RECONNECT_PAUSE: time::Duration = time::Duration::from_secs(4);

/// The state of one link, shared by the async task that maintains the link and those that have messages for the
/// agent.
#[derive(Default)]
pub(super) struct Link {
    /// The message that is being composed; starts and stops are added until it is written.
    pub(super) outgoing: Mutex<EntryMessage>,
    /// When the last message was written, in time since boot.
    pub(super) written_at: Mutex<time::Duration>,
    pub(super) wake: Notify,
    pub(super) close: Notify,
}

/// Keeps a link to an agent up until the other end of `stop` is dropped.
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

/// Pause after a number of failed connects. It is random, so that entries which lost an agent together don't
/// reconnect together.
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
    let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = stream.await.map_err(timed_out)??;
    let (mut reader, mut writer) = line::open(stream)?;
    let first = EntryMessage {
        entry: Some(inner.cfg.name.clone()),
        link: no,
        ..EntryMessage::default()
    };
    writer.write(&first).await?;
    let answer: AgentMessage = timeout(HELLO_TIMEOUT, reader.read())
        .await
        .map_err(timed_out)??;
    let expected_hello = answer.hello.as_ref().filter(|hello| hello.agent == *agent);
    let domain = expected_hello.map(|hello| hello.failure_domain.clone());
    let domain =
        domain.ok_or_else(|| io::Error::other("an agent of another id answered at its address"))?;
    let link = Arc::new(Link::default());
    mutex::lock(&inner.links).insert(no, link.clone());
    let mut last_sent = evacuation::LastSent::default();
    let mut agent_clock = AgentClock::default();
    handle_message(inner, no, &mut agent_clock, answer);
    loop {
        tokio::select! {
            message = reader.read::<AgentMessage>() => {
                let message = message?;
                let lent = !message.lent.is_empty();
                handle_message(inner, no, &mut agent_clock, message);
                if lent {
                    link.wake.notify_one();
                }
            }
            () = link.wake.notified() => {
                let (work, statement) = waiting_work_to_send(inner, no);
                let mut message = agent_clock.next_message(&link, work, statement);
                let state = mutex::lock(&inner.evacuations).domain_state(&domain);
                message.evacuation = last_sent.due(clock::since_boot(), state);
                writer.write(&message).await?;
            }
            () = link.close.notified() => return Ok(()),
        }
    }
}

/// Returns the work that waits for room, and records that the agent of this link is told of it.
fn waiting_work_to_send(inner: &Inner, no: LinkNo) -> (Option<WaitingWork>, Option<Statement>) {
    let mut demand = mutex::lock(&inner.demand);
    let work = demand.waiting_work;
    demand
        .room_requests
        .message_sent(no, work.as_ref().map(asking::asked_priority));
    let work = work.filter(|_| !demand.links_not_asked.contains(&no));
    (work, demand.statement.clone())
}

fn handle_message(
    inner: &Arc<Inner>,
    no: LinkNo,
    agent_clock: &mut AgentClock,
    message: AgentMessage,
) {
    let now = clock::since_boot();
    agent_clock.agent_ms = message.now_ms;
    agent_clock.heard_at = now;
    {
        let mut board = mutex::lock(&inner.board);
        if let Some(hello) = &message.hello {
            board.agent_up(now, no, hello);
        }
        board.handle_message(now, no, &message);
    }
    perform_actions(inner);
}

/// The agent's clock in its last message, and when that message arrived.
#[derive(Default)]
struct AgentClock {
    agent_ms: u64,
    heard_at: time::Duration,
}

impl AgentClock {
    /// Takes the composed message to write it now. Times are converted to the agent's clock; the transit time
    /// of the agent's last message makes them too early, never too late.
    fn next_message(
        &self,
        link: &Link,
        work: Option<WaitingWork>,
        statement: Option<Statement>,
    ) -> EntryMessage {
        *mutex::lock(&link.written_at) = clock::since_boot();
        let mut message = std::mem::take(&mut *mutex::lock(&link.outgoing));
        message.waiting = work;
        message.demand = statement;
        message.seen_ms = self.agent_ms;
        let heard_at_ms = self.heard_at.as_millis() as u64;
        let agent_time = |ms: u64| (ms + self.agent_ms).saturating_sub(heard_at_ms);
        for start in &mut message.starts {
            start.deadline_ms = agent_time(start.deadline_ms);
            start.urgency_ms = agent_time(start.urgency_ms);
        }
        if let Some(work) = &mut message.waiting {
            work.urgency_ms = agent_time(work.urgency_ms);
        }
        for row in message.demand.iter_mut().flat_map(|s| &mut s.classes) {
            row.urgency_ms = agent_time(row.urgency_ms);
        }
        message
    }
}
