//! Keeps the list of agents that the entry may link to, and opens links beyond the base for work that has no
//! room there; see [`subset`](crate::decide::besteffort::subset).
//!
//! In a burst in one failure domain, at an entry with many times the callers of others, and for work that
//! suits only a few backend servers, the entry so finds room that exists anywhere within some tens of
//! milliseconds.

use std::time;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::job::{Job, JobNo, Submission};
use crate::decide::besteffort::message::Crash;
use crate::decide::besteffort::subset::{LinkChange, ListedAgent};
use crate::id;

/// How often unused links are looked for; short against the time after which a link counts as unused.
const REVIEW_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A job that waits for links to agents that suit it.
#[derive(Debug)]
pub(super) struct Parked {
    no: JobNo,
    /// The agents whose links were opening when the job arrived.
    opening: Vec<id::AgentId>,
    /// Until when the job waits for them at most.
    until: time::Duration,
}

/// The state of opening links to agents beyond the base while work waits.
#[derive(Debug, Default)]
pub(super) struct ExtraLinks {
    /// Whether work that isn't late waited when [`Board::open_extra_links`] last looked.
    is_waiting: bool,
    /// When links to more agents may be opened next.
    next_at: time::Duration,
    /// Whether the agents of the latest extra links took less than one task each.
    had_no_room: bool,
    /// The agents of the latest extra links.
    opened: Vec<id::AgentId>,
    /// When the room of these agents is assessed even if some links are still opening.
    judge_at: time::Duration,
}

fn suits(submission: &Submission, listed: &ListedAgent) -> bool {
    let has_label = |label| listed.labels.contains(label);
    listed.service == submission.service
        && submission.required_label.as_ref().is_none_or(has_label)
        && listed.size.fits(&submission.need)
}

impl Board {
    /// Records that the platform lists an agent, or that its listing has changed.
    pub fn list_agent(&mut self, listed: ListedAgent) {
        let change = self.subset.list_agent(listed);
        self.push_link_changes(change);
        self.review_at = time::Duration::ZERO;
    }

    /// Records that the platform no longer lists an agent.
    pub fn unlist_agent(&mut self, agent: &str) {
        let change = self.subset.unlist_agent(agent);
        self.paces.forget(agent);
        self.push_link_changes(change);
        self.review_at = time::Duration::ZERO;
    }

    /// Records that no link to an agent could be opened.
    pub fn agent_unreachable(&mut self, now: time::Duration, agent: &str) {
        self.subset.link_down(now, agent);
        self.resume_parked_jobs(now);
    }

    /// Records a crash that this entry has learned of otherwise than over a link to the agent.
    pub fn crash_reported(
        &mut self,
        now: time::Duration,
        agent: &str,
        incarnation: id::Incarnation,
        crash: &Crash,
    ) {
        self.crashes.record(now, agent, incarnation, crash);
        self.fail_crashing_jobs(now, std::slice::from_ref(crash));
    }

    /// Opens the links that are wanted, and closes those that aren't.
    pub(super) fn review_links(&mut self, now: time::Duration) {
        if now < self.review_at {
            return;
        }
        self.review_at = now + REVIEW_INTERVAL;
        let agents = &self.agents;
        let is_used =
            |agent: &id::AgentId| agents.get(agent).is_some_and(|view| view.run_count > 0);
        let changes = self.subset.review_links(now, is_used);
        self.push_link_changes(changes);
    }

    /// Opens links to more agents that suit the waiting work while none of the linked ones has room for it.
    /// Where the latest extra links have taken less than one task each, the room is used up everywhere: more
    /// links would only make more entries compete for each place that becomes free.
    pub(super) fn open_extra_links(&mut self, now: time::Duration) {
        let waiting = self.queue.first().and_then(|key| self.jobs.get(&key.2));
        let Some(job) = waiting.filter(|job| !job.is_late()) else {
            self.extra_links.is_waiting = false;
            self.extra_links.opened.clear();
            return;
        };
        let policy = self.policy.subset;
        if !self.extra_links.is_waiting {
            self.extra_links.is_waiting = true;
            self.extra_links.next_at = self.extra_links.next_at.max(now + policy.extra_pause);
        }
        if now < self.extra_links.next_at {
            return;
        }
        // An entry on a small VM takes a while to open links, and an agent that isn't linked yet shows
        // nothing about its room.
        let opening = |agent: &id::AgentId| self.subset.is_link_opening(agent);
        if now < self.extra_links.judge_at && self.extra_links.opened.iter().any(opening) {
            return;
        }
        let opened = std::mem::take(&mut self.extra_links.opened);
        let run_count =
            |agent: &id::AgentId| self.agents.get(agent).map_or(0, |view| view.run_count);
        self.extra_links.had_no_room =
            opened.iter().map(run_count).sum::<u32>() < opened.len() as u32;
        if self.extra_links.had_no_room {
            self.extra_links.next_at = now + policy.no_room_pause;
            return;
        }
        self.extra_links.next_at = now + policy.extra_pause;
        let (opening, changes) =
            self.subset
                .open_extra_links(now, policy.extra_at_once, |listed| {
                    suits(&job.submission, listed)
                });
        if !changes.is_empty() {
            log::debug!(job = job.submission.job.as_str(), links = changes.len(), queued = self.queue.len();
                "work waits for room; linking to more agents");
        }
        self.extra_links.opened = opening;
        self.extra_links.judge_at = now + policy.open_timeout;
        self.push_link_changes(changes);
    }

