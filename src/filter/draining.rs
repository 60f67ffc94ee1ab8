//! Refuses new submissions while the entry drains.

use std::time;

use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;

/// Pause before a refused caller tries again; short, since it can try another entry at once.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(10);

/// Passes a draft, or refuses it with `Draining` while the entry drains.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    if cx.draining {
        return Err(Refusal::new(code::Code::Draining).retry_after(RETRY_AFTER));
    }
    Ok(draft)
}
