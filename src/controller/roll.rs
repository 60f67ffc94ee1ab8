//! The list of live entries: each entry regularly writes a heartbeat into a row of its own and
//! reads the rows of the others.
//!
//! Only the spreading of cells over entries uses the list, so the worst effect of a wrong list is
//! an unnecessary takeover. With one cell there is nothing to spread, and the rows are neither
//! written nor read.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time;

use crate::id;
use crate::wire::platform::{self, Revision, Transaction};
use crate::wire::rows;

/// Time without a change of its row after which an entry counts as gone. The reader measures it by
/// its own clock between its reads, so clocks need not agree.
const GONE_AFTER: time::Duration = time::Duration::from_secs(7);

/// Least time between two refreshes of the list; in between, the last one's result is used.
const REFRESH_PAUSE: time::Duration = time::Duration::from_millis(1_900);

/// Delay between this entry's first heartbeat and its first read, so that entries that start at the
/// same time see each other.
const FIRST_READ_DELAY: time::Duration = time::Duration::from_millis(500);

/// The list of live entries, as seen by one entry.
pub struct Roll {
    table: platform::Table,
    entry: id::EntryId,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Number of heartbeats written; the row's value, so that each write changes it.
    heartbeats: u64,
    refreshed_at: Option<time::Instant>,
    /// The revision of each entry's row and when this entry first read that revision.
    last_changes: HashMap<id::EntryId, (Revision, time::Instant)>,
}

/// Opens the list for one entry; the table is used at the first [`Roll::refresh`].
pub fn open(table: platform::Table, entry: id::EntryId) -> Roll {
    Roll {
        table,
        entry,
        inner: Mutex::default(),
    }
}

impl Roll {
    /// Writes this entry's heartbeat and reads all rows, if that is due. Returns the live entries,
    /// this one included.
    pub async fn refresh(&self) -> Vec<id::EntryId> {
        let Some(heartbeats) = self.next_heartbeat() else {
            return self.live_entries();
        };
        let tx = Transaction::put(&rows::entry(&self.entry), heartbeats.to_string());
        // If the heartbeat is lost, this entry may count as gone for a moment. At worst the cells
        // are spread unevenly for that time, and one more takeover evens them out later.
        let _ = (self.table.commit)(tx).await;
        if heartbeats == 1 {
            tokio::time::sleep(FIRST_READ_DELAY).await;
        }
        if let Ok(found) = (self.table.scan)(rows::ENTRIES.into()).await {
            self.record_rows(&found);
        }
        self.live_entries()
    }

    /// Returns the number of the next heartbeat, if one is due.
    fn next_heartbeat(&self) -> Option<u64> {
        let mut inner = self.inner.lock().expect("the roll is whole");
        if inner
            .refreshed_at
            .is_some_and(|at| at.elapsed() < REFRESH_PAUSE)
        {
            return None;
        }
        inner.refreshed_at = Some(time::Instant::now());
        inner.heartbeats += 1;
        Some(inner.heartbeats)
    }

    /// Removes this entry from the list, so that other entries don't leave cells to it.
    pub async fn leave(&self) {
        let _ = (self.table.commit)(Transaction::remove([rows::entry(&self.entry)])).await;
    }

    /// Records the revisions of the rows read; those that have changed count as changed now.
    fn record_rows(&self, found: &[platform::Row]) {
        let now = time::Instant::now();
        let mut inner = self.inner.lock().expect("the roll is whole");
        let mut last_changes = HashMap::new();
        for row in found {
            let id: id::EntryId = row.key[rows::ENTRIES.len()..].into();
            let before = inner.last_changes.get(&id).copied();
            let unchanged = before.filter(|(revision, _)| *revision == row.revision);
            last_changes.insert(id, unchanged.unwrap_or((row.revision, now)));
        }
        inner.last_changes = last_changes;
    }

    /// Returns this entry and all others whose row changed within [`GONE_AFTER`].
    fn live_entries(&self) -> Vec<id::EntryId> {
        let inner = self.inner.lock().expect("the roll is whole");
        let others = inner.last_changes.iter();
        let mut alive: Vec<id::EntryId> = others
            .filter(|(id, (_, since))| **id != self.entry && since.elapsed() < GONE_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        alive.push(self.entry.clone());
        alive
    }
}
