//! Decisions for best-effort jobs, which are kept nowhere and answered when they have ended.
//!
//! The entry that a job came to is its only owner: [`board`] holds the jobs, places their tasks on
//! agents and decides what a loss means; [`view`] is what an entry knows of one agent; [`learn`]
//! turns run times into estimates; [`earlier_wait`] tells callers that come again; [`subset`] says which agents are
//! linked to, [`asking`] which of these are asked for room, [`draw`] which of those that suit a task alike gets it;
//! [`crashes`] which tasks crash what they run on; [`policy`] holds every threshold of these decisions.
//!
//! At the agent, [`slots`] shares the backend server's room between entries and makes sure that nothing
//! outlives the entry that asked for it; [`lease`] reckons how long the backend server may go on by
//! itself. Both sides know by [`evacuation`] which failure domains get nothing new.
//! `docs/design/besteffort.md` has the argument.

pub mod asking;
pub mod board;
pub mod crashes;
pub mod draw;
pub mod earlier_wait;
pub mod evacuation;
pub mod flow;
pub mod job;
pub mod learn;
pub mod lease;
pub mod message;
pub mod policy;
pub mod slots;
pub mod subset;
pub mod view;
