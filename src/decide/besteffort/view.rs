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
    pub incarnation: id::Incarnation,
    /// Its link; none while it is cut off.
    pub link: Option<LinkNo>,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The backend server beside it.
    pub backend: Backend,
    /// The most room that this life of the backend server has had.
    pub largest_size: Room,
    /// When it was heard last.
    pub heard_at: time::Duration,
    /// Runs of ours that it has.
    pub run_count: u32,
    /// How many entries compete for its room, this one included.
    pub competing_entries: u32,
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
        incarnation: id::Incarnation,
        now: time::Duration,
    ) -> AgentView {
        AgentView {
            agent,
            policy,
            incarnation,
            link: None,
            failure_domain: CompactString::default(),
            backend: Backend::default(),
            largest_size: Room::default(),
            heard_at: now,
            run_count: 0,
            competing_entries: 1,
            free: Room::default(),
            lent: Room::default(),
            sent: 0,
            unread: VecDeque::new(),
            failures: 0.0,
            barred_until: time::Duration::ZERO,
            bar: policy.first_bar,
            avoid_until: time::Duration::ZERO,
        }
    }

    /// Begins a new link.
    pub fn link_opened(&mut self, link: LinkNo, now: time::Duration) {
        self.link = Some(link);
        self.heard_at = now;
        self.sent = 0;
        self.unread.clear();
    }

    /// Takes in what the agent says of its room.
    pub fn update(&mut self, now: time::Duration, line: &AgentMessage) {
        self.heard_at = now;
        self.free = line.free;
        self.lent = line.lent;
        self.competing_entries = line.sharers.max(1);
        while self
            .unread
            .front()
            .is_some_and(|(n, _)| *n <= line.starts_read)
        {
            self.unread.pop_front();
        }
        if let Some(backend) = &line.backend {
            if backend.incarnation != self.backend.incarnation {
                self.clear_failures();
                self.largest_size = Room::default();
            }
            self.largest_size = self.largest_size.max(&backend.size);
            self.backend = backend.clone();
        }
    }

    /// Counts a start that was sent.
    pub fn start_sent(&mut self, need: Room) {
        self.sent += 1;
        self.run_count += 1;
        if self.lent.fits(&need) {
            self.lent = self.lent.minus(&need);
        }
        self.unread.push_back((self.sent, need));
    }

    /// What the agent keeps for us and we don't use goes to others with our next line. Counted on any
    /// longer, three of four starts in a burst met a worker that had given the room away.
    pub fn return_lent_room(&mut self) {
        self.free = self.free.minus(&self.lent);
        self.lent = Room::default();
    }

    /// Counts runs of ours that it has no more.
    pub fn runs_ended(&mut self, runs: u32) {
        self.run_count = self.run_count.saturating_sub(runs);
    }

    /// Room that is left, less what the agent hasn't read yet.
    pub fn free(&self) -> Room {
        let unread = self.unread.iter();
        unread.fold(self.free, |free, (_, need)| free.minus(need))
    }

    /// Whether a task may be sent now.
    pub fn accepts_tasks(&self, now: time::Duration) -> bool {
        let risked = self.failures >= self.policy.barred_from && self.run_count > 0;
        self.link.is_some()
            && self.backend.takes_work
            && now >= self.barred_until
            && now >= self.avoid_until
            && !risked
    }

    /// Whether it is there at all, sick or not.
    pub fn is_in_service(&self) -> bool {
        self.link.is_some() && self.backend.takes_work
    }

    /// A run failed, or the backend server turned it away. Returns whether the agent is barred now.
    pub fn run_failed(&mut self, now: time::Duration) -> bool {
        self.failures += 1.0;
        if self.failures < self.policy.barred_from {
            return false;
        }
        self.barred_until = now + self.bar;
        self.bar = (self.bar * 2).min(self.policy.longest_bar);
        true
    }

    /// A run was done.
    pub fn run_done(&mut self) {
        self.failures *= self.policy.success_factor;
        if self.failures < self.policy.sound_below {
            self.clear_failures();
        }
    }

    /// Nothing speaks against the agent any more.
    fn clear_failures(&mut self) {
        self.failures = 0.0;
        self.bar = self.policy.first_bar;
        self.barred_until = time::Duration::ZERO;
    }

    /// The agent had no room for a start.
    pub fn had_no_room(&mut self, now: time::Duration) {
        self.avoid_until = now + self.policy.no_room_pause;
    }
}
