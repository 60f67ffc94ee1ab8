//! The roll of entries: each writes a row of its own now and then, and sees who else does.
//!
//! Only the spread of cells uses it, so a wrong view costs a takeover at worst. With one cell there
//! is nothing to spread, and neither rows nor reads are spent on it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time;

use crate::id;
use crate::wire::platform::{self, Revision, Transaction};
use crate::wire::rows;

/// Time without a change of its row after which an entry is taken for gone. Measured by the
/// reader's own clock between its reads, so clocks need not agree.
const GONE_AFTER: time::Duration = time::Duration::from_secs(7);

/// Pause between two calls; looks in between use what the last one found.
const PAUSE: time::Duration = time::Duration::from_millis(1_900);

/// Time that the first call leaves to entries that start at the same moment.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);

/// The roll as one entry keeps it.
pub struct Roll {
    table: platform::Table,
    entry: id::EntryId,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    beats: u64,
    called: Option<time::Instant>,
    seen: HashMap<id::EntryId, (Revision, time::Instant)>,
}

/// Opens the roll of one entry.
pub fn open(table: platform::Table, entry: id::EntryId) -> Roll {
    Roll {
        table,
        entry,
        inner: Mutex::default(),
    }
}

impl Roll {
    /// Writes this entry's row and reads all; returns who is alive, this entry included.
    pub async fn refresh(&self) -> Vec<id::EntryId> {
        let Some(beats) = self.next_beat() else {
            return self.alive();
        };
        let tx = Transaction::put(&rows::entry(&self.entry), beats.to_string());
        // A beat that is lost makes this entry look gone for a moment, which costs nothing but a
        // cell that somebody pulls later.
        let _ = (self.table.commit)(tx).await;
        if beats == 1 {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
        if let Ok(found) = (self.table.scan)(rows::ENTRIES.into()).await {
            self.note(&found);
        }
        self.alive()
    }

    /// Numbers the next beat, if one is due.
    fn next_beat(&self) -> Option<u64> {
        let mut inner = self.inner.lock().expect("the roll is whole");
        if inner.called.is_some_and(|at| at.elapsed() < PAUSE) {
            return None;
        }
        inner.called = Some(time::Instant::now());
        inner.beats += 1;
        Some(inner.beats)
    }

    /// Strikes this entry off, so that nobody leaves cells to it.
    pub async fn leave(&self) {
        let _ = (self.table.commit)(Transaction::remove([rows::entry(&self.entry)])).await;
    }

    fn note(&self, found: &[platform::Row]) {
        let now = time::Instant::now();
        let mut inner = self.inner.lock().expect("the roll is whole");
        let mut seen = HashMap::new();
        for row in found {
            let id: id::EntryId = row.key[rows::ENTRIES.len()..].into();
            let before = inner.seen.get(&id).copied();
            let unchanged = before.filter(|(revision, _)| *revision == row.revision);
            seen.insert(id, unchanged.unwrap_or((row.revision, now)));
        }
        inner.seen = seen;
    }

    fn alive(&self) -> Vec<id::EntryId> {
        let inner = self.inner.lock().expect("the roll is whole");
        let others = inner.seen.iter();
        let mut alive: Vec<id::EntryId> = others
            .filter(|(id, (_, since))| **id != self.entry && since.elapsed() < GONE_AFTER)
            .map(|(id, _)| id.clone())
            .collect();
        alive.push(self.entry.clone());
        alive
    }
}
