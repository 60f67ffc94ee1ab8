//! The world that is explored: the table, two entries, two agents, one caller, and all messages
//! that were ever sent and may arrive at any later time or never.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{self, Hash};
use std::sync::{Arc, OnceLock};
use std::time;

use lovagemill::class;
use lovagemill::decide::action;
use lovagemill::decide::inherit;
use lovagemill::decide::ledger;
use lovagemill::decide::owner;
use lovagemill::decide::queue;
use lovagemill::id;
use lovagemill::submission;
use xxhash_rust::xxh3;

use crate::digest;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;

/// Wall clock at the model's zero, since the Unix epoch.
pub const WALL: time::Duration = time::Duration::from_secs(1_000_000);

/// What is explored, and how far.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    pub tasks: u32,
    pub submissions: u8,
    pub takeovers: u8,
    /// Whether an owner dies where another entry takes its cell; it is only paused otherwise.
    pub kill: bool,
    pub entry_deaths: u8,
    pub agent_deaths: u8,
    pub duplicates: u8,
    pub lost_answers: u8,
    pub link_losses: u8,
    pub refusals: u8,
    pub cancels: u8,
    /// Seconds that pass at most, and how many at a time.
    pub seconds: u64,
    pub stride: u64,
    /// Times that an entry's clock may stand still while others pass on.
    pub frozen: u8,
    /// Milliseconds by which the wall clocks of the entries and of the agents are ahead.
    pub entry_skew: [u64; ENTRIES],
    pub agent_skew: [u64; AGENTS],
    /// Seconds after zero at which the caller says it minted its key; none for a plain key.
    pub minted: Option<u64>,
    pub idempotent: bool,
    /// Links that can't be made, as (entry, agent).
    pub cut_off: Option<(usize, usize)>,
    /// Whether agents die only before time has passed.
    pub lost_early: bool,
    /// Whether the second agent is new: it has no row yet.
    pub newcomer: bool,
    pub mutation: Mutation,
    /// Most states that are looked at.
    pub states: u64,
}

/// A fault put into the protocol, to prove that the checker finds it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mutation {
    #[default]
    None,
    /// Agents raise no fence.
    FenceRemoved,
    /// Agents read the epoch before they write their row.
    JoinReversed,
    /// A start without an answer is sent to another agent.
    BlindRetry,
    /// Claims are written whoever owns the cell.
    ClaimUnconditional,
    /// A rejoining agent doesn't tell of its life before.
    LostLivesIgnored,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    Hello {
        entry: usize,
        epoch: id::Epoch,
        agent: usize,
    },
    Down {
        epoch: id::Epoch,
        agent: usize,
        life: id::Incarnation,
        order: String,
    },
    Up {
        entry: usize,
        epoch: id::Epoch,
        agent: usize,
        slots: u32,
        notice: String,
    },
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Row {
    pub life: id::Incarnation,
    pub lost: Vec<(id::Incarnation, u64)>,
}

#[derive(Clone, Debug, Default, Hash)]
pub struct Table {
    pub owner: Option<usize>,
    pub epoch: id::Epoch,
    pub rows: [Row; AGENTS],
    pub claims: digest::Part<Vec<inherit::Claimed>>,
}

#[derive(Clone, Debug, Hash)]
pub struct Owning {
    pub epoch: id::Epoch,
    pub owner: digest::Part<owner::Owner>,
    pub members: bool,
    pub pending: digest::Part<Vec<action::Claim>>,
    /// The life that the link of each agent belongs to, and to which a hello is under way.
    pub links: [Option<id::Incarnation>; AGENTS],
    pub greeted: [Option<id::Incarnation>; AGENTS],
    pub blind: bool,
}

