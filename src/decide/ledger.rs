//! What one agent has started, and for whom: the place where a second start is refused.
//!
//! The ledger holds the fence (the newest epoch seen) and a record of every task that was started
//! or withdrawn. `docs/design/claims.md` tells why this is enough for "no task starts twice".

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::code;
use crate::decide::order;
use crate::id;
use crate::task;

/// How long after its end a submission may be sent again under its key.
pub const RESUBMIT_WINDOW: time::Duration = time::Duration::from_secs(600);

/// How long records, claims and lost lives are remembered.
///
/// A job may end as late as the longest target after its acceptance, with the last event at one
/// agent early in that time. Whatever tells of it must last until nobody may resubmit any more.
pub const RETENTION: time::Duration = class::MAX_TARGET
    .saturating_add(RESUBMIT_WINDOW)
    .saturating_add(time::Duration::from_secs(10));

/// Most bytes of answers that are kept for owners that haven't acknowledged them.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// How a task stands at this agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It was never started here and, having been asked for, never will be.
    Withdrawn,
    /// It was started and runs.
    Started,
    /// It ended and its answer is kept.
    Done,
    /// It ended and its answer is no longer kept.
    Gone,
}

/// What to do with a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// Run it; the record is made.
    Run,
    /// The same start came twice; the first one's answer will do.
    Duplicate,
    /// Nothing runs, and the owner is told so.
    Refuse(code::Code),
}

/// Orders the starts of one task: by epoch, then by attempt.
pub type StartNumber = (id::Epoch, u32);

/// One task's record.
#[derive(Clone, Debug)]
enum Record {
    Started(StartNumber),
    Done(task::Outcome, u64),
    Gone,
    /// No start up to this one will be run.
    Withdrawn(StartNumber),
}

#[derive(Clone, Debug)]
struct Job {
    tasks: BTreeMap<id::TaskIndex, Record>,
    closed: bool,
    touched: time::Instant,
}

/// The ledger of one agent.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    epoch: id::Epoch,
    joined: bool,
    jobs: HashMap<id::JobKey, Job>,
    kept: VecDeque<task::Id>,
    kept_bytes: usize,
}

impl Ledger {
    /// Admits the agent to its cell, with the epoch read from the table after its row was written.
    ///
    /// Guards against an owner of the past that meets an agent with an empty memory: it would see
    /// its old starts accepted. The order (write the row, then read the epoch) makes sure that
    /// either the agent knows the newest epoch or the newest owner knows the agent.
    pub fn join(&mut self, epoch: id::Epoch) {
        self.epoch = self.epoch.max(epoch);
        self.joined = true;
    }

    /// Raises the fence for an owner's hello.
    ///
    /// # Errors
    ///
    /// Returns the newest epoch where the hello came from an owner of the past.
    pub fn raise_fence(&mut self, epoch: id::Epoch) -> Result<(), id::Epoch> {
        if epoch < self.epoch {
            return Err(self.epoch);
        }
        self.epoch = epoch;
        Ok(())
    }

