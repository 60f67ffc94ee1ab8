//! The configuration in force in one process: it only ever moves forward.

use std::sync::Arc;

use crate::class;
use crate::id;

/// Holds the newest configuration that this process has read.
#[derive(Clone, Debug, Default)]
pub struct Current {
    newest: Option<Arc<class::Versioned>>,
    heard: id::Version,
}

impl Current {
    /// Takes a configuration that was read; tells whether it is news.
    ///
    /// Guards against a slow read that overtakes a quick one: an older version never comes back
    /// into force.
    pub fn accept(&mut self, read: class::Versioned) -> bool {
        if read.version <= self.version() {
            return false;
        }
        self.newest = Some(Arc::new(read));
        true
    }

    /// Notes a version that another process says is in force.
    pub fn record_remote_version(&mut self, version: id::Version) {
        self.heard = self.heard.max(version);
    }

    /// Tells whether another process has a newer version, so that reading now is worth a message.
    pub fn is_behind(&self) -> bool {
        self.heard > self.version()
    }

    /// The newest version that was read or heard of.
    pub fn newest_known(&self) -> id::Version {
        self.heard.max(self.version())
    }

    /// The version in force; 0 before any was read.
    pub fn version(&self) -> id::Version {
        self.newest.as_ref().map_or(0, |v| v.version)
    }

    /// The configuration in force, or none before any was read.
    pub fn get(&self) -> Option<Arc<class::Versioned>> {
        self.newest.clone()
    }
}
