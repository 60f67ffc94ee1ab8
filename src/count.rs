//! Counts messages between processes by kind, at the sender.
//!
//! "Wasted" is defined in `docs/MEASURES.md`: all messages less those that no dispatcher can do
//! without. The counters are shared by every part of a process and exported on `/metrics`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The kinds of message, one counter each.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A caller's submission or request.
    Submit,
    /// The answer to a caller.
    Reply,
    /// A submission passed to its owner, and its answer's way back.
    Forward,
    /// A message to an agent that carries starts.
    Start,
    /// A message from an agent that carries answers.
    Answer,
    /// A message to or from an agent that carries neither: heartbeat, fence, cancel, acknowledge.
    Control,
    /// A request to a backend server and its answer.
    Backend,
    /// A write to the platform's table and its answer.
    TableWrite,
    /// A read of the platform's table and its answer.
    TableRead,
    /// An object put, fetched or removed.
    Object,
}

/// Names of the kinds, in the order of the enum.
pub const NAMES: [&str; 10] = [
    "submit",
    "reply",
    "forward",
    "start",
    "answer",
    "control",
    "backend",
    "table_write",
    "table_read",
    "object",
];

/// What an operation takes from the budget towards the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Usage {
    /// A read.
    Read,
    /// A write.
    Write,
}

/// Names of the usages, in the order of the enum.
pub const USAGES: [&str; 2] = ["read", "write"];

/// The counters of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Messages {
    sent: Arc<[AtomicU64; 10]>,
    bytes: Arc<[AtomicU64; 10]>,
    delayed: Arc<[AtomicU64; 2]>,
    refused: Arc<[AtomicU64; 2]>,
}

impl Messages {
    /// Adds `n` messages of a kind.
    pub fn add(&self, kind: Kind, n: u64) {
        self.sent[kind as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Adds bytes of a kind, without what TCP and IP add to them.
    pub fn add_bytes(&self, kind: Kind, n: u64) {
        self.bytes[kind as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Adds one message of a kind with its bytes.
    pub fn sent(&self, kind: Kind, bytes: usize) {
        self.add(kind, 1);
        self.add_bytes(kind, bytes as u64);
    }

    /// Bytes of one kind.
    pub fn bytes(&self, kind: Kind) -> u64 {
        self.bytes[kind as usize].load(Ordering::Relaxed)
    }

    /// Bytes of control: links without starts, answers or submissions, and the platform's table.
    pub fn control_bytes(&self) -> u64 {
        [Kind::Control, Kind::TableWrite, Kind::TableRead]
            .into_iter()
            .map(|kind| self.bytes(kind))
            .sum()
    }

    /// Counts an operation that waited for the platform's budget.
    pub fn add_delayed(&self, usage: Usage) {
        self.delayed[usage as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an operation that wasn't sent, since the platform's budget had no room in time.
    pub fn add_refused(&self, usage: Usage) {
        self.refused[usage as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Operations that waited for the platform's budget, by usage.
    pub fn delayed(&self) -> BTreeMap<&'static str, u64> {
        by_usage(&self.delayed)
    }

    /// Operations that weren't sent for lack of budget, by usage.
    pub fn refused(&self) -> BTreeMap<&'static str, u64> {
        by_usage(&self.refused)
    }

    /// The count of one kind.
    pub fn get(&self, kind: Kind) -> u64 {
        self.sent[kind as usize].load(Ordering::Relaxed)
    }

    /// All counts by name.
    pub fn by_kind(&self) -> BTreeMap<&'static str, u64> {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        NAMES
            .iter()
            .copied()
            .zip(self.sent.iter().map(load))
            .collect()
    }
}

fn by_usage(counts: &[AtomicU64; 2]) -> BTreeMap<&'static str, u64> {
    let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
    USAGES
        .iter()
        .copied()
        .zip(counts.iter().map(load))
        .collect()
}