    /// The newest epoch seen.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Tells whether the agent has joined its cell.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Decides on a start, and records it where it is to run.
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
        // An owner that was paused past the loss of its cell still believes in its queue. The
        // fence was raised by its successor before the successor decided anything.
        if epoch < self.epoch {
            return StartDecision::Refuse(code::Code::StaleEpoch);
        }
        let job = self.job(now, &id.job);
        match job.tasks.get(&id.index) {
            // The owner was told that starts up to this one won't run, and may have sent the task
            // elsewhere since.
            Some(Record::Withdrawn(mark)) if (epoch, attempt) <= *mark => {
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

    /// Refuses a task's starts up to this one, unless it was started. Tells whether it refused.
    pub fn withdraw(&mut self, now: time::Instant, id: &task::Id, mark: StartNumber) -> bool {
        let tasks = &mut self.job(now, &id.job).tasks;
        let record = tasks.entry(id.index).or_insert(Record::Withdrawn(mark));
        match record {
            Record::Withdrawn(newest) => {
                *newest = mark.max(*newest);
                true
            }
            Record::Started(_) | Record::Done(..) | Record::Gone => false,
        }
    }

    /// Takes back a start that turned out not to have run, so that it may run elsewhere. Returns
    /// which start it was.
    pub fn revert_start(&mut self, now: time::Instant, id: &task::Id) -> order::Attempt {
        let tasks = &mut self.job(now, &id.job).tasks;
        let mut attempt = 0;
        if let Some(Record::Started(mark)) = tasks.get(&id.index) {
            let mark = *mark;
            attempt = mark.1;
            tasks.insert(id.index, Record::Withdrawn(mark));
        }
        order::Attempt {
            id: id.clone(),
            attempt,
        }
    }

    /// Keeps the outcome of a task until its job is acknowledged, within the bound.
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
        self.kept.push_back(id.clone());
        self.kept_bytes += bytes;
        self.shed();
    }

    /// Tells how tasks stand, and withdraws those that were never seen.
    ///
    /// Guards against a start that is still on its way, on a connection that its owner has given
    /// up: once the owner was told "withdrawn" it may start the task elsewhere.
    pub fn resolve(
        &mut self,
        now: time::Instant,
        epoch: id::Epoch,
        asked: &[order::Attempt],
    ) -> Vec<(order::Attempt, TaskState)> {
        if epoch < self.epoch || !self.joined {
            return Vec::new();
        }
        let mut standings = Vec::with_capacity(asked.len());
        for attempt in asked {
            let id = &attempt.id;
            self.withdraw(now, id, (epoch, attempt.attempt));
            let record = &self.job(now, &id.job).tasks[&id.index];
            standings.push((attempt.clone(), record.standing()));
        }
        standings
    }

    /// The outcome and run time in microseconds of a task that is done and kept.
    pub fn answer(&self, id: &task::Id) -> Option<(task::Outcome, u64)> {
        match self.jobs.get(&id.job)?.tasks.get(&id.index)? {
            Record::Done(outcome, ran_us) => Some((outcome.clone(), *ran_us)),
            _ => None,
        }
    }

    /// Closes a job for a cancellation: what wasn't started never will be. Returns what runs.
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

    /// Drops a job's answers; the fact that its tasks were started stays for [`RETENTION`].
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

    /// Everything that this agent started and remembers.
    pub fn task_states(&self) -> Vec<(task::Id, TaskState)> {
        let mut tasks = Vec::new();
        for (job, record) in &self.jobs {
            for (index, task) in &record.tasks {
                let id = task::Id {
                    job: job.clone(),
                    index: *index,
                };
                tasks.push((id, task.standing()));
            }
        }
        tasks
    }

    /// Forgets jobs that nobody touched for [`RETENTION`] and that run nothing.
    pub fn forget_expired(&mut self, now: time::Instant) {
        let mut freed = 0;
        self.jobs.retain(|_, job| {
            let running = job.tasks.values().any(|t| matches!(t, Record::Started(_)));
            let keep = running || now.saturating_duration_since(job.touched) < RETENTION;
            if !keep {
                freed += job.tasks.values().map(Record::size).sum::<usize>();
            }
            keep
        });
        self.kept_bytes -= freed;
    }

    /// Bytes of answers that are kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn job(&mut self, now: time::Instant, key: &id::JobKey) -> &mut Job {
        let job = self.jobs.entry(key.clone()).or_insert_with(|| Job {
            tasks: BTreeMap::new(),
            closed: false,
            touched: now,
        });
        job.touched = now;
        job
    }

    /// Gives up the oldest answers once they take more room than there is.
    fn shed(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some(id) = self.kept.pop_front() else {
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
        // Acknowledged answers leave their ids behind; drop them once they outnumber the jobs.
        if self.kept.len() > 1024 + 4 * self.jobs.len() {
            let jobs = &self.jobs;
            self.kept.retain(|id| {
                let job = jobs.get(&id.job);
                job.is_some_and(|job| job.tasks.get(&id.index).is_some_and(|t| t.size() > 0))
            });
        }
    }
}

impl Record {
    fn standing(&self) -> TaskState {
        match self {
            Record::Started(_) => TaskState::Started,
            Record::Done(..) => TaskState::Done,
            Record::Gone => TaskState::Gone,
            Record::Withdrawn(_) => TaskState::Withdrawn,
        }
    }

    fn size(&self) -> usize {
        match self {
            Record::Done(outcome, _) => size(outcome),
            _ => 0,
        }
    }
}

fn size(outcome: &task::Outcome) -> usize {
    match outcome {
        task::Outcome::Done(value) => value.get().len().max(1),
        task::Outcome::Failed(_) => 1,
    }
}
