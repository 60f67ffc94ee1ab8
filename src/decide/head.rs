//! Decides when a process reads the small rows that all processes watch (those under `head/` in the
//! store), and when another process's read makes its own unnecessary.
//!
//! Owners read the rows at a fixed interval. Their messages to other entries carry a digest of the
//! rows and the age of that read. An entry that receives a digest equal to its own needs no read;
//! it reads at once if a newer digest differs, and at its own interval if it receives no recent
//! digest. `docs/design/membership.md` has the resulting bounds.

use std::time;

/// Interval between reads of an owner; other processes rely on its reads.
pub const OWNER_READ_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A process that owns no cell reads the rows once its newest confirmation of them is this old.
pub const MAX_CONFIRMATION_AGE: time::Duration = time::Duration::from_secs(3);

/// Digest of the rows' keys and revisions. It has 53 bits, the most that JSON numbers hold in other
/// languages.
pub type Digest = u64;

/// What one process knows of the watched rows: their digest and when it was last confirmed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchState {
    digest: Digest,
    /// When this process's newest read began.
    read_at: Option<time::Instant>,
    /// When the newest read that gave this digest began, whichever process made it.
    confirmed_at: Option<time::Instant>,
}

impl WatchState {
    /// Records a read that began at `begun`. Returns whether the rows have changed.
    pub fn record_read(&mut self, begun: time::Instant, digest: Digest) -> bool {
        let changed = self.read_at.is_none() || self.digest != digest;
        self.digest = digest;
        self.read_at = Some(begun);
        self.confirmed_at = self.confirmed_at.max(Some(begun));
        changed
    }

    /// Records a digest that another process read `age` ago. Returns whether to read at once.
    pub fn record_remote_read(
        &mut self,
        now: time::Instant,
        digest: Digest,
        age: time::Duration,
    ) -> bool {
        let read_at = now.checked_sub(age);
        if self.read_at.is_some() && digest == self.digest {
            self.confirmed_at = self.confirmed_at.max(read_at);
            return false;
        }
        // A digest that differs but is older than this process's own gives no reason to read.
        read_at > self.confirmed_at
    }

    /// Returns what this process may send to others: its digest and the age of its newest
    /// confirmation; `None` before its first read.
    pub fn known_digest(&self, now: time::Instant) -> Option<(Digest, time::Duration)> {
        let confirmed_at = self.confirmed_at?;
        Some((self.digest, now.saturating_duration_since(confirmed_at)))
    }

    /// Returns the time until the next read is due; `owns` is whether this process owns a cell.
    pub fn next_read_in(&self, now: time::Instant, owns: bool) -> time::Duration {
        let (since, interval) = if owns {
            (self.read_at, OWNER_READ_INTERVAL)
        } else {
            (self.confirmed_at, MAX_CONFIRMATION_AGE)
        };
        since.map_or(time::Duration::ZERO, |since| {
            (since + interval).saturating_duration_since(now)
        })
    }
}
