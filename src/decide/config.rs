//! The configuration in force in one process; its version never decreases.

use std::sync::Arc;

use crate::class;
use crate::id;

/// The newest configuration that this process has read, and the newest version that others have
/// announced.
#[derive(Clone, Debug, Default)]
pub struct Current {
    newest: Option<Arc<class::Versioned>>,
    remote_version: id::Version,
}

impl Current {
    /// Takes a configuration that was read from the store. Puts it into force and returns true if
    /// it is newer than the one in force.
    ///
    /// A slow read may finish after a later, quicker one; the check keeps its older version from
    /// coming back into force.
    pub fn accept(&mut self, read: class::Versioned) -> bool {
        if read.version <= self.version() {
            return false;
        }
        self.newest = Some(Arc::new(read));
        true
    }

    /// Records a version that another process says it has in force.
    pub fn record_remote_version(&mut self, version: id::Version) {
        self.remote_version = self.remote_version.max(version);
    }

    /// Returns whether another process has announced a newer version, so that this process should
    /// read the configuration now.
    pub fn is_behind(&self) -> bool {
        self.remote_version > self.version()
    }

    /// Returns the newest version that this process has read or another one has announced.
    pub fn newest_known(&self) -> id::Version {
        self.remote_version.max(self.version())
    }

    /// Returns the version in force; 0 before any was read.
    pub fn version(&self) -> id::Version {
        self.newest.as_ref().map_or(0, |v| v.version)
    }

    /// Returns the configuration in force, or `None` before any was read.
    pub fn get(&self) -> Option<Arc<class::Versioned>> {
        self.newest.clone()
    }
}
