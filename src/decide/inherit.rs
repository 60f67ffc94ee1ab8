//! What a new owner of a cell knows of its predecessors' work, and what it may conclude.
//!
//! The order is fixed (`docs/design/claims.md`): the epoch is raised in the table, then the members
//! are read, then every member is fenced and reports, and the claims are read. Only then is a
//! submission looked up here, and a task is started only where it provably never was.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use serde::{Deserialize, Serialize};

use crate::decide::action;
use crate::decide::ledger;
use crate::id;
use crate::task;

/// How long a new owner waits for members that don't answer its fence.
pub const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// For how long after its last sight of the table an owner may start ahead of its claims.
pub const TABLE_CONTACT_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Most that two clocks of the system's processes may differ; machines that keep time over the
/// network differ by a few milliseconds. After a takeover with an agent missing, new work stays
/// doubtful for [`TABLE_CONTACT_WINDOW`] and twice this, so a generous bound costs answers.
pub const CLOCK_SKEW: time::Duration = time::Duration::from_millis(500);

/// A claim as it stands in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredClaim {
    /// The scoped key.
    pub key: id::JobKey,
    /// Digest of the body.
    pub digest: u64,
    /// How many tasks it has.
    pub tasks: u32,
    /// When the submission was accepted, in milliseconds since the Unix epoch, by the claimant's
    /// clock; nothing of it started earlier.
    pub at_ms: u64,
}

impl StoredClaim {
    /// The row's part that a claim becomes.
    pub fn of(claim: &action::Claim) -> StoredClaim {
        StoredClaim {
            key: claim.key.clone(),
            digest: claim.digest,
            tasks: claim.tasks,
            at_ms: claim.at_ms,
        }
    }
}

/// A life of an agent as the membership rows tell.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AgentIncarnation {
    /// The agent.
    pub agent: id::AgentId,
    /// Its life.
    pub incarnation: id::Incarnation,
}

/// A life that ended; what it started nobody can tell any more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostIncarnation {
    /// The life.
    pub incarnation: id::Incarnation,
    /// When its loss was recorded, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// True where it left as planned, after the claims of all that it started were in the table.
    #[serde(default)]
    pub claimed: bool,
}

/// Tasks of one job, with the life that remembers each and how it stands there.
pub type RememberedTasks = BTreeMap<id::TaskIndex, (AgentIncarnation, ledger::TaskState)>;

/// What was found out about a submission's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// Provably new.
    Fresh,
    /// An earlier owner accepted it: where its tasks are, and whether the others may be started.
    Known {
        /// Tasks that some agent remembers.
        tasks: RememberedTasks,
        /// True where tasks that no agent remembers provably never started.
        rest_startable: bool,
    },
    /// It may have run where nobody can look any more.
    MayHaveRun,
    /// The key belongs to another body.
    Reused,
}

/// The knowledge of one new owner.
#[derive(Clone, Debug)]
pub struct Inheritance {
    taken_at: time::Duration,
    doubt_until: time::Duration,
    give_up: time::Instant,
    awaited: Option<BTreeSet<AgentIncarnation>>,
    lost: Vec<(time::Duration, bool)>,
    claims: Option<HashMap<id::JobKey, StoredClaim>>,
    seen: HashMap<id::JobKey, RememberedTasks>,
}

impl Inheritance {
    /// Opens the books of an owner whose epoch was written at `wall` since the Unix epoch.
    pub fn open(now: time::Instant, wall: time::Duration) -> Inheritance {
        Inheritance {
            taken_at: wall,
            doubt_until: wall + TABLE_CONTACT_WINDOW,
            give_up: now + REPORT_TIMEOUT,
            awaited: None,
            lost: Vec::new(),
            claims: None,
            seen: HashMap::new(),
        }
    }

    /// Notes until when the owner before may have started work ahead of its claims, where that is
    /// known better than by [`TABLE_CONTACT_WINDOW`] after the takeover.
    pub fn set_unclaimed_starts_until(&mut self, wall: time::Duration) {
        self.doubt_until = wall;
    }

