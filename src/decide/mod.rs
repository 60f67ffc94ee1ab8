//! Pure decisions: events and `now` go in, actions come out. No socket, clock or thread inside.
//!
//! The daemons call this code with what they receive and carry out the actions that it returns.
//! Tests, the model checker and the benchmarks call the same code.

pub mod action;
pub mod backlog;
pub mod besteffort;
pub mod budget;
pub mod clients;
pub mod config;
pub mod delivery;
pub mod demand;
pub mod estimate;
pub mod fleet;
pub mod head;
pub mod health;
pub mod inherit;
pub mod job;
pub mod ledger;
pub mod line;
pub mod needs_group;
pub mod notice;
pub mod open_bytes;
pub mod order;
pub mod owner;
pub mod queue;
pub mod retry;
pub mod spread;
pub mod timing;
pub mod usage;
pub mod waiting;
