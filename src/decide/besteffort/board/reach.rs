//! Which agents the board may place work on: those that are listed, and links beyond the base for work that has no
//! room there.
//!
//! Answers a burst in one failure domain, an entry with many times the callers of others, and work that only a few
//! backend servers suit: room that exists anywhere is found within some tens of milliseconds.

use std::time;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::job::{Job, JobNo, Submission};
use crate::decide::besteffort::message::Crash;
use crate::decide::besteffort::subset::{LinkChange, ListedAgent};
use crate::id;

/// How often unused links are looked for; small against the time after which one counts as unused.
const REVIEW: time::Duration = time::Duration::from_millis(200);

/// A job that waits for links to agents that suit it.
#[derive(Debug)]
pub(super) struct Parked {
    no: JobNo,
    opening: Vec<id::AgentId>,
    until: time::Duration,
}

/// Links beyond the base for work that waits.
#[derive(Debug, Default)]
pub(super) struct Widening {
    /// Whether work waits.
    waits: bool,
    /// Until when no more agents are linked to.
    next: time::Duration,
    /// Whether the last ones had no room either.
    is_in_vain: bool,
    /// The agents that were linked to last.
    asked: Vec<id::AgentId>,
    /// By when these count as asked though they aren't up.
    judged_at: time::Duration,
}

fn suits(ask: &Submission, member: &ListedAgent) -> bool {
    let labelled = |label| member.labels.contains(label);
    member.service == ask.service
        && ask.requires.as_ref().is_none_or(labelled)
        && member.size.fits(&ask.need)
}

impl Board {
    /// An agent is listed, or is listed with other words than before.
    pub fn list(&mut self, member: ListedAgent) {
        let change = self.subset.list(member);
        self.apply(change);
        self.review_at = time::Duration::ZERO;
    }

    /// An agent isn't listed any more.
    pub fn unlist(&mut self, agent: &str) {
        let change = self.subset.unlist(agent);
        self.apply(change);
        self.review_at = time::Duration::ZERO;
    }

    /// No link to an agent could be opened.
    pub fn unreachable(&mut self, now: time::Duration, agent: &str) {
        self.subset.down(now, agent);
        self.unpark(now);
    }

    /// An agent has told of a crash, and not on a link to this entry.
    pub fn crash_elsewhere(
        &mut self,
        now: time::Duration,
        agent: &str,
        life: id::Incarnation,
        crash: &Crash,
    ) {
        self.crashes.hear(now, agent, life, crash);
        self.give_up_causes(now, std::slice::from_ref(crash));
    }

    /// Opens the links that are wanted, and closes those that aren't.
    pub(super) fn review_links(&mut self, now: time::Duration) {
        if now < self.review_at {
            return;
        }
        self.review_at = now + REVIEW;
        let agents = &self.agents;
        let is_used = |agent: &id::AgentId| agents.get(agent).is_some_and(|view| view.runs > 0);
        let changes = self.subset.review(now, is_used);
        self.apply(changes);
    }

    /// Work waits that none of the linked agents has room for: links to more of those that suit it. Where the last
    /// ones have taken less than a task each, the room is used up everywhere: more links would only have more entries
    /// compete for each place that comes free.
    pub(super) fn widen(&mut self, now: time::Duration) {
        let waiting = self.queue.first().and_then(|rank| self.jobs.get(&rank.2));
        let Some(job) = waiting.filter(|job| !job.is_late()) else {
            self.widening.waits = false;
            self.widening.asked.clear();
            return;
        };
        let policy = self.policy.subset;
        if !self.widening.waits {
            self.widening.waits = true;
            self.widening.next = self.widening.next.max(now + policy.pause);
        }
        if now < self.widening.next {
            return;
        }
        // A thin entry takes a while to open links; nothing is told by those that aren't up yet.
        let opening = |agent: &id::AgentId| self.subset.is_opening(agent);
        if now < self.widening.judged_at && self.widening.asked.iter().any(opening) {
            return;
        }
        let asked = std::mem::take(&mut self.widening.asked);
        let took = |agent: &id::AgentId| self.agents.get(agent).map_or(0, |view| view.runs);
        self.widening.is_in_vain = asked.iter().map(took).sum::<u32>() < asked.len() as u32;
        if self.widening.is_in_vain {
            self.widening.next = now + policy.in_vain;
            return;
        }
        self.widening.next = now + policy.pause;
        let (opening, changes) = self
            .subset
            .reach_out(now, policy.step, |member| suits(&job.ask, member));
        if !changes.is_empty() {
            log::debug!(job = job.ask.job.as_str(), links = changes.len(), queued = self.queue.len();
                "work waits for room; linking to more agents");
        }
        self.widening.asked = opening;
        self.widening.judged_at = now + policy.opens_within;
        self.apply(changes);
    }

