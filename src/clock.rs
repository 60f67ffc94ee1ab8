//! The wall clock's one home. Decisions take the time as an argument; only daemons read it here.

use std::time;

/// Reads the wall clock, counted from the Unix epoch.
pub fn since_epoch() -> time::Duration {
    let now = time::SystemTime::now();
    now.duration_since(time::UNIX_EPOCH).unwrap_or_default()
}

/// Time since the machine started, counting the time for which it was suspended.
///
/// Leases, silence and deadlines are reckoned on this clock. [`time::Instant`] stands still while a
/// machine is suspended, so that a process that wakes would believe its leases to be fresh although
/// their tasks may already run elsewhere (`docs/design/besteffort.md`).
pub fn since_boot() -> time::Duration {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.map_or_else(|_| since_epoch(), time::Duration::from)
}
