//! Decisions for best-effort jobs. Such jobs are stored nowhere and are answered when they have ended.
//!
//! The entry that receives a job is its only owner. [`board`] holds the entry's jobs, places their tasks on
//! agents and decides what the loss of an agent means. [`view`] is what an entry knows of one agent, and
//! [`recent_stops`] the stops that it has lately sent there.
//! [`learn`] turns run times into estimates. [`earlier_wait`] recognises callers that submit a job again, and
//! [`flow`] measures the rate at which an entry gets room. [`subset`] chooses the agents that the entry links
//! to, [`asking`] which of these to ask for room, and [`draw`] picks one of several agents that suit a task
//! equally well. [`crashes`] finds the tasks that crash backend servers. [`policy`] holds every threshold of
//! these decisions. [`features`] are the optional ones that settings switch on, and [`told`] is what both sides
//! tell each other of load and speed. [`admission`] decides on new jobs from what agents report, [`sharing`]
//! shares room between entries by their waiting work, [`recovery`] decides on work that comes again after a loss
//! of everything, and [`pace`] learns the speeds of backend servers and places tasks by them.
//!
//! At the agent, [`slots`] shares the backend server's room between entries and ensures that no run outlives
//! the entry that asked for it. [`lease`] computes how long runs may continue after the agent's last renewal.
//! Entries and agents both know by [`evacuation`] in which failure domains nothing new may start.
//! `docs/design/besteffort.md` has the argument.

pub mod admission;
pub mod asking;
pub mod board;
pub mod crashes;
pub mod draw;
pub mod earlier_wait;
pub mod evacuation;
pub mod features;
pub mod flow;
pub mod job;
pub mod learn;
pub mod lease;
pub mod message;
pub mod pace;
pub mod policy;
pub mod recent_stops;
pub mod recovery;
pub mod sharing;
pub mod slots;
pub mod subset;
pub mod told;
pub mod view;
