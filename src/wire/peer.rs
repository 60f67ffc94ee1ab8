//! Between entries: submissions passed to the owner of their cell, and the answers' way back.

use std::sync::Arc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::count;
use crate::id;
use crate::submission;

/// Pause between heartbeats of an owner to another entry.
pub const HEARTBEAT: time::Duration = time::Duration::from_secs(1);

/// Silence after which the other entry takes the link for dead.
pub const SILENCE: time::Duration = time::Duration::from_millis(2_500);

/// The hello of an entry to an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Who connects.
    pub entry: id::EntryId,
}

/// A message to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Down {
    /// The sender.
    pub entry: id::EntryId,
    /// The sender's configuration version, so that news spreads on messages.
    pub config: id::Version,
    /// What is passed on.
    pub items: Vec<Passed>,
}

/// One thing that is passed to an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Passed {
    /// A submission; `seq` is the sender's own number for its answer.
    Submit(u64, Box<submission::Submission>),
    /// A cancellation.
    Cancel(u64, id::JobKey),
    /// Nothing else was said for a while.
    Heartbeat,
}

/// A message of the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Up {
    /// The owner's configuration version.
    pub config: id::Version,
    /// What it has to say.
    pub items: Vec<Returned>,
}

/// One thing that an owner returns.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Returned {
    /// How a submission ended.
    Ending(u64, Arc<submission::Ending>),
    /// The receiver isn't the owner, or no longer; the sender looks again.
    NotOwner(u64),
    /// Nothing else was said for a while.
    Heartbeat,
}

/// The kind under which a message to the owner is counted.
pub fn kind_down(items: &[Passed]) -> count::Kind {
    if items.iter().all(|item| matches!(item, Passed::Heartbeat)) {
        count::Kind::Control
    } else {
        count::Kind::Forward
    }
}

/// The kind under which a message of the owner is counted.
pub fn kind_up(items: &[Returned]) -> count::Kind {
    if items.iter().all(|item| matches!(item, Returned::Heartbeat)) {
        count::Kind::Control
    } else {
        count::Kind::Forward
    }
}
