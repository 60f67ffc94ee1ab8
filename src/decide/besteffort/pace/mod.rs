//! The speeds of backend servers, and placement by them; see `docs/design/hard-load.md`.
//!
//! An agent measures its backend server over the runs of all entries ([`observed`]). An entry combines what
//! agents report ([`told`]) and chooses for each task among the agents where it meets its target
//! ([`matching`]), which is set against the nominal run time ([`nominal`]).

pub mod matching;
pub mod nominal;
pub mod observed;
pub mod told;
