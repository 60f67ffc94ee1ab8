//! What an entry knows of one agent: its backend server, the room there, and when it was last heard.

use std::collections::VecDeque;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::job::{LinkNo, LATE_PRIORITY};
use crate::decide::besteffort::message::{AgentMessage, Backend, Room};
use crate::decide::besteffort::policy;
use crate::decide::besteffort::recent_stops::RecentStops;
use crate::decide::besteffort::told;
use crate::id;

/// Lower bound of a run time in rates, in seconds; keeps rates finite.
const MIN_RUN_SECONDS: f64 = 0.001;

/// Most starts that are kept until the agent reports their room, so that agents that report none cost no
/// memory: more than any agent gets between two reports.
const MAX_UNREPORTED_STARTS: usize = 256;

/// An agent as one entry knows it.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent's id.
    pub agent: id::AgentId,
    policy: policy::Barring,
    /// Tells this incarnation of the agent from earlier ones.
    pub incarnation: id::Incarnation,
    /// The link to the agent; none while it is cut off.
    pub link: Option<LinkNo>,
    /// The failure domain of the agent and its backend server.
    pub failure_domain: CompactString,
    /// The backend server beside the agent, as last announced.
    pub backend: Backend,
    /// The most room that this incarnation of the backend server has had.
    pub largest_size: Room,
    /// When the agent's last message arrived, or its link came up.
    pub heard_at: time::Duration,
    /// Number of runs of this entry that were sent to the agent and haven't ended.
    pub run_count: u32,
    /// The stops that were lately sent on the present link.
    pub recent_stops: RecentStops,
    /// Number of entries that compete for the agent's room, this one included.
    pub competing_entries: u32,
    /// Free room as the agent last reported it, less lent room that the entry didn't use.
    free: Room,
    /// The part of `free` that the agent reserves for this entry until the entry's next message.
    lent: Room,
    /// Number of starts sent on the present link.
    starts_sent: u64,
    /// Starts that the agent hasn't read yet: their numbers on the link, and the room that each takes.
    unread_starts: VecDeque<(u64, Room)>,
    /// What the agent last reported of the load on its backend server, and when that arrived.
    demand: Option<(told::Demand, time::Duration)>,
    /// Starts that aren't part of `demand` yet: their numbers on the link, and the room that each frees per
    /// second, in thousandths of a core.
    unreported_starts: VecDeque<(u64, f64)>,
    /// Weight of past failures, each counted as 1 and reduced by every success.
    failures: f64,
    /// Until when the agent gets no work because its backend server failed runs.
    barred_until: time::Duration,
    /// How long the next bar lasts.
    next_bar: time::Duration,
    /// Until when the agent gets no work because it had no room for a start.
    avoid_until: time::Duration,
}

