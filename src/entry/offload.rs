//! Large inputs on their way in and large answers on their way out of an entry.

use compact_str::CompactString;
use serde_json::value::RawValue;

use crate::code::Code;
use crate::refusal::Refusal;
use crate::submission::{Ending, Submission};
use crate::wire::objects;
use crate::wire::platform;

/// Most bytes of answers that one reply carries.
pub const MAX_REPLY: usize = 64 * 1024 * 1024;

/// Stores the large inputs of a submission. Returns the names under which they are.
///
/// # Errors
///
/// Refuses the submission, with nothing run, where the object store doesn't take them.
pub async fn inputs(
    store: &platform::Objects,
    submission: &mut Submission,
) -> Result<Vec<CompactString>, Refusal> {
    let mut names = Vec::new();
    for task in &mut submission.job.tasks {
        if !objects::goes_outside(&task.input, objects::MAX_INLINE_INPUT) {
            continue;
        }
        match objects::store(store, "input", &task.input).await {
            Ok((name, stand_in)) => {
                names.push(name);
                task.input = stand_in;
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

/// Removes the inputs of a submission that has ended. One whose outcome is unknown may still run.
pub fn forget(store: &platform::Objects, names: Vec<CompactString>, ending: &Ending) {
    match ending {
        Ending::Failed(refusal) if refusal.unknown => {}
        Ending::Complete(_) | Ending::Failed(_) => objects::remove(store, names),
    }
}

/// Fetches the large answers among a job's answers.
///
/// # Errors
///
/// Fails where one can't be fetched, or all together are over [`MAX_REPLY`]: an answer is whole or
/// none.
pub async fn answers(
    store: &platform::Objects,
    answers: &[Box<RawValue>],
) -> Result<Vec<Box<RawValue>>, Refusal> {
    let mut whole = Vec::with_capacity(answers.len());
    let mut bytes = 0;
    for answer in answers {
        let value = objects::load(store, answer.clone()).await;
        let value = value.map_err(|_| Refusal::new(Code::AnswerInStore))?;
        bytes += value.get().len();
        if bytes > MAX_REPLY {
            return Err(Refusal::new(Code::AnswerTooLarge));
        }
        whole.push(value);
    }
    Ok(whole)
}
