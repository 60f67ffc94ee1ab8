//! Keeps the configuration current: a slow poll, and at once when a message tells of a newer one.

use std::sync::{Arc, Mutex};
use std::time;

use anyhow::anyhow;
use tokio::sync::Notify;

use crate::class;
use crate::code;
use crate::decide::config;
use crate::id;
use crate::wire::platform::{self, Commit, Transaction};
use crate::wire::rows;

/// Pause between polls. A change is in force everywhere within this at the latest, since the news
/// also rides on messages (`docs/design/configuration.md`).
pub const POLL: time::Duration = time::Duration::from_secs(3);

/// Pause after a failed read, and while there is no configuration yet.
const RETRY: time::Duration = time::Duration::from_millis(300);

/// The configuration of one process; clones share it.
#[derive(Clone)]
pub struct Config {
    table: platform::Table,
    current: Arc<Mutex<config::Current>>,
    news: Arc<Notify>,
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
        self.current
            .lock()
            .expect("the configuration is whole")
            .get()
    }

    /// The version in force; 0 before any was read.
    pub fn version(&self) -> id::Version {
        self.current
            .lock()
            .expect("the configuration is whole")
            .version()
    }

    /// Notes a version that another process has in force.
    pub fn hear(&self, version: id::Version) {
        let mut current = self.current.lock().expect("the configuration is whole");
        current.hear(version);
        if current.is_behind() {
            self.news.notify_one();
        }
    }

    /// Polls for ever; calls `changed` with every version that comes into force.
    pub async fn run(self, changed: impl Fn(Arc<class::Versioned>)) {
        loop {
            let pause = match self.read().await {
                Ok(Some(config)) => {
                    log::info!("configuration version {} is in force", config.version);
                    changed(config);
                    POLL
                }
                // Before the first version nothing is served, and nobody may know of a newer one.
                Ok(None) if self.version() == 0 => RETRY,
                Ok(None) => POLL,
                Err(e) => {
                    log::warn!("the configuration can't be read: {e}");
                    RETRY
                }
            };
            let _ = tokio::time::timeout(pause, self.news.notified()).await;
        }
    }

    async fn read(&self) -> anyhow::Result<Option<Arc<class::Versioned>>> {
        let row = (self.table.get)(rows::CONFIG.into()).await;
        let row = row.map_err(|e| anyhow!("{e:?}"))?;
        let Some(row) = row else {
            return Ok(None);
        };
        let read: class::Versioned = serde_json::from_str(&row.value)?;
        let mut current = self.current.lock().expect("the configuration is whole");
        Ok(current.accept(read).then(|| current.get()).flatten())
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
        let tx = Transaction::put_if(rows::CONFIG, revision, value.clone());
        match (self.table.commit)(tx).await {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(_)) => return Err(plain(code::Code::VersionConflict)),
            Err(platform::Error::NotDone) => return Err(plain(code::Code::StoreDown)),
            Err(platform::Error::Unknown) => self.resolve(&value).await.map_err(plain)?,
        }
        self.hear(next.version);
        Ok(next.version)
    }

    /// Reads whether a change whose answer was lost took effect.
    async fn resolve(&self, value: &str) -> Result<(), code::Code> {
        for _ in 0..5 {
            match (self.table.get)(rows::CONFIG.into()).await {
                Ok(Some(row)) if row.value == value => return Ok(()),
                Ok(Some(row)) if version_of(&row.value) >= version_of(value) => {
                    return Err(code::Code::VersionConflict)
                }
                // The write may still be under way, so "not there" proves nothing.
                Ok(_) | Err(_) => tokio::time::sleep(RETRY).await,
            }
        }
        Err(code::Code::ChangeUnknown)
    }
}

fn version_of(value: &str) -> id::Version {
    serde_json::from_str::<class::Versioned>(value).map_or(0, |v| v.version)
}
