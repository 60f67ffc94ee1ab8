//! Refuses submissions before a configuration is in force.

use std::time;

use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;

/// Pause before a refused caller tries again. The entry reads the first configuration soon after
/// the table answers.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Passes a draft if a configuration is in force, and refuses others with `NoConfiguration`.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    if cx.config.is_none() {
        return Err(Refusal::new(code::Code::NoConfiguration).retry_after(RETRY_AFTER));
    }
    Ok(draft)
}
