//! When a process reads the small rows that everybody watches, and when hearing of them is enough.
//!
//! Owners read the rows at a steady pace and their messages to other entries carry a digest of
//! what they read and its age. An entry that hears the digest which it has itself needs no read of
//! its own; it reads at once where a fresher digest differs, and at its own pace where nothing
//! fresh is heard. `docs/design/membership.md` has the bounds that follow.

use std::time;

/// Pause between reads of an owner, on whose reads others rely.
pub const OWNER_READ_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Age of the freshest news after which any process reads for itself.
pub const MAX_CONFIRMATION_AGE: time::Duration = time::Duration::from_secs(3);

/// Stands for the rows and their revisions, in 53 bits.
pub type Digest = u64;

/// What one process knows of the watched rows.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchState {
    digest: Digest,
    read_at: Option<time::Instant>,
    fresh_at: Option<time::Instant>,
}

impl WatchState {
    /// Notes a read that began at `begun`; tells whether the rows have changed.
    pub fn record_read(&mut self, begun: time::Instant, digest: Digest) -> bool {
        let changed = self.read_at.is_none() || self.digest != digest;
        self.digest = digest;
        self.read_at = Some(begun);
        self.fresh_at = self.fresh_at.max(Some(begun));
        changed
    }

    /// Notes what another process read `age` ago; tells whether to read at once.
    pub fn record_remote_read(
        &mut self,
        now: time::Instant,
        digest: Digest,
        age: time::Duration,
    ) -> bool {
        let read_at = now.checked_sub(age);
        if self.read_at.is_some() && digest == self.digest {
            self.fresh_at = self.fresh_at.max(read_at);
            return false;
        }
        // An older digest that differs is only what this process knew before.
        read_at > self.fresh_at
    }

    /// What this process may tell others: its digest and the age of the newest proof of it.
    pub fn known_digest(&self, now: time::Instant) -> Option<(Digest, time::Duration)> {
        let fresh_at = self.fresh_at?;
        Some((self.digest, now.saturating_duration_since(fresh_at)))
    }

    /// Time until the next read is due.
    pub fn next_read_in(&self, now: time::Instant, owns: bool) -> time::Duration {
        let (since, pause) = if owns {
            (self.read_at, OWNER_READ_INTERVAL)
        } else {
            (self.fresh_at, MAX_CONFIRMATION_AGE)
        };
        since.map_or(time::Duration::ZERO, |since| {
            (since + pause).saturating_duration_since(now)
        })
    }
}
