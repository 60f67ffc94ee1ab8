//! Where to: the agents of one cell, what each has free, and which one takes the next task.
//!
//! The owner is the only one that starts tasks on its cell's agents, so its own count of what it
//! sent is exact and no load has to be asked for. `docs/design/placement.md` compares this with
//! the baselines.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::decide::notice;
use crate::id;
use crate::task;

/// How an agent is chosen; the baselines stay runnable beside the chosen policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The agent with the most free slots.
    #[default]
    MostFree,
    /// Baseline: any agent with a free slot.
    Random,
    /// Baseline: the less loaded of two drawn at random.
    LeastOfTwo,
}

/// Whether an agent can be used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its link is up.
    Up,
    /// Its link is gone; nobody knows yet whether the agent is.
    Silent,
}

/// One agent as its owner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Agent {
    /// The life that the link belongs to.
    pub incarnation: id::Incarnation,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// Whether it can be used.
    pub state: State,
    /// When the state last changed.
    #[serde(skip)]
    pub since: time::Instant,
    /// What it last said of itself.
    pub load: notice::Load,
    /// Tasks that were sent and have no answer.
    pub sent: u32,
    /// What those take.
    pub taken: task::Needs,
}

impl Agent {
    /// Slots that are free.
    pub fn free(&self) -> u32 {
        if self.state != State::Up || self.load.draining {
            return 0;
        }
        self.load.slots.saturating_sub(self.sent)
    }

    /// What is left for the needs of tasks.
    fn left(&self) -> task::Needs {
        let mut left = self.load.capacity;
        left.sub(&self.taken);
        left
    }
}

/// The agents of one cell.
#[derive(Clone, Debug)]
pub struct Fleet {
    placement: Placement,
    agents: BTreeMap<id::AgentId, Agent>,
    /// Agents with free slots, by how many.
    free: BTreeSet<(u32, id::AgentId)>,
    free_slots: u32,
    rng: SmallRng,
}

impl Fleet {
    /// Opens an empty fleet; the seed serves the baselines that draw at random.
    pub fn open(placement: Placement, seed: u64) -> Fleet {
        Fleet {
            placement,
            agents: BTreeMap::new(),
            free: BTreeSet::new(),
            free_slots: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The agents by id.
    pub fn agents(&self) -> &BTreeMap<id::AgentId, Agent> {
        &self.agents
    }

    /// One agent.
    pub fn get(&self, id: &str) -> Option<&Agent> {
        self.agents.get(id)
    }

    /// Adds or replaces an agent.
    pub fn insert(&mut self, id: id::AgentId, agent: Agent) {
        self.remove(&id);
        let free = agent.free();
        self.agents.insert(id.clone(), agent);
        self.list(id, free);
    }

    /// Forgets an agent.
    pub fn remove(&mut self, id: &id::AgentId) -> Option<Agent> {
        let agent = self.agents.remove(id)?;
        self.unlist(id, agent.free());
        Some(agent)
    }

    /// Changes an agent and keeps the books right.
    pub fn update(&mut self, id: &id::AgentId, change: impl FnOnce(&mut Agent)) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let before = agent.free();
        change(agent);
        let after = agent.free();
        if before != after {
            self.unlist(id, before);
            self.list(id.clone(), after);
        }
    }

    /// Books a task on an agent.
    pub fn book(&mut self, id: &id::AgentId, needs: &task::Needs) {
        self.update(id, |agent| {
            agent.sent += 1;
            agent.taken.add(needs);
        });
    }

    /// Gives back what a task took.
    pub fn release(&mut self, id: &id::AgentId, needs: &task::Needs) {
        self.update(id, |agent| {
            agent.sent = agent.sent.saturating_sub(1);
            agent.taken.sub(needs);
        });
    }

    /// Free slots in all.
    pub fn free_slots(&self) -> u32 {
        self.free_slots
    }

    /// Slots in all, of agents that can be used.
    pub fn slots(&self) -> u32 {
        let usable = self
            .agents
            .values()
            .filter(|a| a.state == State::Up && !a.load.draining);
        usable.map(|a| a.load.slots).sum()
    }

    /// Tells whether some agent, once empty, could take a task.
    pub fn could_ever_run(&self, needs: &task::Needs) -> bool {
        self.agents
            .values()
            .any(|a| a.load.slots > 0 && needs.fit(&a.load.capacity))
    }

    /// Tells whether some agent has room for a task now.
    pub fn has_room(&self, needs: &task::Needs) -> bool {
        self.free.iter().any(|(_, id)| self.fits(id, needs))
    }

    /// Chooses the agent for a task, if one has room.
    pub fn choose(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        match self.placement {
            Placement::MostFree => self.most_free(needs),
            Placement::Random => self.draw(needs),
            Placement::LeastOfTwo => self.least_of_two(needs),
        }
    }

    fn most_free(&self, needs: &task::Needs) -> Option<id::AgentId> {
        let mut by_room = self.free.iter().rev();
        by_room
            .find(|(_, id)| self.fits(id, needs))
            .map(|(_, id)| id.clone())
    }

    fn draw(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let fitting: Vec<&id::AgentId> = self
            .free
            .iter()
            .map(|(_, id)| id)
            .filter(|id| self.fits(id, needs))
            .collect();
        if fitting.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..fitting.len());
        Some(fitting[at].clone())
    }

    fn least_of_two(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let a = self.draw(needs)?;
        let b = self.draw(needs)?;
        let less = if self.agents[&a].free() >= self.agents[&b].free() {
            a
        } else {
            b
        };
        Some(less)
    }

    fn fits(&self, id: &id::AgentId, needs: &task::Needs) -> bool {
        *needs == task::Needs::default() || needs.fit(&self.agents[id].left())
    }

    fn list(&mut self, id: id::AgentId, free: u32) {
        self.free_slots += free;
        if free > 0 {
            self.free.insert((free, id));
        }
    }

    fn unlist(&mut self, id: &id::AgentId, free: u32) {
        self.free_slots -= free;
        self.free.remove(&(free, id.clone()));
    }
}