#[derive(Clone, Debug, Default, Hash)]
pub struct Entry {
    pub owning: Option<Owning>,
    /// Seconds by which its monotonic clock is behind.
    pub behind: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Joining {
    Nothing,
    /// The epoch was read before the row was written (only by mutation).
    Read(id::Epoch),
    Written,
    Joined,
}

#[derive(Clone, Debug, Hash)]
pub struct Agent {
    pub ledger: digest::Part<ledger::Ledger>,
    pub life: id::Incarnation,
    pub joining: Joining,
    pub owner: Option<(usize, id::Epoch)>,
    /// Newest epoch that greeted this life, kept apart from the ledger.
    pub greeted: id::Epoch,
    pub running: BTreeSet<u32>,
}

/// What really happened, seen at the backend servers and at the caller.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Truth {
    pub started: BTreeMap<u32, u8>,
    /// The last submission was answered "not run".
    pub denied: bool,
    pub wrong: Option<String>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub bounds: Arc<Bounds>,
    pub used: Used,
    pub clock: u64,
    pub table: Table,
    pub entries: [Entry; ENTRIES],
    pub agents: [Agent; AGENTS],
    pub wire: BTreeSet<Arc<Message>>,
    pub truth: Truth,
    /// What led here; no part of the state.
    pub step: String,
}

/// How much of the bounds is used up.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Used {
    pub submissions: u8,
    pub takeovers: u8,
    pub entry_deaths: u8,
    pub agent_deaths: u8,
    pub duplicates: u8,
    pub lost_answers: u8,
    pub link_losses: u8,
    pub refusals: u8,
    pub cancels: u8,
    pub frozen: u8,
}

impl World {
    /// A digest that serves as the state's identity.
    pub fn digest(&self) -> u128 {
        let mut hasher = xxh3::Xxh3::new();
        let rest = (&self.used, self.clock, &self.truth, &self.wire, &self.table);
        rest.hash(&mut hasher);
        self.agents.hash(&mut hasher);
        self.entries.hash(&mut hasher);
        hasher.digest128()
    }

    pub fn now(&self, entry: usize) -> time::Instant {
        base() + time::Duration::from_secs(self.clock - self.entries[entry].behind)
    }

    pub fn entry_wall(&self, entry: usize) -> time::Duration {
        WALL + time::Duration::from_millis(1_000 * self.clock + self.bounds.entry_skew[entry])
    }

    pub fn agent_wall(&self, agent: usize) -> time::Duration {
        WALL + time::Duration::from_millis(1_000 * self.clock + self.bounds.agent_skew[agent])
    }

    /// Time at the agents.
    pub fn true_now(&self) -> time::Instant {
        base() + time::Duration::from_secs(self.clock)
    }

    pub fn wrong(&mut self, what: impl Into<String>) {
        self.truth.wrong.get_or_insert(what.into());
    }
}

/// A world with its digest, as the search keeps it.
#[derive(Clone, Debug)]
pub struct Node {
    pub world: World,
    digest: u128,
}

impl Node {
    pub fn of(world: World) -> Node {
        let digest = world.digest();
        Node { world, digest }
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Node {}

impl hash::Hash for Node {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

fn base() -> time::Instant {
    static BASE: OnceLock<time::Instant> = OnceLock::new();
    *BASE.get_or_init(time::Instant::now)
}

pub fn agent_id(agent: usize) -> id::AgentId {
    ["a", "b"][agent].into()
}

pub fn agent_index(id: &str) -> usize {
    usize::from(id == "b")
}

pub fn key() -> id::JobKey {
    "school/key".into()
}

pub fn policy() -> owner::Policy {
    owner::Policy {
        queue: queue::Policy::Fifo,
        ..owner::Policy::default()
    }
}

pub fn config() -> Arc<class::Versioned> {
    let document = serde_json::from_str(r#"{"class": [{"name": "c", "target_ms": 100000}]}"#);
    Arc::new(class::Versioned {
        version: 1,
        document: document.expect("the document is sound"),
    })
}

pub fn submission(bounds: &Bounds) -> Arc<submission::Submission> {
    let task = |i| format!(r#"{{"run_ms": 100, "input": {i}}}"#);
    let tasks: Vec<_> = (0..bounds.tasks).map(task).collect();
    let job = format!(
        r#"{{"customer": "school", "class": "c", "tasks": [{}]}}"#,
        tasks.join(",")
    );
    let minted = |s| (WALL + time::Duration::from_secs(s)).as_millis() as u64;
    Arc::new(submission::Submission {
        key: key(),
        digest: 7,
        minted_ms: bounds.minted.map(minted),
        idempotent: bounds.idempotent,
        job: serde_json::from_str(&job).expect("the job is sound"),
        traceparent: None,
    })
}
