//! What really happened, as the stand-in backend servers saw it, apart from the system's state.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::task;

/// Counts starts and broken promises; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    starts: HashMap<task::Id, u32>,
    started: HashMap<id::JobKey, u32>,
    work_after_leave: u64,
    cut_off: Vec<id::JobKey>,
    workers_died: u64,
    cancelled: HashSet<id::JobKey>,
    slot_micros: HashMap<id::ClientAccount, u64>,
    by_backend: HashMap<CompactString, u64>,
}

/// Counts on their way between processes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// Starts by task.
    pub starts: Vec<(task::Id, u32)>,
    /// Starts that came a few seconds after a leave.
    pub work_after_leave: u64,
    /// Jobs with a run that was cut off.
    pub cut_off: Vec<id::JobKey>,
    /// Slot time by client account, in microseconds.
    pub slot_micros: HashMap<id::ClientAccount, u64>,
}

impl Truth {
    /// Takes the counts away, so that the next run begins at nothing.
    pub fn take(&self) -> Snapshot {
        let inner = std::mem::take(&mut *self.lock());
        Snapshot {
            starts: inner.starts.into_iter().collect(),
            work_after_leave: inner.work_after_leave,
            cut_off: inner.cut_off,
            slot_micros: inner.slot_micros,
        }
    }

    /// Adds the counts of another process, so that a task started by two of them shows.
    pub fn add(&self, snapshot: Snapshot) {
        let mut inner = self.lock();
        for (id, n) in snapshot.starts {
            *inner.started.entry(id.job.clone()).or_default() += n;
            *inner.starts.entry(id).or_default() += n;
        }
        for (account, micros) in snapshot.slot_micros {
            *inner.slot_micros.entry(account).or_default() += micros;
        }
        inner.work_after_leave += snapshot.work_after_leave;
        inner.cut_off.extend(snapshot.cut_off);
    }

    /// Counts a start.
    pub fn start(&self, backend: &str, id: &task::Id) {
        let mut inner = self.lock();
        *inner.starts.entry(id.clone()).or_default() += 1;
        *inner.started.entry(id.job.clone()).or_default() += 1;
        *inner.by_backend.entry(backend.into()).or_default() += 1;
    }

    /// Counts a start that came a few seconds after its backend server had left.
    pub fn work_after_leave(&self) {
        self.lock().work_after_leave += 1;
    }

    /// Notes a run that was cut off by its agent while its backend server was alive.
    pub fn cut_off(&self, id: &task::Id) {
        self.lock().cut_off.push(id.job.clone());
    }

    /// Counts a worker that died unplanned.
    pub fn worker_died(&self) {
        self.lock().workers_died += 1;
    }

    /// Notes that a caller asked for a job to be withdrawn.
    pub fn cancelled(&self, job: &id::JobKey) {
        self.lock().cancelled.insert(job.clone());
    }

    /// Books slot time on a client account.
    pub fn used(&self, account: &str, micros: u64) {
        *self.lock().slot_micros.entry(account.into()).or_default() += micros;
    }

    /// Tasks started.
    pub fn tasks_started(&self) -> u64 {
        self.lock().starts.len() as u64
    }

    /// Tasks started more than once.
    pub fn started_twice(&self) -> Vec<task::Id> {
        let inner = self.lock();
        let twice = inner.starts.iter().filter(|(_, n)| **n > 1);
        twice.map(|(id, _)| id.clone()).collect()
    }

    /// Starts of a job's tasks.
    pub fn starts_of(&self, job: &str) -> u32 {
        self.lock().started.get(job).copied().unwrap_or(0)
    }

    /// Starts that came a few seconds after their backend server had left.
    pub fn late_work(&self) -> u64 {
        self.lock().work_after_leave
    }

    /// Jobs with a run that was cut off though no caller had cancelled them.
    pub fn cut_off_jobs(&self) -> Vec<id::JobKey> {
        let inner = self.lock();
        let uncalled = inner
            .cut_off
            .iter()
            .filter(|job| !inner.cancelled.contains(*job));
        uncalled.cloned().collect()
    }

    /// Workers that died unplanned.
    pub fn workers_died(&self) -> u64 {
        self.lock().workers_died
    }

    /// Slot time by client account, in microseconds.
    pub fn slot_micros(&self) -> HashMap<id::ClientAccount, u64> {
        self.lock().slot_micros.clone()
    }

    /// Starts by backend server.
    pub fn by_backend(&self) -> HashMap<CompactString, u64> {
        self.lock().by_backend.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the counts are whole")
    }
}
