//! Where to: the agents of one cell, what each has free, and which one takes the next task.
//!
//! The owner is the only one that starts tasks on its cell's agents, so its own count of what it
//! sent is exact and no load has to be asked for. `docs/design/placement.md` compares this with
//! the baselines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
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

/// Shapes of needs for which the agents with room are kept listed; for others they are searched.
const MAX_SHAPES: usize = 32;

/// For how long the capacity of a worker that is gone is remembered.
pub const CAPACITY_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Most capacities that are remembered.
const MAX_CAPACITIES: usize = 1_000;

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
    /// Tasks that its health allows at a time; not shown where it sets no limit.
    #[serde(skip_serializing_if = "is_unlimited")]
    pub limit: u32,
}

fn is_unlimited(limit: &u32) -> bool {
    *limit == u32::MAX
}

impl Agent {
    /// Slots that are free.
    pub fn free_slots(&self) -> u32 {
        self.slots().saturating_sub(self.sent)
    }

    /// Slots that may be used.
    fn slots(&self) -> u32 {
        if self.state != State::Up || self.load.draining {
            return 0;
        }
        self.load.slots.min(self.limit)
    }

    /// Tells whether a task fits now.
    fn fits(&self, needs: &task::Needs) -> bool {
        self.free_slots() > 0 && (*needs == task::Needs::default() || needs.fit(&self.left()))
    }

    /// What is left for the needs of tasks.
    fn left(&self) -> task::Needs {
        let mut left = self.load.capacity;
        left.sub(&self.taken);
        left
    }
}

/// How many agents have a capacity, and when one was last seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    present: u32,
    last: time::Instant,
}

/// What the fleet counts of an agent, to be undone when the agent changes.
#[derive(Clone, Copy)]
struct Counted {
    free: u32,
    slots: u32,
}

impl Seen {
    /// Tells whether work may still be kept for such an agent.
    fn counts(&self, now: time::Instant) -> bool {
        self.present > 0 || now.saturating_duration_since(self.last) < CAPACITY_RETENTION
    }
}

impl Counted {
    fn of(agent: &Agent) -> Counted {
        Counted {
            free: agent.free_slots(),
            slots: agent.slots(),
        }
    }
}

/// The agents of one cell.
#[derive(Clone, Debug)]
pub struct Fleet {
    placement: Placement,
    agents: BTreeMap<id::AgentId, Agent>,
    /// Agents with room for a shape of needs, by free slots.
    rooms: HashMap<task::Needs, BTreeSet<(u32, id::AgentId)>>,
    silent: BTreeSet<(time::Instant, id::AgentId)>,
    capacities: HashMap<task::Needs, Seen>,
    free_slots: u32,
    slots: u32,
    rng: SmallRng,
}

