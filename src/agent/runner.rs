//! The work of an agent: what runs, what waits for a slot, and the answers' way up.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use compact_str::CompactString;
use tokio::sync::Notify;

use crate::agent::large;
use crate::agent::spans::Hops;
use crate::agent::state::{Backend, Held, Running, Waiting};
use crate::agent::Config;
use crate::code;
use crate::count;
use crate::decide::ledger;
use crate::decide::notice::{self, Notice};
use crate::decide::order::Order;
use crate::id;
use crate::metrics;
use crate::task;
use crate::wire::agent;
use crate::wire::backend;
use crate::wire::http;
use crate::wire::link;
use crate::wire::platform;

/// Pause between looks for what need not be remembered any more.
const SWEEP: time::Duration = time::Duration::from_secs(1);

/// The shared state of an agent's parts.
pub struct Work {
    cfg: Config,
    incarnation: id::Incarnation,
    http: http::Client,
    large: large::Large,
    messages: count::Messages,
    inner: Mutex<Held>,
    changed: Notify,
    spoke: Mutex<time::Instant>,
}

impl Work {
    /// Opens an agent's work for one life.
    pub fn open(
        cfg: Config,
        incarnation: id::Incarnation,
        objects: platform::Objects,
        messages: count::Messages,
    ) -> Arc<Work> {
        Arc::new(Work {
            large: large::Large::open(objects),
            cfg,
            // JSON numbers of other languages hold 53 bits.
            incarnation: incarnation >> 11,
            http: http::open(backend::MAX_ANSWER),
            messages,
            inner: Mutex::new(Held::open(time::Instant::now())),
            changed: Notify::new(),
            spoke: Mutex::new(time::Instant::now()),
        })
    }

    /// The agent's id.
    pub fn id(&self) -> &id::AgentId {
        &self.cfg.id
    }

    /// This life.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Admits the agent to its cell; see [`Ledger::join`].
    pub fn join(&self, epoch: id::Epoch) {
        let mut inner = self.lock();
        inner.ledger.join(epoch);
        inner.tell(Notice::Heartbeat);
    }

    /// Takes the hello of an owner: raises the fence, reports, and speaks to this owner from now.
    pub fn greet(&self, hello: &agent::Hello, tx: link::Sender<Notice>) {
        let mut inner = self.lock();
        if let Err(newest) = inner.ledger.raise_fence(hello.epoch) {
            let _ = tx.send(Notice::Stale(newest));
            return;
        }
        let welcome = notice::Welcome {
            incarnation: self.incarnation,
            failure_domain: self.cfg.failure_domain.clone(),
            rack: self.cfg.rack.clone(),
            tasks: inner.ledger.task_states(),
        };
        let _ = tx.send(Notice::Welcome(welcome));
        inner.owner = Some(tx);
        inner.link = hello.link;
        inner.received = 0;
    }

    /// Takes one message of an owner.
    pub fn take(self: &Arc<Self>, down: agent::Down) {
        let mut inner = self.lock();
        let now = time::Instant::now();
        if down.link == inner.link {
            inner.received += 1;
        }
        // A restarted agent has a new life; orders to the old one mean nothing to it.
        if down.incarnation != self.incarnation {
            return;
        }
        if down.epoch < inner.ledger.epoch() {
            let newest = inner.ledger.epoch();
            inner.tell(Notice::Stale(newest));
            return;
        }
        for order in down.orders {
            self.obey(&mut inner, now, down.epoch, order);
        }
        self.fill(&mut inner);
    }

    fn obey(&self, inner: &mut Held, now: time::Instant, epoch: id::Epoch, order: Order) {
        match order {
            Order::Start(start) => inner.accept(now, epoch, start),
            Order::Cancel(job) => self.cancel(inner, now, epoch, &job),
            Order::Acknowledge(job) => {
                inner.ledger.acknowledge(epoch, &job);
                self.changed.notify_waiters();
            }
            Order::Resolve(ids) => inner.resolve(now, epoch, &ids),
            Order::Heartbeat => {}
        }
    }

    fn cancel(&self, inner: &mut Held, now: time::Instant, epoch: id::Epoch, job: &id::JobKey) {
        let started = inner.ledger.cancel(now, epoch, job);
        for id in started {
            if let Some(running) = inner.running.remove(&id) {
                // Dropping the exchange closes its connection, which tells the backend server.
                running.abort.abort();
                let outcome = task::Outcome::Failed(code::Code::Cancelled);
                let ran_us = now.saturating_duration_since(running.since).as_micros() as u64;
                inner.ledger.finish(now, &id, outcome.clone(), ran_us);
                inner.tell(Notice::Answer(notice::Answer {
                    id,
                    outcome,
                    ran_us,
                }));
            } else {
                inner.waiting.retain(|waiting| waiting.start.id != id);
                let attempt = inner.ledger.revert_start(now, &id);
                inner.tell(Notice::Refused(attempt, code::Code::Burned));
            }
        }
        self.changed.notify_waiters();
    }

    /// Starts what waits, as far as there are slots.
    fn fill(self: &Arc<Self>, inner: &mut Held) {
        let now = time::Instant::now();
        while inner.running.len() < inner.slots(now) as usize {
            let Some(waiting) = inner.waiting.pop_front() else {
                return;
            };
            let Some(backend) = &inner.backend else {
                return;
            };
            let addr = backend.announcement.addr.clone();
            let id = waiting.start.id.clone();
            let work = self.clone();
            let handle = tokio::spawn(async move { work.run(addr, waiting).await });
            let running = Running {
                abort: handle.abort_handle(),
                since: now,
            };
            inner.running.insert(id, running);
        }
    }

