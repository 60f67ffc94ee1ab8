//! How a submission ended for its caller.

use crate::refusal::Refusal;

/// How a submission ended for its caller.
#[derive(Clone, Debug)]
pub enum Ended {
    /// With the whole answer.
    Complete,
    /// With a refusal or failure.
    Refused(Refusal),
    /// Never.
    GaveUp,
}
