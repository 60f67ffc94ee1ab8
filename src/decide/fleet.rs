//! The agents of one cell: what each has free, and which one gets the next task.
//!
//! Only the owner starts tasks on its cell's agents, so its own count of the tasks that it sent is
//! exact, and it need not ask agents for their load. `docs/design/placement.md` compares the
//! default placement with the baselines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::decide::notice;
use crate::id;
use crate::task;

/// How an agent is chosen for a task. The baselines remain available for comparison with the
/// default.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The agent with the most free slots.
    #[default]
    MostFree,
    /// Baseline: any agent with a free slot.
    Random,
    /// Baseline: of two agents with a free slot, drawn at random, the one with more free slots.
    LeastOfTwo,
}

/// Largest number of distinct needs for which the fleet keeps an index of the agents with room.
const MAX_INDEXED_NEEDS: usize = 32;

/// How long the fleet remembers the capacity of a worker that has left.
pub const CAPACITY_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Number of distinct capacities from which on those that no agent had lately are dropped.
const MAX_CAPACITIES: usize = 1_000;

/// Whether an agent can be sent tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its link is up.
    Up,
    /// Its link has ended; the agent itself may still run.
    Silent,
}

/// One agent as the owner of its cell sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Agent {
    /// The incarnation of the agent to which the link belongs.
    pub incarnation: id::Incarnation,
    /// The agent's failure domain.
    pub failure_domain: CompactString,
    /// The agent's rack.
    pub rack: CompactString,
    /// Whether the agent can be sent tasks.
    pub state: State,
    /// When the state last changed.
    #[serde(skip)]
    pub since: time::Instant,
    /// The load that the agent last reported.
    pub load: notice::Load,
    /// Number of tasks that were sent to it and have no answer.
    pub sent: u32,
    /// Resources that those tasks take.
    pub taken: task::Needs,
    /// Number of tasks that its health allows at a time; left out of the status if there is no
    /// limit.
    #[serde(skip_serializing_if = "is_unlimited")]
    pub limit: u32,
}

fn is_unlimited(limit: &u32) -> bool {
    *limit == u32::MAX
}

impl Agent {
    /// Returns the number of slots that may be used and are free.
    pub fn free_slots(&self) -> u32 {
        self.usable_slots().saturating_sub(self.sent)
    }

    /// Returns the number of slots that may be used, free or not.
    fn usable_slots(&self) -> u32 {
        if self.state != State::Up || self.load.draining {
            return 0;
        }
        self.load.slots.min(self.limit)
    }

    /// Returns whether a task with these needs can start now.
    fn fits(&self, needs: &task::Needs) -> bool {
        self.free_slots() > 0 && (*needs == task::Needs::default() || needs.fit(&self.remaining()))
    }

    /// Returns the resources that no task takes.
    fn remaining(&self) -> task::Needs {
        let mut left = self.load.capacity;
        left.sub(&self.taken);
        left
    }
}

/// How many agents have a certain capacity, and when that number last changed.
#[derive(Clone, Copy, Debug)]
struct CapacityRecord {
    /// Number of agents that have it now.
    present: u32,
    /// When an agent last got or lost it.
    last_change: time::Instant,
}

/// What an agent contributes to the fleet's totals of slots; an update replaces it.
#[derive(Clone, Copy)]
struct SlotCounts {
    free: u32,
    slots: u32,
}

impl CapacityRecord {
    /// Returns whether an agent has the capacity now or had it less than [`CAPACITY_RETENTION`]
    /// ago, so that tasks that need it may wait.
    fn is_remembered(&self, now: time::Instant) -> bool {
        self.present > 0 || now.saturating_duration_since(self.last_change) < CAPACITY_RETENTION
    }
}

impl SlotCounts {
    fn of(agent: &Agent) -> SlotCounts {
        SlotCounts {
            free: agent.free_slots(),
            slots: agent.usable_slots(),
        }
    }
}

/// The agents of one cell.
#[derive(Clone, Debug)]
pub struct Fleet {
    placement: Placement,
    agents: BTreeMap<id::AgentId, Agent>,
    /// For each of the indexed needs, the agents that have room for a task with them, by free
    /// slots.
    agents_with_room: HashMap<task::Needs, BTreeSet<(u32, id::AgentId)>>,
    /// Silent agents, by the time at which their links ended.
    silent: BTreeSet<(time::Instant, id::AgentId)>,
    capacities: HashMap<task::Needs, CapacityRecord>,
    free_slots: u32,
    slots: u32,
    rng: SmallRng,
}

