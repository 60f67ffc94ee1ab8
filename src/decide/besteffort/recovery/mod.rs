//! Decisions for the time after a loss of all processes: which submissions come again, and how much room is kept
//! free of work that can't be in time any more. They apply with the feature `recovery`;
//! `docs/design/hard-load.md` says why.

pub mod earlier_wait;
pub mod late_work;
