//! The ledger of one agent: a record of the tasks that it started, by which it refuses second
//! starts.
//!
//! The ledger holds the newest epoch seen, which serves as a fence against older owners, and a
//! record of every task that was started or withdrawn. `docs/design/claims.md` explains why this is
//! enough to guarantee that no task starts twice.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::code;
use crate::decide::order;
use crate::id;
use crate::task;

/// How long after its job has ended a submission may be sent again under its key.
pub const RESUBMIT_WINDOW: time::Duration = time::Duration::from_secs(600);

/// How long records, claims and lost incarnations are kept.
///
/// A job may last as long as the longest target, and an agent may have its last event of the job
/// early in that time. All records of the job must still be kept until it may no longer be
/// resubmitted.
pub const RETENTION: time::Duration = class::MAX_TARGET
    .saturating_add(RESUBMIT_WINDOW)
    .saturating_add(time::Duration::from_secs(10));

/// Most bytes of answers that an agent keeps for owners that haven't acknowledged them.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// The state of a task at its agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It has not run here, and the starts of it that were sent so far are refused from now on.
    Withdrawn,
    /// It was started and is running.
    Started,
    /// It ended, and its answer is kept.
    Done,
    /// It ended, and its answer is no longer kept.
    Gone,
}

/// The ledger's decision on a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// The task is to be run; its start is recorded.
    Run,
    /// The task was started before; the answer of that start serves for this one too.
    Duplicate,
    /// The task isn't run, and the owner gets this code.
    Refuse(code::Code),
}

/// Identifies and orders the starts of one task: the epoch, then the attempt within it.
pub type StartNumber = (id::Epoch, u32);

/// One task's record.
#[derive(Clone, Debug)]
enum Record {
    Started(StartNumber),
    /// The outcome, and the run time in microseconds.
    Done(task::Outcome, u64),
    Gone,
    /// No start up to this one will be run.
    Withdrawn(StartNumber),
}

/// The records of the tasks of one job.
#[derive(Clone, Debug)]
struct Job {
    tasks: BTreeMap<id::TaskIndex, Record>,
    /// True once the job was cancelled or acknowledged: nothing more of it starts, and no answers
    /// of it are kept.
    closed: bool,
    last_used: time::Instant,
}

/// The ledger of one agent.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    epoch: id::Epoch,
    joined: bool,
    jobs: HashMap<id::JobKey, Job>,
    /// Tasks whose answers are kept, oldest first; it may hold some whose answers are gone.
    kept_ids: VecDeque<task::Id>,
    kept_bytes: usize,
}

impl Ledger {
    /// Admits the agent to its cell. `epoch` must be read from the table after the agent's own row
    /// was written.
    ///
    /// An agent that has just started has no records, so it would accept the starts of a superseded
    /// owner again. Since it writes its row before it reads the epoch, either the agent knows the
    /// newest epoch or the newest owner knows the agent.
    pub fn join(&mut self, epoch: id::Epoch) {
        self.epoch = self.epoch.max(epoch);
        self.joined = true;
    }

