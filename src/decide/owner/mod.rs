//! The owner of a cell: takes submissions, hands out tasks, gathers answers, ends jobs.
//!
//! Events come in through the methods, with the time; what is to be done leaves as
//! [`action::Action`]s. The promises that it keeps are listed in `docs/design/claims.md`.

mod admission;
mod agents;
mod endings;
mod resume;
mod tasks;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time;

use crate::class;
use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::demand;
use crate::decide::estimate;
use crate::decide::fleet;
use crate::decide::health;
use crate::decide::inherit;
use crate::decide::job;
use crate::decide::ledger;
use crate::decide::queue;
use crate::decide::retry;
use crate::id;
use crate::refusal;
use crate::submission;
use crate::task;

/// Silence of an agent's link after which its tasks are given up as lost.
pub const AGENT_LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// How long an ended job's answers stay at the agents, for a caller that lost the owner with it.
pub const ACKNOWLEDGE_AFTER: time::Duration = time::Duration::from_secs(10);

/// How long an ending is kept for resubmissions.
pub const ENDING_RETENTION: time::Duration = ledger::RESUBMIT;

/// Most ended jobs whose endings are kept; of older ones only the key is, until [`ENDING_RETENTION`] is over.
pub const MAX_KEPT_ENDINGS: usize = 20_000;

/// Most bytes of the inputs and answers of ended jobs that are kept.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// When to come back where the table can't be reached.
const STORE_RETRY: time::Duration = time::Duration::from_secs(1);

/// What the operators and the command line set for an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// Who goes next.
    pub queue: queue::Policy,
    /// Where to.
    pub placement: fleet::Placement,
    /// Whether every claim is written ahead of the start.
    pub claims_ahead: bool,
}

/// The owner of one cell in one epoch.
#[derive(Clone, Debug)]
pub struct Owner {
    epoch: id::Epoch,
    policy: Policy,
    /// When the owner was opened, by both clocks.
    opened: (time::Instant, time::Duration),
    inheritance: inherit::Inheritance,
    ready: bool,
    parked: Vec<(Arc<submission::Submission>, action::Waiter)>,
    jobs: HashMap<id::JobKey, job::Job>,
    deadlines: BTreeSet<(time::Instant, id::JobKey)>,
    ended: VecDeque<(time::Instant, id::JobKey)>,
    kept_bytes: usize,
    /// Digests of ended jobs whose endings are no longer kept.
    gone: HashMap<id::JobKey, u64>,
    gone_order: VecDeque<(time::Instant, id::JobKey)>,
    unacknowledged: VecDeque<(time::Instant, id::JobKey)>,
    outstanding: HashMap<id::AgentId, BTreeSet<task::Id>>,
    queue: queue::Queue,
    fleet: fleet::Fleet,
    estimates: estimate::Estimates,
    demand: demand::Demand,
    health: health::Health,
    retries: retry::Budget,
    config: Arc<class::Versioned>,
    table_seen: time::Instant,
    actions: Vec<Action>,
}

impl Owner {
    /// Opens the owner of an epoch that was just written to the table, `wall` since the Unix epoch.
    pub fn open(
        epoch: id::Epoch,
        policy: Policy,
        config: Arc<class::Versioned>,
        now: time::Instant,
        wall: time::Duration,
    ) -> Owner {
        Owner {
            epoch,
            policy,
            opened: (now, wall),
            inheritance: inherit::Inheritance::open(now, wall),
            ready: false,
            parked: Vec::new(),
            jobs: HashMap::new(),
            deadlines: BTreeSet::new(),
            ended: VecDeque::new(),
            kept_bytes: 0,
            gone: HashMap::new(),
            gone_order: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            outstanding: HashMap::new(),
            queue: queue::Queue::open(policy.queue, now),
            fleet: fleet::Fleet::open(policy.placement, epoch),
            estimates: estimate::Estimates::default(),
            demand: demand::Demand::open(now),
            health: health::Health::default(),
            retries: retry::Budget::open(),
            config,
            table_seen: now,
            actions: Vec::new(),
        }
    }

    /// The wall clock at `at`, reckoned from the owner's opening so that a step of the clock, or a
    /// pause that the monotonic clock doesn't count, never makes it later than it is.
    fn wall(&self, at: time::Instant) -> time::Duration {
        let (opened, wall) = self.opened;
        wall + at.saturating_duration_since(opened)
    }

    /// Notes when the operation began that showed the ownership, and until when, since the Unix
    /// epoch, the owner before may have started work ahead of its claims.
    ///
    /// Guards against a pause between winning the cell and opening its owner: what was seen before
    /// the pause proves nothing after it.
    pub fn set_takeover(&mut self, begun: time::Instant, doubt: time::Duration) {
        self.table_seen = begun;
        self.inheritance.doubt_until(doubt);
    }