    /// Takes the members, read after the epoch was raised, and the lives that were lost before.
    pub fn set_members(
        &mut self,
        now: time::Instant,
        lives: impl IntoIterator<Item = AgentIncarnation>,
        lost: &[LostIncarnation],
    ) {
        self.awaited = Some(lives.into_iter().collect());
        self.give_up = now + REPORT_TIMEOUT;
        let recent = |life: &LostIncarnation| {
            let at = time::Duration::from_millis(life.at_ms);
            (at + ledger::RETENTION > self.taken_at).then_some((at, life.claimed))
        };
        self.lost = lost.iter().filter_map(recent).collect();
    }

    /// Takes the claims, read after the epoch was raised.
    pub fn set_claims(&mut self, claims: impl IntoIterator<Item = StoredClaim>) {
        let by_key = claims.into_iter().map(|claim| (claim.key.clone(), claim));
        self.claims = Some(by_key.collect());
    }

    /// Takes the report of an agent that has raised its fence.
    pub fn add_report(&mut self, life: &AgentIncarnation, tasks: &[(task::Id, ledger::TaskState)]) {
        for (id, standing) in tasks {
            if *standing == ledger::TaskState::Withdrawn {
                continue;
            }
            let job = self.seen.entry(id.job.clone()).or_default();
            job.insert(id.index, (life.clone(), *standing));
        }
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(life);
        }
    }

    /// Tells whether submissions can be looked up.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        let Some(awaited) = &self.awaited else {
            return false;
        };
        self.claims.is_some() && (awaited.is_empty() || now >= self.give_up)
    }

    /// Tells whether an earlier owner's claim or an agent's report names a key.
    pub fn knows_key(&self, key: &id::JobKey) -> bool {
        let claimed = self.claims.as_ref();
        claimed.is_some_and(|claims| claims.contains_key(key)) || self.seen.contains_key(key)
    }

    /// Members that have not reported.
    pub fn unreported_members(&self) -> usize {
        self.awaited.as_ref().map_or(0, BTreeSet::len)
    }

    /// Tells what is known of a key. `minted` is the time of first use that the key itself tells.
    pub fn look_up(&self, key: &id::JobKey, digest: u64, minted: Option<time::Duration>) -> Found {
        let claim = self.claims.as_ref().and_then(|claims| claims.get(key));
        let seen = self.seen.get(key);
        if claim.is_some_and(|claim| claim.digest != digest) {
            return Found::Reused;
        }
        if claim.is_none() && seen.is_none() {
            return if self.may_be_unwritten(minted) {
                Found::MayHaveRun
            } else {
                Found::Fresh
            };
        }
        let claimed_at = claim.map(|claim| time::Duration::from_millis(claim.at_ms));
        Found::Known {
            tasks: seen.cloned().unwrap_or_default(),
            rest_startable: !self.may_be_lost(claimed_at),
        }
    }

    /// Tells whether a key without a claim may have been started by an owner before.
    ///
    /// An owner starts ahead of the claim only keys that were minted at most [`TABLE_CONTACT_WINDOW`] after
    /// its last sight of the table, which came before this takeover, and before the end of every
    /// life that it used. So a key that was minted long enough after its sight ended can't have
    /// been, nor one that is younger than every life which can't report. Nothing here depends on
    /// the caller's clock: the key is compared with the clocks of entries and agents alone, on both
    /// sides, and those are taken to agree within [`CLOCK_SKEW`].
    fn may_be_unwritten(&self, minted: Option<time::Duration>) -> bool {
        let Some(minted) = minted else {
            return false;
        };
        if minted >= self.doubt_until + 2 * CLOCK_SKEW {
            return false;
        }
        let unreachable = (self.unreported_members() > 0).then_some(self.taken_at);
        let unclaimed = self.lost.iter().filter(|(_, claimed)| !claimed);
        let mut ends = unclaimed.map(|(at, _)| *at).chain(unreachable);
        let slack = TABLE_CONTACT_WINDOW + 2 * CLOCK_SKEW;
        ends.any(|end| minted < end + slack)
    }

    /// Tells whether a task of a claim made at that time may have run on a life that is lost.
    fn may_be_lost(&self, claimed_at: Option<time::Duration>) -> bool {
        let since = claimed_at.unwrap_or_default();
        self.unreported_members() > 0 || self.lost.iter().any(|(at, _)| *at + CLOCK_SKEW > since)
    }
}
