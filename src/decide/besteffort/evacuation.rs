//! Which failure domains operators have evacuated: nothing new starts on their backend servers until
//! they are taken back.
//!
//! Operators write it to the platform's store, which the entries read. An agent is told by the entries and
//! refuses by itself. Did only the entries know, one that is cut off from the store would go on
//! sending work into the domain for as long as that lasts. Every word has the version of the store
//! that it was read at, and the agent believes the newest one, so that an entry that has read nothing
//! for a while can't bring an old word back. `docs/design/evacuation.md` weighs the ways.

use std::collections::BTreeSet;
use std::time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How often an agent is told again what hasn't changed. An evacuation may begin and be taken back between
/// two looks of one entry while another entry sees its beginning and is then cut off from the store: the
/// agent would believe in it for good. A few bytes on a line that leaves anyway.
const AGAIN: time::Duration = time::Duration::from_secs(2);

/// What an entry tells an agent of its failure domain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainState {
    /// The version of the store at which it was true; one count for the whole store.
    pub version: u64,
    /// Whether the domain is evacuated.
    pub evacuated: bool,
}

/// What one look at the platform's store brought.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreReading {
    /// The newest version of the store then.
    pub version: u64,
    /// Whether these are all domains that are evacuated, not only those of which that has changed.
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
    /// Takes in a reading; one that is older than what is known is passed over. Returns whether any domain
    /// was evacuated or taken back.
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

    /// The domains that are evacuated.
    pub fn domains(&self) -> &BTreeSet<CompactString> {
        &self.domains
    }

    /// What to tell the agents of a domain; nothing before anything was read.
    pub fn domain_state(&self, domain: &str) -> Option<DomainState> {
        (self.version > 0).then(|| DomainState {
            version: self.version,
            evacuated: self.domains.contains(domain),
        })
    }
}

impl DomainState {
    /// Takes in another word on the same domain: the one read at a newer version holds. Returns whether
    /// the domain was evacuated or taken back by it.
    pub fn update(&mut self, other: DomainState) -> bool {
        if other.version < self.version {
            return false;
        }
        let changed = other.evacuated != self.evacuated;
        *self = other;
        changed
    }
}

/// What an entry has told one agent on the link that is up.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastSent(Option<(bool, time::Duration)>);

impl LastSent {
    /// Which part of a word the next line should carry: all of it where the agent hasn't heard it yet or
    /// for [`AGAIN`], else nothing.
    pub fn due(&mut self, now: time::Duration, word: Option<DomainState>) -> Option<DomainState> {
        let word = word?;
        let is_known = |(evacuated, at): (bool, time::Duration)| {
            evacuated == word.evacuated && now.saturating_sub(at) < AGAIN
        };
        if self.0.is_some_and(is_known) {
            return None;
        }
        self.0 = Some((word.evacuated, now));
        Some(word)
    }
}
