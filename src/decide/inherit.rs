//! What a new owner of a cell knows of the work of earlier owners, and which tasks it may start.
//!
//! The order of steps is fixed (`docs/design/claims.md`): the new owner raises the epoch in the
//! table, then reads the members, then every member raises its fence and reports, and the owner
//! reads the claims. Only then does it look up submissions here, and it starts only tasks that
//! provably never started.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use serde::{Deserialize, Serialize};

use crate::decide::action;
use crate::decide::ledger;
use crate::id;
use crate::task;

/// How long a new owner waits for the reports of members.
pub const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How long after the last proof of its ownership in the table an owner may start tasks before
/// their claim is written.
pub const TABLE_CONTACT_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Bound on the difference between the clocks of two processes of the system; machines that
/// synchronize their clocks over the network differ by a few milliseconds. If an agent is missing
/// at a takeover, new work is answered as "may have run" for [`TABLE_CONTACT_WINDOW`] plus twice
/// this, so a larger bound costs answers.
pub const CLOCK_SKEW: time::Duration = time::Duration::from_millis(500);

/// A claim as it is stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredClaim {
    /// The job's key, with its client account as a prefix.
    pub key: id::JobKey,
    /// Digest of the submission's body.
    pub digest: u64,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// When the submission was accepted, in milliseconds since the Unix epoch, by the clock of the
    /// owner that claimed it; none of its tasks started earlier.
    pub at_ms: u64,
}

impl StoredClaim {
    /// Returns the part of a claim that is stored.
    pub fn of(claim: &action::Claim) -> StoredClaim {
        StoredClaim {
            key: claim.key.clone(),
            digest: claim.digest,
            tasks: claim.tasks,
            at_ms: claim.at_ms,
        }
    }
}

/// An incarnation of an agent, as in the membership rows.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AgentIncarnation {
    /// The agent's id.
    pub agent: id::AgentId,
    /// Which process of the agent it is.
    pub incarnation: id::Incarnation,
}

/// An incarnation of an agent that ended; there is no record any more of what it started.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostIncarnation {
    /// The incarnation that ended.
    pub incarnation: id::Incarnation,
    /// When its loss was recorded, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// True if it left in order, after the claims of all that it started were in the table.
    #[serde(default)]
    pub claimed: bool,
}

/// The tasks of one job of which agents have records, by index: the incarnation that has the
/// record, and the task's state in it.
pub type RememberedTasks = BTreeMap<id::TaskIndex, (AgentIncarnation, ledger::TaskState)>;

/// What a new owner knows of a submission's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// No task of it can have started.
    Fresh,
    /// An earlier owner accepted it.
    Known {
        /// The tasks of which some agent has a record.
        tasks: RememberedTasks,
        /// True if the other tasks provably never started.
        rest_startable: bool,
    },
    /// It may have run on an agent whose records are lost.
    MayHaveRun,
    /// The key was used for a submission with another body.
    Reused,
}

/// What one new owner knows of the work of earlier owners.
#[derive(Clone, Debug)]
pub struct Inheritance {
    /// When the owner's epoch was written to the table, as a time since the Unix epoch.
    taken_at: time::Duration,
    /// Until when an earlier owner may have started work without a claim, since the Unix epoch.
    unclaimed_starts_until: time::Duration,
    /// When the owner stops waiting for reports.
    report_deadline: time::Instant,
    /// Members that haven't reported; `None` until the members were read.
    awaited: Option<BTreeSet<AgentIncarnation>>,
    /// The recently lost incarnations: when the loss was recorded, since the Unix epoch, and
    /// whether all their starts are claimed.
    lost: Vec<(time::Duration, bool)>,
    /// The claims of earlier owners; `None` until they were read.
    claims: Option<HashMap<id::JobKey, StoredClaim>>,
    /// The tasks that agents reported, by job.
    reported: HashMap<id::JobKey, RememberedTasks>,
}

impl Inheritance {
    /// Creates the record of a new owner. `wall` is the time, since the Unix epoch, at which the
    /// owner's own epoch was written to the table; members, claims and reports are added later.
    pub fn open(now: time::Instant, wall: time::Duration) -> Inheritance {
        Inheritance {
            taken_at: wall,
            unclaimed_starts_until: wall + TABLE_CONTACT_WINDOW,
            report_deadline: now + REPORT_TIMEOUT,
            awaited: None,
            lost: Vec::new(),
            claims: None,
            reported: HashMap::new(),
        }
    }

    /// Sets until when, since the Unix epoch, the previous owner may have started work without a
    /// claim. The default is [`TABLE_CONTACT_WINDOW`] after the takeover.
    pub fn set_unclaimed_starts_until(&mut self, wall: time::Duration) {
        self.unclaimed_starts_until = wall;
    }