    /// The epoch.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Tells whether submissions are looked up, no longer parked.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The agents, for placement and status.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// The waiting tasks, for status.
    pub fn queue(&self) -> &queue::Queue {
        &self.queue
    }

    /// Jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.deadlines.len()
    }

    /// What is to be done, in order; empties the list.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a newer configuration into force.
    pub fn configure(&mut self, config: Arc<class::Versioned>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// Notes that the owner saw itself in the table by an operation that began at `begun`.
    pub fn note_ownership_proof(&mut self, begun: time::Instant) {
        self.table_seen = self.table_seen.max(begun);
    }

    /// Takes the members of the cell, read after the epoch was raised.
    pub fn set_members(
        &mut self,
        now: time::Instant,
        lives: Vec<inherit::Life>,
        lost: &[inherit::LostLife],
    ) {
        self.inheritance.members(now, lives, lost);
        self.settle(now);
    }

    /// Takes the claims of earlier owners, read after the epoch was raised.
    pub fn set_earlier_claims(&mut self, now: time::Instant, claims: Vec<inherit::Claimed>) {
        self.inheritance.claims(claims);
        self.settle(now);
    }

    /// Takes a submission. Its ending goes to the waiter, once.
    pub fn submit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
    ) {
        if !self.ready {
            self.parked.push((submission, waiter));
            return;
        }
        if self.attach(&submission, waiter) {
            return;
        }
        let minted = submission.minted_ms.map(time::Duration::from_millis);
        match self
            .inheritance
            .look(&submission.key, submission.digest, minted)
        {
            inherit::Found::Fresh => self.admit(now, submission, waiter),
            inherit::Found::Known {
                tasks,
                rest_startable,
            } => {
                self.resume(now, submission, waiter, tasks, rest_startable);
            }
            inherit::Found::MayHaveRun => {
                self.refuse(waiter, refusal::Refusal::new(code::Code::MayHaveRun))
            }
            inherit::Found::Reused => {
                self.refuse(waiter, refusal::Refusal::new(code::Code::KeyReused))
            }
        }
        self.dispatch(now);
    }

    /// Withdraws a job; the waiter is told how the job ended.
    pub fn cancel(&mut self, now: time::Instant, key: &id::JobKey, waiter: action::Waiter) {
        let Some(job) = self.jobs.get_mut(key) else {
            self.cancel_unknown(key, waiter);
            return;
        };
        if let Some(ending) = &job.ending {
            self.actions.push(Action::Reply(waiter, ending.clone()));
            return;
        }
        job.waiters.push(waiter);
        self.fail(now, key, code::Code::Cancelled);
        self.dispatch(now);
    }

    /// Notes that claims are in the table; tasks that waited for them may start.
    pub fn claims_written(&mut self, now: time::Instant, claims: &[action::Claim]) {
        for action::Claim { key, digest, .. } in claims {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            // A claim of an earlier body under the key, which was refused meanwhile, claims nothing.
            if job.submission.digest != *digest {
                continue;
            }
            let awaited = job.claim == job::Claim::Awaited;
            job.claim = job::Claim::Written;
            if awaited && job.ending.is_none() {
                self.enqueue(now, key);
            }
        }
        self.dispatch(now);
    }

    /// Notes that claims can't be written now: what waits for them is given up, not run.
    pub fn claims_refused(&mut self, now: time::Instant, keys: &[id::JobKey], reason: code::Code) {
        for key in keys {
            let awaited = self
                .jobs
                .get(key)
                .is_some_and(|job| job.claim == job::Claim::Awaited);
            if awaited {
                self.fail(now, key, reason);
            }
        }
    }

    /// Does what is due: passed targets, lost agents, acknowledgements, old endings.
    pub fn tick(&mut self, now: time::Instant) {
        self.settle(now);
        while let Some((deadline, key)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.fail(now, &key, code::Code::TaskTimeout);
        }
        self.tend_agents(now);
        self.sort_accounts(now);
        self.acknowledge(now);
        self.forget(now);
        self.dispatch(now);
    }

    /// Leaves the not yet ready state once the knowledge is complete, and takes up what was parked.
    fn settle(&mut self, now: time::Instant) {
        if self.ready || !self.inheritance.is_ready(now) {
            return;
        }
        self.ready = true;
        for (submission, waiter) in std::mem::take(&mut self.parked) {
            self.submit(now, submission, waiter);
        }
    }
}