impl Fleet {
    /// Creates an empty fleet; the seed is for the baselines that choose at random.
    pub fn open(placement: Placement, seed: u64) -> Fleet {
        Fleet {
            placement,
            agents: BTreeMap::new(),
            agents_with_room: HashMap::from([(task::Needs::default(), BTreeSet::new())]),
            silent: BTreeSet::new(),
            capacities: HashMap::new(),
            free_slots: 0,
            slots: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the agents by id.
    pub fn agents(&self) -> &BTreeMap<id::AgentId, Agent> {
        &self.agents
    }

    /// Returns one agent, if it is known.
    pub fn get(&self, id: &str) -> Option<&Agent> {
        self.agents.get(id)
    }

    /// Adds or replaces an agent.
    pub fn insert(&mut self, now: time::Instant, id: id::AgentId, agent: Agent) {
        self.remove(now, &id);
        self.record_arrival(now, agent.load.capacity);
        self.slots += agent.usable_slots();
        self.free_slots += agent.free_slots();
        for (needs, agents) in &mut self.agents_with_room {
            if agent.fits(needs) {
                agents.insert((agent.free_slots(), id.clone()));
            }
        }
        if agent.state == State::Silent {
            self.silent.insert((agent.since, id.clone()));
        }
        self.agents.insert(id, agent);
    }

    /// Removes an agent. Its capacity is remembered for [`CAPACITY_RETENTION`].
    pub fn remove(&mut self, now: time::Instant, id: &id::AgentId) -> Option<Agent> {
        let agent = self.agents.remove(id)?;
        self.record_departure(now, &agent.load.capacity);
        self.slots -= agent.usable_slots();
        self.free_slots -= agent.free_slots();
        let entry = (agent.free_slots(), id.clone());
        for agents in self.agents_with_room.values_mut() {
            agents.remove(&entry);
        }
        self.silent.remove(&(agent.since, id.clone()));
        Some(agent)
    }

    /// Sets the load that an agent reported.
    pub fn set_load(&mut self, now: time::Instant, id: &id::AgentId, load: notice::Load) {
        let known = self.agents.get(id).map(|agent| agent.load);
        let with_running = |known: notice::Load| notice::Load {
            running: load.running,
            ..known
        };
        if known.map(with_running) == Some(load) {
            // The number of running tasks is only shown in the status; no decision depends on it.
            if let Some(agent) = self.agents.get_mut(id) {
                agent.load = load;
            }
            return;
        }
        if let Some(known) = known.filter(|known| known.capacity != load.capacity) {
            self.record_departure(now, &known.capacity);
            self.record_arrival(now, load.capacity);
        }
        self.update(id, |agent| agent.load = load);
    }

    /// Sets the number of tasks that an agent's health allows at a time.
    pub fn set_limit(&mut self, id: &id::AgentId, limit: u32) {
        if self.agents.get(id).is_some_and(|a| a.limit != limit) {
            self.update(id, |agent| agent.limit = limit);
        }
    }

    /// Marks an agent as silent since its link has ended.
    pub fn mark_silent(&mut self, now: time::Instant, id: &id::AgentId) {
        if self.agents.get(id).is_none_or(|a| a.state == State::Silent) {
            return;
        }
        self.update(id, |agent| {
            agent.state = State::Silent;
            agent.since = now;
        });
        self.silent.insert((now, id.clone()));
    }

    /// Returns an agent that has been silent since `before` or earlier, if there is one.
    pub fn silent_since(&self, before: time::Instant) -> Option<id::AgentId> {
        let (since, id) = self.silent.first()?;
        (*since <= before).then(|| id.clone())
    }

    /// Reserves a slot and resources of an agent for a task that is sent to it.
    pub fn reserve(&mut self, id: &id::AgentId, needs: &task::Needs) {
        self.update(id, |agent| {
            agent.sent += 1;
            agent.taken.add(needs);
        });
    }

    /// Releases the slot and resources of a task.
    pub fn release(&mut self, id: &id::AgentId, needs: &task::Needs) {
        self.update(id, |agent| {
            agent.sent = agent.sent.saturating_sub(1);
            agent.taken.sub(needs);
        });
    }

    /// Returns the number of free slots of all agents.
    pub fn free_slots(&self) -> u32 {
        self.free_slots
    }

    /// Returns the number of slots of all agents that can be sent tasks.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns whether some agent, when it runs nothing, could run a task with these needs. Agents
    /// that left less than [`CAPACITY_RETENTION`] ago count too. Returns true while no capacity is
    /// remembered.
    pub fn could_ever_run(&self, now: time::Instant, needs: &task::Needs) -> bool {
        if *needs == task::Needs::default() || self.capacities.is_empty() {
            return true;
        }
        let mut records = self.capacities.iter();
        records.any(|(capacity, record)| needs.fit(capacity) && record.is_remembered(now))
    }

    /// Creates an index of the agents with room for these needs, unless there is one. If
    /// `MAX_INDEXED_NEEDS` are indexed already, drops all of them except that of tasks without
    /// needs.
    pub fn index_needs(&mut self, needs: &task::Needs) {
        if self.agents_with_room.contains_key(needs) {
            return;
        }
        if self.agents_with_room.len() >= MAX_INDEXED_NEEDS {
            self.agents_with_room
                .retain(|n, _| *n == task::Needs::default());
        }
        let fitting = self.agents.iter().filter(|(_, agent)| agent.fits(needs));
        let agents = fitting.map(|(id, agent)| (agent.free_slots(), id.clone()));
        let agents = agents.collect();
        self.agents_with_room.insert(*needs, agents);
    }

    /// Returns whether some agent has room for a task with these needs now.
    pub fn has_room(&self, needs: &task::Needs) -> bool {
        match self.agents_with_room.get(needs) {
            Some(agents) => !agents.is_empty(),
            None => self.agents.values().any(|agent| agent.fits(needs)),
        }
    }

    /// Chooses the agent for a task; `None` if no agent has room.
    pub fn choose(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        self.index_needs(needs);
        match self.placement {
            Placement::MostFree => self.agents_with_room[needs]
                .last()
                .map(|(_, id)| id.clone()),
            Placement::Random => self.draw_agent(needs),
            Placement::LeastOfTwo => self.less_loaded_of_two(needs),
        }
    }

    /// Returns an agent with room, drawn at random. The needs must be indexed.
    fn draw_agent(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let fitting = &self.agents_with_room[needs];
        if fitting.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..fitting.len());
        fitting.iter().nth(at).map(|(_, id)| id.clone())
    }

    /// Draws an agent with room at random twice and returns the one with more free slots.
    fn less_loaded_of_two(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let a = self.draw_agent(needs)?;
        let b = self.draw_agent(needs)?;
        let less = if self.agents[&a].free_slots() >= self.agents[&b].free_slots() {
            a
        } else {
            b
        };
        Some(less)
    }

    /// Changes an agent and updates the totals and indexes that depend on it.
    fn update(&mut self, id: &id::AgentId, change: impl FnOnce(&mut Agent)) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let before = SlotCounts::of(agent);
        change(agent);
        let after = SlotCounts::of(agent);
        self.slots = self.slots - before.slots + after.slots;
        self.free_slots = self.free_slots - before.free + after.free;
        let old = (before.free, id.clone());
        let new = (after.free, id.clone());
        for (needs, agents) in &mut self.agents_with_room {
            let fits = agent.fits(needs);
            if before.free == after.free && *needs == task::Needs::default() {
                continue;
            }
            agents.remove(&old);
            if fits {
                agents.insert(new.clone());
            }
        }
    }

    /// Counts an agent that has got this capacity.
    fn record_arrival(&mut self, now: time::Instant, capacity: task::Needs) {
        if self.capacities.len() >= MAX_CAPACITIES {
            self.capacities
                .retain(|_, record| record.is_remembered(now));
        }
        let first = CapacityRecord {
            present: 0,
            last_change: now,
        };
        let record = self.capacities.entry(capacity).or_insert(first);
        record.present += 1;
        record.last_change = now;
    }

    /// Counts an agent that has lost this capacity.
    fn record_departure(&mut self, now: time::Instant, capacity: &task::Needs) {
        if let Some(record) = self.capacities.get_mut(capacity) {
            record.present = record.present.saturating_sub(1);
            record.last_change = now;
        }
    }
}
