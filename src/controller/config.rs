//! Keeps the configuration current: reads it when the watched rows or a message tell of a newer one.
//!
//! The entries' ownership loops watch the row with the newest version's number, and messages
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

/// Pause between reads that nothing asked for. Guards against a document that was written without
/// its version's row: nobody is told of it, and this read finds it all the same.
pub const POLL_PAUSE: time::Duration = time::Duration::from_secs(60);

/// Pause between reads before any document was found.
const FIRST: time::Duration = time::Duration::from_millis(300);

/// Pauses while the table fails, growing from the first to the second with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pause before a change whose answer was lost is looked for again.
const RESOLVE: time::Duration = time::Duration::from_millis(300);

/// Changes that are remembered with who made them.
const MAX_CHANGES: usize = 32;

/// How often a change whose answer was lost is looked for.
const RESOLVE_TRIES: u32 = 5;

/// The configuration of one process; clones share it.
#[derive(Clone)]
pub struct Config {
    table: platform::Table,
    current: Arc<Mutex<config::Current>>,
    news: Arc<Notify>,
}

/// What the loop reports.
pub struct Events {
    /// A version has come into force.
    pub changed: Box<dyn Fn(Arc<class::Versioned>) + Send + Sync>,
    /// A newer version than the one given exists, and the table can't be read.
    pub behind: Box<dyn Fn(id::Version) + Send + Sync>,
}

/// Opens the configuration; nothing is in force until [`Config::run`] has read a version.
pub fn open(table: platform::Table) -> Config {
    Config {
        table,
        current: Arc::default(),
        news: Arc::default(),
    }
}

impl Config {
    /// The configuration in force, or none before any was read.
    pub fn get(&self) -> Option<Arc<class::Versioned>> {
        self.lock().get()
    }

    /// The version in force; 0 before any was read.
    pub fn version(&self) -> id::Version {
        self.lock().version()
    }

    /// The newest version that this process has heard of.
    pub fn newest_known(&self) -> id::Version {
        self.lock().newest_known()
    }

    /// Notes a version that another process has in force or that a row tells of.
    pub fn note_version(&self, version: id::Version) {
        let mut current = self.lock();
        current.hear(version);
        if current.is_behind() {
            self.news.notify_one();
        }
    }

    /// Takes a whole configuration that another process has read.
    pub fn accept_document(&self, offered: class::Versioned) {
        if self.lock().accept(offered) {
            self.news.notify_one();
        }
    }

    /// Keeps the configuration current for ever.
    pub async fn run(self, events: Events) {
        let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
        let mut reported = 0;
        loop {
            let mut pause = POLL_PAUSE;
            if self.wants_read(reported) {
                pause = match self.read().await {
                    Ok(found) => {
                        backoff.reset();
                        if found {
                            POLL_PAUSE
                        } else {
                            FIRST
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
            let _ = tokio::time::timeout(pause, self.news.notified()).await;
        }
    }

    /// A document that came from a peer needs no read; everything else that wakes the loop does.
    fn wants_read(&self, reported: id::Version) -> bool {
        let current = self.lock();
        current.is_behind() || current.version() == reported
    }

    /// Reads the document and takes it over; tells whether there is one.
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
    /// Refuses a mistaken document, an outdated base, and a table that can't be reached. Where the
    /// answer was lost, reading tells whether the change took effect.
    pub async fn change(
        &self,
        base: id::Version,
        document: class::Document,
    ) -> Result<id::Version, (code::Code, Vec<class::Mistake>)> {
        let mistakes = document.mistakes();
        if !mistakes.is_empty() {
            return Err((code::Code::ConfigInvalid, mistakes));
        }
        let plain = |code| (code, Vec::new());
        let row = (self.table.get)(rows::CONFIG.into()).await;
        let row = row.map_err(|_| plain(code::Code::StoreDown))?;
        let (version, revision) = match &row {
            Some(row) => (version_of(&row.value), row.revision),
            None => (0, 0),
        };
        if version != base {
            return Err(plain(code::Code::VersionConflict));
        }
        let next = class::Versioned {
            version: version + 1,
            document,
        };
        let value = serde_json::to_string(&next).map_err(|_| plain(code::Code::ConfigInvalid))?;
        let mut head = self.read_head().await.map_err(plain)?.unwrap_or_default();
        // JSON numbers of other languages hold 53 bits.
        let number = rand::random::<u64>() >> 11;
        head.version = next.version;
        head.changes.push((next.version, number));
        let old = head.changes.len().saturating_sub(MAX_CHANGES);
        head.changes.drain(..old);
        let mut tx = Transaction::put_if(rows::CONFIG, revision, value);
        tx.writes.push(Write {
            key: rows::CONFIG_VERSION.into(),
            value: serde_json::to_string(&head).ok(),
        });
        match (self.table.commit)(tx).await {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(_)) => return Err(plain(code::Code::VersionConflict)),
            Err(platform::Error::NotDone) => return Err(plain(code::Code::StoreDown)),
            Err(platform::Error::Unknown) => {
                let found = self.resolve(next.version, number).await;
                found.map_err(plain)?;
            }
        }
        let version = next.version;
        self.accept_document(next);
        Ok(version)
    }

    async fn read_head(&self) -> Result<Option<rows::ConfigHead>, code::Code> {
        let row = (self.table.get)(rows::CONFIG_VERSION.into()).await;
        let row = row.map_err(|_| code::Code::StoreDown)?;
        Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
    }

    /// Reads whether a change whose answer was lost took effect.
    ///
    /// Guards against a later change that hides it: the document alone would tell that another was
    /// accepted, and this one would be refused although it had been in force.
    async fn resolve(&self, version: id::Version, number: u64) -> Result<(), code::Code> {
        for _ in 0..RESOLVE_TRIES {
            let head = self.read_head().await.ok().flatten().unwrap_or_default();
            let change = head.changes.iter().find(|(of, _)| *of == version);
            match change {
                Some((_, found)) if *found == number => return Ok(()),
                Some(_) => return Err(code::Code::VersionConflict),
                // The write may still be under way, so "not there" proves nothing.
                None => tokio::time::sleep(RESOLVE).await,
            }
        }
        Err(code::Code::ChangeUnknown)
    }
}

fn version_of(value: &str) -> id::Version {
    serde_json::from_str::<class::Versioned>(value).map_or(0, |v| v.version)
}
