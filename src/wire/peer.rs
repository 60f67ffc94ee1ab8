//! The messages between entries: an entry forwards submissions to the owner of their cell, and the
//! owner returns how they ended. They travel over a [`link`](crate::wire::link).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::class;
use crate::count;
use crate::decide::head;
use crate::id;
use crate::submission;

/// Time without a message after which an owner sends a heartbeat to another entry.
pub const HEARTBEAT: time::Duration = time::Duration::from_secs(1);

/// Time without a message after which the other entry begins to check whether the owner still
/// writes its heartbeat row in the table.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_500);

/// Time without a message from the owner, or without its confirmation of a message sent to it,
/// after which the other entry treats the link as failed.
pub const SILENCE: time::Duration = time::Duration::from_millis(2_500);

/// The first message of a link, which an entry sends to an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The entry that opens the link.
    pub entry: id::EntryId,
    /// The number that the entry gave this link; all later messages repeat it.
    pub link: id::Link,
}

/// A message from an entry to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Down {
    /// The sender.
    pub entry: id::EntryId,
    /// The link that carries the message.
    pub link: id::Link,
    /// The sender's configuration version, by which the receiver learns of a newer one.
    pub config: id::Version,
    /// The items of the message, in the order of sending.
    pub items: Vec<DownItem>,
}

/// One item of a message to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DownItem {
    /// A forwarded submission; the number is the sender's own, and the owner's answer repeats it.
    Submit(u64, Box<submission::Submission>),
    /// The cancellation of a job, with the sender's number for it.
    Cancel(u64, id::JobKey),
    /// The sender can't read the table, and wants the configuration if it is newer than this.
    WantConfig(id::Version),
    /// The configuration that the owner asked for.
    Config(Box<class::Versioned>),
    /// Sent after a time without other items, or when the sender has a newer configuration.
    Heartbeat,
}

/// A message from the owner to another entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Up {
    /// The sender.
    pub entry: id::EntryId,
    /// The link that carries the message.
    pub link: id::Link,
    /// Number of messages that the owner has received on this link; see
    /// [`delivery`](crate::decide::delivery).
    pub received: u64,
    /// The owner's configuration version, by which the receiver learns of a newer one.
    pub config: id::Version,
    /// The state of the watched rows as known to the owner, if it has read them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head: Option<Head>,
    /// The items of the message, in the order of sending.
    pub items: Vec<UpItem>,
}

/// The state of the watched rows as known to an owner, so that other entries need not read them.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Head {
    /// Digest of the rows as the owner read them.
    pub digest: head::Digest,
    /// Milliseconds since the rows were last known to have this digest.
    pub age_ms: u64,
}

/// One item of a message from the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpItem {
    /// How a submission ended, with the number that the receiver gave it.
    Ending(u64, Arc<submission::Ending>),
    /// The sender doesn't own the cell, or no longer, of the submission or cancellation that the
    /// receiver gave this number; the receiver looks up the owner again.
    NotOwner(u64),
    /// The sender can't read the table, and wants the configuration if it is newer than this.
    WantConfig(id::Version),
    /// The configuration that the receiver asked for.
    Config(Box<class::Versioned>),
    /// The configuration versions that the sender has received from other entries.
    Versions(BTreeMap<id::EntryId, id::Version>),
    /// Sent after a time without other items, or when the watched rows have changed.
    Heartbeat,
}

/// Returns the kind under which a message to the owner is counted: one with a submission or a
/// cancellation counts as forwarded work.
pub fn kind_down(items: &[DownItem]) -> count::Kind {
    let forwards = |item: &DownItem| matches!(item, DownItem::Submit(..) | DownItem::Cancel(..));
    if items.iter().any(forwards) {
        count::Kind::Forward
    } else {
        count::Kind::Control
    }
}

/// Returns the kind under which a message from the owner is counted: one that answers forwarded
/// work counts with that.
pub fn kind_up(items: &[UpItem]) -> count::Kind {
    let forwards = |item: &UpItem| matches!(item, UpItem::Ending(..) | UpItem::NotOwner(_));
    if items.iter().any(forwards) {
        count::Kind::Forward
    } else {
        count::Kind::Control
    }
}

/// Approximate bytes of an item, or of one task in it, without inputs and answers.
const ITEM_BYTES: usize = 300;

/// Returns the approximate size of an item to the owner on the wire, in bytes.
pub fn estimate_down_bytes(item: &DownItem) -> usize {
    match item {
        DownItem::Submit(_, submission) => {
            let tasks = submission.job.tasks.iter();
            ITEM_BYTES
                + tasks
                    .map(|task| ITEM_BYTES + task.input.get().len())
                    .sum::<usize>()
        }
        DownItem::Config(_) => class::MAX_DOCUMENT_BYTES,
        _ => ITEM_BYTES,
    }
}

/// Returns the approximate size of an item from the owner on the wire, in bytes.
pub fn estimate_up_bytes(item: &UpItem) -> usize {
    match item {
        UpItem::Ending(_, ending) => match &**ending {
            submission::Ending::Complete(answers) => {
                ITEM_BYTES
                    + answers
                        .iter()
                        .map(|answer| answer.get().len())
                        .sum::<usize>()
            }
            submission::Ending::Failed(_) => ITEM_BYTES,
        },
        UpItem::Config(_) => class::MAX_DOCUMENT_BYTES,
        _ => ITEM_BYTES,
    }
}
