//! Serves nothing before a configuration is in force.

use std::time;

use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;

/// A first configuration is read soon after the table answers.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// The filter.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    if cx.config.is_none() {
        return Err(Refusal::new(code::Code::NoConfiguration).retry_after(RETRY_AFTER));
    }
    Ok(draft)
}
