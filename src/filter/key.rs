//! Checks the form of the submission key. A request may come without one; the parse filter then
//! refuses it unless it is idempotent, and the entry mints a key after the chain.

use crate::code;
use crate::filter::{Context, Draft, Kind};
use crate::key;
use crate::refusal::Refusal;

/// Passes a draft with a valid key, or a request without one, and refuses others with `KeyMissing`.
pub fn filter(_cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    let optional = draft.kind == Kind::Request;
    match &draft.key {
        Some(key) if is_key(key) => Ok(draft),
        None if optional => Ok(draft),
        Some(_) | None => Err(Refusal::new(code::Code::KeyMissing)),
    }
}

/// Tells whether a text is a valid submission key: 1 to [`key::MAX_KEY_BYTES`] visible ASCII
/// characters without a slash.
pub fn is_key(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && c != '/';
    (1..=key::MAX_KEY_BYTES).contains(&text.len()) && text.chars().all(allowed)
}
