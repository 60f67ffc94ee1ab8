//! The owner of a cell: accepts submissions, dispatches their tasks to agents, collects the answers
//! and ends the jobs.
//!
//! The owner does no I/O. Its methods take events with the time at which they happened, and it
//! returns what has to be done as [`action::Action`]s. The promises that it keeps are listed in
//! `docs/design/claims.md`.

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
use crate::decide::open_bytes;
use crate::decide::queue;
use crate::decide::retry;
use crate::id;
use crate::refusal;
use crate::submission;
use crate::task;

/// Time without a link to an agent after which the agent and its tasks are given up as lost.
pub const AGENT_LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// How long agents keep the answers of an ended job at least, so that a caller that lost the ending
/// because the owner died still gets them through the next owner. They keep them longer if the
/// job's claim isn't in the table by then.
pub const ACKNOWLEDGE_AFTER: time::Duration = time::Duration::from_secs(10);

/// How long the ending of a job is kept for resubmissions.
pub const ENDING_RETENTION: time::Duration = ledger::RESUBMIT_WINDOW;

/// Most ended jobs whose endings are kept. Of older ones only key and digest are kept, until
/// [`ENDING_RETENTION`] is over.
pub const MAX_KEPT_ENDINGS: usize = 20_000;

/// Most bytes of inputs and answers that are kept of ended jobs.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// Delay after which a caller may submit again if it was refused because the table can't be
/// reached.
const STORE_RETRY: time::Duration = time::Duration::from_secs(1);

/// Scheduling settings of an owner, from the operators and the command line.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Order in which waiting tasks start.
    pub queue: queue::Policy,
    /// The rule that chooses an agent for each task.
    pub placement: fleet::Placement,
    /// Whether every claim has to be in the table before any task of its job starts.
    pub claims_ahead: bool,
    /// Most bytes of inputs of the jobs that haven't ended.
    pub max_open_bytes: usize,
}

/// Most bytes of inputs of the open jobs, where a policy doesn't say it.
const MAX_OPEN_BYTES: usize = 128 * 1024 * 1024;

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            queue: queue::Policy::default(),
            placement: fleet::Placement::default(),
            claims_ahead: false,
            max_open_bytes: MAX_OPEN_BYTES,
        }
    }
}

/// The owner of one cell in one epoch.
#[derive(Clone, Debug)]
pub struct Owner {
    epoch: id::Epoch,
    policy: Policy,
    /// When the owner was opened, by the monotonic clock and by the wall clock (since the Unix
    /// epoch).
    opened: (time::Instant, time::Duration),
    /// What is known of the work of earlier owners of the cell.
    inheritance: inherit::Inheritance,
    /// Whether enough is known of earlier owners' work to look submissions up.
    ready: bool,
    /// Submissions that arrived before the owner was ready.
    deferred: Vec<(Arc<submission::Submission>, action::WaiterId)>,
    jobs: HashMap<id::JobKey, job::Job>,
    /// Deadlines of the jobs that have not ended.
    deadlines: BTreeSet<(time::Instant, id::JobKey)>,
    /// Bytes of inputs of the jobs that have not ended.
    open_bytes: open_bytes::OpenBytes,
    /// Ended jobs whose endings are kept, oldest first.
    ended: VecDeque<(time::Instant, id::JobKey)>,
    /// Bytes of inputs and answers of the ended jobs.
    kept_bytes: usize,
    /// Digests of ended jobs whose endings are no longer kept.
    evicted: HashMap<id::JobKey, u64>,
    /// Keys of `evicted` with the time at which their jobs ended, oldest first.
    evicted_order: VecDeque<(time::Instant, id::JobKey)>,
    /// Ended jobs whose answers the agents still keep.
    unacknowledged: VecDeque<(time::Instant, id::JobKey)>,
    /// Tasks that were sent to an agent and have not come back, by agent.
    outstanding: HashMap<id::AgentId, BTreeSet<task::Id>>,
    queue: queue::Queue,
    fleet: fleet::Fleet,
    estimates: estimate::Estimates,
    demand: demand::Demand,
    health: health::Health,
    retries: retry::Budget,
    config: Arc<class::Versioned>,
    /// When the last operation on the table that proved the ownership began.
    last_proof: time::Instant,
    actions: Vec<Action>,
}

