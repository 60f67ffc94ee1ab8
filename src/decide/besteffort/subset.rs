//! Chooses the agents that an entry keeps links to.
//!
//! With a link from each entry to each agent, heartbeats grow with the product of both: at 183 entries and
//! 800 agents, an entry on a small VM spends more than half of its processor on links that carry nothing
//! else. So an entry links to a bounded number of agents, its base, mostly in its own failure domain. It
//! opens extra links when work waits for which the base has no room, or which requires a label or a size that
//! the base lacks. Extra links are closed again when they aren't used.
//!
//! The base is the first agents of an order that depends only on the names of the entry and of the agents.
//! Each entry has another order, an agent that comes or goes doesn't move the others, and the entries need no
//! agreement. `docs/design/subsets.md` compares the alternatives, with figures.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::decide::besteffort::message::Room;
use crate::decide::besteffort::policy;
use crate::id;

/// What the platform lists of an agent, for entries that have no link to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedAgent {
    /// The agent's id.
    pub agent: id::AgentId,
    /// The address at which the agent accepts links.
    pub addr: SocketAddr,
    /// The agent's failure domain.
    pub failure_domain: CompactString,
    /// The service of the backend server beside it.
    pub service: CompactString,
    /// Kind and rack of that backend server, and whatever else tasks may require.
    pub labels: Vec<CompactString>,
    /// Room of the backend server when idle.
    pub size: Room,
}

/// A change in the links that an entry keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// Keep a link to the agent at this address.
    Open(id::AgentId, SocketAddr),
    /// Close the link to the agent, and don't open it again.
    Close(id::AgentId),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// No link to the agent is wanted.
    Unwanted,
    /// A link was asked for, and has neither come up nor failed.
    Opening,
    /// The link is up.
    Up,
    /// A link is wanted, and there has been none since this time.
    Missing(time::Duration),
}

#[derive(Debug)]
struct KnownAgent {
    listed: ListedAgent,
    state: State,
    /// When an extra link to the agent was last used; none for agents of the base, and after an unused
    /// link was closed.
    extra_used_at: Option<time::Duration>,
}

/// The agents that an entry knows, and which of them it links to.
#[derive(Debug)]
pub struct Subset {
    policy: policy::Subset,
    domain: CompactString,
    seed: u64,
    known: BTreeMap<id::AgentId, KnownAgent>,
    /// All agents, those to link to first at the front.
    order: Vec<id::AgentId>,
    /// Whether agents were added, removed or moved to another failure domain since `order` was computed.
    is_order_stale: bool,
    /// See [`Subset::reach_factor`].
    reach_factor: f64,
}

impl Subset {
    /// Opens the subset of an entry in a failure domain that knows no agents.
    pub fn open(name: &str, domain: &str, policy: policy::Subset) -> Subset {
        Subset {
            policy,
            domain: domain.into(),
            seed: xxh3::xxh3_64(name.as_bytes()),
            known: BTreeMap::new(),
            order: Vec::new(),
            is_order_stale: false,
            reach_factor: 1.0,
        }
    }

    /// Records what the platform lists of an agent. Where its address has changed, the link is closed, and
    /// the next review may open it again.
    pub fn list_agent(&mut self, listed: ListedAgent) -> Option<LinkChange> {
        let name = listed.agent.clone();
        let old = self.known.get(&name).map(|known| {
            let has_moved = known.listed.addr != listed.addr && known.state != State::Unwanted;
            let keeps_domain = known.listed.failure_domain == listed.failure_domain;
            (has_moved, keeps_domain, known.state, known.extra_used_at)
        });
        let (has_moved, keeps_domain, state, extra_used_at) =
            old.unwrap_or((false, false, State::Unwanted, None));
        let known = KnownAgent {
            listed,
            state: if has_moved { State::Unwanted } else { state },
            extra_used_at,
        };
        self.known.insert(name.clone(), known);
        self.is_order_stale |= !keeps_domain;
        has_moved.then_some(LinkChange::Close(name))
    }