impl Fleet {
    /// Opens an empty fleet; the seed serves the baselines that draw at random.
    pub fn open(placement: Placement, seed: u64) -> Fleet {
        Fleet {
            placement,
            agents: BTreeMap::new(),
            rooms: HashMap::from([(task::Needs::default(), BTreeSet::new())]),
            silent: BTreeSet::new(),
            capacities: HashMap::new(),
            free_slots: 0,
            slots: 0,
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
    pub fn insert(&mut self, now: time::Instant, id: id::AgentId, agent: Agent) {
        self.remove(now, &id);
        self.came(now, agent.load.capacity);
        self.slots += agent.slots();
        self.free_slots += agent.free_slots();
        for (needs, room) in &mut self.rooms {
            if agent.fits(needs) {
                room.insert((agent.free_slots(), id.clone()));
            }
        }
        if agent.state == State::Silent {
            self.silent.insert((agent.since, id.clone()));
        }
        self.agents.insert(id, agent);
    }

    /// Forgets an agent, but for what it was able to take.
    pub fn remove(&mut self, now: time::Instant, id: &id::AgentId) -> Option<Agent> {
        let agent = self.agents.remove(id)?;
        self.left(now, &agent.load.capacity);
        self.slots -= agent.slots();
        self.free_slots -= agent.free_slots();
        let entry = (agent.free_slots(), id.clone());
        for room in self.rooms.values_mut() {
            room.remove(&entry);
        }
        self.silent.remove(&(agent.since, id.clone()));
        Some(agent)
    }

    /// Takes an agent's load.
    pub fn set_load(&mut self, now: time::Instant, id: &id::AgentId, load: notice::Load) {
        let known = self.agents.get(id).map(|agent| agent.load);
        let same = |known: notice::Load| notice::Load {
            running: load.running,
            ..known
        };
        if known.map(same) == Some(load) {
            // How many run is for people to see; nothing here depends on it.
            if let Some(agent) = self.agents.get_mut(id) {
                agent.load = load;
            }
            return;
        }
        if let Some(known) = known.filter(|known| known.capacity != load.capacity) {
            self.left(now, &known.capacity);
            self.came(now, load.capacity);
        }
        self.update(id, |agent| agent.load = load);
    }

    /// Sets how many tasks an agent's health allows at a time.
    pub fn set_limit(&mut self, id: &id::AgentId, limit: u32) {
        if self.agents.get(id).is_some_and(|a| a.limit != limit) {
            self.update(id, |agent| agent.limit = limit);
        }
    }

    /// Notes that an agent's link is gone.
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

    /// An agent that has been silent since `before` or earlier.
    pub fn silent_since(&self, before: time::Instant) -> Option<id::AgentId> {
        let (since, id) = self.silent.first()?;
        (*since <= before).then(|| id.clone())
    }

    /// Books a task on an agent.
    pub fn reserve(&mut self, id: &id::AgentId, needs: &task::Needs) {
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
        self.slots
    }

    /// Tells whether some agent, once empty, could take a task; one that is gone for a short
    /// while counts as well.
    pub fn could_ever_run(&self, now: time::Instant, needs: &task::Needs) -> bool {
        if *needs == task::Needs::default() || self.capacities.is_empty() {
            return true;
        }
        let mut seen = self.capacities.iter();
        seen.any(|(capacity, seen)| needs.fit(capacity) && seen.counts(now))
    }

    /// Keeps the agents with room for such needs listed from now on.
    pub fn index_needs(&mut self, needs: &task::Needs) {
        if self.rooms.contains_key(needs) {
            return;
        }
        if self.rooms.len() >= MAX_SHAPES {
            self.rooms.retain(|n, _| *n == task::Needs::default());
        }
        let fitting = self.agents.iter().filter(|(_, agent)| agent.fits(needs));
        let room = fitting.map(|(id, agent)| (agent.free_slots(), id.clone()));
        let room = room.collect();
        self.rooms.insert(*needs, room);
    }

    /// Tells whether some agent has room for a task now.
    pub fn has_room(&self, needs: &task::Needs) -> bool {
        match self.rooms.get(needs) {
            Some(room) => !room.is_empty(),
            None => self.agents.values().any(|agent| agent.fits(needs)),
        }
    }

    /// Chooses the agent for a task, if one has room.
    pub fn choose(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        self.index_needs(needs);
        match self.placement {
            Placement::MostFree => self.rooms[needs].last().map(|(_, id)| id.clone()),
            Placement::Random => self.draw(needs),
            Placement::LeastOfTwo => self.least_of_two(needs),
        }
    }

    fn draw(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let fitting = &self.rooms[needs];
        if fitting.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..fitting.len());
        fitting.iter().nth(at).map(|(_, id)| id.clone())
    }

    fn least_of_two(&mut self, needs: &task::Needs) -> Option<id::AgentId> {
        let a = self.draw(needs)?;
        let b = self.draw(needs)?;
        let less = if self.agents[&a].free_slots() >= self.agents[&b].free_slots() {
            a
        } else {
            b
        };
        Some(less)
    }

    /// Changes an agent and keeps the books right.
    fn update(&mut self, id: &id::AgentId, change: impl FnOnce(&mut Agent)) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        let before = Counted::of(agent);
        change(agent);
        let after = Counted::of(agent);
        self.slots = self.slots - before.slots + after.slots;
        self.free_slots = self.free_slots - before.free + after.free;
        let old = (before.free, id.clone());
        let new = (after.free, id.clone());
        for (needs, room) in &mut self.rooms {
            let fits = agent.fits(needs);
            if before.free == after.free && *needs == task::Needs::default() {
                continue;
            }
            room.remove(&old);
            if fits {
                room.insert(new.clone());
            }
        }
    }

    fn came(&mut self, now: time::Instant, capacity: task::Needs) {
        if self.capacities.len() >= MAX_CAPACITIES {
            self.capacities.retain(|_, seen| seen.counts(now));
        }
        let first = Seen {
            present: 0,
            last: now,
        };
        let seen = self.capacities.entry(capacity).or_insert(first);
        seen.present += 1;
        seen.last = now;
    }

    fn left(&mut self, now: time::Instant, capacity: &task::Needs) {
        if let Some(seen) = self.capacities.get_mut(capacity) {
            seen.present = seen.present.saturating_sub(1);
            seen.last = now;
        }
    }
}
