//! The state of an agent: its ledger, the tasks that run or wait for a slot, its backend server and
//! the link of its cell's owner.

use std::collections::{HashMap, VecDeque};
use std::time;

use tokio::task::AbortHandle;

use crate::code;
use crate::decide::ledger::{self, Ledger};
use crate::decide::notice::{self, Notice};
use crate::decide::order;
use crate::id;
use crate::task;
use crate::wire::backend;
use crate::wire::link;

/// Time without an announcement after which the agent sends its backend server no more tasks.
const MAX_BACKEND_SILENCE: time::Duration = time::Duration::from_secs(2);

/// The state that a [`Runner`](crate::agent::runner::Runner) keeps behind its lock.
pub struct State {
    /// Records which tasks were started or withdrawn, and keeps the answers that the owner hasn't
    /// acknowledged.
    pub ledger: Ledger,
    /// The backend server; none until it has announced itself.
    pub backend: Option<Backend>,
    /// Tasks that have a slot and have not ended.
    pub running: HashMap<task::Id, Running>,
    /// Accepted starts that wait for a slot, the oldest first.
    pub waiting: VecDeque<Waiting>,
    /// Sends notices on the owner's newest link; none before the first hello and after a failed
    /// send.
    pub owner: Option<link::Sender<Notice>>,
    /// The number of the owner's newest link, from its hello; 0 before the first one.
    pub link: id::Link,
    /// Number of the owner's messages received on that link.
    pub received: u64,
    /// When expired records and stored answers were last removed.
    pub last_sweep: time::Instant,
    /// True once the agent is stopping and refuses every start.
    pub draining: bool,
}

/// What the agent knows of its backend server.
pub struct Backend {
    /// The newest announcement.
    pub announcement: backend::Announcement,
    /// When that announcement was received.
    pub last_heard: time::Instant,
}

/// A start that waits for a slot.
pub struct Waiting {
    /// The owner's order.
    pub start: order::Start,
    /// When the start was accepted.
    pub since: time::Instant,
}

/// A task that has a slot and has not ended.
pub struct Running {
    /// Aborts the task's run, including its exchange with the backend server.
    pub abort: AbortHandle,
    /// When the task got its slot.
    pub since: time::Instant,
}

impl State {
    /// Returns the state of an agent that has just started, without a backend server or an owner.
    pub fn open(now: time::Instant) -> State {
        State {
            ledger: Ledger::default(),
            backend: None,
            running: HashMap::new(),
            waiting: VecDeque::new(),
            owner: None,
            link: 0,
            received: 0,
            last_sweep: now,
            draining: false,
        }
    }

    /// Sends a notice to the owner; drops it if there is no link.
    pub fn notify_owner(&mut self, notice: Notice) {
        if let Some(owner) = &self.owner {
            if owner.send(notice).is_err() {
                // The link has ended. Once there is a new one, the owner asks for the states of its
                // tasks with [`order::Order::Resolve`].
                self.owner = None;
            }
        }
    }

    /// Queues a start for a slot, or refuses it. Does nothing if the task was already started.
    pub fn accept_start(&mut self, now: time::Instant, epoch: id::Epoch, start: order::Start) {
        if self.draining || self.slots(now) == 0 {
            let number = (epoch, start.attempt);
            if self.ledger.withdraw(now, &start.id, number) {
                self.notify_owner(Notice::Refused(start.attempt(), code::Code::NotJoined));
            }
            return;
        }
        match self.ledger.start(now, epoch, &start.id, start.attempt) {
            ledger::StartDecision::Run => self.waiting.push_back(Waiting { start, since: now }),
            ledger::StartDecision::Duplicate => {}
            ledger::StartDecision::Refuse(code) => {
                self.notify_owner(Notice::Refused(start.attempt(), code));
            }
        }
    }

    /// Refuses all waiting starts, which can't run here any more, so that the owner may send them
    /// to other agents.
    pub fn refuse_waiting(&mut self, now: time::Instant) {
        for Waiting { start, .. } in std::mem::take(&mut self.waiting) {
            let attempt = self.ledger.revert_start(now, &start.id);
            self.notify_owner(Notice::Refused(attempt, code::Code::NotJoined));
        }
    }

    /// Answers an owner that doesn't know whether its attempts were started: sends the kept answer
    /// of each task, or its state if there is none. Starts that haven't arrived yet are withdrawn.
    pub fn resolve(&mut self, now: time::Instant, epoch: id::Epoch, attempts: &[order::Attempt]) {
        for (attempt, task_state) in self.ledger.resolve(now, epoch, attempts) {
            if let Some((outcome, ran_us)) = self.ledger.answer(&attempt.id) {
                self.notify_owner(Notice::Answer(notice::Answer {
                    id: attempt.id,
                    outcome,
                    ran_us,
                }));
            } else {
                self.notify_owner(Notice::Standing(attempt, task_state));
            }
        }
    }

    /// Returns the number of tasks that may run at a time: the announced slots, but no more than the
    /// announced connections. It is 0 if the agent has not joined its cell, or if the backend server
    /// is leaving, has been silent for longer than [`MAX_BACKEND_SILENCE`] or has never announced
    /// itself.
    pub fn slots(&self, now: time::Instant) -> u32 {
        // An agent that has not joined its cell must refuse every start, so it offers no slots.
        if !self.ledger.is_joined() {
            return 0;
        }
        match &self.backend {
            Some(backend) if backend.announcement.leaving => 0,
            Some(backend)
                if now.saturating_duration_since(backend.last_heard) > MAX_BACKEND_SILENCE =>
            {
                0
            }
            Some(backend) => backend
                .announcement
                .slots
                .min(backend.announcement.connections),
            None => 0,
        }
    }

    /// Returns the load that every message to the owner carries.
    pub fn load(&self, now: time::Instant) -> notice::Load {
        let capacity = self
            .backend
            .as_ref()
            .map(|backend| backend.announcement.capacity);
        notice::Load {
            slots: self.slots(now),
            capacity: capacity.unwrap_or_default(),
            running: self.running.len() as u32,
            draining: self.draining,
        }
    }
}