impl AgentView {
    /// Returns the view of an agent that has just connected.
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
            recent_stops: RecentStops::default(),
            competing_entries: 1,
            free: Room::default(),
            lent: Room::default(),
            starts_sent: 0,
            unread_starts: VecDeque::new(),
            demand: None,
            unreported_starts: VecDeque::new(),
            failures: 0.0,
            barred_until: time::Duration::ZERO,
            next_bar: policy.first_bar,
            avoid_until: time::Duration::ZERO,
        }
    }

    /// Records that a new link to the agent is up.
    pub fn link_opened(&mut self, link: LinkNo, now: time::Duration) {
        self.link = Some(link);
        self.heard_at = now;
        self.starts_sent = 0;
        self.unread_starts.clear();
        self.recent_stops.clear();
        self.demand = None;
        self.unreported_starts.clear();
    }

    /// Updates the room and the backend server from a message of the agent.
    pub fn update(&mut self, now: time::Duration, message: &AgentMessage) {
        self.heard_at = now;
        self.free = message.free;
        self.lent = message.lent;
        self.competing_entries = message.competing_entries.max(1);
        while self
            .unread_starts
            .front()
            .is_some_and(|(n, _)| *n <= message.starts_read)
        {
            self.unread_starts.pop_front();
        }
        if let Some(backend) = &message.backend {
            if backend.incarnation != self.backend.incarnation {
                self.clear_failures();
                self.largest_size = Room::default();
            }
            self.largest_size = self.largest_size.max(&backend.size);
            self.backend = backend.clone();
        }
        self.update_demand(now, message);
    }

    fn update_demand(&mut self, now: time::Duration, message: &AgentMessage) {
        if let Some(demand) = &message.demand {
            self.demand = Some((demand.clone(), now));
        } else if self.is_idle() {
            self.demand = None;
        } else {
            return;
        }
        let is_reported = |(number, _): &(u64, f64)| *number <= message.starts_read;
        while self.unreported_starts.front().is_some_and(is_reported) {
            self.unreported_starts.pop_front();
        }
    }

    /// Whether the backend server was idle when the agent last reported its room.
    fn is_idle(&self) -> bool {
        !self.backend.size.is_empty() && self.free == self.backend.size
    }

    /// Returns what the agent reported of its load, and its age. An agent that reports none while its backend
    /// server is idle has nothing to report; it is none where a report is missing or older than `max_age`.
    pub fn demand(
        &self,
        now: time::Duration,
        max_age: time::Duration,
    ) -> Option<(&[told::ClassDemand], time::Duration)> {
        let (classes, at) = match &self.demand {
            Some((demand, at)) => (demand.classes.as_slice(), *at),
            None if self.is_idle() => (&[][..], self.heard_at),
            None => return None,
        };
        let age = now.saturating_sub(at);
        (age <= max_age).then_some((classes, age))
    }

    /// Whether work that can still be in time waits for the agent at other entries, by a report that is at most
    /// `max_age` old.
    pub fn is_wanted_in_time(&self, now: time::Duration, max_age: time::Duration) -> bool {
        let rows = self.demand(now, max_age).map_or(&[][..], |(rows, _)| rows);
        let mut in_time = rows.iter().filter(|row| row.priority < LATE_PRIORITY);
        in_time.any(|row| row.others_cpu > 0)
    }

    /// Returns the room that becomes free there per second, in thousandths of a core: by the agent's report,
    /// and by the starts that aren't part of it.
    pub fn frees_per_s(&self) -> f64 {
        let reported = self.demand.as_ref().map_or(0, |(d, _)| d.frees_per_s);
        let unreported = self.unreported_starts.iter().map(|(_, rate)| rate);
        reported as f64 + unreported.sum::<f64>()
    }

    /// Counts a start that was sent to the agent, with its expected run time.
    pub fn start_sent(&mut self, need: Room, run_time: time::Duration) {
        self.starts_sent += 1;
        self.run_count += 1;
        if self.lent.fits(&need) {
            self.lent = self.lent.minus(&need);
        }
        self.unread_starts.push_back((self.starts_sent, need));
        let rate = need.cpu as f64 / run_time.as_secs_f64().max(MIN_RUN_SECONDS);
        self.unreported_starts.push_back((self.starts_sent, rate));
        if self.unreported_starts.len() > MAX_UNREPORTED_STARTS {
            self.unreported_starts.pop_front();
        }
    }

    /// Stops counting on room that the agent reserved for this entry and that no start has used: the agent
    /// gives it to others on the entry's next message. When the room was counted any longer, three of four
    /// starts in a burst reached an agent that had given it away.
    pub fn return_lent_room(&mut self) {
        self.free = self.free.minus(&self.lent);
        self.lent = Room::default();
    }

    /// Counts runs of this entry that the agent no longer has.
    pub fn runs_ended(&mut self, runs: u32) {
        self.run_count = self.run_count.saturating_sub(runs);
    }

    /// Returns the agent's free room, less the room of starts that the agent hasn't read yet.
    pub fn free(&self) -> Room {
        let unread = self.unread_starts.iter();
        unread.fold(self.free, |free, (_, need)| free.minus(need))
    }

    /// Whether a task may be sent to the agent now.
    pub fn accepts_tasks(&self, now: time::Duration) -> bool {
        let is_on_trial = self.failures >= self.policy.barred_from && self.run_count > 0;
        self.link.is_some()
            && self.backend.takes_work
            && now >= self.barred_until
            && now >= self.avoid_until
            && !is_on_trial
    }

    /// Whether the agent is linked and its backend server accepts work, even if the agent is barred.
    pub fn is_in_service(&self) -> bool {
        self.link.is_some() && self.backend.takes_work
    }

    /// Counts a run that failed or that the backend server rejected. Returns whether the agent is barred now.
    pub fn run_failed(&mut self, now: time::Duration) -> bool {
        self.failures += 1.0;
        if self.failures < self.policy.barred_from {
            return false;
        }
        self.barred_until = now + self.next_bar;
        self.next_bar = (self.next_bar * 2).min(self.policy.longest_bar);
        true
    }

    /// Counts a run whose task is done.
    pub fn run_done(&mut self) {
        self.failures *= self.policy.success_factor;
        if self.failures < self.policy.sound_below {
            self.clear_failures();
        }
    }

    /// Forgets all failures of the agent, and lifts the bar.
    fn clear_failures(&mut self) {
        self.failures = 0.0;
        self.next_bar = self.policy.first_bar;
        self.barred_until = time::Duration::ZERO;
    }

    /// Records that the agent returned a start, and sends it no more for `no_room_pause`.
    pub fn had_no_room(&mut self, now: time::Duration) {
        self.avoid_until = now + self.policy.no_room_pause;
    }
}
