//! Which agents an entry keeps links to.
//!
//! With a link from each entry to each agent, heartbeats grow with the product of both: at 183 entries and 800
//! agents a thin entry spends more than half of its processor on links that carry nothing. So an entry links to
//! a bounded part of the agents, mostly of its own failure domain, and reaches beyond it when work waits that the
//! part has no room for, or needs a label or a size that the part lacks. What it opened so is closed again when
//! it isn't used.
//!
//! The base is the first agents of an order that depends on the entry's name and on theirs only: each entry
//! has another one, an agent that comes or goes moves no other, and nothing has to be agreed upon.
//! `docs/design/subsets.md` has the ways that were weighed and their figures.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time;

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::decide::besteffort::message::Room;
use crate::decide::besteffort::policy;
use crate::id;

/// What is listed of an agent, for entries that have no link to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedAgent {
    /// Its name.
    pub agent: id::AgentId,
    /// Where it takes links.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The service of the backend server beside it.
    pub service: CompactString,
    /// Kind, rack and whatever else tasks may ask of that backend server.
    pub labels: Vec<CompactString>,
    /// Its room, were it idle.
    pub size: Room,
}

/// What an entry does about its links.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// Keep a link to an agent.
    Open(id::AgentId, SocketAddr),
    /// Close it and don't open it again.
    Close(id::AgentId),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// No link is wanted.
    Unwanted,
    /// A link was asked for and has neither come up nor failed.
    Opening,
    Up,
    /// There is no link, though one is wanted, since then.
    Missing(time::Duration),
}

#[derive(Debug)]
struct Known {
    member: ListedAgent,
    state: State,
    /// When it was last of use beyond the base; none for the others.
    extra_used_at: Option<time::Duration>,
}

