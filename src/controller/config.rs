//! Keeps the configuration of a process current: reads the document from the table when the watched
//! rows or a message show that there is a newer version.
//!
//! The entries' ownership loops watch the row that holds the newest version's number, and messages
//! between entries carry the number too, so the document itself is read only when it has changed.
//! A process that knows of a newer version and can't read the table asks its peers for the
//! document. `docs/design/configuration.md` has the bounds.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use anyhow::anyhow;
use tokio::sync::Notify;

use crate::backoff;
use crate::class;
use crate::code;
use crate::decide::config;
use crate::id;
use crate::wire::platform::{self, Commit, Transaction, Write};
use crate::wire::rows;

/// Pause between reads without a sign of a newer version. Guards against a document that was
/// written without the row of its version: no process learns of it except by this read.
pub const POLL_PAUSE: time::Duration = time::Duration::from_secs(60);

/// Pause between reads as long as the table holds no document.
const NO_DOCUMENT_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Shortest and longest pause between reads while the table fails; it grows with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pause between reads that look for a change whose answer was lost.
const RESOLVE_PAUSE: time::Duration = time::Duration::from_millis(300);

/// How many of the latest changes the version's row lists, each with the random number that was
/// drawn for it.
const MAX_KEPT_CHANGES: usize = 32;

/// Number of reads that look for a change whose answer was lost.
const RESOLVE_TRIES: u32 = 5;

/// The configuration of one process; clones share it.
#[derive(Clone)]
pub struct Config {
    table: platform::Table,
    current: Arc<Mutex<config::Current>>,
    /// Wakes the loop.
    wake: Arc<Notify>,
}

/// Callbacks of the loop.
pub struct Events {
    /// A newer version has come into force.
    pub changed: Box<dyn Fn(Arc<class::Versioned>) + Send + Sync>,
    /// The table can't be read; the argument is the version in force, and a newer one may exist.
    pub behind: Box<dyn Fn(id::Version) + Send + Sync>,
}

/// Opens the configuration; nothing is in force until [`Config::run`] has read a version.
pub fn open(table: platform::Table) -> Config {
    Config {
        table,
        current: Arc::default(),
        wake: Arc::default(),
    }
}

impl Config {
    /// Returns the configuration in force, or none before any was read.
    pub fn get(&self) -> Option<Arc<class::Versioned>> {
        self.lock().get()
    }

    /// Returns the version in force, or 0 before any was read.
    pub fn version(&self) -> id::Version {
        self.lock().version()
    }

    /// Returns the newest version that this process knows to exist.
    pub fn newest_known(&self) -> id::Version {
        self.lock().newest_known()
    }

    /// Notes that a version exists, by a message of another process or by the version's row; a
    /// newer one makes the loop read the document.
    pub fn note_version(&self, version: id::Version) {
        let mut current = self.lock();
        current.record_remote_version(version);
        if current.is_behind() {
            self.wake.notify_one();
        }
    }

    /// Puts a document into force that another process has read, if it is newer than the current
    /// one.
    pub fn accept_document(&self, offered: class::Versioned) {
        if self.lock().accept(offered) {
            self.wake.notify_one();
        }
    }

    /// Keeps the configuration current; never returns.
    pub async fn run(self, events: Events) {
        let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
        let mut reported = 0;
        loop {
            let mut pause = POLL_PAUSE;
            if self.needs_read(reported) {
                pause = match self.read().await {
                    Ok(found) => {
                        backoff.reset();
                        if found {
                            POLL_PAUSE
                        } else {
                            NO_DOCUMENT_PAUSE
                        }
                    }
                    Err(e) => {
                        log::warn!("the configuration can't be read: {e}");
                        (events.behind)(self.version());
                        backoff.pause()
                    }
                };
            }
            if let Some(config) = self.get().filter(|config| config.version > reported) {
                reported = config.version;
                log::info!("configuration version {reported} is in force");
                (events.changed)(config);
            }
            let _ = tokio::time::timeout(pause, self.wake.notified()).await;
        }
    }

    /// Tells whether the loop has to read the table after it woke up. If it woke up because a newer
    /// document came from a peer, it only has to report that document.
    fn needs_read(&self, reported: id::Version) -> bool {
        let current = self.lock();
        current.is_behind() || current.version() == reported
    }

