//! Passes large inputs and answers through the object store, so that links carry only small
//! messages.
//!
//! The entry that accepts a submission stores large inputs; the agent that runs a task fetches its
//! input, and stores a large answer; the entry that replies fetches it. Messages carry a reference
//! to the stored object in place of the value, which owners and ledgers handle like any other
//! value. `docs/design/messages.md` has the limits.

use std::time;

use bytes::Bytes;
use compact_str::{format_compact, CompactString};
use serde::{Deserialize, Serialize};
use serde_json::value::{self, RawValue};

use crate::backoff;
use crate::wire::platform::{self, Error};

/// Largest input that messages carry themselves, in bytes.
pub const MAX_INLINE_INPUT: usize = 64 * 1024;

/// Largest answer that messages carry themselves, in bytes. With it, the answers of a job with the
/// most tasks that a class may allow stay under half of a link's message limit.
pub const MAX_INLINE_ANSWER: usize = 16 * 1024;

/// Maximum number of attempts at one operation.
const MAX_ATTEMPTS: u32 = 4;

/// Bounds of the backoff between attempts, which grows from the first to the second with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Replaces, in messages, a value that is in the object store.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Reference {
    /// Name of the object.
    lovagemill_object: CompactString,
}

fn reference(value: &RawValue) -> Option<Reference> {
    serde_json::from_str(value.get()).ok()
}

/// Returns whether a value must be put into the object store: one of more than `limit` bytes, or
/// one that has the form of a reference.
///
/// A value of that form is stored because a caller or a backend server could otherwise write a
/// reference itself and so receive another client account's object. What they write is always a
/// value, never a reference.
pub fn needs_object_store(value: &RawValue, limit: usize) -> bool {
    value.get().len() > limit || reference(value).is_some()
}

/// Stores a value under a unique name that starts with `kind`. Returns the name and the reference
/// that replaces the value in messages.
///
/// # Errors
///
/// Returns the error of the last attempt if several attempts failed.
pub async fn store(
    objects: &platform::Objects,
    kind: &str,
    value: &RawValue,
) -> Result<(CompactString, Box<RawValue>), Error> {
    let name = format_compact!("{kind}-{:032x}", rand::random::<u128>());
    let body = Bytes::copy_from_slice(value.get().as_bytes());
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    for attempt in 1.. {
        // No other process writes this name, so a put that may have taken effect can be repeated.
        match (objects.put)(name.clone(), body.clone()).await {
            Ok(()) => break,
            Err(e) if attempt >= MAX_ATTEMPTS => return Err(e),
            Err(_) => tokio::time::sleep(backoff.pause()).await,
        }
    }
    let reference = Reference {
        lovagemill_object: name.clone(),
    };
    let encoded = value::to_raw_value(&reference).map_err(|_| Error::NotDone)?;
    Ok((name, encoded))
}

/// Fetches the value that a reference names; any other value is returned unchanged.
///
/// # Errors
///
/// Returns an error if several attempts failed, or if the object doesn't exist or isn't JSON.
pub async fn load(
    objects: &platform::Objects,
    value: Box<RawValue>,
) -> Result<Box<RawValue>, Error> {
    let Some(reference) = reference(&value) else {
        return Ok(value);
    };
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    for attempt in 1.. {
        match (objects.get)(reference.lovagemill_object.clone()).await {
            Ok(Some(body)) => {
                return serde_json::from_slice(&body).map_err(|_| Error::Unknown);
            }
            Ok(None) => return Err(Error::NotDone),
            Err(e) if attempt >= MAX_ATTEMPTS => return Err(e),
            Err(_) => tokio::time::sleep(backoff.pause()).await,
        }
    }
    Err(Error::Unknown)
}

/// Removes objects in the background, without retries. Objects that remain because the store is
/// down or the process ends are left to the store's own expiry.
pub fn remove(objects: &platform::Objects, names: Vec<CompactString>) {
    if names.is_empty() {
        return;
    }
    let remove = objects.remove.clone();
    tokio::spawn(async move {
        for name in names {
            let _ = remove(name).await;
        }
    });
}