    /// Sets the members, read after the epoch was raised, and the incarnations that were lost
    /// before.
    pub fn set_members(
        &mut self,
        now: time::Instant,
        members: impl IntoIterator<Item = AgentIncarnation>,
        lost: &[LostIncarnation],
    ) {
        self.awaited = Some(members.into_iter().collect());
        self.report_deadline = now + REPORT_TIMEOUT;
        let recent = |loss: &LostIncarnation| {
            let at = time::Duration::from_millis(loss.at_ms);
            (at + ledger::RETENTION > self.taken_at).then_some((at, loss.claimed))
        };
        self.lost = lost.iter().filter_map(recent).collect();
    }

    /// Sets the claims, read after the epoch was raised.
    pub fn set_claims(&mut self, claims: impl IntoIterator<Item = StoredClaim>) {
        let by_key = claims.into_iter().map(|claim| (claim.key.clone(), claim));
        self.claims = Some(by_key.collect());
    }

    /// Adds the report of an agent that has raised its fence.
    pub fn add_report(
        &mut self,
        member: &AgentIncarnation,
        tasks: &[(task::Id, ledger::TaskState)],
    ) {
        for (id, state) in tasks {
            if *state == ledger::TaskState::Withdrawn {
                continue;
            }
            let job = self.reported.entry(id.job.clone()).or_default();
            job.insert(id.index, (member.clone(), *state));
        }
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(member);
        }
    }

    /// Returns whether submissions can be looked up.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        let Some(awaited) = &self.awaited else {
            return false;
        };
        self.claims.is_some() && (awaited.is_empty() || now >= self.report_deadline)
    }

    /// Returns whether a claim of an earlier owner or a report of an agent names a key.
    pub fn knows_key(&self, key: &id::JobKey) -> bool {
        let claimed = self.claims.as_ref();
        claimed.is_some_and(|claims| claims.contains_key(key)) || self.reported.contains_key(key)
    }

    /// Returns the number of members that have not reported.
    pub fn unreported_members(&self) -> usize {
        self.awaited.as_ref().map_or(0, BTreeSet::len)
    }

    /// Returns what is known of a key. `minted` is the time of creation that the key itself
    /// contains, since the Unix epoch.
    pub fn look_up(&self, key: &id::JobKey, digest: u64, minted: Option<time::Duration>) -> Found {
        let claim = self.claims.as_ref().and_then(|claims| claims.get(key));
        let reported = self.reported.get(key);
        if claim.is_some_and(|claim| claim.digest != digest) {
            return Found::Reused;
        }
        if claim.is_none() && reported.is_none() {
            return if self.may_have_started_unclaimed(minted) {
                Found::MayHaveRun
            } else {
                Found::Fresh
            };
        }
        let claimed_at = claim.map(|claim| time::Duration::from_millis(claim.at_ms));
        Found::Known {
            tasks: reported.cloned().unwrap_or_default(),
            rest_startable: !self.may_have_run_on_lost_agent(claimed_at),
        }
    }

    /// Returns whether an earlier owner may have started the job of a key without a claim. A key
    /// that doesn't contain the time at which it was minted is never started without one.
    ///
    /// An owner starts a job before its claim is written only if its key was minted at most
    /// [`TABLE_CONTACT_WINDOW`] after the owner's last proof of ownership. That proof came before
    /// this takeover, and before the end of every incarnation of an agent that the owner used. So
    /// the job of a key can't have been started if the key was minted long enough after the last
    /// time at which the earlier owner may have started work, or long enough after the end of every
    /// incarnation that can't report. None of this depends on the caller's clock: both owners
    /// compare the time in the key only with clocks of entries and agents, and those differ by at
    /// most [`CLOCK_SKEW`].
    fn may_have_started_unclaimed(&self, minted: Option<time::Duration>) -> bool {
        let Some(minted) = minted else {
            return false;
        };
        if minted >= self.unclaimed_starts_until + 2 * CLOCK_SKEW {
            return false;
        }
        let unreachable = (self.unreported_members() > 0).then_some(self.taken_at);
        let unclaimed = self.lost.iter().filter(|(_, claimed)| !claimed);
        let mut ends = unclaimed.map(|(at, _)| *at).chain(unreachable);
        let slack = TABLE_CONTACT_WINDOW + 2 * CLOCK_SKEW;
        ends.any(|end| minted < end + slack)
    }

    /// Returns whether a task of a job that was claimed at `claimed_at` may have run on a lost or
    /// missing incarnation of an agent.
    fn may_have_run_on_lost_agent(&self, claimed_at: Option<time::Duration>) -> bool {
        let since = claimed_at.unwrap_or_default();
        self.unreported_members() > 0 || self.lost.iter().any(|(at, _)| *at + CLOCK_SKEW > since)
    }
}
