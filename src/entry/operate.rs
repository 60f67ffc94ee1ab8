//! The operators' paths: show the configuration, change it, and drain the entry.

use std::sync::Arc;

use gotham::hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::class;
use crate::code::Code;
use crate::entry::core::Core;
use crate::id;
use crate::refusal::Refusal;
use crate::wire::server::Reply;

/// Longest body of `PUT /v1/config`, in bytes: the longest document with generous white space. A longer body of short
/// entries would take many times its size once it is decoded and its mistakes are listed.
pub const MAX_CHANGE: usize = 4 * class::MAX_DOCUMENT_BYTES;

/// The body of `PUT /v1/config`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version of the configuration that the new document was edited from.
    pub base: id::Version,
    /// The new document, which replaces the whole old one.
    pub document: class::Document,
}

/// The answer to an accepted change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Accepted {
    /// The version under which the document is in force.
    pub version: id::Version,
}

/// The answer to a refused change: the refusal, and all mistakes in the document.
#[derive(Serialize)]
struct Refused {
    #[serde(flatten)]
    refusal: Refusal,
    mistakes: Vec<class::Mistake>,
}

/// Answers `GET /v1/config` with the configuration in force.
pub fn show(core: &Core) -> Reply {
    match core.config.get() {
        Some(config) => Reply::json(StatusCode::OK, &*config),
        None => Reply::refusal(&Refusal::new(Code::NoConfiguration)),
    }
}

/// Answers `PUT /v1/config`: puts a new configuration into force, or refuses it with all mistakes.
pub async fn change(core: &Core, body: &[u8]) -> Reply {
    let change: Change = match serde_json::from_slice(body) {
        Ok(change) => change,
        Err(e) => return Reply::refusal(&Refusal::detailed(Code::BadJson, &e.to_string())),
    };
    match core.config.change(change.base, change.document).await {
        Ok(version) => Reply::json(StatusCode::OK, &Accepted { version }),
        Err((code, mistakes)) => {
            let refusal = Refusal::new(code);
            let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_REQUEST);
            Reply::json(status, &Refused { refusal, mistakes })
        }
    }
}

/// Answers `POST /v1/drain`: asks the process to drain and stop this entry.
pub fn drain(core: &Arc<Core>) -> Reply {
    core.request_drain();
    Reply::json(
        StatusCode::ACCEPTED,
        &serde_json::json!({ "draining": true }),
    )
}
