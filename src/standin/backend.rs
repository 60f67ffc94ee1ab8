//! A stand-in backend server: announces itself, runs tasks by sleeping, tells the truth.

use std::net;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::{CompactString, ToCompactString};
use gotham::hyper::{Method, StatusCode};
use gotham::mime;
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use crate::code;
use crate::refusal::Refusal;
use crate::standin::truth::Truth;
use crate::task;
use crate::wire::backend::{self, Announcement};
use crate::wire::http;
use crate::wire::server::{self, Incoming, Reply};

/// Pause between announcements.
const ANNOUNCE: time::Duration = time::Duration::from_millis(1_000);

/// Time after a leave within which work may still come.
const LEAVE_GRACE: time::Duration = time::Duration::from_secs(2);

/// Largest input that is taken.
const MAX_INPUT: usize = 8 * 1024 * 1024;

/// Path that takes the counts of this process away, for a load that is driven by another.
pub const TAKE_COUNTS: &str = "/counts/take";

/// The input that stand-ins understand.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Input {
    /// How long the task runs, in milliseconds.
    pub ms: u64,
    /// Comes back in the answer, so that a foreign answer shows.
    pub value: u64,
}

/// The answer that stand-ins give.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Output {
    /// The job, as the backend server saw it.
    pub job: CompactString,
    /// The task's index.
    pub task: u32,
    /// The value of the input.
    pub value: u64,
}

/// What a backend server does with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Conduct {
    /// Runs it and answers.
    Run,
    /// Runs it this many times slower.
    Slow(u32),
    /// Fails it at once.
    Fail,
    /// Never answers.
    Hang,
    /// Answers with something that is no whole JSON.
    Truncate,
    /// Answers with more than may be taken.
    Oversize,
}

/// Decides what is done with a task.
pub type Conducts = Arc<dyn Fn(&task::Id) -> Conduct + Send + Sync>;

/// What a stand-in is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Names it in the counts.
    pub id: CompactString,
    /// Where it listens; port 0 takes any.
    pub addr: net::SocketAddr,
    /// Its agent's address for announcements (host and port).
    pub agent: CompactString,
    /// Tasks at a time.
    pub slots: u32,
    /// Connections at a time.
    pub connections: u32,
    /// What it has for tasks.
    pub capacity: task::Needs,
}

/// A running stand-in backend server.
pub struct Backend {
    server: server::Server,
    inner: Arc<Inner>,
    announcing: JoinHandle<()>,
}

struct Inner {
    cfg: Config,
    truth: Truth,
    conducts: Mutex<Conducts>,
    left: Mutex<Option<time::Instant>>,
    dead: AtomicBool,
    running: AtomicU32,
    http: http::Client,
}

/// Binds a stand-in and starts announcing it.
pub async fn bind(cfg: Config, truth: Truth) -> anyhow::Result<Backend> {
    let inner = Arc::new(Inner {
        truth,
        conducts: Mutex::new(Arc::new(|_| Conduct::Run)),
        left: Mutex::default(),
        dead: AtomicBool::new(false),
        running: AtomicU32::new(0),
        http: http::open(MAX_INPUT),
        cfg,
    });
    let handling = inner.clone();
    let handler = move |incoming: Incoming| {
        let inner = handling.clone();
        async move { inner.run(incoming).await }
    };
    let server = server::bind(inner.cfg.addr, handler).await?;
    let announcing = tokio::spawn(announce(inner.clone(), server.addr()));
    Ok(Backend {
        server,
        inner,
        announcing,
    })
}

impl Backend {
    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Puts a conduct into force from now on.
    pub fn behave(&self, conducts: Conducts) {
        *self.inner.conducts.lock().expect("the conduct is whole") = conducts;
    }

    /// Leaves as planned: says so, and ends what runs.
    pub async fn leave(&self) {
        *self.inner.left.lock().expect("the leave is whole") = Some(time::Instant::now());
        self.inner.announce(self.server.addr()).await;
    }

