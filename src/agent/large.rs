//! Transfers large inputs and answers of an agent's tasks through the object store. Inside messages
//! they could exceed a link's size limit.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time;

use compact_str::CompactString;
use serde_json::value::RawValue;

use crate::class;
use crate::code;
use crate::decide::ledger;
use crate::task;
use crate::wire::objects;
use crate::wire::platform;

/// How long a large answer stays in the object store: a job may take its whole target to end, and
/// its outcome is kept for resubmissions after that.
pub const ANSWER_RETENTION: time::Duration = class::MAX_TARGET.saturating_add(ledger::RETENTION);

/// Fetches large inputs from the object store and stores large answers there.
pub struct LargeValues {
    store: platform::Objects,
    /// When each answer was stored, and its name in the store; the oldest first.
    stored: Mutex<VecDeque<(time::Instant, CompactString)>>,
}

impl LargeValues {
    /// Uses `store`, and starts without stored answers.
    pub fn open(store: platform::Objects) -> LargeValues {
        LargeValues {
            store,
            stored: Mutex::default(),
        }
    }

    /// Returns the input of a task; fetches it if `input` is a reference to an object.
    ///
    /// # Errors
    ///
    /// Returns a code of the outcome "not run" if the object can't be fetched: nothing has been
    /// sent to the backend server by then.
    pub async fn fetch_input(&self, input: Box<RawValue>) -> Result<Box<RawValue>, code::Code> {
        let loaded = objects::load(&self.store, input).await;
        loaded.map_err(|_| code::Code::StoreDown)
    }

    /// Stores a large answer and returns the outcome with a reference in its place; returns any
    /// other outcome as it is. If the answer can't be stored, the task fails although it ran,
    /// because the answer inside a message could exceed a link's size limit.
    pub async fn store_answer(&self, outcome: task::Outcome) -> task::Outcome {
        let value = match outcome {
            task::Outcome::Done(value) => value,
            failed @ task::Outcome::Failed(_) => return failed,
        };
        if !objects::needs_object_store(&value, objects::MAX_INLINE_ANSWER) {
            return task::Outcome::Done(value);
        }
        match objects::store(&self.store, "answer", &value).await {
            Ok((name, reference)) => {
                let mut stored = self.stored.lock().expect("not poisoned");
                stored.push_back((time::Instant::now(), name));
                task::Outcome::Done(reference)
            }
            Err(_) => task::Outcome::Failed(code::Code::AnswerInStore),
        }
    }

    /// Removes answers that were stored at least [`ANSWER_RETENTION`] ago and are no longer needed.
    pub fn remove_expired(&self, now: time::Instant) {
        let mut stored = self.stored.lock().expect("not poisoned");
        let is_expired =
            |at: &time::Instant| now.saturating_duration_since(*at) >= ANSWER_RETENTION;
        let expired = stored.iter().take_while(|(at, _)| is_expired(at)).count();
        let names = stored.drain(..expired).map(|(_, name)| name).collect();
        objects::remove(&self.store, names);
    }
}
