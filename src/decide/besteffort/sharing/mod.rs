//! Shares room between entries by the work that waits at each of them, with the feature `demand`.
//!
//! Without it an agent knows only the first waiting task of each entry, and an entry only how many entries
//! compete for an agent's room. [`demand`] is what entries state of their waiting work, and what counts of it at
//! one agent. [`rates`] measures what an agent's runs free and what is started there. [`lending`] chooses the entry
//! that gets free room, and [`turns`] the class that goes first at an entry so that it isn't starved.
//! `docs/design/hard-load.md` says which loads this addresses.

pub mod demand;
pub mod lending;
pub mod rates;
pub mod turns;
