//! The filter chain that every submission passes at the entry that takes it.
//!
//! A filter takes the draft one step further or refuses it with nothing run. The chain runs before
//! anything is claimed, so that bad input costs one process only and loses nothing.

pub mod class;
pub mod configured;
pub mod draining;
pub mod key;
pub mod parse;
pub mod tasks;

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;

use crate::class as config;
use crate::refusal::Refusal;
use crate::submission;

/// Which path a submission came in by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// `POST /v1/jobs`.
    Job,
    /// `POST /v1/requests`.
    Request,
}

/// What the filters know beside the draft.
#[derive(Clone, Debug)]
pub struct Context {
    /// The configuration in force, if any.
    pub config: Option<Arc<config::Versioned>>,
    /// Whether the entry is stopping.
    pub draining: bool,
}

/// A submission on its way through the chain.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Which path it came in by.
    pub kind: Kind,
    /// The caller's key, as sent.
    pub key: Option<CompactString>,
    /// The trace that it belongs to, as sent.
    pub traceparent: Option<CompactString>,
    /// The body.
    pub body: Bytes,
    /// The job, once it was read from the body.
    pub job: Option<submission::Job>,
    /// Whether running it twice would do no harm, once it was read from the body.
    pub idempotent: bool,
}

/// One filter.
pub type Filter = fn(&Context, Draft) -> Result<Draft, Refusal>;

/// The chain, cheapest first.
pub const CHAIN: &[Filter] = &[
    draining::filter,
    configured::filter,
    key::filter,
    parse::filter,
    class::filter,
    tasks::filter,
];

/// Runs a draft through the chain.
///
/// # Errors
///
/// Returns the first filter's refusal; nothing has run.
pub fn pass(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    CHAIN
        .iter()
        .try_fold(draft, |draft, filter| filter(cx, draft))
}