    /// Waits until nothing runs.
    pub async fn idle(&self) {
        while self.inner.running.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Ends at once, as a crash would.
    pub fn kill(&self) {
        self.inner.dead.store(true, Ordering::SeqCst);
        self.announcing.abort();
        self.server.stop();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn announce(inner: Arc<Inner>, addr: net::SocketAddr) {
    let mut interval = tokio::time::interval(ANNOUNCE);
    loop {
        interval.tick().await;
        inner.announce(addr).await;
    }
}

impl Inner {
    async fn announce(&self, addr: net::SocketAddr) {
        let leaving = self.left.lock().expect("the leave is whole").is_some();
        let announcement = Announcement {
            addr: addr.to_compact_string(),
            slots: self.cfg.slots,
            connections: self.cfg.connections,
            capacity: self.cfg.capacity,
            leaving,
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let uri = format!("http://{}/v1/announce", self.cfg.agent);
        let call = http::Call::new(Method::POST, uri, body);
        // The next announcement comes soon enough where this one fails.
        let _ = self.http.call(call, ANNOUNCE).await;
    }

    async fn run(self: Arc<Self>, incoming: Incoming) -> Reply {
        if incoming.uri.path() == TAKE_COUNTS {
            return Reply::json(StatusCode::OK, &self.truth.take());
        }
        let job = CompactString::from(incoming.header(backend::JOB).unwrap_or_default());
        let index = incoming
            .header(backend::INDEX)
            .and_then(|text| text.parse().ok());
        let account =
            CompactString::from(incoming.header(backend::CLIENT_ACCOUNT).unwrap_or_default());
        let Ok(received) = incoming.read_body(MAX_INPUT).await else {
            return Reply::refusal(&Refusal::new(code::Code::BadJson));
        };
        let input: Result<Input, _> = serde_json::from_slice(&received.bytes);
        let (Some(index), Ok(input)) = (index, input) else {
            return Reply::refusal(&Refusal::new(code::Code::BadJson));
        };
        let id = task::Id { job, index };
        self.count(&id);
        let mut running = Running::begin(&self, &id);
        let conducts = self.conducts.lock().expect("the conduct is whole").clone();
        let conduct = conducts(&id);
        let begun = time::Instant::now();
        self.work(&input, conduct).await;
        running.ended = true;
        self.truth
            .used(&account, begun.elapsed().as_micros() as u64);
        self.answer(id, &input, conduct)
    }

    fn count(&self, id: &task::Id) {
        self.truth.start(&self.cfg.id, id);
        let left = *self.left.lock().expect("the leave is whole");
        if left.is_some_and(|at| at.elapsed() > LEAVE_GRACE) {
            log::error!("{} was sent work after it had left", self.cfg.id);
            self.truth.work_after_leave();
        }
    }

    async fn work(&self, input: &Input, conduct: Conduct) {
        let run = time::Duration::from_millis(input.ms);
        match conduct {
            Conduct::Run | Conduct::Truncate | Conduct::Oversize => tokio::time::sleep(run).await,
            Conduct::Slow(times) => tokio::time::sleep(run * times).await,
            Conduct::Fail => {}
            Conduct::Hang => std::future::pending().await,
        }
        if self.dead.load(Ordering::SeqCst) {
            // A process that has died answers nothing on the connections it had.
            std::future::pending().await
        }
    }

    fn answer(&self, id: task::Id, input: &Input, conduct: Conduct) -> Reply {
        let output = Output {
            job: id.job,
            task: id.index,
            value: input.value,
        };
        match conduct {
            Conduct::Fail => Reply::text(StatusCode::INTERNAL_SERVER_ERROR, "sick\n".to_owned()),
            Conduct::Truncate => Reply::bytes(StatusCode::OK, mime::APPLICATION_JSON, "{\"job\":"),
            Conduct::Oversize => {
                let body = vec![b' '; backend::MAX_ANSWER + 1];
                Reply::bytes(StatusCode::OK, mime::APPLICATION_JSON, body)
            }
            Conduct::Run | Conduct::Slow(_) | Conduct::Hang => Reply::json(StatusCode::OK, &output),
        }
    }
}

/// Counts a run for as long as it lasts, and notes it where its agent breaks the exchange off.
struct Running<'a> {
    inner: &'a Inner,
    id: task::Id,
    ended: bool,
}

impl<'a> Running<'a> {
    fn begin(inner: &'a Inner, id: &task::Id) -> Running<'a> {
        inner.running.fetch_add(1, Ordering::SeqCst);
        Running {
            inner,
            id: id.clone(),
            ended: false,
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.inner.running.fetch_sub(1, Ordering::SeqCst);
        if !self.ended && !self.inner.dead.load(Ordering::SeqCst) {
            self.inner.truth.cut_off(&self.id);
        }
    }
}
