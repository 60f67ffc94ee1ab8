//! The stand-in table's rules, in memory: sorted rows, revisions, conditional transactions.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::wire::platform::{Commit, Revision, Row, Transaction};

/// The rows of a stand-in table.
#[derive(Clone, Debug, Default)]
pub struct Store {
    rows: BTreeMap<CompactString, (String, Revision)>,
    revision: Revision,
}

impl Store {
    /// Reads one row.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|(value, revision)| Row {
            key: key.into(),
            value: value.clone(),
            revision: *revision,
        })
    }

    /// Reads all rows under a prefix, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(CompactString::from(prefix)..);
        let under = from.take_while(|(key, _)| key.starts_with(prefix));
        let row = |(key, (value, revision)): (&CompactString, &(String, Revision))| Row {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        under.map(row).collect()
    }

    /// Does all writes if all conditions hold, else none.
    pub fn commit(&mut self, tx: &Transaction) -> Commit {
        for condition in &tx.conditions {
            let now = self
                .rows
                .get(&condition.key)
                .map_or(0, |(_, revision)| *revision);
            if now != condition.revision {
                return Commit::Conflict(condition.key.clone());
            }
        }
        self.revision += 1;
        for write in &tx.writes {
            match &write.value {
                Some(value) => {
                    let row = (value.clone(), self.revision);
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Commit::Done(self.revision)
    }
}
