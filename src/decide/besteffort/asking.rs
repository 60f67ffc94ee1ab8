//! Which agents an entry asks for room when work waits.
//!
//! Answers bursts over the workers' room, with many entries and agents. Told of every slot that comes
//! free, all entries would send to it at once, and all but one start would come back; so an entry asks
//! a few agents, and an agent lends what comes free to one of those that asked. What waits rides on
//! every line that leaves anyway; only the first few agents get a line for it.

use std::collections::BTreeMap;
use std::ops;
use std::time;

use crate::decide::besteffort::job::LinkNo;

/// Agents that are asked at a time.
const AT_ONCE: usize = 6;

/// Pause before the next ones are asked while work still waits; longer than an exchange between
/// failure domains and the turn of a busy entry.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// What agents know of this entry's needs.
#[derive(Debug, Default)]
pub struct RoomRequests {
    /// Urgency of the work that an agent believes to wait here, by its link.
    told: BTreeMap<LinkNo, u32>,
    /// The link that was asked last; the next ones follow it.
    last: LinkNo,
    asked_at: time::Duration,
}

impl RoomRequests {
    /// A line leaves on a link, and says how urgent what waits is; none if nothing waits.
    pub fn message_sent(&mut self, link: LinkNo, priority: Option<u32>) {
        match priority {
            Some(priority) => self.told.insert(link, priority),
            None => self.told.remove(&link),
        };
    }

    /// A link is gone.
    pub fn link_closed(&mut self, link: LinkNo) {
        self.told.remove(&link);
    }

    /// Work of some urgency waits now: the links on which to say so at once. An agent that believes
    /// what waits to be less urgent doesn't know yet.
    pub fn links_to_ask<T>(
        &mut self,
        now: time::Duration,
        priority: u32,
        links: &BTreeMap<LinkNo, T>,
    ) -> Vec<LinkNo> {
        if now < self.asked_at + PAUSE {
            return Vec::new();
        }
        self.asked_at = now;
        let after = links.range((ops::Bound::Excluded(self.last), ops::Bound::Unbounded));
        let around = after.chain(links.range(..=self.last));
        let knows = |link: &LinkNo| self.told.get(link).is_some_and(|told| *told <= priority);
        let due: Vec<LinkNo> = around
            .map(|(link, _)| *link)
            .filter(|link| !knows(link))
            .take(AT_ONCE)
            .collect();
        self.last = due.last().copied().unwrap_or(self.last);
        due
    }
}
