//! Evacuated failure domains: nothing new starts on their backend servers until operators take them back into
//! service.
//!
//! Operators write an evacuation to the platform's store, which the entries read. The entries tell the
//! agents, and an evacuated agent refuses starts by itself. If only the entries knew, one that is cut off
//! from the store would go on sending work into the domain for as long as that lasts. Every announcement
//! carries the version of the store at which it was read, and an agent believes the newest version, so that
//! an entry that has read nothing for a while can't bring back an old state. `docs/design/evacuation.md`
//! compares the alternatives.

use std::collections::BTreeSet;
use std::time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How often an unchanged state is repeated to an agent. An evacuation may begin and end between two readings
/// of one entry, while another entry reads its beginning and is then cut off from the store: without the
/// repetition the agent would believe it for ever. It costs a few bytes in a message that is sent anyway.
const REPEAT_AFTER: time::Duration = time::Duration::from_secs(2);

/// The state of an agent's failure domain, as an entry announces it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainState {
    /// The version of the store at which the state was read; one counter for the whole store.
    pub version: u64,
    /// Whether the domain is evacuated.
    pub evacuated: bool,
}

/// The result of one reading of the platform's store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreReading {
    /// The newest version of the store at that time.
    pub version: u64,
    /// Whether `domains` holds all evacuated domains, and not only the changed ones.
    pub is_complete: bool,
    /// Failure domains, and whether each is evacuated.
    pub domains: Vec<(CompactString, bool)>,
}

/// What an entry knows of all failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    version: u64,
    domains: BTreeSet<CompactString>,
}

impl Evacuations {
    /// Applies a reading, unless it is older than what is known. Returns whether any domain was evacuated or
    /// taken back.
    pub fn update(&mut self, reading: &StoreReading) -> bool {
        if reading.version < self.version {
            return false;
        }
        self.version = reading.version;
        let before = self.domains.clone();
        if reading.is_complete {
            self.domains.clear();
        }
        for (domain, evacuated) in &reading.domains {
            if *evacuated {
                self.domains.insert(domain.clone());
            } else {
                self.domains.remove(domain);
            }
        }
        self.domains != before
    }

    /// Returns the domains that are evacuated.
    pub fn domains(&self) -> &BTreeSet<CompactString> {
        &self.domains
    }

    /// Returns the state to announce to the agents of a domain; none before anything was read.
    pub fn domain_state(&self, domain: &str) -> Option<DomainState> {
        (self.version > 0).then(|| DomainState {
            version: self.version,
            evacuated: self.domains.contains(domain),
        })
    }
}

impl DomainState {
    /// Adopts another state of the same domain unless it was read at an older version. Returns whether
    /// this evacuated the domain or took it back into service.
    pub fn update(&mut self, other: DomainState) -> bool {
        if other.version < self.version {
            return false;
        }
        let changed = other.evacuated != self.evacuated;
        *self = other;
        changed
    }
}

/// What an entry last announced to an agent on the present link, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastSent(Option<(bool, time::Duration)>);

impl LastSent {
    /// Returns the state if it has to go into the next message: when it differs from what the agent was told,
    /// or when the last announcement is [`REPEAT_AFTER`] ago.
    pub fn due(&mut self, now: time::Duration, state: Option<DomainState>) -> Option<DomainState> {
        let state = state?;
        let is_known = |(evacuated, at): (bool, time::Duration)| {
            evacuated == state.evacuated && now.saturating_sub(at) < REPEAT_AFTER
        };
        if self.0.is_some_and(is_known) {
            return None;
        }
        self.0 = Some((state.evacuated, now));
        Some(state)
    }
}