    /// Raises the fence to the epoch of an owner's hello.
    ///
    /// # Errors
    ///
    /// Returns the newest epoch if the hello came from a superseded owner.
    pub fn raise_fence(&mut self, epoch: id::Epoch) -> Result<(), id::Epoch> {
        if epoch < self.epoch {
            return Err(self.epoch);
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Returns the newest epoch seen.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns whether the agent has joined its cell.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Decides whether to run a start, and records it if so.
    pub fn start(
        &mut self,
        now: time::Instant,
        epoch: id::Epoch,
        id: &task::Id,
        attempt: u32,
    ) -> StartDecision {
        if !self.joined {
            return StartDecision::Refuse(code::Code::NotJoined);
        }
        // An owner that was paused and has lost its cell meanwhile still sends starts from its
        // queue. Its successor raised the fence before it made any decision.
        if epoch < self.epoch {
            return StartDecision::Refuse(code::Code::StaleEpoch);
        }
        let job = self.job(now, &id.job);
        match job.tasks.get(&id.index) {
            // The agent has told the owner that starts up to this one won't run, so the owner may
            // have sent the task to another agent since.
            Some(Record::Withdrawn(number)) if (epoch, attempt) <= *number => {
                StartDecision::Refuse(code::Code::Burned)
            }
            Some(Record::Withdrawn(_)) | None if job.closed => {
                StartDecision::Refuse(code::Code::Cancelled)
            }
            Some(Record::Withdrawn(_)) | None => {
                let record = Record::Started((epoch, attempt));
                job.tasks.insert(id.index, record);
                StartDecision::Run
            }
            Some(_) => StartDecision::Duplicate,
        }
    }

    /// Refuses the starts of a task up to `number` from now on. Returns false, and refuses nothing,
    /// if the task was started before.
    pub fn withdraw(&mut self, now: time::Instant, id: &task::Id, number: StartNumber) -> bool {
        let tasks = &mut self.job(now, &id.job).tasks;
        let record = tasks.entry(id.index).or_insert(Record::Withdrawn(number));
        match record {
            Record::Withdrawn(newest) => {
                *newest = number.max(*newest);
                true
            }
            Record::Started(_) | Record::Done(..) | Record::Gone => false,
        }
    }

    /// Reverts the record of a start that turned out not to have run, so that the task may run
    /// elsewhere. Returns which start it was; attempt 0 if no start is recorded as running.
    pub fn revert_start(&mut self, now: time::Instant, id: &task::Id) -> order::Attempt {
        let tasks = &mut self.job(now, &id.job).tasks;
        let mut attempt = 0;
        if let Some(Record::Started(number)) = tasks.get(&id.index) {
            let number = *number;
            attempt = number.1;
            tasks.insert(id.index, Record::Withdrawn(number));
        }
        order::Attempt {
            id: id.clone(),
            attempt,
        }
    }

    /// Records that a task has ended. Keeps its outcome until its job is acknowledged; if that
    /// exceeds [`MAX_KEPT_BYTES`], drops the oldest outcomes.
    pub fn finish(
        &mut self,
        now: time::Instant,
        id: &task::Id,
        outcome: task::Outcome,
        ran_us: u64,
    ) {
        let job = self.job(now, &id.job);
        if job.closed {
            job.tasks.insert(id.index, Record::Gone);
            return;
        }
        let bytes = size(&outcome);
        job.tasks.insert(id.index, Record::Done(outcome, ran_us));
        self.kept_ids.push_back(id.clone());
        self.kept_bytes += bytes;
        self.drop_oldest_answers();
    }

    /// Returns the states of tasks, and withdraws those that were never started here. Returns
    /// nothing to a superseded owner, or if the agent hasn't joined its cell.
    ///
    /// A start may still be in transit on a connection that its owner has given up. Once the owner
    /// gets "withdrawn" it may start the task elsewhere, so that start must be refused when it
    /// arrives.
    pub fn resolve(
        &mut self,
        now: time::Instant,
        epoch: id::Epoch,
        asked: &[order::Attempt],
    ) -> Vec<(order::Attempt, TaskState)> {
        if epoch < self.epoch || !self.joined {
            return Vec::new();
        }
        let mut states = Vec::with_capacity(asked.len());
        for attempt in asked {
            let id = &attempt.id;
            self.withdraw(now, id, (epoch, attempt.attempt));
            let record = &self.job(now, &id.job).tasks[&id.index];
            states.push((attempt.clone(), record.state()));
        }
        states
    }

    /// Returns the outcome and the run time in microseconds of a task whose answer is kept.
    pub fn answer(&self, id: &task::Id) -> Option<(task::Outcome, u64)> {
        match self.jobs.get(&id.job)?.tasks.get(&id.index)? {
            Record::Done(outcome, ran_us) => Some((outcome.clone(), *ran_us)),
            _ => None,
        }
    }

    /// Closes a job that is cancelled, so that no further task of it starts. Returns its running
    /// tasks. Has no effect if `epoch` is that of a superseded owner.
    pub fn cancel(
        &mut self,
        now: time::Instant,
        epoch: id::Epoch,
        job: &id::JobKey,
    ) -> Vec<task::Id> {
        if epoch < self.epoch {
            return Vec::new();
        }
        let record = self.job(now, job);
        record.closed = true;
        let mut running = Vec::new();
        for (index, task) in &record.tasks {
            if matches!(task, Record::Started(_)) {
                running.push(task::Id {
                    job: job.clone(),
                    index: *index,
                });
            }
        }
        running
    }

    /// Closes a job and drops its answers, unless `epoch` is that of a superseded owner. The
    /// records that its tasks were started are kept for [`RETENTION`].
    pub fn acknowledge(&mut self, epoch: id::Epoch, job: &id::JobKey) {
        if epoch < self.epoch {
            return;
        }
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        record.closed = true;
        for task in record.tasks.values_mut() {
            if let Record::Done(outcome, _) = task {
                self.kept_bytes -= size(outcome);
                *task = Record::Gone;
            }
        }
    }

    /// Returns all tasks of which this agent has a record, with their states.
    pub fn task_states(&self) -> Vec<(task::Id, TaskState)> {
        let mut tasks = Vec::new();
        for (job, record) in &self.jobs {
            for (index, task) in &record.tasks {
                let id = task::Id {
                    job: job.clone(),
                    index: *index,
                };
                tasks.push((id, task.state()));
            }
        }
        tasks
    }

    /// Forgets jobs whose records were not used for [`RETENTION`] and that have no running tasks.
    pub fn forget_expired(&mut self, now: time::Instant) {
        let mut freed = 0;
        self.jobs.retain(|_, job| {
            let running = job.tasks.values().any(|t| matches!(t, Record::Started(_)));
            let keep = running || now.saturating_duration_since(job.last_used) < RETENTION;
            if !keep {
                freed += job.tasks.values().map(Record::size).sum::<usize>();
            }
            keep
        });
        self.kept_bytes -= freed;
    }

    /// Returns the size of the kept answers, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns a job's records, marked as used now; creates them if there are none.
    fn job(&mut self, now: time::Instant, key: &id::JobKey) -> &mut Job {
        let job = self.jobs.entry(key.clone()).or_insert_with(|| Job {
            tasks: BTreeMap::new(),
            closed: false,
            last_used: now,
        });
        job.last_used = now;
        job
    }

    /// Drops the oldest answers while they exceed [`MAX_KEPT_BYTES`].
    fn drop_oldest_answers(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some(id) = self.kept_ids.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&id.job) else {
                continue;
            };
            if let Some(task) = job.tasks.get_mut(&id.index) {
                let bytes = task.size();
                if bytes > 0 {
                    self.kept_bytes -= bytes;
                    *task = Record::Gone;
                }
            }
        }
        // The ids of acknowledged answers stay in the queue; drop them once they outnumber the
        // jobs.
        if self.kept_ids.len() > 1024 + 4 * self.jobs.len() {
            let jobs = &self.jobs;
            self.kept_ids.retain(|id| {
                let job = jobs.get(&id.job);
                job.is_some_and(|job| job.tasks.get(&id.index).is_some_and(|t| t.size() > 0))
            });
        }
    }
}

impl Record {
    fn state(&self) -> TaskState {
        match self {
            Record::Started(_) => TaskState::Started,
            Record::Done(..) => TaskState::Done,
            Record::Gone => TaskState::Gone,
            Record::Withdrawn(_) => TaskState::Withdrawn,
        }
    }

    /// Returns the size of the kept answer in bytes; 0 if none is kept.
    fn size(&self) -> usize {
        match self {
            Record::Done(outcome, _) => size(outcome),
            _ => 0,
        }
    }
}

/// Returns the bytes that an outcome counts for; at least 1, since 0 means that no answer is kept.
fn size(outcome: &task::Outcome) -> usize {
    match outcome {
        task::Outcome::Done(value) => value.get().len().max(1),
        task::Outcome::Failed(_) => 1,
    }
}
