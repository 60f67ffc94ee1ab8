//! Runs the tasks of an agent: carries out the owner's orders, starts waiting tasks as slots become
//! free, and sends the answers to the owner.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use compact_str::CompactString;
use tokio::sync::Notify;

use crate::agent::large;
use crate::agent::spans::Hops;
use crate::agent::state::{Backend, Running, State, Waiting};
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

/// How often expired records and stored answers are removed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Runs the tasks of one agent; shared by its link server, its HTTP server and its background
/// tasks.
pub struct Runner {
    cfg: Config,
    incarnation: id::Incarnation,
    http: http::Client,
    large_values: large::LargeValues,
    messages: count::Messages,
    state: Mutex<State>,
    /// Notified when a condition of [`Runner::wait_until`] may have become true.
    changed: Notify,
    /// When the last message to the owner was built or the last heartbeat became due.
    last_sent: Mutex<time::Instant>,
}

impl Runner {
    /// Returns the runner of an agent that has just started. The upper 53 bits of `incarnation`, a
    /// random number, identify this process of the agent.
    pub fn open(
        cfg: Config,
        incarnation: id::Incarnation,
        objects: platform::Objects,
        messages: count::Messages,
    ) -> Arc<Runner> {
        Arc::new(Runner {
            large_values: large::LargeValues::open(objects),
            cfg,
            // Many JSON parsers read numbers as doubles, which are exact only up to 53 bits.
            incarnation: incarnation >> 11,
            http: http::open(backend::MAX_ANSWER),
            messages,
            state: Mutex::new(State::open(time::Instant::now())),
            changed: Notify::new(),
            last_sent: Mutex::new(time::Instant::now()),
        })
    }

    /// Returns the agent's id.
    pub fn id(&self) -> &id::AgentId {
        &self.cfg.id
    }

    /// Returns the number that distinguishes this process of the agent from earlier ones.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Admits the agent to its cell, and sends the owner a heartbeat with its slots; see
    /// [`Ledger::join`](ledger::Ledger::join).
    pub fn join(&self, epoch: id::Epoch) {
        let mut state = self.lock();
        state.ledger.join(epoch);
        state.notify_owner(Notice::Heartbeat);
    }

    /// Handles the hello of an owner: raises the fence to its epoch, sends a welcome with the
    /// states of all recorded tasks, and from then on sends all further notices on this link. A
    /// superseded owner gets only the newest epoch.
    pub fn handle_hello(&self, hello: &agent::Hello, tx: link::Sender<Notice>) {
        let mut state = self.lock();
        if let Err(newest) = state.ledger.raise_fence(hello.epoch) {
            let _ = tx.send(Notice::Stale(newest));
            return;
        }
        let welcome = notice::Welcome {
            incarnation: self.incarnation,
            failure_domain: self.cfg.failure_domain.clone(),
            rack: self.cfg.rack.clone(),
            tasks: state.ledger.task_states(),
        };
        let _ = tx.send(Notice::Welcome(welcome));
        state.owner = Some(tx);
        state.link = hello.link;
        state.received = 0;
    }

    /// Handles one message of an owner. Ignores orders to another incarnation. Carries out no order
    /// of a superseded owner, but sends the newest epoch on the newest link.
    pub fn handle_message(self: &Arc<Self>, down: agent::Down) {
        let mut state = self.lock();
        let now = time::Instant::now();
        if down.link == state.link {
            state.received += 1;
        }
        // Orders to an incarnation before a restart must have no effect on this one.
        if down.incarnation != self.incarnation {
            return;
        }
        if down.epoch < state.ledger.epoch() {
            let newest = state.ledger.epoch();
            state.notify_owner(Notice::Stale(newest));
            return;
        }
        for order in down.orders {
            self.apply_order(&mut state, now, down.epoch, order);
        }
        self.start_waiting(&mut state);
    }

