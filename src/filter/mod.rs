//! The filter chain that every submission passes at the entry that receives it.
//!
//! A filter checks or completes the draft, or refuses it with nothing run. The chain runs before
//! anything is claimed, so that bad input takes time of this process only and no work is lost.

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

/// The HTTP path that a submission came by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// `POST /v1/jobs`.
    Job,
    /// `POST /v1/requests`.
    Request,
}

/// The state of the entry that filters read.
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
    /// The HTTP path that the submission came by.
    pub kind: Kind,
    /// The caller's submission key, as sent.
    pub key: Option<CompactString>,
    /// The `traceparent` for the submission's starts: the caller's header as sent, or that of the
    /// entry's own span.
    pub traceparent: Option<CompactString>,
    /// The body of the HTTP request.
    pub body: Bytes,
    /// The job, once the parse filter has read it from the body.
    pub job: Option<submission::Job>,
    /// Whether its tasks may run twice without harm, once the parse filter has read the body.
    pub idempotent: bool,
}

/// A filter: returns the draft for the next filter, or the refusal for the caller.
pub type Filter = fn(&Context, Draft) -> Result<Draft, Refusal>;

/// The filters in the order in which they run, cheapest first.
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
/// Returns the refusal of the first filter that refuses; nothing has run.
pub fn pass(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    CHAIN
        .iter()
        .try_fold(draft, |draft, filter| filter(cx, draft))
}
