//! Stand-ins for an entry and for a backend server, with which tests drive an agent of best-effort work.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time;

use lovagemill::besteffort::agent::{Answer, BackendServer, ListCall, ListingError};
use lovagemill::besteffort::line;
use lovagemill::clock;
use lovagemill::decide::besteffort::message::{
    AgentMessage, Backend, EntryIncarnation, EntryMessage, Heartbeat, Room, Run, RunOutcome,
    ServerIncarnation, Start,
};
use lovagemill::decide::besteffort::slots::{Listing, Recipient, Slots, StartAnswer};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Room that one task of the tests takes.
pub const NEED: Room = Room {
    cpu: 1_000,
    memory_mb: 10,
    accelerators: 0,
};

/// A call of the agent to its backend server, which the test answers.
pub enum Call {
    /// A listing, and the channel for its answer.
    List(ListCall, oneshot::Sender<Result<Listing, ListingError>>),
    /// A start with its recipient, and the channel for its answer.
    Start(Recipient, Run, oneshot::Sender<StartAnswer>),
    /// A stop with its recipient, and the channel for its answer.
    Stop(Recipient, Run, oneshot::Sender<bool>),
}

/// The runs on a backend server.
pub type Running = Arc<Mutex<Vec<Run>>>;

/// The calls that wait for an answer.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<VecDeque<Call>>>);

impl Calls {
    fn push(&self, call: Call) {
        self.0.lock().expect("no test panics here").push_back(call);
    }

