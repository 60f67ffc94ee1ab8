//! Decides whether a job is accepted, from what agents report of the work that waits and of the room that
//! becomes free.
//!
//! [`late_outcomes`] judges by what became of late work whether more of it is accepted.
//! [`known`] holds every input of a decision, [`decision`] forecasts the wait and decides, and [`retry_after`]
//! tells callers of refused jobs when to submit them again.

pub mod decision;
pub mod known;
pub mod late_outcomes;
pub mod retry_after;