    /// Records that the platform no longer lists an agent. A link that is up is kept, since it proves more
    /// than the list: whoever removed the row may have been cut off from the agent, and closing the link
    /// would lose the runs there.
    pub fn unlist_agent(&mut self, agent: &str) -> Option<LinkChange> {
        let known = self.known.get(agent)?;
        if known.state == State::Up {
            return None;
        }
        let is_wanted = known.state != State::Unwanted;
        self.known.remove(agent);
        self.is_order_stale = true;
        is_wanted.then(|| LinkChange::Close(agent.into()))
    }

    /// Records that the link to an agent is up.
    pub fn link_up(&mut self, agent: &str) {
        if let Some(known) = self.known.get_mut(agent) {
            known.state = State::Up;
        }
    }

    /// Records that there is no link to an agent, because it has ended or couldn't be opened.
    pub fn link_down(&mut self, now: time::Duration, agent: &str) {
        if let Some(known) = self.known.get_mut(agent) {
            if matches!(known.state, State::Opening | State::Up) {
                known.state = State::Missing(now);
            }
        }
    }

    /// Whether a link to an agent is wanted. One to an agent that isn't listed wasn't opened by the subset,
    /// and counts as wanted.
    pub fn wants_link(&self, agent: &str) -> bool {
        let known = self.known.get(agent);
        known.is_none_or(|known| known.state != State::Unwanted)
    }

