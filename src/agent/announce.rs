//! Where the backend server beside the agent announces itself, over HTTP.

use std::net;
use std::sync::Arc;

use gotham::hyper::StatusCode;

use crate::agent::runner::Work;
use crate::code;
use crate::refusal::Refusal;
use crate::wire::backend;
use crate::wire::server::{self, Incoming, Reply};

/// Largest announcement, in bytes.
const MAX_BODY: usize = 4 * 1024;

/// Binds the server.
pub async fn bind(addr: net::SocketAddr, work: Arc<Work>) -> anyhow::Result<server::Server> {
    let handler = move |incoming: Incoming| {
        let work = work.clone();
        async move { handle(incoming, &work).await }
    };
    server::bind(addr, handler).await
}

async fn handle(incoming: Incoming, work: &Arc<Work>) -> Reply {
    let path = incoming.uri.path().to_owned();
    match (incoming.method.as_str(), path.as_str()) {
        ("POST", "/v1/announce") => match announce(incoming, work).await {
            Ok(()) => Reply::text(StatusCode::OK, String::new()),
            Err(refusal) => Reply::refusal(&refusal),
        },
        ("GET", "/healthz") => Reply::text(StatusCode::OK, "ok\n".to_owned()),
        ("GET", "/metrics") => Reply::text(StatusCode::OK, work.metrics()),
        _ => Reply::refusal(&Refusal::detailed(code::Code::NotFound, &path)),
    }
}

async fn announce(incoming: Incoming, work: &Arc<Work>) -> Result<(), Refusal> {
    let body = incoming.read_body(MAX_BODY).await?;
    let announcement: backend::Announcement = serde_json::from_slice(&body)
        .map_err(|e| Refusal::detailed(code::Code::BadJson, &e.to_string()))?;
    work.announce(announcement);
    Ok(())
}
