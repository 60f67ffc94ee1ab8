//! The one clock of the stand-ins: milliseconds since the program started, steady.

use std::sync::OnceLock;
use std::time::Instant;

static BEGAN: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call.
pub fn now_ms() -> u64 {
    BEGAN.get_or_init(Instant::now).elapsed().as_millis() as u64
}
