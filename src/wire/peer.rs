//! Between entries: submissions passed to the owner of their cell, and the answers' way back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::count;
use crate::decide::head;
use crate::id;
use crate::submission;

/// Silence after which an owner sends a heartbeat to another entry.
pub const HEARTBEAT: time::Duration = time::Duration::from_secs(1);

/// Silence after which the other entry begins to watch whether the owner still beats in the table.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// Silence after which the other entry takes the link for dead.
pub const SILENCE: time::Duration = time::Duration::from_millis(2_500);

/// The hello of an entry to an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Who connects.
    pub entry: id::EntryId,
    /// Its number for this link.
    pub link: id::Link,
}

/// A message to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Down {
    /// The sender.
    pub entry: id::EntryId,
    /// The link that carries the message.
    pub link: id::Link,
    /// The sender's configuration version, so that news spreads on messages.
    pub config: id::Version,
    /// What is passed on.
    pub items: Vec<DownItem>,
}

/// One thing that is passed to an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DownItem {
    /// A submission; `seq` is the sender's own number for its answer.
    Submit(u64, Box<submission::Submission>),
    /// A cancellation.
    Cancel(u64, id::JobKey),
    /// The sender can't read the table, and wants the configuration if it is newer than this.
    WantConfig(id::Version),
    /// The configuration that the owner wanted.
    Config(Box<class::Versioned>),
    /// Nothing else was said for a while, or the sender has a newer configuration.
    Heartbeat,
}

/// A message of the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Up {
    /// The sender.
    pub entry: id::EntryId,
    /// The link that carries the message.
    pub link: id::Link,
    /// Messages that came on this link so far; see [`delivery`](crate::decide::delivery).
    pub received: u64,
    /// The owner's configuration version.
    pub config: id::Version,
    /// What the owner knows of the watched rows, if it has read them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<Head>,
    /// What it has to say.
    pub items: Vec<UpItem>,
}

/// What an owner tells of the watched rows, so that others need not read them.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Head {
    /// Stands for the rows as the owner read them.
    pub digest: head::Digest,
    /// Milliseconds since that was last known to be so.
    pub age_ms: u64,
}

/// One thing that an owner returns.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpItem {
    /// How a submission ended.
    Ending(u64, Arc<submission::Ending>),
    /// The receiver isn't the owner, or no longer; the sender looks again.
    NotOwner(u64),
    /// The sender can't read the table, and wants the configuration if it is newer than this.
    WantConfig(id::Version),
    /// The configuration that the receiver wanted.
    Config(Box<class::Versioned>),
    /// The configuration versions of the entries that the sender has heard.
    Versions(BTreeMap<id::EntryId, id::Version>),
    /// Nothing else was said for a while, or the watched rows have changed.
    Heartbeat,
}

/// The kind under which a message to the owner is counted.
pub fn kind_down(items: &[DownItem]) -> count::Kind {
    let forwards = |item: &DownItem| matches!(item, DownItem::Submit(..) | DownItem::Cancel(..));
    if items.iter().any(forwards) {
        count::Kind::Forward
    } else {
        count::Kind::Control
    }
}

/// The kind under which a message of the owner is counted.
pub fn kind_up(items: &[UpItem]) -> count::Kind {
    let forwards = |item: &UpItem| matches!(item, UpItem::Ending(..) | UpItem::NotOwner(_));
    if items.iter().any(forwards) {
        count::Kind::Forward
    } else {
        count::Kind::Control
    }
}

/// Bytes that an item takes beside what varies, about.
const ITEM: usize = 300;

/// About how many bytes an item to the owner takes on the wire.
pub fn estimate_down_bytes(item: &DownItem) -> usize {
    match item {
        DownItem::Submit(_, submission) => {
            let tasks = submission.job.tasks.iter();
            ITEM + tasks
                .map(|task| ITEM + task.input.get().len())
                .sum::<usize>()
        }
        DownItem::Config(_) => class::MAX_DOCUMENT_BYTES,
        _ => ITEM,
    }
}

/// About how many bytes an item of the owner takes on the wire.
pub fn estimate_up_bytes(item: &UpItem) -> usize {
    match item {
        UpItem::Ending(_, ending) => match &**ending {
            submission::Ending::Complete(answers) => {
                ITEM + answers
                    .iter()
                    .map(|answer| answer.get().len())
                    .sum::<usize>()
            }
            submission::Ending::Failed(_) => ITEM,
        },
        UpItem::Config(_) => class::MAX_DOCUMENT_BYTES,
        _ => ITEM,
    }
}
