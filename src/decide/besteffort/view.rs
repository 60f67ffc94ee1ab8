//! What an entry knows of one agent: its backend server, the room there, and whether it is heard.

use std::collections::VecDeque;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::job::LinkNo;
use crate::decide::besteffort::message::{AgentMessage, Backend, Room};
use crate::decide::besteffort::policy;
use crate::id;

/// One agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// Its name.
    pub agent: id::AgentId,
    policy: policy::Barring,
    /// Which life of it.
    pub life: id::Incarnation,
    /// Its link; none while it is cut off.
    pub link: Option<LinkNo>,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The backend server beside it.
    pub backend: Backend,
    /// The most room that this life of the backend server has had.
    pub largest: Room,
    /// When it was heard last.
    pub heard: time::Duration,
    /// Runs of ours that it has.
    pub runs: u32,
    /// How many entries compete for its room, this one included.
    pub sharers: u32,
    free: Room,
    /// The part of it that the agent keeps for this entry until it answers.
    lent: Room,
    sent: u64,
    unread: VecDeque<(u64, Room)>,
    failures: f64,
    barred_until: time::Duration,
    bar: time::Duration,
    avoid_until: time::Duration,
}

impl AgentView {
    /// Opens the view of an agent that has just connected.
    pub fn open(
        policy: policy::Barring,
        agent: id::AgentId,
        life: id::Incarnation,
        now: time::Duration,
    ) -> AgentView {
        AgentView {
            agent,
            policy,
            life,
            link: None,
            failure_domain: CompactString::default(),
            backend: Backend::default(),
            largest: Room::default(),
            heard: now,
            runs: 0,
            sharers: 1,
            free: Room::default(),
            lent: Room::default(),
            sent: 0,
            unread: VecDeque::new(),
            failures: 0.0,
            barred_until: time::Duration::ZERO,
            bar: policy.first,
            avoid_until: time::Duration::ZERO,
        }
    }

    /// Begins a new link.
    pub fn linked(&mut self, link: LinkNo, now: time::Duration) {
        self.link = Some(link);
        self.heard = now;
        self.sent = 0;
        self.unread.clear();
    }

    /// Takes in what the agent says of its room.
    pub fn heard(&mut self, now: time::Duration, line: &AgentMessage) {
        self.heard = now;
        self.free = line.free;
        self.lent = line.lent;
        self.sharers = line.sharers.max(1);
        while self
            .unread
            .front()
            .is_some_and(|(n, _)| *n <= line.starts_read)
        {
            self.unread.pop_front();
        }
        if let Some(backend) = &line.backend {
            if backend.incarnation != self.backend.incarnation {
                self.recovered();
                self.largest = Room::default();
            }
            self.largest = self.largest.max(&backend.size);
            self.backend = backend.clone();
        }
    }

    /// Counts a start that was sent.
    pub fn sent(&mut self, need: Room) {
        self.sent += 1;
        self.runs += 1;
        if self.lent.fits(&need) {
            self.lent = self.lent.minus(&need);
        }
        self.unread.push_back((self.sent, need));
    }

    /// What the agent keeps for us and we don't use goes to others with our next line. Counted on any
    /// longer, three of four starts in a burst met a worker that had given the room away.
    pub fn give_back(&mut self) {
        self.free = self.free.minus(&self.lent);
        self.lent = Room::default();
    }

    /// Counts runs of ours that it has no more.
    pub fn ended(&mut self, runs: u32) {
        self.runs = self.runs.saturating_sub(runs);
    }

    /// Room that is left, less what the agent hasn't read yet.
    pub fn free(&self) -> Room {
        let unread = self.unread.iter();
        unread.fold(self.free, |free, (_, need)| free.minus(need))
    }

    /// Whether a task may be sent now.
    pub fn takes(&self, now: time::Duration) -> bool {
        let risked = self.failures >= self.policy.failing && self.runs > 0;
        self.link.is_some()
            && self.backend.takes_work
            && now >= self.barred_until
            && now >= self.avoid_until
            && !risked
    }

    /// Whether it is there at all, sick or not.
    pub fn is_there(&self) -> bool {
        self.link.is_some() && self.backend.takes_work
    }

    /// A run failed, or the backend server turned it away. Returns whether the agent is barred now.
    pub fn failed(&mut self, now: time::Duration) -> bool {
        self.failures += 1.0;
        if self.failures < self.policy.failing {
            return false;
        }
        self.barred_until = now + self.bar;
        self.bar = (self.bar * 2).min(self.policy.longest);
        true
    }

    /// A run was done.
    pub fn done(&mut self) {
        self.failures *= self.policy.forgives;
        if self.failures < self.policy.sound {
            self.recovered();
        }
    }

    /// Nothing speaks against the agent any more.
    fn recovered(&mut self) {
        self.failures = 0.0;
        self.bar = self.policy.first;
        self.barred_until = time::Duration::ZERO;
    }

    /// The agent had no room for a start.
    pub fn turned_away(&mut self, now: time::Duration) {
        self.avoid_until = now + self.policy.turned_away;
    }
}