    /// Reads the document and puts it into force if it is newer. Tells whether there is one.
    async fn read(&self) -> anyhow::Result<bool> {
        let row = (self.table.get)(rows::CONFIG.into()).await;
        let row = row.map_err(|e| anyhow!("{e:?}"))?;
        let Some(row) = row else {
            return Ok(false);
        };
        let read: class::Versioned = serde_json::from_str(&row.value)?;
        self.lock().accept(read);
        Ok(true)
    }

    fn lock(&self) -> MutexGuard<'_, config::Current> {
        self.current.lock().expect("the configuration is whole")
    }

    /// Changes the document if `base` is still the newest version.
    ///
    /// # Errors
    ///
    /// Fails if the document has mistakes, which are returned, if `base` isn't the newest version,
    /// if another change was quicker, or if the table can't be reached. If the answer to the write
    /// was lost, the table is read to find out whether the change took effect; if the reads don't
    /// show it, the error says that this is unknown.
    pub async fn change(
        &self,
        base: id::Version,
        document: class::Document,
    ) -> Result<id::Version, (code::Code, Vec<class::Mistake>)> {
        let mistakes = document.mistakes();
        if !mistakes.is_empty() {
            return Err((code::Code::ConfigInvalid, mistakes));
        }
        let without_mistakes = |code| (code, Vec::new());
        let row = (self.table.get)(rows::CONFIG.into()).await;
        let row = row.map_err(|_| without_mistakes(code::Code::StoreDown))?;
        let (version, revision) = match &row {
            Some(row) => (version_of(&row.value), row.revision),
            None => (0, 0),
        };
        if version != base {
            return Err(without_mistakes(code::Code::VersionConflict));
        }
        let next = class::Versioned {
            version: version + 1,
            document,
        };
        let value = serde_json::to_string(&next)
            .map_err(|_| without_mistakes(code::Code::ConfigInvalid))?;
        let mut head = self
            .read_head()
            .await
            .map_err(without_mistakes)?
            .unwrap_or_default();
        // 53 bits are the most that a JSON number holds exactly in other languages.
        let number = rand::random::<u64>() >> 11;
        head.version = next.version;
        head.changes.push((next.version, number));
        let old = head.changes.len().saturating_sub(MAX_KEPT_CHANGES);
        head.changes.drain(..old);
        let mut tx = Transaction::put_if(rows::CONFIG, revision, value);
        tx.writes.push(Write {
            key: rows::CONFIG_VERSION.into(),
            value: serde_json::to_string(&head).ok(),
        });
        match (self.table.commit)(tx).await {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(_)) => return Err(without_mistakes(code::Code::VersionConflict)),
            Err(platform::Error::NotDone) => return Err(without_mistakes(code::Code::StoreDown)),
            Err(platform::Error::Unknown) => {
                let found = self.resolve_change(next.version, number).await;
                found.map_err(without_mistakes)?;
            }
        }
        let version = next.version;
        self.accept_document(next);
        Ok(version)
    }

    /// Reads the row with the newest version's number and the latest changes.
    async fn read_head(&self) -> Result<Option<rows::ConfigHead>, code::Code> {
        let row = (self.table.get)(rows::CONFIG_VERSION.into()).await;
        let row = row.map_err(|_| code::Code::StoreDown)?;
        Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
    }

    /// Reads from the table whether a change whose answer was lost took effect.
    ///
    /// Guards against a later change that hides it: the document alone would show only that another
    /// change was accepted, and this one would be refused although it had been in force.
    async fn resolve_change(&self, version: id::Version, number: u64) -> Result<(), code::Code> {
        for _ in 0..RESOLVE_TRIES {
            let head = self.read_head().await.ok().flatten().unwrap_or_default();
            let change = head.changes.iter().find(|(of, _)| *of == version);
            match change {
                Some((_, found)) if *found == number => return Ok(()),
                Some(_) => return Err(code::Code::VersionConflict),
                // The write may still be under way, so a missing change proves nothing.
                None => tokio::time::sleep(RESOLVE_PAUSE).await,
            }
        }
        Err(code::Code::ChangeUnknown)
    }
}

/// Returns the version of a document as it is stored, or 0 if it can't be read.
fn version_of(value: &str) -> id::Version {
    serde_json::from_str::<class::Versioned>(value).map_or(0, |v| v.version)
}
