//! What an agent holds: the ledger, what runs and waits for a slot, and its owner's link.

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

/// Silence of a backend server after which nothing new is sent to it.
const BACKEND_SILENCE: time::Duration = time::Duration::from_secs(2);

/// The state of an agent, for its [`Work`](crate::agent::runner::Work).
pub struct Held {
    /// What it may start, and the answers that its owner has not acknowledged.
    pub ledger: Ledger,
    /// The backend server beside it, once it has announced itself.
    pub backend: Option<Backend>,
    /// What runs.
    pub running: HashMap<task::Id, Running>,
    /// Starts that wait for a slot, the oldest first.
    pub waiting: VecDeque<Waiting>,
    /// The way to its owner; none while there is no link.
    pub owner: Option<link::Sender<Notice>>,
    /// The owner's link.
    pub link: id::Link,
    /// How many messages of the link have come.
    pub received: u64,
    /// When old answers were last forgotten.
    pub swept: time::Instant,
    /// Whether it takes nothing new.
    pub draining: bool,
}

/// The backend server as it last announced itself.
pub struct Backend {
    /// What it said.
    pub announcement: backend::Announcement,
    /// When it said so.
    pub heard: time::Instant,
}

/// A start that waits for a slot.
pub struct Waiting {
    /// The start.
    pub start: order::Start,
    /// Since when.
    pub since: time::Instant,
}

/// A task that runs.
pub struct Running {
    /// Ends it.
    pub abort: AbortHandle,
    /// Since when.
    pub since: time::Instant,
}

impl Held {
    /// Opens the state of an agent that has neither backend server nor owner.
    pub fn open(now: time::Instant) -> Held {
        Held {
            ledger: Ledger::default(),
            backend: None,
            running: HashMap::new(),
            waiting: VecDeque::new(),
            owner: None,
            link: 0,
            received: 0,
            swept: now,
            draining: false,
        }
    }

    /// Says something to the owner, if there is one.
    pub fn tell(&mut self, notice: Notice) {
        if let Some(owner) = &self.owner {
            if owner.send(notice).is_err() {
                // The link is gone; the owner asks by key once it is back.
                self.owner = None;
            }
        }
    }

    /// Takes a start, or refuses it.
    pub fn accept(&mut self, now: time::Instant, epoch: id::Epoch, start: order::Start) {
        if self.draining || self.slots(now) == 0 {
            let mark = (epoch, start.attempt);
            if self.ledger.withdraw(now, &start.id, mark) {
                self.tell(Notice::Refused(start.attempt(), code::Code::NotJoined));
            }
            return;
        }
        match self.ledger.start(now, epoch, &start.id, start.attempt) {
            ledger::StartDecision::Run => self.waiting.push_back(Waiting { start, since: now }),
            ledger::StartDecision::Duplicate => {}
            ledger::StartDecision::Refuse(code) => {
                self.tell(Notice::Refused(start.attempt(), code));
            }
        }
    }

    /// Gives back what waits here and can't be run here any more.
    pub fn give_back(&mut self, now: time::Instant) {
        for Waiting { start, .. } in std::mem::take(&mut self.waiting) {
            let attempt = self.ledger.revert_start(now, &start.id);
            self.tell(Notice::Refused(attempt, code::Code::NotJoined));
        }
    }

    /// Tells the owner how attempts stand that it has lost sight of.
    pub fn resolve(&mut self, now: time::Instant, epoch: id::Epoch, ids: &[order::Attempt]) {
        for (attempt, standing) in self.ledger.resolve(now, epoch, ids) {
            if let Some((outcome, ran_us)) = self.ledger.answer(&attempt.id) {
                self.tell(Notice::Answer(notice::Answer {
                    id: attempt.id,
                    outcome,
                    ran_us,
                }));
            } else {
                self.tell(Notice::Standing(attempt, standing));
            }
        }
    }

    /// Slots of the backend server; none once it has left, silently or not.
    pub fn slots(&self, now: time::Instant) -> u32 {
        // Before it has joined it may start nothing; to offer slots would only draw starts.
        if !self.ledger.is_joined() {
            return 0;
        }
        match &self.backend {
            Some(backend) if backend.announcement.leaving => 0,
            Some(backend) if now.saturating_duration_since(backend.heard) > BACKEND_SILENCE => 0,
            Some(backend) => backend
                .announcement
                .slots
                .min(backend.announcement.connections),
            None => 0,
        }
    }

    /// What the owner should know of the load.
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
