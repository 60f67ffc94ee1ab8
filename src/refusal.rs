//! A refusal or failure as a caller sees it: a numbered code, what to do, and whether anything ran.

use std::time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::code;

/// The JSON body of every answer that isn't a complete job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Refusal {
    /// The numbered code, such as `LM2001`.
    pub code: code::Code,
    /// What happened here and what to do.
    pub message: CompactString,
    /// True only where nothing of the submission ran, so that a retry is safe.
    pub not_run: bool,
    /// True where it may have run and nobody can tell.
    pub unknown: bool,
    /// When to come back, in milliseconds, where coming back can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Builds a refusal with the code's own advice.
    pub fn new(code: code::Code) -> Refusal {
        Refusal {
            code,
            message: code.advice().into(),
            not_run: code.outcome() == code::Outcome::NotRun,
            unknown: code.outcome() == code::Outcome::Unknown,
            retry_after_ms: None,
        }
    }

    /// Builds a refusal whose message names the place or value at fault before the advice.
    pub fn detailed(code: code::Code, detail: &str) -> Refusal {
        let mut refusal = Refusal::new(code);
        refusal.message = compact_str::format_compact!("{detail}: {}", code.advice());
        refusal
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, wait: time::Duration) -> Refusal {
        self.retry_after_ms = Some(wait.as_millis() as u64);
        self
    }
}