impl Owner {
    /// Opens the owner of an epoch that was just written to the table; `wall` is the time since the
    /// Unix epoch.
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
            deferred: Vec::new(),
            jobs: HashMap::new(),
            deadlines: BTreeSet::new(),
            open_bytes: open_bytes::OpenBytes::open(policy.max_open_bytes),
            ended: VecDeque::new(),
            kept_bytes: 0,
            evicted: HashMap::new(),
            evicted_order: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            outstanding: HashMap::new(),
            queue: queue::Queue::open(policy.queue, now),
            fleet: fleet::Fleet::open(policy.placement, epoch),
            estimates: estimate::Estimates::default(),
            demand: demand::Demand::open(now),
            health: health::Health::default(),
            retries: retry::Budget::open(),
            config,
            last_proof: now,
            actions: Vec::new(),
        }
    }

    /// Returns the wall clock time of `at`, since the Unix epoch.
    ///
    /// It is computed from the opening of the owner and the monotonic clock, so that neither a step
    /// of the wall clock nor a pause that the monotonic clock doesn't count makes it too late.
    fn wall_clock(&self, at: time::Instant) -> time::Duration {
        let (opened, wall) = self.opened;
        wall + at.saturating_duration_since(opened)
    }

    /// Sets two times of the takeover. `begun` is when the operation on the table began that gave
    /// this owner the cell. `unclaimed_starts_until`, since the Unix epoch, is until when the
    /// previous owner may have started work before its claims were written.
    ///
    /// `begun` guards against a pause of the process between taking the cell and opening its owner:
    /// without it the time of opening would count as the last proof of ownership, although that
    /// proof is older by the pause.
    pub fn set_takeover(&mut self, begun: time::Instant, unclaimed_starts_until: time::Duration) {
        self.last_proof = begun;
        self.inheritance
            .set_unclaimed_starts_until(unclaimed_starts_until);
    }

    /// The epoch in which this owner owns the cell; its orders are fenced with it.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Tells whether submissions are handled at once, and not deferred until enough is known of
    /// earlier owners' work.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The agents with their loads, for placement and status.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// The waiting tasks, for status.
    pub fn queue(&self) -> &queue::Queue {
        &self.queue
    }

    /// Number of jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.deadlines.len()
    }

    /// Removes and returns the actions that events have caused, in the order in which they have to
    /// be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a configuration into force if its version is newer than the current one.
    pub fn configure(&mut self, config: Arc<class::Versioned>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// Notes that an operation on the table which began at `begun` proved the ownership.
    pub fn note_ownership_proof(&mut self, begun: time::Instant) {
        self.last_proof = self.last_proof.max(begun);
    }

    /// Sets the cell's members and the incarnations of agents that were lost, as read from the
    /// table after the epoch was raised.
    pub fn set_members(
        &mut self,
        now: time::Instant,
        incarnations: Vec<inherit::AgentIncarnation>,
        lost: &[inherit::LostIncarnation],
    ) {
        self.inheritance.set_members(now, incarnations, lost);
        self.become_ready(now);
    }

    /// Sets the claims of earlier owners, as read from the table after the epoch was raised.
    pub fn set_earlier_claims(&mut self, now: time::Instant, claims: Vec<inherit::StoredClaim>) {
        self.inheritance.set_claims(claims);
        self.become_ready(now);
    }

    /// Handles a submission: admits a new job, adds the waiter to the job that is known under the
    /// key, or resumes a job of an earlier owner. The waiter gets the job's ending, which may be a
    /// refusal, in exactly one reply.
    pub fn submit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::WaiterId,
    ) {
        if !self.ready {
            self.deferred.push((submission, waiter));
            return;
        }
        if self.attach_waiter(&submission, waiter) {
            return;
        }
        let minted = submission.minted_ms.map(time::Duration::from_millis);
        match self
            .inheritance
            .look_up(&submission.key, submission.digest, minted)
        {
            inherit::Found::Fresh => self.admit(now, submission, waiter),
            inherit::Found::Known {
                tasks,
                rest_startable,
            } => {
                self.resume_job(now, submission, waiter, tasks, rest_startable);
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

    /// Cancels a job; the reply to the waiter says how the job ended.
    pub fn cancel(&mut self, now: time::Instant, key: &id::JobKey, waiter: action::WaiterId) {
        let Some(job) = self.jobs.get_mut(key) else {
            self.cancel_unknown(key, waiter);
            return;
        };
        if let Some(ending) = &job.ending {
            self.actions.push(Action::Reply(waiter, ending.clone()));
            return;
        }
        job.waiters.push(waiter);
        self.fail_job(now, key, code::Code::Cancelled);
        self.dispatch(now);
    }

    /// Notes that claims are in the table, and queues the tasks of jobs that waited for them.
    pub fn claims_written(&mut self, now: time::Instant, claims: &[action::Claim]) {
        for action::Claim { key, digest, .. } in claims {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            // The claim may be of an earlier job under the same key that was refused in the
            // meantime; it doesn't cover this one.
            if job.submission.digest != *digest {
                continue;
            }
            let awaited = job.claim == job::ClaimState::Awaited;
            job.claim = job::ClaimState::Written;
            if awaited && job.ending.is_none() {
                self.enqueue(now, key);
            }
        }
        self.dispatch(now);
    }

    /// Fails the jobs that wait for claims which can't be written now; none of their tasks ran.
    pub fn claims_refused(&mut self, now: time::Instant, keys: &[id::JobKey], reason: code::Code) {
        for key in keys {
            let awaited = self
                .jobs
                .get(key)
                .is_some_and(|job| job.claim == job::ClaimState::Awaited);
            if awaited {
                self.fail_job(now, key, reason);
            }
        }
    }

    /// Handles everything that is due at this time: the owner's readiness, passed deadlines, lost
    /// and barred agents, which client accounts are light, acknowledgements, and old endings. To be
    /// called regularly.
    pub fn tick(&mut self, now: time::Instant) {
        self.become_ready(now);
        while let Some((deadline, key)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.fail_job(now, &key, code::Code::TaskTimeout);
        }
        self.check_agent_liveness(now);
        self.reclassify_accounts(now);
        self.acknowledge_ended(now);
        self.evict_endings(now);
        self.dispatch(now);
    }

    /// Adds a job that hasn't ended.
    fn add_open(&mut self, job: job::Job) {
        let key = job.submission.key.clone();
        let of = &job.submission.job;
        self.open_bytes.add(&of.client_account, of.input_bytes());
        self.deadlines.insert((job.deadline, key.clone()));
        self.jobs.insert(key, job);
    }

    /// Makes the owner ready once it knows enough of earlier owners' work, and handles the deferred
    /// submissions.
    fn become_ready(&mut self, now: time::Instant) {
        if self.ready || !self.inheritance.is_ready(now) {
            return;
        }
        self.ready = true;
        for (submission, waiter) in std::mem::take(&mut self.deferred) {
            self.submit(now, submission, waiter);
        }
    }
}
