//! The configuration document: classes of work with their targets, and quotas of client accounts.
//!
//! It is all that operators set (`docs/CONFIG.md`). There is no place for weights of client accounts or
//! names of backend servers, by intent.

use std::collections::BTreeSet;
use std::time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::id;

/// Largest configuration document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// Most tasks that a class may allow in a job.
pub const MAX_TASKS: u32 = 1_000;

/// Longest target that a class may have.
pub const MAX_TARGET: time::Duration = time::Duration::from_secs(600);

/// A class of work and its target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What callers name in their submissions.
    pub name: id::ClassName,
    /// How quickly an answer must return, in milliseconds.
    pub target_ms: i64,
    /// Most tasks in one job.
    #[serde(default = "default_max_tasks")]
    pub max_tasks: u32,
}

impl Class {
    /// The target as a duration.
    pub fn target(&self) -> time::Duration {
        time::Duration::from_millis(self.target_ms.max(1) as u64)
    }
}

/// The quota of one client account. A client account without one is bounded by the class targets only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The client account.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// Most tasks that may wait at a time, over all classes.
    pub waiting_tasks: i64,
}

/// The whole document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The classes, at least one.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// The quotas; may be empty.
    #[serde(default, rename = "quota")]
    pub quotas: Vec<Quota>,
}

/// A document with the version under which it was accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned {
    /// Counts accepted documents from 1; 0 means that none was read yet.
    pub version: id::Version,
    /// The document.
    pub document: Document,
}

/// One mistake in a document: where it is and how to mend it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mistake {
    /// The place, such as `class[1].target_ms`, or a line of the file.
    pub place: CompactString,
    /// What is wrong there and how to mend it.
    pub mend: CompactString,
}

impl Mistake {
    fn new(place: impl AsRef<str>, mend: impl AsRef<str>) -> Mistake {
        Mistake {
            place: place.as_ref().into(),
            mend: mend.as_ref().into(),
        }
    }
}

impl Document {
    /// Reads a document from TOML and checks it as a whole.
    ///
    /// # Errors
    ///
    /// Returns every mistake that was found; a file that can't be read as TOML shows its first.
    pub fn parse(file: &[u8]) -> Result<Document, Vec<Mistake>> {
        if file.len() > MAX_DOCUMENT_BYTES {
            return Err(vec![oversize()]);
        }
        let text = std::str::from_utf8(file).map_err(|e| vec![not_text(file, &e)])?;
        let document: Document = toml::from_str(text).map_err(|e| vec![broken(text, &e)])?;
        let mistakes = document.mistakes();
        if mistakes.is_empty() {
            Ok(document)
        } else {
            Err(mistakes)
        }
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Finds a client account's quota.
    pub fn quota(&self, account: &str) -> Option<&Quota> {
        self.quotas
            .iter()
            .find(|quota| quota.client_account == account)
    }

    /// Lists everything that keeps the document from being accepted.
    pub fn mistakes(&self) -> Vec<Mistake> {
        let mut found = Vec::new();
        // Operators may also send the document as JSON, past the limit on files.
        if serde_json::to_vec(self).is_ok_and(|json| json.len() > MAX_DOCUMENT_BYTES) {
            found.push(oversize());
        }
        if self.classes.is_empty() {
            found.push(Mistake::new(
                "class",
                "there is no class; add a [[class]] with name and target_ms",
            ));
        }
        let mut names = BTreeSet::new();
        for (i, class) in self.classes.iter().enumerate() {
            check_class(i, class, &mut names, &mut found);
        }
        let mut accounts = BTreeSet::new();
        for (i, quota) in self.quotas.iter().enumerate() {
            check_quota(i, quota, &mut accounts, &mut found);
        }
        found
    }
}

fn default_max_tasks() -> u32 {
    290
}

fn oversize() -> Mistake {
    let mend = format!("the document is over {MAX_DOCUMENT_BYTES} bytes; shorten it");
    Mistake::new("file", mend)
}

fn not_text(file: &[u8], error: &std::str::Utf8Error) -> Mistake {
    let before = &file[..error.valid_up_to()];
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    Mistake::new(
        format!("line {line}"),
        "this isn't UTF-8; save the file as UTF-8",
    )
}

fn broken(text: &str, error: &toml::de::Error) -> Mistake {
    let line = match error.span() {
        Some(span) => text[..span.start.min(text.len())].matches('\n').count() + 1,
        None => 1,
    };
    Mistake::new(format!("line {line}"), error.message())
}

fn check_class<'a>(
    i: usize,
    class: &'a Class,
    names: &mut BTreeSet<&'a str>,
    found: &mut Vec<Mistake>,
) {
    if !is_name(&class.name) {
        let mend = "use 1 to 64 letters, digits, '-', '_' or '.'";
        found.push(Mistake::new(format!("class[{i}].name"), mend));
    }
    if !names.insert(&class.name) {
        let mend = format!("'{}' is there twice; keep one", class.name);
        found.push(Mistake::new(format!("class[{i}].name"), mend));
    }
    if class.target_ms <= 0 || class.target_ms as u128 > MAX_TARGET.as_millis() {
        let mend = format!("use 1 to {}", MAX_TARGET.as_millis());
        found.push(Mistake::new(format!("class[{i}].target_ms"), mend));
    }
    if class.max_tasks == 0 || class.max_tasks > MAX_TASKS {
        let mend = format!("use 1 to {MAX_TASKS}");
        found.push(Mistake::new(format!("class[{i}].max_tasks"), mend));
    }
}

fn check_quota<'a>(
    i: usize,
    quota: &'a Quota,
    accounts: &mut BTreeSet<&'a str>,
    found: &mut Vec<Mistake>,
) {
    if !is_name(&quota.client_account) {
        let mend = "use 1 to 64 letters, digits, '-', '_' or '.'";
        found.push(Mistake::new(format!("quota[{i}].customer"), mend));
    }
    if !accounts.insert(&quota.client_account) {
        let mend = format!("'{}' has two quotas; keep one", quota.client_account);
        found.push(Mistake::new(format!("quota[{i}].customer"), mend));
    }
    if quota.waiting_tasks <= 0 {
        let mend = "use 1 or more; a customer without a quota needs no entry";
        found.push(Mistake::new(format!("quota[{i}].waiting_tasks"), mend));
    }
}

/// Tells whether a text may name a class or client account.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(allowed)
}
