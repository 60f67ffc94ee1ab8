//! Refuses jobs of a class that the configuration doesn't define.

use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;

/// Passes a draft whose class is defined, and refuses others with `UnknownClass`.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    let class = draft.job.as_ref().map(|job| &job.class);
    let document = cx.config.as_ref().map(|config| &config.document);
    match (class, document) {
        (Some(class), Some(document)) if document.class(class).is_some() => Ok(draft),
        (Some(class), _) => Err(Refusal::detailed(code::Code::UnknownClass, class)),
        (None, _) => Err(Refusal::new(code::Code::BadJson)),
    }
}