/// The agents that an entry knows of, and which of them it links to.
#[derive(Debug)]
pub struct Subset {
    policy: policy::Subset,
    domain: CompactString,
    seed: u64,
    known: BTreeMap<id::AgentId, Known>,
    /// All agents, those to link to first.
    order: Vec<id::AgentId>,
    /// Whether agents have come or gone since `order` was reckoned.
    is_stale: bool,
    reach: f64,
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
            is_stale: false,
            reach: 1.0,
        }
    }

    /// Takes in what is listed of an agent. One with another address is linked anew.
    pub fn list_agent(&mut self, member: ListedAgent) -> Option<LinkChange> {
        let name = member.agent.clone();
        let old = self.known.get(&name).map(|known| {
            let moved = known.member.addr != member.addr && known.state != State::Unwanted;
            let stays = known.member.failure_domain == member.failure_domain;
            (moved, stays, known.state, known.extra_used_at)
        });
        let (moved, stays, state, extra_used_at) =
            old.unwrap_or((false, false, State::Unwanted, None));
        let known = Known {
            member,
            state: if moved { State::Unwanted } else { state },
            extra_used_at,
        };
        self.known.insert(name.clone(), known);
        self.is_stale |= !stays;
        moved.then_some(LinkChange::Close(name))
    }

    /// Takes in that an agent isn't listed any more. A link that is up proves more than a list: whoever took the row
    /// away may have been cut off from the agent, and what runs there would be lost with the link.
    pub fn unlist_agent(&mut self, agent: &str) -> Option<LinkChange> {
        let known = self.known.get(agent)?;
        if known.state == State::Up {
            return None;
        }
        let is_wanted = known.state != State::Unwanted;
        self.known.remove(agent);
        self.is_stale = true;
        is_wanted.then(|| LinkChange::Close(agent.into()))
    }

    /// The link to an agent is up.
    pub fn link_up(&mut self, agent: &str) {
        if let Some(known) = self.known.get_mut(agent) {
            known.state = State::Up;
        }
    }

    /// There is no link to an agent: it has ended, or couldn't be opened.
    pub fn link_down(&mut self, now: time::Duration, agent: &str) {
        if let Some(known) = self.known.get_mut(agent) {
            if matches!(known.state, State::Opening | State::Up) {
                known.state = State::Missing(now);
            }
        }
    }

    /// Whether a link to an agent is wanted; one to an agent that isn't listed is the agent's own.
    pub fn wants_link(&self, agent: &str) -> bool {
        let known = self.known.get(agent);
        known.is_none_or(|known| known.state != State::Unwanted)
    }

    /// The agents that have been missing for so long.
    pub fn agents_missing_for(
        &self,
        now: time::Duration,
        long: time::Duration,
    ) -> Vec<id::AgentId> {
        let missing = self.known.iter().filter(
            |(_, known)| matches!(known.state, State::Missing(since) if now.saturating_sub(since) > long),
        );
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// How many agents are listed.
    pub fn listed_agents(&self) -> usize {
        self.known.len()
    }

    /// Whether a link is on its way that may bring room.
    pub fn is_link_opening(&self, agent: &str) -> bool {
        let known = self.known.get(agent);
        known.is_some_and(|known| known.state == State::Opening)
    }

    /// How many times the linked agents there are with those that may be linked to next, as of the last change:
    /// what waits needn't be refused for want of room before these were asked.
    pub fn reach_factor(&self) -> f64 {
        self.reach
    }

    fn update_reach_factor(&mut self) {
        let up = self.known.values().filter(|k| k.state == State::Up).count();
        let apart = self
            .known
            .values()
            .filter(|k| matches!(k.state, State::Unwanted | State::Opening));
        let more = apart
            .count()
            .min(self.spare_extra_links())
            .min(self.policy.extra_at_once);
        self.reach = if up > 0 {
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

    /// Opens links to agents beyond the base that suit some work, the nearest first. Returns which are on their
    /// way, those of earlier calls included.
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
            if !suits(&known.member) {
                continue;
            }
            match known.state {
                State::Opening => opening.push(name.clone()),
                State::Unwanted if changes.len() < spare => {
                    known.state = State::Opening;
                    known.extra_used_at = Some(now);
                    opening.push(name.clone());
                    changes.push(LinkChange::Open(name.clone(), known.member.addr));
                }
                State::Unwanted | State::Missing(_) | State::Up => {}
            }
        }
        self.update_reach_factor();
        (opening, changes)
    }

    /// Opens what the base lacks and closes what nobody has used for a while. `is_used` tells of an agent
    /// whether it has work of this entry; its link stays.
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
                    changes.push(LinkChange::Open(name.clone(), known.member.addr));
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

    /// The first agents of the order. Those that have been missing for a while count no more: the next ones
    /// stand in for them, and they are tried as long as they are among the first.
    fn base(&self, now: time::Duration) -> BTreeSet<id::AgentId> {
        let mut base = BTreeSet::new();
        let mut there = 0;
        for name in &self.order {
            if there == self.policy.base_size || base.len() == 2 * self.policy.base_size {
                break;
            }
            let Some(known) = self.known.get(name) else {
                continue;
            };
            let is_missing = match known.state {
                State::Missing(since) => now.saturating_sub(since) >= self.policy.replaced_after,
                State::Unwanted | State::Opening | State::Up => false,
            };
            there += usize::from(!is_missing);
            base.insert(name.clone());
        }
        base
    }

    /// Brings the order up to date: of each failure domain the agents as drawn by this entry, some of its own and
    /// then one of another in turn, so that the loss of a whole domain or rack leaves agents of others.
    fn update_order(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let seed = self.seed;
        let draw = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let mut domains: BTreeMap<(bool, u64), Vec<(u64, &id::AgentId)>> = BTreeMap::new();
        for (name, known) in &self.known {
            let domain = &known.member.failure_domain;
            let key = (*domain != self.domain, draw(domain));
            domains.entry(key).or_default().push((draw(name), name));
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
        // The first of each other domain, then the second of each; the sort keeps the order of the domains.
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