    /// How many times the room of the linked agents work may count on that waits.
    pub(super) fn reach(&self, now: time::Duration) -> f64 {
        if self.widening.is_in_vain && now < self.widening.next {
            1.0
        } else {
            self.subset.reach()
        }
    }

    /// The agents that a new job had better wait for: no linked one suits it, or none near its data has room.
    fn sought(&mut self, now: time::Duration, job: &Job) -> Vec<id::AgentId> {
        let sought = self.policy.subset.sought;
        let ask = &job.ask;
        let has_any = self.holding(job).next().is_some();
        let (opening, changes) = match &ask.near {
            Some(near) if !self.has_room_near(job, near) => {
                let is_near = |m: &ListedAgent| suits(ask, m) && m.labels.contains(near);
                self.subset.reach_out(now, sought, is_near)
            }
            _ if !has_any => self.subset.reach_out(now, sought, |m| suits(ask, m)),
            _ => return Vec::new(),
        };
        self.apply(changes);
        if !opening.is_empty() || has_any {
            return opening;
        }
        // Nothing near is listed, and nothing else is linked.
        let (opening, changes) = self.subset.reach_out(now, sought, |m| suits(ask, m));
        self.apply(changes);
        opening
    }

    fn has_room_near(&self, job: &Job, near: &str) -> bool {
        let mut near = self
            .holding(job)
            .filter(|view| view.backend.labels.iter().any(|label| label == near));
        near.any(|view| view.free().fits(&job.ask.need))
    }

    /// Has a new job wait for agents that suit it better than the linked ones; false where there are none to wait
    /// for.
    pub(super) fn park(&mut self, now: time::Duration, no: JobNo, job: &Job) -> bool {
        let opening = self.sought(now, job);
        if opening.is_empty() {
            return false;
        }
        log::debug!(job = job.ask.job.as_str(), links = opening.len(); "job waits for links");
        let until = now + self.policy.subset.patience;
        self.parked.push(Parked { no, opening, until });
        true
    }

    /// Lets jobs go on whose links are up, have failed, or take too long.
    pub(super) fn unpark(&mut self, now: time::Duration) {
        let subset = &self.subset;
        let waits = |parked: &Parked| {
            now < parked.until && parked.opening.iter().any(|agent| subset.is_opening(agent))
        };
        let (waiting, over) = std::mem::take(&mut self.parked)
            .into_iter()
            .partition(waits);
        self.parked = waiting;
        for parked in over {
            self.enqueue(now, parked.no);
        }
    }

    /// Agents that are wanted and have been out of reach for so long.
    pub fn unreachable_for(&self, now: time::Duration, long: time::Duration) -> Vec<id::AgentId> {
        self.subset.missing_for(now, long)
    }

    /// Agents that are listed, linked to or not.
    pub(super) fn listed(&self) -> usize {
        self.subset.listed()
    }

    fn apply(&mut self, changes: impl IntoIterator<Item = LinkChange>) {
        self.actions.extend(changes.into_iter().map(Action::Link));
    }
}
