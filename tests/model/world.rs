//! The states that are explored. A world is the table, two entries, two agents, one caller, and all
//! messages that were sent and may arrive at any later time or never.

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

/// Wall clock time, since the Unix epoch, at which the model's clock is zero.
pub const WALL: time::Duration = time::Duration::from_secs(1_000_000);

/// The case that is explored, and how often each event may happen in a trace at most.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// Tasks of the job.
    pub tasks: u32,
    pub submissions: u8,
    pub takeovers: u8,
    /// Whether an owner dies when the other entry takes its cell; otherwise it is only paused.
    pub kill_previous_owner: bool,
    pub entry_deaths: u8,
    pub agent_deaths: u8,
    /// Messages that arrive a second time.
    pub duplicates: u8,
    /// Claim writes whose answer is lost.
    pub lost_answers: u8,
    pub link_losses: u8,
    /// Times that an owner gives up waiting for claims.
    pub refusals: u8,
    pub cancels: u8,
    /// Seconds that pass at most, and how many pass in one step.
    pub seconds: u64,
    pub stride: u64,
    /// Steps of time in which an entry's monotonic clock may stop while the other clocks go on.
    pub frozen: u8,
    /// Milliseconds by which the wall clocks of the entries and of the agents are ahead.
    pub entry_skew: [u64; ENTRIES],
    pub agent_skew: [u64; AGENTS],
    /// The time in the key at which it was minted, in seconds of the model's clock; none for a
    /// plain key.
    pub minted: Option<u64>,
    pub idempotent: bool,
    /// A pair of entry and agent that can't link.
    pub cut_off: Option<(usize, usize)>,
    /// Whether agents die only before the first step of time.
    pub agents_die_early: bool,
    /// Whether the second agent is new: it has no row yet.
    pub newcomer: bool,
    pub mutation: Mutation,
    /// Most states that are expanded.
    pub states: u64,
}

/// A fault in the protocol that the checker has to find.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mutation {
    #[default]
    None,
    /// Agents don't fence previous owners.
    FenceRemoved,
    /// Agents read the epoch before they write their row.
    JoinReversed,
    /// A start without an answer is sent to another agent.
    BlindRetry,
    /// Claims are written even if another entry owns the cell.
    ClaimUnconditional,
    /// An agent that joins again doesn't record its lost incarnation.
    LostIncarnationsIgnored,
}

/// A message between an entry and an agent, with orders and notices in their wire format.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    /// An owner opens a link to an agent.
    Hello {
        entry: usize,
        epoch: id::Epoch,
        agent: usize,
    },
    /// An order from an owner to an incarnation of an agent.
    Down {
        epoch: id::Epoch,
        agent: usize,
        incarnation: id::Incarnation,
        order: String,
    },
    /// A notice from an agent to its owner, with the slots that the agent offers.
    Up {
        entry: usize,
        epoch: id::Epoch,
        agent: usize,
        slots: u32,
        notice: String,
    },
}

/// An agent's row: its incarnation (0 before it first joined), and its lost incarnations with the
/// time of each record in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Row {
    pub incarnation: id::Incarnation,
    pub lost: Vec<(id::Incarnation, u64)>,
}

/// The table's rows for the cell.
#[derive(Clone, Debug, Default, Hash)]
pub struct Table {
    pub owner: Option<usize>,
    pub epoch: id::Epoch,
    pub rows: [Row; AGENTS],
    pub claims: digest::Digested<Vec<inherit::StoredClaim>>,
}

/// An entry's owner of the cell, which may not know yet that another entry has taken it.
#[derive(Clone, Debug, Hash)]
pub struct Ownership {
    pub epoch: id::Epoch,
    pub owner: digest::Digested<owner::Owner>,
    pub members_read: bool,
    pub pending_claims: digest::Digested<Vec<action::Claim>>,
    /// By agent: the incarnation that the link belongs to, and the one that a hello was sent to.
    pub links: [Option<id::Incarnation>; AGENTS],
    pub hello_sent: [Option<id::Incarnation>; AGENTS],
    /// Whether starts were repeated on the other agent (only by mutation).
    pub retried: bool,
}

#[derive(Clone, Debug, Default, Hash)]
pub struct Entry {
    pub ownership: Option<Ownership>,
    /// Seconds for which its monotonic clock has stopped in all.
    pub clock_lag: u64,
}

/// How far an agent has come with joining the cell.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Joining {
    /// It has neither written its row nor read the epoch.
    Nothing,
    /// The epoch was read before the row was written (only by mutation).
    Read(id::Epoch),
    /// The row is written, and the epoch not read yet.
    Written,
    Joined,
}

#[derive(Clone, Debug, Hash)]
pub struct Agent {
    pub ledger: digest::Digested<ledger::Ledger>,
    pub incarnation: id::Incarnation,
    pub joining: Joining,
    pub owner: Option<(usize, id::Epoch)>,
    /// Newest epoch of a hello to this incarnation; kept apart from the ledger, to check its fence.
    pub newest_hello: id::Epoch,
    pub running: BTreeSet<u32>,
}

/// What happened in truth, as seen at the backend servers and at the caller.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Truth {
    /// How often each task was started.
    pub started: BTreeMap<u32, u8>,
    /// Whether the last submission was answered with "not run".
    pub answered_not_run: bool,
    /// The promise that was broken, if one was.
    pub violation: Option<String>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub bounds: Arc<Bounds>,
    pub used: Used,
    pub clock: u64,
    pub table: Table,
    pub entries: [Entry; ENTRIES],
    pub agents: [Agent; AGENTS],
    pub messages: BTreeSet<Arc<Message>>,
    pub truth: Truth,
    /// The event that led here; no part of the state's identity.
    pub step: String,
}

/// How often each bounded event has happened so far.
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
        let rest = (
            &self.used,
            self.clock,
            &self.truth,
            &self.messages,
            &self.table,
        );
        rest.hash(&mut hasher);
        self.agents.hash(&mut hasher);
        self.entries.hash(&mut hasher);
        hasher.digest128()
    }

    /// The entry's monotonic clock.
    pub fn now(&self, entry: usize) -> time::Instant {
        base() + time::Duration::from_secs(self.clock - self.entries[entry].clock_lag)
    }

    pub fn entry_wall(&self, entry: usize) -> time::Duration {
        WALL + time::Duration::from_millis(1_000 * self.clock + self.bounds.entry_skew[entry])
    }

    pub fn agent_wall(&self, agent: usize) -> time::Duration {
        WALL + time::Duration::from_millis(1_000 * self.clock + self.bounds.agent_skew[agent])
    }

    /// The agents' monotonic clock.
    pub fn true_now(&self) -> time::Instant {
        base() + time::Duration::from_secs(self.clock)
    }

    /// Records how a promise was broken; the first record stays.
    pub fn report_violation(&mut self, what: impl Into<String>) {
        self.truth.violation.get_or_insert(what.into());
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

/// The agents' ids are `a` and `b`.
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