    fn apply_order(&self, state: &mut State, now: time::Instant, epoch: id::Epoch, order: Order) {
        match order {
            Order::Start(start) => state.accept_start(now, epoch, start),
            Order::Cancel(job) => self.cancel(state, now, epoch, &job),
            Order::Acknowledge(job) => {
                state.ledger.acknowledge(epoch, &job);
                self.changed.notify_waiters();
            }
            Order::Resolve(ids) => state.resolve(now, epoch, &ids),
            Order::Heartbeat => {}
        }
    }

    /// Closes a job, ends its running tasks and refuses its waiting ones.
    fn cancel(&self, state: &mut State, now: time::Instant, epoch: id::Epoch, job: &id::JobKey) {
        let started = state.ledger.cancel(now, epoch, job);
        for id in started {
            if let Some(running) = state.running.remove(&id) {
                // Aborting the exchange closes its connection, by which the backend server learns
                // of the cancellation.
                running.abort.abort();
                let outcome = task::Outcome::Failed(code::Code::Cancelled);
                let ran_us = now.saturating_duration_since(running.since).as_micros() as u64;
                state.ledger.finish(now, &id, outcome.clone(), ran_us);
                state.notify_owner(Notice::Answer(notice::Answer {
                    id,
                    outcome,
                    ran_us,
                }));
            } else {
                state.waiting.retain(|waiting| waiting.start.id != id);
                let attempt = state.ledger.revert_start(now, &id);
                state.notify_owner(Notice::Refused(attempt, code::Code::Burned));
            }
        }
        self.changed.notify_waiters();
    }

    /// Starts waiting tasks, the oldest first, while there are free slots.
    fn start_waiting(self: &Arc<Self>, state: &mut State) {
        let now = time::Instant::now();
        while state.running.len() < state.slots(now) as usize {
            let Some(waiting) = state.waiting.pop_front() else {
                return;
            };
            let Some(backend) = &state.backend else {
                return;
            };
            let addr = backend.announcement.addr.clone();
            let id = waiting.start.id.clone();
            let runner = self.clone();
            let handle = tokio::spawn(async move { runner.run_task(addr, waiting).await });
            let running = Running {
                abort: handle.abort_handle(),
                since: now,
            };
            state.running.insert(id, running);
        }
    }

    /// Runs one task at the backend server at `addr` (host and port) and records how it ended.
    async fn run_task(self: Arc<Self>, addr: CompactString, waiting: Waiting) {
        let Waiting { start, since } = waiting;
        let id = start.id.clone();
        let hops = Hops::begin(&start, since);
        let traceparent = hops.map(|hops| hops.traceparent());
        let input = match self.large_values.fetch_input(start.input).await {
            Ok(input) => input,
            Err(code) => {
                let outcome = task::Outcome::Failed(code);
                self.finish_task(&id, outcome, time::Duration::ZERO);
                return;
            }
        };
        self.messages.add(count::Kind::Backend, 2);
        let began = time::Instant::now();
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
        let run_time = began.elapsed();
        let outcome = self.large_values.store_answer(outcome).await;
        self.finish_task(&id, outcome, run_time);
    }

    /// Reports the end of a task to the owner and starts waiting ones. If the outcome says "not
    /// run", reverts the start, so that the task may run elsewhere.
    fn finish_task(
        self: &Arc<Self>,
        id: &task::Id,
        outcome: task::Outcome,
        run_time: time::Duration,
    ) {
        let mut state = self.lock();
        let now = time::Instant::now();
        if state.running.remove(id).is_none() {
            // It was cancelled in the meantime, and the owner has been notified of that.
            return;
        }
        let not_run = match &outcome {
            task::Outcome::Failed(code) => code.outcome() == code::Outcome::NotRun,
            task::Outcome::Done(_) => false,
        };
        if let (true, task::Outcome::Failed(code)) = (not_run, &outcome) {
            let attempt = state.ledger.revert_start(now, id);
            state.notify_owner(Notice::Refused(attempt, *code));
        } else {
            let ran_us = run_time.as_micros() as u64;
            state.ledger.finish(now, id, outcome.clone(), ran_us);
            state.notify_owner(Notice::Answer(notice::Answer {
                id: id.clone(),
                outcome,
                ran_us,
            }));
        }
        self.start_waiting(&mut state);
        self.changed.notify_waiters();
    }

