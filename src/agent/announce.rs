//! The HTTP server of an agent, at which the backend server beside it announces itself. It also
//! serves the agent's health check and metrics.

use std::net;
use std::sync::Arc;

use gotham::hyper::StatusCode;

use crate::agent::runner::Runner;
use crate::code;
use crate::refusal::Refusal;
use crate::wire::backend;
use crate::wire::server::{self, Incoming, Reply};

/// Largest body of an announcement, in bytes.
const MAX_BODY: usize = 4 * 1024;

/// Binds the agent's HTTP server to `addr` and serves requests until it is stopped.
pub async fn bind(addr: net::SocketAddr, runner: Arc<Runner>) -> anyhow::Result<server::Server> {
    let handler = move |incoming: Incoming| {
        let runner = runner.clone();
        async move { handle(incoming, &runner).await }
    };
    server::bind(addr, handler).await
}

async fn handle(incoming: Incoming, runner: &Arc<Runner>) -> Reply {
    let path = incoming.uri.path().to_owned();
    match (incoming.method.as_str(), path.as_str()) {
        ("POST", "/v1/announce") => match announce(incoming, runner).await {
            Ok(()) => Reply::text(StatusCode::OK, String::new()),
            Err(refusal) => Reply::refusal(&refusal),
        },
        ("GET", "/healthz") => Reply::text(StatusCode::OK, "ok\n".to_owned()),
        ("GET", "/metrics") => Reply::text(StatusCode::OK, runner.metrics()),
        _ => Reply::refusal(&Refusal::detailed(code::Code::NotFound, &path)),
    }
}

async fn announce(incoming: Incoming, runner: &Arc<Runner>) -> Result<(), Refusal> {
    let received = incoming.read_body(MAX_BODY).await?;
    let announcement: backend::Announcement = serde_json::from_slice(&received.bytes)
        .map_err(|e| Refusal::detailed(code::Code::BadJson, &e.to_string()))?;
    runner.handle_announcement(announcement);
    Ok(())
}