    async fn run(self: Arc<Self>, addr: CompactString, waiting: Waiting) {
        let Waiting { start, since } = waiting;
        let id = start.id.clone();
        let hops = Hops::begin(&start, since);
        let traceparent = hops.map(|hops| hops.traceparent());
        let input = match self.large.input(start.input).await {
            Ok(input) => input,
            Err(code) => {
                let outcome = task::Outcome::Failed(code);
                self.finish(&id, outcome, time::Duration::ZERO);
                return;
            }
        };
        self.messages.add(count::Kind::Backend, 2);
        let begun = time::Instant::now();
        let outcome = backend::run(
            &self.http,
            backend::Run {
                addr,
                id: start.id,
                client_account: start.client_account,
                deadline_ms: start.deadline_ms,
                input,
                traceparent: traceparent.or(start.traceparent),
            },
        )
        .await;
        if let Some(hops) = hops {
            hops.record(&self.cfg.id, id.index, &outcome);
        }
        let ran = begun.elapsed();
        let outcome = self.large.outcome(outcome).await;
        self.finish(&id, outcome, ran);
    }

    fn finish(self: &Arc<Self>, id: &task::Id, outcome: task::Outcome, ran: time::Duration) {
        let mut inner = self.lock();
        let now = time::Instant::now();
        if inner.running.remove(id).is_none() {
            // It was cancelled in this moment, and its owner was told.
            return;
        }
        let not_run = match &outcome {
            task::Outcome::Failed(code) => code.outcome() == code::Outcome::NotRun,
            task::Outcome::Done(_) => false,
        };
        if let (true, task::Outcome::Failed(code)) = (not_run, &outcome) {
            let attempt = inner.ledger.revert_start(now, id);
            inner.tell(Notice::Refused(attempt, *code));
        } else {
            let ran_us = ran.as_micros() as u64;
            inner.ledger.finish(now, id, outcome.clone(), ran_us);
            inner.tell(Notice::Answer(notice::Answer {
                id: id.clone(),
                outcome,
                ran_us,
            }));
        }
        self.fill(&mut inner);
        self.changed.notify_waiters();
    }

    /// Takes an announcement of the backend server.
    pub fn announce(self: &Arc<Self>, announcement: backend::Announcement) {
        let mut inner = self.lock();
        let now = time::Instant::now();
        let before = inner.load(now);
        inner.backend = Some(Backend {
            announcement,
            heard: now,
        });
        if inner.load(now) != before {
            inner.tell(Notice::Heartbeat);
        }
        self.fill(&mut inner);
    }

    /// Groups notices of one link into one message, with the load of this moment.
    pub fn group(&self, link: id::Link, notices: Vec<Notice>) -> agent::Up {
        *self.spoke.lock().expect("the time is whole") = time::Instant::now();
        let inner = self.lock();
        let current = link == inner.link;
        agent::Up {
            notices,
            load: inner.load(time::Instant::now()),
            link,
            received: if current { inner.received } else { 0 },
        }
    }

    /// Does what is due: a heartbeat where nothing was said, and forgetting what is old.
    pub fn tick(&self) {
        let mut inner = self.lock();
        let now = time::Instant::now();
        let mut spoke = self.spoke.lock().expect("the time is whole");
        if now.saturating_duration_since(*spoke) >= agent::HEARTBEAT {
            // The next one is due a whole pause later, also where the writer is not free yet.
            *spoke = now;
            inner.tell(Notice::Heartbeat);
        }
        drop(spoke);
        if inner.slots(now) == 0 {
            inner.give_back(now);
        }
        if now.saturating_duration_since(inner.swept) >= SWEEP {
            inner.swept = now;
            inner.ledger.forget_expired(now);
            self.large.sweep(now);
        }
    }

    /// Starts nothing new from now on, and says so.
    pub fn drain(&self) {
        let mut inner = self.lock();
        inner.draining = true;
        inner.give_back(time::Instant::now());
        inner.tell(Notice::Heartbeat);
    }

    /// Waits until nothing runs or waits.
    pub async fn idle(&self) {
        self.until(|inner| inner.running.is_empty() && inner.waiting.is_empty())
            .await;
    }

    /// Waits until every answer was acknowledged, `limit` at the longest. Tells whether it was, so
    /// that the claims of all of them are in the table.
    pub async fn acknowledged(&self, limit: time::Duration) -> bool {
        let done = self.until(|inner| inner.ledger.kept_bytes() == 0);
        tokio::time::timeout(limit, done).await.is_ok()
    }

    /// Tells whether this life remembers any task that it started.
    pub fn has_started(&self) -> bool {
        let report = self.lock().ledger.task_states();
        let started = |(_, standing): &(_, _)| *standing != ledger::TaskState::Withdrawn;
        report.iter().any(started)
    }

    /// What the agent shows of itself, in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let (load, kept) = {
            let inner = self.lock();
            (inner.load(time::Instant::now()), inner.ledger.kept_bytes())
        };
        let mut page = metrics::Page::open();
        page.gauge("slots", "Tasks that run at a time", load.slots.into());
        page.gauge("running", "Tasks that run now", load.running.into());
        page.gauge(
            "kept_bytes",
            "Bytes of answers kept for their owner",
            kept as i64,
        );
        page.messages(&self.messages);
        page.text()
    }

    /// Ends everything at once.
    pub fn abort(&self) {
        let mut inner = self.lock();
        for running in inner.running.values() {
            running.abort.abort();
        }
        inner.running.clear();
        inner.waiting.clear();
        inner.owner = None;
    }

    async fn until(&self, holds: impl Fn(&Held) -> bool) {
        loop {
            let changed = self.changed.notified();
            if holds(&self.lock()) {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.inner.lock().expect("the agent's state is whole")
    }
}
