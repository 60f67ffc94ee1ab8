//! Type aliases for the ids that travel through the system.
//!
//! Ids are short texts chosen by people or settings, or counters kept in the platform's table. The
//! words are explained in `docs/GLOSSARY.md`.

use compact_str::CompactString;

/// Names one agent, the process beside a backend server; from its settings.
pub type AgentId = CompactString;

/// Numbers a cell: the agents and submission keys that one entry owns at a time.
pub type Cell = u16;

/// Names a class of work; from the configuration document.
pub type ClassName = CompactString;

/// Names a client account; from the caller's request.
pub type ClientAccount = CompactString;

/// Names one entry process; from its settings.
pub type EntryId = CompactString;

/// Counts the owners of a cell. A larger epoch fences off every smaller one.
pub type Epoch = u64;

/// Tells two lives of one process apart. Chosen at random when a process starts.
pub type Incarnation = u64;

/// A client account's submission key, prefixed with the client account so that two never meet.
pub type JobKey = CompactString;

/// Tells the links of a process apart; chosen at random by the side that connects.
pub type Link = u64;

/// Numbers a task inside its job, from 0.
pub type TaskIndex = u32;

/// Counts the accepted versions of the configuration document, from 1.
pub type Version = u64;