    /// Returns the agents whose wanted links have been missing for longer than `min_duration`.
    pub fn agents_missing_for(
        &self,
        now: time::Duration,
        min_duration: time::Duration,
    ) -> Vec<id::AgentId> {
        let missing = self.known.iter().filter(
            |(_, known)| matches!(known.state, State::Missing(since) if now.saturating_sub(since) > min_duration),
        );
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of agents that are listed, or still linked after they left the list.
    pub fn listed_agents(&self) -> usize {
        self.known.len()
    }

    /// Whether a link to an agent is being opened and may bring room.
    pub fn is_link_opening(&self, agent: &str) -> bool {
        let known = self.known.get(agent);
        known.is_some_and(|known| known.state == State::Opening)
    }

    /// Returns the number of linked agents plus those that may be linked to next, divided by the number of
    /// linked ones, as of the last review or extra link. Counting these agents keeps the entry from refusing
    /// work for lack of room before it has asked them.
    pub fn reach_factor(&self) -> f64 {
        self.reach_factor
    }

    fn update_reach_factor(&mut self) {
        let up = self.known.values().filter(|k| k.state == State::Up).count();
        let unlinked = self
            .known
            .values()
            .filter(|k| matches!(k.state, State::Unwanted | State::Opening));
        let more = unlinked
            .count()
            .min(self.spare_extra_links())
            .min(self.policy.extra_at_once);
        self.reach_factor = if up > 0 {
            (up + more) as f64 / up as f64
        } else {
            1.0
        };
    }

    fn spare_extra_links(&self) -> usize {
        let extra = self
            .known
            .values()
            .filter(|known| known.extra_used_at.is_some());
        self.policy.max_extra.saturating_sub(extra.count())
    }

    /// Opens links beyond the base to at most `most` agents that suit some work, the first of the order
    /// first. Returns the agents whose links are being opened, those of earlier calls included, and the
    /// changes.
    pub fn open_extra_links(
        &mut self,
        now: time::Duration,
        most: usize,
        suits: impl Fn(&ListedAgent) -> bool,
    ) -> (Vec<id::AgentId>, Vec<LinkChange>) {
        self.update_order();
        let spare = self.spare_extra_links();
        let (mut opening, mut changes) = (Vec::new(), Vec::new());
        for name in &self.order {
            if opening.len() >= most {
                break;
            }
            let Some(known) = self.known.get_mut(name) else {
                continue;
            };
            if !suits(&known.listed) {
                continue;
            }
            match known.state {
                State::Opening => opening.push(name.clone()),
                State::Unwanted if changes.len() < spare => {
                    known.state = State::Opening;
                    known.extra_used_at = Some(now);
                    opening.push(name.clone());
                    changes.push(LinkChange::Open(name.clone(), known.listed.addr));
                }
                State::Unwanted | State::Missing(_) | State::Up => {}
            }
        }
        self.update_reach_factor();
        (opening, changes)
    }

    /// Opens the links that the base lacks, and closes extra links that weren't used for a while. `is_used`
    /// tells whether an agent has work of this entry; its link stays.
    pub fn review_links(
        &mut self,
        now: time::Duration,
        is_used: impl Fn(&id::AgentId) -> bool,
    ) -> Vec<LinkChange> {
        self.update_order();
        let base = self.base(now);
        let mut changes = Vec::new();
        for (name, known) in &mut self.known {
            if base.contains(name) {
                known.extra_used_at = None;
                if known.state == State::Unwanted {
                    known.state = State::Opening;
                    changes.push(LinkChange::Open(name.clone(), known.listed.addr));
                }
                continue;
            }
            if known.state == State::Unwanted {
                continue;
            }
            let last = known.extra_used_at.get_or_insert(now);
            if is_used(name) {
                *last = now;
            } else if now.saturating_sub(*last) >= self.policy.unused_timeout {
                known.extra_used_at = None;
                known.state = State::Unwanted;
                changes.push(LinkChange::Close(name.clone()));
            }
        }
        self.update_reach_factor();
        changes
    }

    /// Returns the first agents of the order. Agents that have been missing for a while are replaced by the
    /// next ones, but their links are still tried while they are among the first.
    fn base(&self, now: time::Duration) -> BTreeSet<id::AgentId> {
        let mut base = BTreeSet::new();
        let mut present = 0;
        for name in &self.order {
            if present == self.policy.base_size || base.len() == 2 * self.policy.base_size {
                break;
            }
            let Some(known) = self.known.get(name) else {
                continue;
            };
            let is_missing = match known.state {
                State::Missing(since) => now.saturating_sub(since) >= self.policy.replaced_after,
                State::Unwanted | State::Opening | State::Up => false,
            };
            present += usize::from(!is_missing);
            base.insert(name.clone());
        }
        base
    }

    /// Updates the order: agents of the entry's own failure domain in the order of a hash that differs by
    /// entry, and after every few of them one of another domain. The other domains take turns, so that the
    /// loss of a whole domain or rack leaves agents of others.
    fn update_order(&mut self) {
        if !std::mem::take(&mut self.is_order_stale) {
            return;
        }
        let seed = self.seed;
        let hash = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let mut domains: BTreeMap<(bool, u64), Vec<(u64, &id::AgentId)>> = BTreeMap::new();
        for (name, known) in &self.known {
            let domain = &known.listed.failure_domain;
            let key = (*domain != self.domain, hash(domain));
            domains.entry(key).or_default().push((hash(name), name));
        }
        let mut own = Vec::new();
        let mut others = Vec::new();
        for ((is_other, _), mut agents) in domains {
            agents.sort_unstable();
            let ranked = agents.into_iter().enumerate();
            let named = ranked.map(|(rank, (_, name))| (rank, name));
            if is_other {
                others.extend(named);
            } else {
                own.extend(named);
            }
        }
        // The first of each other domain, then the second of each; the sort is stable and keeps the order of
        // the domains.
        others.sort_by(|(a, _), (b, _)| -> Ordering { a.cmp(b) });
        let mut others = others.into_iter().map(|(_, name)| name);
        let mut order = Vec::with_capacity(self.known.len());
        for (rank, name) in own {
            order.push(name.clone());
            if (rank + 1) % self.policy.own_per_other == 0 {
                order.extend(others.next().cloned());
            }
        }
        order.extend(others.cloned());
        self.order = order;
    }
}
