//! A race of operators, and what it must not break, as seen from outside by polling the entries.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time;

use hyper::Method;
use rand::Rng;
use serde_json::json;

use crate::class;
use crate::demo::caller::Caller;
use crate::demo::scene::Scene;
use crate::demo::tally::Race;
use crate::id;
use crate::wire::http;

/// Operators that change the configuration at once, and the changes that each tries.
const OPERATORS: usize = 4;
const CHANGES: usize = 4;

/// Pause between looks at an entry.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// Time without an answer from which an entry counts as having been silent.
const SILENCE: time::Duration = time::Duration::from_secs(1);

/// Within this, an accepted version has to be in force everywhere.
const IN_FORCE: time::Duration = time::Duration::from_secs(5);

/// What was seen: acceptances, and every entry's versions.
#[derive(Default)]
struct Seen {
    accepted: Vec<(id::Version, class::Document, time::Instant)>,
    /// By address: when each version was first shown, and the newest.
    shown: BTreeMap<String, BTreeMap<id::Version, time::Instant>>,
    /// By address: when it last answered, and when it last did so again after a silence.
    heard: BTreeMap<String, (time::Instant, time::Instant)>,
    documents: BTreeMap<id::Version, class::Document>,
    broken: u64,
}

/// Lets operators race while every entry is watched, and tallies what was broken.
pub async fn run(scene: &Scene) {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let watching = tokio::spawn(watch(scene.caller.clone(), seen.clone()));
    let mut operators = tokio::task::JoinSet::new();
    for operator in 0..OPERATORS {
        operators.spawn(operate(operator, scene.caller.clone(), seen.clone()));
    }
    while operators.join_next().await.is_some() {}
    tokio::time::sleep(IN_FORCE).await;
    watching.abort();
    let seen = seen.lock().expect("what was seen is whole");
    scene.tally.raced(seen.judge(&scene.caller));
}

async fn operate(operator: usize, caller: Caller, seen: Arc<Mutex<Seen>>) {
    for change in 0..CHANGES {
        let entries = caller.entries().all();
        let entry = &entries[rand::rng().random_range(0..entries.len())];
        let Some(before) = show(&caller, entry).await else {
            continue;
        };
        let mut document = before.document;
        // A quota that binds nobody, and that no other change sets.
        document.quotas = vec![class::Quota {
            client_account: "nobody".into(),
            waiting_tasks: (1 + operator * 1_000 + change) as i64,
        }];
        let body = json!({ "base": before.version, "document": document }).to_string();
        let call = http::Call::new(Method::PUT, "/v1/config".to_owned(), body);
        let Some(answer) = caller.call(entry, call).await else {
            continue;
        };
        let accepted: Result<BTreeMap<String, u64>, _> = serde_json::from_slice(&answer.body);
        if let (true, Ok(accepted)) = (answer.status.is_success(), accepted) {
            let version = accepted["version"];
            let mut seen = seen.lock().expect("what was seen is whole");
            seen.accepted
                .push((version, document, time::Instant::now()));
        }
    }
}

async fn show(caller: &Caller, entry: &str) -> Option<class::Versioned> {
    let call = http::Call::new(Method::GET, "/v1/config".to_owned(), Vec::new());
    let answer = caller.call(entry, call).await?;
    serde_json::from_slice(&answer.body).ok()
}

/// Looks at every entry for as long as the race is on; each has a loop of its own, so that one
/// that doesn't answer hides nothing of the others.
async fn watch(caller: Caller, seen: Arc<Mutex<Seen>>) {
    let mut watched = tokio::task::JoinSet::new();
    let mut known = Vec::new();
    loop {
        for entry in caller.entries().all() {
            if !known.contains(&entry) {
                known.push(entry.clone());
                watched.spawn(watch_one(entry, caller.clone(), seen.clone()));
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn watch_one(entry: String, caller: Caller, seen: Arc<Mutex<Seen>>) {
    loop {
        if let Some(shown) = show(&caller, &entry).await {
            seen.lock()
                .expect("what was seen is whole")
                .take(&entry, shown);
        }
        tokio::time::sleep(LOOK).await;
    }
}

impl Seen {
    fn take(&mut self, entry: &str, shown: class::Versioned) {
        let now = time::Instant::now();
        let (last, back) = self.heard.entry(entry.to_owned()).or_insert((now, now));
        if last.elapsed() > SILENCE {
            *back = now;
        }
        *last = now;
        let versions = self.shown.entry(entry.to_owned()).or_default();
        if versions
            .keys()
            .last()
            .is_some_and(|newest| *newest > shown.version)
        {
            log::error!("{entry} went back to version {}", shown.version);
            self.broken += 1;
        }
        versions.entry(shown.version).or_insert(now);
        let document = self
            .documents
            .entry(shown.version)
            .or_insert_with(|| shown.document.clone());
        if *document != shown.document {
            log::error!("version {} was seen with two documents", shown.version);
            self.broken += 1;
        }
    }

    fn judge(&self, caller: &Caller) -> Race {
        let mut race = Race {
            accepted: self.accepted.len() as u64,
            broken: self.broken,
            spread: time::Duration::ZERO,
        };
        let mut once = BTreeMap::new();
        for (version, document, at) in &self.accepted {
            if once.insert(version, document).is_some() {
                log::error!("version {version} was accepted twice");
                race.broken += 1;
            }
            let other = self.documents.get(version);
            if other.is_some_and(|other| other != document) {
                log::error!("version {version} is in force with another document than accepted");
                race.broken += 1;
            }
            for entry in caller.entries().all() {
                let spread = self.spread(&entry, *version, *at);
                if spread > IN_FORCE {
                    let heard = self.heard.get(&entry).map(|(last, _)| last.elapsed());
                    log::error!("{entry} is without version {version} after {spread:?}, heard {heard:?} ago");
                }
                race.spread = race.spread.max(spread);
            }
        }
        if race.spread > IN_FORCE {
            log::error!("a version took {:?} to be in force everywhere", race.spread);
            race.broken += 1;
        }
        race
    }

    /// How long it took until an entry showed a version or a newer one, from its acceptance or, if
    /// later, from when the entry was back from a silence, such as a pause. One that has stopped
    /// for good is asked no more: what it didn't show counts up to its last answer.
    fn spread(&self, entry: &str, version: id::Version, at: time::Instant) -> time::Duration {
        let Some(versions) = self.shown.get(entry) else {
            return time::Duration::ZERO;
        };
        let Some((last, back)) = self.heard.get(entry) else {
            return time::Duration::ZERO;
        };
        let at = at.max(*back);
        let newer = versions.range(version..).map(|(_, first)| *first).min();
        match newer {
            Some(first) => first.saturating_duration_since(at),
            None => last.saturating_duration_since(at),
        }
    }
}
