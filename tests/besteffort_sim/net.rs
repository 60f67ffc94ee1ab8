//! Links between entries and agents: in order, delayed, held back, cut and reset.

use lovagemill::decide::besteffort::message::{AgentMessage, EntryMessage};

use crate::server::Ms;

/// Which end a line goes to.
#[derive(Clone, Debug)]
pub enum Line {
    ToAgent(Box<EntryMessage>),
    ToEntry(Box<AgentMessage>),
}

/// One connection; a new one has a larger number.
#[derive(Clone, Debug, Default)]
pub struct Link {
    pub number: u64,
    /// Whether the agent's side is open.
    pub agent_open: bool,
    /// Whether the entry's side is open.
    pub entry_open: bool,
    /// Until when lines to the agent and to the entry are held back.
    pub held: (Ms, Ms),
    /// When the last line to each side arrives; later lines never overtake it.
    pub last: (Ms, Ms),
    /// The agent's clock as last heard by the entry, and when.
    pub seen: (u64, Ms),
    /// When each side heard the other last.
    pub heard: (Ms, Ms),
    pub taken: u64,
    /// What a busy entry has for the agent and hasn't written yet.
    pub outgoing: Option<EntryMessage>,
}