    /// Handles an announcement of the backend server. Notifies the owner if it changes the load.
    pub fn handle_announcement(self: &Arc<Self>, announcement: backend::Announcement) {
        let mut state = self.lock();
        let now = time::Instant::now();
        let load_before = state.load(now);
        state.backend = Some(Backend {
            announcement,
            last_heard: now,
        });
        if state.load(now) != load_before {
            state.notify_owner(Notice::Heartbeat);
        }
        self.start_waiting(&mut state);
    }

    /// Returns one message for `link`: the notices, the current load, and the number of the owner's
    /// messages received on this link, which is 0 unless the link is the newest one.
    pub fn batch_notices(&self, link: id::Link, notices: Vec<Notice>) -> agent::Up {
        *self.last_sent.lock().expect("not poisoned") = time::Instant::now();
        let state = self.lock();
        let is_current = link == state.link;
        agent::Up {
            notices,
            load: state.load(time::Instant::now()),
            link,
            received: if is_current { state.received } else { 0 },
        }
    }

    /// Sends a heartbeat if no message was sent for [`agent::HEARTBEAT`], refuses waiting starts if
    /// there are no slots, and removes expired records and answers every [`SWEEP_INTERVAL`].
    pub fn tick(&self) {
        let mut state = self.lock();
        let now = time::Instant::now();
        let mut last_sent = self.last_sent.lock().expect("not poisoned");
        if now.saturating_duration_since(*last_sent) >= agent::HEARTBEAT {
            // The next heartbeat is due a whole interval later, even if the link's writer is still
            // busy and has not built a message with this one.
            *last_sent = now;
            state.notify_owner(Notice::Heartbeat);
        }
        drop(last_sent);
        if state.slots(now) == 0 {
            state.refuse_waiting(now);
        }
        if now.saturating_duration_since(state.last_sweep) >= SWEEP_INTERVAL {
            state.last_sweep = now;
            state.ledger.forget_expired(now);
            self.large_values.remove_expired(now);
        }
    }

    /// Refuses waiting and new starts from now on, and notifies the owner of it.
    pub fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.refuse_waiting(time::Instant::now());
        state.notify_owner(Notice::Heartbeat);
    }

    /// Waits until no task runs or waits for a slot.
    pub async fn wait_until_idle(&self) {
        self.wait_until(|state| state.running.is_empty() && state.waiting.is_empty())
            .await;
    }

    /// Waits until the ledger keeps no answers, for `limit` at most, and returns whether it keeps
    /// none. An owner acknowledges an answer once its claim is in the table. An answer that was
    /// dropped because of [`ledger::MAX_KEPT_BYTES`] counts as acknowledged.
    pub async fn wait_until_acknowledged(&self, limit: time::Duration) -> bool {
        let done = self.wait_until(|state| state.ledger.kept_bytes() == 0);
        tokio::time::timeout(limit, done).await.is_ok()
    }

    /// Returns whether this incarnation has a record of any task that it started.
    pub fn has_started_tasks(&self) -> bool {
        let tasks = self.lock().ledger.task_states();
        let started = |(_, task_state): &(_, _)| *task_state != ledger::TaskState::Withdrawn;
        tasks.iter().any(started)
    }

    /// Returns the agent's metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let (load, kept) = {
            let state = self.lock();
            (state.load(time::Instant::now()), state.ledger.kept_bytes())
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

    /// Aborts all running tasks, drops waiting ones and closes the owner's link, without notifying
    /// the owner.
    pub fn abort(&self) {
        let mut state = self.lock();
        for running in state.running.values() {
            running.abort.abort();
        }
        state.running.clear();
        state.waiting.clear();
        state.owner = None;
    }

    /// Waits until `condition` returns true; checks it whenever `changed` is notified.
    async fn wait_until(&self, condition: impl Fn(&State) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(&self.lock()) {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }
}