    /// Returns the factor by which the forecast multiplies the linked agents' room, since links to more
    /// agents can be opened; 1 while the latest extra links have shown that there is no more room.
    pub(super) fn reach_factor(&self, now: time::Duration) -> f64 {
        if self.extra_links.had_no_room && now < self.extra_links.next_at {
            1.0
        } else {
            self.subset.reach_factor()
        }
    }

    /// Opens links for a new job where no linked agent suits it, or where none near its data has room.
    /// Returns the agents whose links the job waits for.
    fn open_links_for(&mut self, now: time::Duration, job: &Job) -> Vec<id::AgentId> {
        let max = self.policy.subset.links_for_job;
        let submission = &job.submission;
        let has_any = self.large_enough_agents(job).next().is_some();
        let (opening, changes) = match &submission.near_label {
            Some(near) if !self.has_room_near(job, near) => {
                let is_near = |m: &ListedAgent| suits(submission, m) && m.labels.contains(near);
                self.subset.open_extra_links(now, max, is_near)
            }
            _ if !has_any => self
                .subset
                .open_extra_links(now, max, |m| suits(submission, m)),
            _ => return Vec::new(),
        };
        self.push_link_changes(changes);
        if !opening.is_empty() || has_any {
            return opening;
        }
        // No agent near the data is listed, and no linked agent suits the job.
        let (opening, changes) = self
            .subset
            .open_extra_links(now, max, |m| suits(submission, m));
        self.push_link_changes(changes);
        opening
    }

    fn has_room_near(&self, job: &Job, near: &str) -> bool {
        let mut near = self
            .large_enough_agents(job)
            .filter(|view| view.backend.labels.iter().any(|label| label == near));
        near.any(|view| view.free().fits(&job.submission.need))
    }

    /// Makes a new job wait for links to agents that suit it better than the linked ones. Returns false where
    /// there are none to wait for.
    pub(super) fn park_job(&mut self, now: time::Duration, no: JobNo, job: &Job) -> bool {
        let opening = self.open_links_for(now, job);
        if opening.is_empty() {
            return false;
        }
        log::debug!(job = job.submission.job.as_str(), links = opening.len(); "job waits for links");
        let until = now + self.policy.subset.max_link_wait;
        self.parked.push(Parked { no, opening, until });
        true
    }

    /// Whether a job waits for links.
    pub(super) fn is_parked(&self, no: JobNo) -> bool {
        self.parked.iter().any(|parked| parked.no == no)
    }

    /// Queues the parked jobs whose links are up, have failed or take too long.
    pub(super) fn resume_parked_jobs(&mut self, now: time::Duration) {
        let subset = &self.subset;
        let waits = |parked: &Parked| {
            now < parked.until
                && parked
                    .opening
                    .iter()
                    .any(|agent| subset.is_link_opening(agent))
        };
        let (waiting, resumed) = std::mem::take(&mut self.parked)
            .into_iter()
            .partition(waits);
        self.parked = waiting;
        for parked in resumed {
            self.queue_parked_job(now, parked.no);
        }
    }

    /// Returns the agents to which a link is wanted and has been missing for longer than `min_duration`.
    pub fn agents_unreachable_for(
        &self,
        now: time::Duration,
        min_duration: time::Duration,
    ) -> Vec<id::AgentId> {
        self.subset.agents_missing_for(now, min_duration)
    }

    /// Counts the listed agents, linked to or not.
    pub(super) fn listed_agents(&self) -> usize {
        self.subset.listed_agents()
    }

    fn push_link_changes(&mut self, changes: impl IntoIterator<Item = LinkChange>) {
        self.actions.extend(changes.into_iter().map(Action::Link));
    }
}
