//! Refuses new submissions while the entry stops.

use std::time;

use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;

/// Another entry can be tried at once.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(10);

/// The filter.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    if cx.draining {
        return Err(Refusal::new(code::Code::Draining).retry_after(RETRY_AFTER));
    }
    Ok(draft)
}
