//! Checks the submission key; an idempotent request without one gets one later.

use crate::code;
use crate::filter::{Context, Draft, Kind};
use crate::key;
use crate::refusal::Refusal;

/// The filter.
pub fn filter(_cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    let optional = draft.kind == Kind::Request;
    match &draft.key {
        Some(key) if is_key(key) => Ok(draft),
        None if optional => Ok(draft),
        Some(_) | None => Err(Refusal::new(code::Code::KeyMissing)),
    }
}

/// Tells whether a text may be a submission key.
pub fn is_key(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && c != '/';
    (1..=key::MAX_KEY_BYTES).contains(&text.len()) && text.chars().all(allowed)
}
