//! Large inputs and answers of an agent's tasks, which go through the object store.

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

/// How long a stored answer is kept: a job may take its whole target to end, and its ending is kept
/// for resubmissions after that.
pub const LIFE: time::Duration = class::MAX_TARGET.saturating_add(ledger::RETENTION);

/// The object store as an agent uses it.
pub struct Large {
    store: platform::Objects,
    /// Answers that were stored, oldest first.
    kept: Mutex<VecDeque<(time::Instant, CompactString)>>,
}

impl Large {
    /// Opens an agent's use of the object store.
    pub fn open(store: platform::Objects) -> Large {
        Large {
            store,
            kept: Mutex::default(),
        }
    }

    /// The input of a task, fetched where it was stored.
    ///
    /// # Errors
    ///
    /// Returns a code that says "not run": nothing was sent to the backend server yet.
    pub async fn input(&self, input: Box<RawValue>) -> Result<Box<RawValue>, code::Code> {
        let loaded = objects::load(&self.store, input).await;
        loaded.map_err(|_| code::Code::StoreDown)
    }

    /// How a task ended, with a large answer stored. One that can't be stored fails the task, which
    /// ran; sent inside messages it could go over a link's limit.
    pub async fn outcome(&self, outcome: task::Outcome) -> task::Outcome {
        let value = match outcome {
            task::Outcome::Done(value) => value,
            failed @ task::Outcome::Failed(_) => return failed,
        };
        if !objects::needs_object_store(&value, objects::MAX_INLINE_ANSWER) {
            return task::Outcome::Done(value);
        }
        match objects::store(&self.store, "answer", &value).await {
            Ok((name, stand_in)) => {
                let mut kept = self.kept.lock().expect("the list is whole");
                kept.push_back((time::Instant::now(), name));
                task::Outcome::Done(stand_in)
            }
            Err(_) => task::Outcome::Failed(code::Code::AnswerInStore),
        }
    }

    /// Removes answers that nobody may ask for any more.
    pub fn sweep(&self, now: time::Instant) {
        let mut kept = self.kept.lock().expect("the list is whole");
        let is_old = |at: &time::Instant| now.saturating_duration_since(*at) >= LIFE;
        let old = kept.iter().take_while(|(at, _)| is_old(at)).count();
        let names = kept.drain(..old).map(|(_, name)| name).collect();
        objects::remove(&self.store, names);
    }
}
