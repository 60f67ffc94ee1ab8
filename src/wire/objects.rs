//! Large inputs and answers by way of the object store, so that links carry small messages only.
//!
//! The entry that takes a submission stores large inputs; the agent that runs a task fetches its
//! input, and stores a large answer; the entry that replies fetches it. In between a reference
//! stands for the value, which owners and ledgers handle as any other. `docs/design/messages.md`
//! has the limits.

use std::time;

use bytes::Bytes;
use compact_str::{format_compact, CompactString};
use serde::{Deserialize, Serialize};
use serde_json::value::{self, RawValue};

use crate::backoff;
use crate::wire::platform::{self, Error};

/// Largest input that travels inside messages, in bytes.
pub const MAX_INLINE_INPUT: usize = 64 * 1024;

/// Largest answer that travels inside messages, in bytes. A whole job of the most tasks that a
/// class may allow stays under half of a link's limit with it.
pub const MAX_INLINE_ANSWER: usize = 16 * 1024;

/// Attempts at one operation.
const TRIES: u32 = 4;

/// Pauses between the attempts, growing from the first to the second with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_PAUSE: time::Duration = time::Duration::from_millis(400);

/// What stands for a value that is in the object store.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Reference {
    lovagemill_object: CompactString,
}

fn reference(value: &RawValue) -> Option<Reference> {
    serde_json::from_str(value.get()).ok()
}

/// Tells whether a value goes through the object store: a large one, and one that reads like a
/// reference.
///
/// Guards against a caller or a backend server that writes a reference of its own and would so be
/// given another client account's object: what they write is always a value, never a reference.
pub fn needs_object_store(value: &RawValue, limit: usize) -> bool {
    value.get().len() > limit || reference(value).is_some()
}

/// Stores a value under a name of its own. Returns the name and what stands for the value.
///
/// # Errors
///
/// Returns an error where the object store doesn't take it after some attempts.
pub async fn store(
    objects: &platform::Objects,
    kind: &str,
    value: &RawValue,
) -> Result<(CompactString, Box<RawValue>), Error> {
    let name = format_compact!("{kind}-{:032x}", rand::random::<u128>());
    let body = Bytes::copy_from_slice(value.get().as_bytes());
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    for attempt in 1.. {
        // Nobody else writes this name, so a put that may have taken effect is simply repeated.
        match (objects.put)(name.clone(), body.clone()).await {
            Ok(()) => break,
            Err(e) if attempt >= TRIES => return Err(e),
            Err(_) => tokio::time::sleep(backoff.pause()).await,
        }
    }
    let reference = Reference {
        lovagemill_object: name.clone(),
    };
    let stand_in = value::to_raw_value(&reference).map_err(|_| Error::NotDone)?;
    Ok((name, stand_in))
}

/// Fetches the value that a reference stands for; any other value is returned as it is.
///
/// # Errors
///
/// Returns an error where the object can't be fetched after some attempts, or isn't there.
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
            Err(e) if attempt >= TRIES => return Err(e),
            Err(_) => tokio::time::sleep(backoff.pause()).await,
        }
    }
    Err(Error::Unknown)
}

/// Removes objects behind the caller's back. What stays, because the store is down or the process
/// ends, is left to the store's own expiry.
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
