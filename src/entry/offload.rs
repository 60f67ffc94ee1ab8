//! Moves large inputs of submissions into the object store and loads large answers from it.

use compact_str::CompactString;
use serde_json::value::RawValue;

use crate::code::Code;
use crate::refusal::Refusal;
use crate::submission::{Ending, Submission};
use crate::wire::objects;
use crate::wire::platform;

/// Most bytes that the answers in one reply have together; a reply with more is refused whole.
pub const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Stores the large inputs of a submission and replaces each by a reference to its object. Returns
/// the names of the objects.
///
/// # Errors
///
/// Refuses the submission, with nothing run, if the object store doesn't take an input.
pub async fn store_inputs(
    store: &platform::Objects,
    submission: &mut Submission,
) -> Result<Vec<CompactString>, Refusal> {
    let mut names = Vec::new();
    for task in &mut submission.job.tasks {
        if !objects::needs_object_store(&task.input, objects::MAX_INLINE_INPUT) {
            continue;
        }
        match objects::store(store, "input", &task.input).await {
            Ok((name, placeholder)) => {
                names.push(name);
                task.input = placeholder;
            }
            Err(_) => {
                objects::remove(store, names);
                let detail = "a large input can't be stored";
                return Err(Refusal::detailed(Code::StoreDown, detail));
            }
        }
    }
    Ok(names)
}

/// Removes the stored inputs of a submission that has ended. If its outcome is unknown they stay,
/// since it may still run.
pub fn remove_inputs(store: &platform::Objects, names: Vec<CompactString>, ending: &Ending) {
    match ending {
        Ending::Failed(refusal) if refusal.unknown => {}
        Ending::Complete(_) | Ending::Failed(_) => objects::remove(store, names),
    }
}

/// Loads the large answers among a job's answers from the object store and returns all answers.
///
/// # Errors
///
/// Refuses the whole reply if one answer can't be loaded, or if all together are over
/// [`MAX_REPLY_BYTES`]: a reply never holds only a part of the answers.
pub async fn load_answers(
    store: &platform::Objects,
    answers: &[Box<RawValue>],
) -> Result<Vec<Box<RawValue>>, Refusal> {
    let mut loaded = Vec::with_capacity(answers.len());
    let mut bytes = 0;
    for answer in answers {
        let value = objects::load(store, answer.clone()).await;
        let value = value.map_err(|_| Refusal::new(Code::AnswerInStore))?;
        bytes += value.get().len();
        if bytes > MAX_REPLY_BYTES {
            return Err(Refusal::new(Code::AnswerTooLarge));
        }
        loaded.push(value);
    }
    Ok(loaded)
}
