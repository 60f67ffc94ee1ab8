//! An error as the command line prints it: the numbered code and what to do.

use std::fmt;

use serde::Deserialize;

use crate::class;
use crate::code::Code;
use crate::refusal::Refusal;

/// An error with its numbered code.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The code.
    pub code: Code,
    /// What is at fault here and how to mend it.
    pub text: String,
}

/// The body of a refused answer; a refused configuration lists its mistakes.
#[derive(Deserialize)]
struct Refused {
    #[serde(flatten)]
    refusal: Refusal,
    #[serde(default)]
    mistakes: Vec<class::Mistake>,
}

impl Failure {
    /// Builds an error whose text says all.
    pub fn new(code: Code, text: impl Into<String>) -> Failure {
        let text = text.into();
        Failure { code, text }
    }

    /// Builds an error from the code's advice and the places at fault, one a line.
    pub fn listed(code: Code, places: impl IntoIterator<Item = String>) -> Failure {
        let mut text = code.advice().to_owned();
        for place in places {
            text.push_str("\n  ");
            text.push_str(&place);
        }
        Failure { code, text }
    }

    /// Builds an error from mistakes in a configuration.
    pub fn mistakes(file: &str, mistakes: &[class::Mistake]) -> Failure {
        let line = |m: &class::Mistake| format!("{file}{}: {}", m.place, m.mend);
        Failure::listed(Code::ConfigInvalid, mistakes.iter().map(line))
    }

    /// Reads the error out of an answer that refuses.
    pub fn read(body: &str) -> Failure {
        let Ok(refused) = serde_json::from_str::<Refused>(body) else {
            let text = format!("{}: {}", Code::Unreachable.advice(), body.trim());
            return Failure::new(Code::Unreachable, text);
        };
        let code = refused.refusal.code;
        if !refused.mistakes.is_empty() {
            return Failure::mistakes("", &refused.mistakes);
        }
        let mut text = refused.refusal.message.into_string();
        if refused.refusal.not_run {
            text.push_str(" (not run)");
        }
        if refused.refusal.unknown {
            text.push_str(" (outcome unknown)");
        }
        if let Some(ms) = refused.refusal.retry_after_ms {
            text.push_str(&format!(" (retry after {ms} ms)"));
        }
        Failure::new(code, text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.text)
    }
}

impl std::error::Error for Failure {}
