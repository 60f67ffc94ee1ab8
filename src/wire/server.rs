//! A small HTTP server over gotham, shared by everything here that listens for HTTP.

use std::future::Future;
use std::net;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::time;

use bytes::Bytes;
use gotham::handler::{HandlerError, HandlerFuture};
use gotham::helpers::http::response::create_response;
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use gotham::mime;
use gotham::state::{FromState, State};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::code;
use crate::refusal;
use crate::wire::closing;

/// How long a body may take to arrive, so that a slow or half-closed caller holds nothing.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A request as it came, its body not yet read.
pub struct Incoming {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    body: Body,
}

impl Incoming {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over `max` bytes, broken off or too slow.
    pub async fn read_body(self, max: usize) -> Result<Bytes, refusal::Refusal> {
        let limited = Limited::new(self.body, max);
        match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err(refusal::Refusal::new(code::Code::BodyTooLarge))
            }
            Ok(Err(_)) => Err(refusal::Refusal::new(code::Code::BadJson)),
            Err(_) => Err(refusal::Refusal::new(code::Code::BodyTimeout)),
        }
    }

    /// A header's text; empty where its value isn't text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        Some(value.to_str().unwrap_or_default())
    }
}

/// An answer: its status, its type and its body.
pub struct Reply {
    status: StatusCode,
    mime: mime::Mime,
    body: Bytes,
    retry_after: Option<u64>,
}

impl Reply {
    /// An answer in JSON.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply::bytes(status, mime::APPLICATION_JSON, body)
    }

    /// An answer in plain text.
    pub fn text(status: StatusCode, body: String) -> Reply {
        Reply::bytes(status, mime::TEXT_PLAIN_UTF_8, body)
    }

    /// An answer of any type.
    pub fn bytes(status: StatusCode, mime: mime::Mime, body: impl Into<Bytes>) -> Reply {
        Reply {
            status,
            mime,
            body: body.into(),
            retry_after: None,
        }
    }

    /// A refusal, with its code's status.
    pub fn refusal(refusal: &refusal::Refusal) -> Reply {
        let status = StatusCode::from_u16(refusal.code.status());
        let mut reply = Reply::json(status.unwrap_or(StatusCode::BAD_GATEWAY), refusal);
        // The header counts whole seconds; the body has the milliseconds.
        reply.retry_after = refusal.retry_after_ms.map(|ms| ms.div_ceil(1_000));
        reply
    }
}

/// A running server.
pub struct Server {
    addr: net::SocketAddr,
    serving: JoinHandle<()>,
    connections: closing::Switch,
}

impl Server {
    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Takes no more connections and breaks the open ones off.
    pub fn stop(&self) {
        self.serving.abort();
        self.connections.close();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds a server; every request goes to the handler.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub async fn bind<H, R>(addr: net::SocketAddr, handler: H) -> anyhow::Result<Server>
where
    H: Fn(Incoming) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    // A panic in a request poisons the locks that it held, and every later use of what they guard
    // fails in the open; nothing half changed is seen across it.
    let handler = AssertUnwindSafe(handler);
    let new_handler = move || {
        let handler = H::clone(&handler);
        Ok(move |state: State| -> Pin<Box<HandlerFuture>> { Box::pin(serve(state, handler)) })
    };
    let connections = closing::open();
    let switch = connections.clone();
    let serving = tokio::spawn(async move {
        gotham::bind_server(listener, new_handler, |stream| {
            let _ = stream.set_nodelay(true);
            std::future::ready(Ok::<_, ()>(switch.wrap(stream)))
        })
        .await;
    });
    Ok(Server {
        addr,
        serving,
        connections,
    })
}

type Served = Result<(State, Response<Body>), (State, HandlerError)>;

async fn serve<H, R>(mut state: State, handler: H) -> Served
where
    H: Fn(Incoming) -> R,
    R: Future<Output = Reply>,
{
    let incoming = Incoming {
        method: Method::borrow_from(&state).clone(),
        uri: Uri::borrow_from(&state).clone(),
        headers: HeaderMap::take_from(&mut state),
        body: Body::take_from(&mut state),
    };
    let reply = handler(incoming).await;
    let mut res = create_response(&state, reply.status, reply.mime, reply.body);
    if let Some(seconds) = reply.retry_after {
        res.headers_mut().insert("retry-after", seconds.into());
    }
    Ok((state, res))
}
