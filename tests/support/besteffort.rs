//! An entry played by a test, and a backend server whose answers the test gives, for agents of
//! best-effort work.

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

/// Room for one task of the tests.
pub const NEED: Room = Room {
    cpu: 1_000,
    memory_mb: 10,
    accelerators: 0,
};

/// One call of the agent that the test answers.
pub enum Call {
    /// A listing, and the way to answer it.
    List(ListCall, oneshot::Sender<Result<Listing, ListingError>>),
    /// A start, and whom it is meant for.
    Start(Recipient, Run, oneshot::Sender<StartAnswer>),
    /// A stop, and whom it is meant for.
    Stop(Recipient, Run, oneshot::Sender<bool>),
}

/// What runs on a backend server.
pub type Running = Arc<Mutex<Vec<Run>>>;

/// The calls that wait for an answer.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<VecDeque<Call>>>);

impl Calls {
    fn push(&self, call: Call) {
        self.0.lock().expect("no test panics here").push_back(call);
    }

    /// Waits for a call that `wanted` takes, leaving the others where they are.
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

    /// Waits for a listing of a life and returns the way to answer it.
    pub async fn list(&self, life: &str) -> oneshot::Sender<Result<Listing, ListingError>> {
        self.next("a listing", |call| match call {
            Call::List(of, tx) if of.to.incarnation.id == life => Ok(tx),
            other => Err(other),
        })
        .await
    }

    /// Answers the next listing of a life. One that the agent has given up meanwhile doesn't count:
    /// its answer would reach nobody.
    pub async fn answer_list(&self, life: &str, answer: Result<Listing, ListingError>) {
        loop {
            let tx = self.list(life).await;
            if tx.send(answer.clone()).is_ok() {
                return;
            }
        }
    }

    /// Waits for a start and returns its run and the way to answer it.
    pub async fn start(&self) -> (Run, oneshot::Sender<StartAnswer>) {
        self.next("a start", |call| match call {
            Call::Start(_, run, tx) => Ok((run, tx)),
            other => Err(other),
        })
        .await
    }

    /// Waits for a stop and returns its run and the way to answer it.
    pub async fn stop(&self) -> (Run, oneshot::Sender<bool>) {
        self.next("a stop", |call| match call {
            Call::Stop(_, run, tx) => Ok((run, tx)),
            other => Err(other),
        })
        .await
    }

    /// Answers every listing of a life from now on, as a backend server with these runs does.
    pub fn keep_listing(&self, life: &'static str, running: &Running) -> JoinHandle<()> {
        let (calls, running) = (self.clone(), running.clone());
        tokio::spawn(async move {
            loop {
                let tx = calls.list(life).await;
                let now = running.lock().expect("no test panics here").clone();
                let now = now.into_iter().map(|run| (run, 50)).collect();
                // The agent may have given the call up.
                let _ = tx.send(Ok(listed(now, Vec::new())));
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        })
    }

    /// The backend server that the agent speaks to.
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
        }
    }
}

/// A listing on the test's clock.
pub fn listed(running: Vec<(Run, u8)>, ended: Vec<(Run, RunOutcome)>) -> Listing {
    Listing {
        born_ms: None,
        clock_ms: clock::since_boot().as_millis() as u64,
        last_end: ended.len() as u64,
        running,
        ended,
    }
}

/// The first life of an entry.
pub fn entry(name: &str) -> EntryIncarnation {
    EntryIncarnation {
        entry: name.into(),
        incarnation: 1,
    }
}

/// How runs have ended, as an entry hears it now.
pub fn ends(
    slots: &mut Slots,
    entry: &EntryIncarnation,
    now: time::Duration,
) -> Vec<(Run, RunOutcome)> {
    let line = slots.next_message(entry, now);
    let ended = line.ended.into_iter();
    ended.map(|end| (end.run, end.outcome)).collect()
}

/// A life of a backend server that takes work.
pub fn backend(life: &str) -> Backend {
    Backend {
        incarnation: ServerIncarnation::with_id(life),
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

/// What a life of a backend server that takes work says of itself.
pub fn heartbeat(life: &str) -> Heartbeat {
    Heartbeat {
        backend: backend(life),
        number: 1,
    }
}

/// A run of a job's task.
pub fn run(job: &str, task: u32, number: u64) -> Run {
    Run {
        job: job.into(),
        task,
        number,
    }
}

/// A start that may take as long as a test.
pub fn start(run: Run, now_ms: u64) -> Start {
    Start {
        run,
        input: "input".into(),
        need: NEED,
        priority: 0,
        urgency_ms: now_ms,
        deadline_ms: now_ms + 60_000,
        patience_ms: 60_000,
        suspicion: 0,
    }
}

/// An entry whose lines the test writes.
pub struct FakeEntry {
    reader: line::Reader,
    writer: line::Writer,
    /// The agent's clock as last heard.
    pub seen_ms: u64,
}

impl FakeEntry {
    /// Connects a life of an entry to an agent, on the first of its links.
    pub async fn connect(addr: SocketAddr, incarnation: u64) -> (FakeEntry, AgentMessage) {
        FakeEntry::connect_again(addr, incarnation, 1).await
    }

    /// The same on a later link.
    pub async fn connect_again(
        addr: SocketAddr,
        incarnation: u64,
        link: u64,
    ) -> (FakeEntry, AgentMessage) {
        let stream = TcpStream::connect(addr).await.expect("the agent listens");
        let (reader, writer) = line::open(stream).expect("a socket");
        let mut entry = FakeEntry {
            reader,
            writer,
            seen_ms: 0,
        };
        let name = EntryIncarnation {
            entry: "entry".into(),
            incarnation,
        };
        let first = EntryMessage {
            entry: Some(name),
            link,
            ..EntryMessage::default()
        };
        entry.writer.write(&first).await.expect("the link is up");
        let hello = entry.read().await;
        (entry, hello)
    }

    /// Waits until the agent has closed the link.
    pub async fn closed(mut self) {
        while self.reader.read::<AgentMessage>().await.is_ok() {}
    }

    /// Reads a line, and says that it was heard.
    pub async fn read(&mut self) -> AgentMessage {
        let line: AgentMessage = self.reader.read().await.expect("the link is up");
        self.seen_ms = line.now_ms;
        self.say(EntryMessage::default()).await;
        line
    }

    /// Reads until `found` finds what it looks for.
    pub async fn until<T>(&mut self, found: impl Fn(&AgentMessage) -> Option<T>) -> T {
        loop {
            let line = self.read().await;
            if let Some(found) = found(&line) {
                return found;
            }
        }
    }

    /// Writes a line with the agent's clock.
    pub async fn say(&mut self, mut line: EntryMessage) {
        line.seen_ms = self.seen_ms;
        // A link that the agent has closed shows at the next read.
        let _ = self.writer.write(&line).await;
    }

    /// Sends a start.
    pub async fn start(&mut self, run: Run) {
        let starts = vec![start(run, self.seen_ms)];
        let line = EntryMessage {
            starts,
            ..EntryMessage::default()
        };
        self.say(line).await;
    }
}
