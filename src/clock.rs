//! The wall clock's one home. Decisions take the time as an argument; only daemons read it here.

use std::time;

/// Reads the wall clock, counted from the Unix epoch.
pub fn since_epoch() -> time::Duration {
    let now = time::SystemTime::now();
    now.duration_since(time::UNIX_EPOCH).unwrap_or_default()
}
