//! Chooses the agents that an entry asks for room when work waits.
//!
//! In a burst that exceeds the room of the backend servers, many entries have work waiting. If every entry
//! heard of each slot that becomes free, all would send a start to it at once, and the agent would return all
//! but one. So an entry asks a few agents, and an agent lends free room to one of the entries that asked.
//! The waiting work is part of every message that is sent anyway; only the first few agents get a message for
//! it alone.

use std::collections::BTreeMap;
use std::ops;
use std::time;

use crate::decide::besteffort::job::LinkNo;
use crate::decide::besteffort::message::WaitingWork;

/// Number of agents that are asked at a time.
const ASKED_AT_ONCE: usize = 6;

/// Pause before the next agents are asked while work still waits. It is longer than an exchange between
/// failure domains and one pass of a busy entry.
const ASK_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Returns the priority by which agents are asked for room. A turn of a class is as urgent as any work, so that agents
/// that were told of it needn't be told again of the work behind it.
pub fn asked_priority(work: &WaitingWork) -> u32 {
    if work.overdue {
        0
    } else {
        work.priority
    }
}

/// Records which waiting work this entry has announced to each agent.
#[derive(Debug, Default)]
pub struct RoomRequests {
    /// By link, the priority of the waiting work in the latest message to the agent.
    told_priorities: BTreeMap<LinkNo, u32>,
    /// The link that was asked last; the links after it are asked next.
    last_asked: LinkNo,
    /// When agents were last asked.
    asked_at: time::Duration,
}

impl RoomRequests {
    /// Records that a message was sent on a link, and the priority of the waiting work that it announced;
    /// none if nothing waited.
    pub fn message_sent(&mut self, link: LinkNo, priority: Option<u32>) {
        match priority {
            Some(priority) => self.told_priorities.insert(link, priority),
            None => self.told_priorities.remove(&link),
        };
    }

    /// Forgets a link that has ended.
    pub fn link_closed(&mut self, link: LinkNo) {
        self.told_priorities.remove(&link);
    }

    /// Returns the links on which to announce work of a priority at once. An agent that was told of less
    /// urgent work, or of none, doesn't know of it yet.
    pub fn links_to_ask<T>(
        &mut self,
        now: time::Duration,
        priority: u32,
        links: &BTreeMap<LinkNo, T>,
    ) -> Vec<LinkNo> {
        if now < self.asked_at + ASK_PAUSE {
            return Vec::new();
        }
        self.asked_at = now;
        let after = links.range((ops::Bound::Excluded(self.last_asked), ops::Bound::Unbounded));
        let around = after.chain(links.range(..=self.last_asked));
        let knows = |link: &LinkNo| {
            self.told_priorities
                .get(link)
                .is_some_and(|told| *told <= priority)
        };
        let due: Vec<LinkNo> = around
            .map(|(link, _)| *link)
            .filter(|link| !knows(link))
            .take(ASKED_AT_ONCE)
            .collect();
        self.last_asked = due.last().copied().unwrap_or(self.last_asked);
        due
    }
}