    /// Waits for a call that `wanted` accepts, and keeps the others queued. `what` names the call in the
    /// panic when none arrives in time.
    pub async fn next<T>(&self, what: &str, wanted: impl Fn(Call) -> Result<T, Call>) -> T {
        let deadline = tokio::time::Instant::now() + super::HANG;
        loop {
            {
                let mut calls = self.0.lock().expect("no test panics here");
                for _ in 0..calls.len() {
                    let call = calls.pop_front().expect("counted above");
                    match wanted(call) {
                        Ok(found) => return found,
                        Err(other) => calls.push_back(other),
                    }
                }
            }
            assert!(tokio::time::Instant::now() < deadline, "never: {what}");
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }

    /// Waits until the agent asks a backend server's incarnation for its listing, and returns the channel for
    /// the answer.
    pub async fn list(&self, id: &str) -> oneshot::Sender<Result<Listing, ListingError>> {
        self.next("a listing", |call| match call {
            Call::List(of, tx) if of.to.incarnation.id == id => Ok(tx),
            other => Err(other),
        })
        .await
    }

    /// Answers the next listing of an incarnation. One that the agent has meanwhile abandoned doesn't count,
    /// since nobody would get its answer.
    pub async fn answer_list(&self, id: &str, answer: Result<Listing, ListingError>) {
        loop {
            let tx = self.list(id).await;
            if tx.send(answer.clone()).is_ok() {
                return;
            }
        }
    }

    /// Waits for a start, and returns its run and the channel for its answer.
    pub async fn start(&self) -> (Run, oneshot::Sender<StartAnswer>) {
        self.next("a start", |call| match call {
            Call::Start(_, run, tx) => Ok((run, tx)),
            other => Err(other),
        })
        .await
    }

    /// Waits for a stop, and returns its run and the channel for its answer.
    pub async fn stop(&self) -> (Run, oneshot::Sender<bool>) {
        self.next("a stop", |call| match call {
            Call::Stop(_, run, tx) => Ok((run, tx)),
            other => Err(other),
        })
        .await
    }

    /// Answers every request for a listing of an incarnation from now on with the runs in `running`.
    pub fn keep_listing(&self, id: &'static str, running: &Running) -> JoinHandle<()> {
        let (calls, running) = (self.clone(), running.clone());
        tokio::spawn(async move {
            loop {
                let tx = calls.list(id).await;
                let now = running.lock().expect("no test panics here").clone();
                let now = now.into_iter().map(|run| (run, 50)).collect();
                // The agent may have abandoned the call.
                let _ = tx.send(Ok(listed(now, Vec::new())));
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        })
    }

    /// Returns the backend server that the agent calls.
    pub fn server(&self) -> BackendServer {
        let (start, stop, list) = (self.clone(), self.clone(), self.clone());
        BackendServer {
            start: Box::new(move |to, run, _, _| -> Answer<StartAnswer> {
                let (tx, rx) = oneshot::channel();
                start.push(Call::Start(to, run, tx));
                Box::pin(async move { rx.await.unwrap_or(StartAnswer::Unknown) })
            }),
            stop: Box::new(move |to, run| -> Answer<bool> {
                let (tx, rx) = oneshot::channel();
                stop.push(Call::Stop(to, run, tx));
                Box::pin(async move { rx.await.unwrap_or(false) })
            }),
            list: Box::new(move |call| -> Answer<Result<Listing, ListingError>> {
                let (tx, rx) = oneshot::channel();
                list.push(Call::List(call, tx));
                Box::pin(async move { rx.await.unwrap_or(Err(ListingError::NoAnswer)) })
            }),
            starts_resent: Arc::default(),
        }
    }
}

/// Returns a listing that a backend server makes now, by a clock equal to the test's.
pub fn listed(running: Vec<(Run, u8)>, ended: Vec<(Run, RunOutcome)>) -> Listing {
    Listing {
        born_ms: None,
        clock_ms: clock::since_boot().as_millis() as u64,
        last_end: ended.len() as u64,
        running,
        ended,
    }
}

/// Returns the first incarnation of an entry.
pub fn entry(name: &str) -> EntryIncarnation {
    EntryIncarnation {
        entry: name.into(),
        incarnation: 1,
    }
}

/// Returns the ends of runs that an entry gets in the agent's next message.
pub fn ends(
    slots: &mut Slots,
    entry: &EntryIncarnation,
    now: time::Duration,
) -> Vec<(Run, RunOutcome)> {
    let message = slots.next_message(entry, now);
    let ended = message.ended.into_iter();
    ended.map(|end| (end.run, end.outcome)).collect()
}

/// Returns the state of a backend server that accepts work and has room for four tasks.
pub fn backend(id: &str) -> Backend {
    Backend {
        incarnation: ServerIncarnation::with_id(id),
        service: "svc".into(),
        labels: Vec::new(),
        size: Room {
            cpu: 4_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        takes_work: true,
    }
}

/// Returns the announcement of a backend server's incarnation that accepts work.
pub fn heartbeat(id: &str) -> Heartbeat {
    Heartbeat {
        backend: backend(id),
        number: 1,
    }
}

/// Returns a run of a job's task.
pub fn run(job: &str, task: u32, number: u64) -> Run {
    Run {
        job: job.into(),
        task,
        number,
    }
}

/// Returns a start whose time limits don't end during a test.
pub fn start(run: Run, now_ms: u64) -> Start {
    Start {
        run,
        input: "input".into(),
        need: NEED,
        priority: 0,
        urgency_ms: now_ms,
        deadline_ms: now_ms + 60_000,
        max_wait_ms: 60_000,
        suspicion: 0,
        estimate_ms: 0,
    }
}

/// An entry whose messages the test writes.
pub struct FakeEntry {
    reader: line::Reader,
    writer: line::Writer,
    /// The agent's clock as last received, in milliseconds.
    pub seen_ms: u64,
}

impl FakeEntry {
    /// Connects an incarnation of an entry to an agent, over the first of its links.
    pub async fn connect(addr: SocketAddr, incarnation: u64) -> (FakeEntry, AgentMessage) {
        FakeEntry::connect_again(addr, incarnation, 1).await
    }

    /// Connects an incarnation of an entry to an agent, over a link with this number.
    pub async fn connect_again(
        addr: SocketAddr,
        incarnation: u64,
        link: u64,
    ) -> (FakeEntry, AgentMessage) {
        let mut entry = FakeEntry::dial(addr).await;
        entry.introduce(incarnation, link).await;
        let hello = entry.read().await;
        (entry, hello)
    }

    /// Opens a connection to an agent, on which the entry hasn't named itself yet.
    pub async fn dial(addr: SocketAddr) -> FakeEntry {
        let stream = TcpStream::connect(addr).await.expect("the agent listens");
        let (reader, writer) = line::open(stream).expect("a socket");
        FakeEntry {
            reader,
            writer,
            seen_ms: 0,
        }
    }

    /// Names the entry, in the first message of a link.
    pub async fn introduce(&mut self, incarnation: u64, link: u64) {
        let name = EntryIncarnation {
            entry: "entry".into(),
            incarnation,
        };
        let first = EntryMessage {
            entry: Some(name),
            link,
            ..EntryMessage::default()
        };
        self.writer.write(&first).await.expect("the link is up");
    }

    /// Waits until the agent has closed the link.
    pub async fn wait_until_closed(mut self) {
        while self.reader.read::<AgentMessage>().await.is_ok() {}
    }

    /// Reads a message, and answers with the agent's clock that it carried.
    pub async fn read(&mut self) -> AgentMessage {
        let message: AgentMessage = self.reader.read().await.expect("the link is up");
        self.seen_ms = message.now_ms;
        self.send(EntryMessage::default()).await;
        message
    }

    /// Reads messages until `found` returns something.
    pub async fn read_until<T>(&mut self, found: impl Fn(&AgentMessage) -> Option<T>) -> T {
        loop {
            let message = self.read().await;
            if let Some(found) = found(&message) {
                return found;
            }
        }
    }

    /// Writes a message with the agent's clock.
    pub async fn send(&mut self, mut message: EntryMessage) {
        message.seen_ms = self.seen_ms;
        // If the agent has closed the link, the next read fails.
        let _ = self.writer.write(&message).await;
    }

    /// Sends a start.
    pub async fn start(&mut self, run: Run) {
        let starts = vec![start(run, self.seen_ms)];
        let message = EntryMessage {
            starts,
            ..EntryMessage::default()
        };
        self.send(message).await;
    }
}
