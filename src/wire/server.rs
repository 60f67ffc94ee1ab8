//! A small HTTP/1.1 server over gotham, shared by all components that accept HTTP requests.
//!
//! gotham's own accept loop has no limits, so that connections are accepted here and gotham handles their requests.

use std::future::Future;
use std::net;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use gotham::handler::{HandlerError, HandlerFuture};
use gotham::helpers::http::response::create_response;
use gotham::helpers::http::Body;
use gotham::hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use gotham::mime;
use gotham::service::call_handler;
use gotham::state::{FromState, State, StateData};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::task::JoinHandle;

use crate::code;
use crate::decide::clients::Limits;
use crate::refusal;
use crate::wire::clients::accept;
use crate::wire::clients::body::{self, Received};
use crate::wire::clients::connection::{Connection, Held};
use crate::wire::clients::{self, Clients};
use crate::wire::closing;

/// Maximum time for a body to arrive, so that a slow or half-closed caller doesn't occupy
/// resources.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Longest head of a request, in bytes; `docs/API.md` names the few headers that are read.
const MAX_HEAD: usize = 32 * 1024;

/// Most bytes of a connection that lie unread in its socket. With it, a body of 4 MiB arrives in time from a caller whose
/// round trip takes up to 150 ms.
const MAX_UNREAD: usize = 64 * 1024;

/// Memory of a connection beside what its request holds, in bytes: its socket, the buffers of a head, and its state.
pub const CONNECTION_BYTES: usize = MAX_UNREAD + 64 * 1024;

/// When a caller that was refused for lack of memory comes back.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Limits of a server whose clients are the system's own processes.
const OWN_PROCESSES: Limits = Limits {
    connections: 4_096,
    bytes: 1024 * 1024 * 1024,
};

/// A request whose body hasn't been read yet.
pub struct Incoming {
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the request.
    pub uri: Uri,
    /// All headers of the request.
    pub headers: HeaderMap,
    body: Body,
    connection: Connection,
}

/// The body of an answer, which is dropped once it has been sent.
struct Answer {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Answer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The connection of a request, in gotham's state.
struct Place(Connection);

impl StateData for Place {}

impl Incoming {
    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns a refusal for a body that is over `max` bytes, incomplete or too slow, or for which there is no memory.
    pub async fn read_body(self, max: usize) -> Result<Received, refusal::Refusal> {
        let limits = body::Limits {
            length: max,
            time: BODY_TIMEOUT,
        };
        let received = body::read(self.body, &self.connection, limits).await;
        received.map_err(|e| match e {
            body::Error::TooLong => refusal::Refusal::new(code::Code::BodyTooLarge),
            body::Error::Broken => refusal::Refusal::new(code::Code::BadJson),
            body::Error::TimedOut => refusal::Refusal::new(code::Code::BodyTimeout),
            body::Error::NoMemory => {
                refusal::Refusal::new(code::Code::NoMemory).retry_after(RETRY_AFTER)
            }
        })
    }

    /// Returns a header's value; an empty one if the value isn't text, `None` without the header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        Some(value.to_str().unwrap_or_default())
    }
}

/// The answer to a request: its status, media type, body and, for a refusal, when to retry.
pub struct Reply {
    status: StatusCode,
    mime: mime::Mime,
    body: Bytes,
    /// Seconds.
    retry_after: Option<u64>,
}

impl Reply {
    /// Builds an answer in JSON.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply::bytes(status, mime::APPLICATION_JSON, body)
    }

    /// Builds an answer in plain text.
    pub fn text(status: StatusCode, body: String) -> Reply {
        Reply::bytes(status, mime::TEXT_PLAIN_UTF_8, body)
    }

    /// Builds an answer of any media type.
    pub fn bytes(status: StatusCode, mime: mime::Mime, body: impl Into<Bytes>) -> Reply {
        Reply {
            status,
            mime,
            body: body.into(),
            retry_after: None,
        }
    }

    /// Builds the answer for a refusal, with the status of its code; 502 if that isn't an HTTP
    /// status.
    pub fn refusal(refusal: &refusal::Refusal) -> Reply {
        let status = StatusCode::from_u16(refusal.code.status());
        let mut reply = Reply::json(status.unwrap_or(StatusCode::BAD_GATEWAY), refusal);
        // The header counts whole seconds; the body has the milliseconds.
        reply.retry_after = refusal.retry_after_ms.map(|ms| ms.div_ceil(1_000));
        reply
    }
}

/// A running server, which stops when it is dropped.
pub struct Server {
    addr: net::SocketAddr,
    serving: JoinHandle<()>,
    connections: closing::Switch,
}

impl Server {
    /// Returns the address at which it listens, with its actual port.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops accepting connections and closes the open ones.
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

/// Starts a server at `addr` for the system's own processes; see [`bind_for`].
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub async fn bind<H, R>(addr: net::SocketAddr, handler: H) -> anyhow::Result<Server>
where
    H: Fn(Incoming) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    bind_for(clients::open("own processes", OWN_PROCESSES), addr, handler).await
}

/// Starts a server at `addr` that calls the handler for each request of `clients`.
///
/// # Errors
///
/// Returns an error where the address can't be bound.
pub async fn bind_for<H, R>(
    clients: Clients,
    addr: net::SocketAddr,
    handler: H,
) -> anyhow::Result<Server>
where
    H: Fn(Incoming) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let listener = accept::bind(addr, MAX_UNREAD).await?;
    let addr = listener.local_addr()?;
    // A panic in a request poisons the locks that it held, so every later use of the data under
    // them fails visibly; no request sees data that the panic left partly changed.
    let handler = AssertUnwindSafe(handler);
    let new_handler = Arc::new(move || {
        let handler = H::clone(&handler);
        Ok(move |state: State| -> Pin<Box<HandlerFuture>> { Box::pin(serve(state, handler)) })
    });
    let connections = closing::open();
    let switch = connections.clone();
    let serve = move |stream, peer, place: Connection| {
        let (stream, new_handler) = (switch.wrap(stream), new_handler.clone());
        async move {
            let service = service_fn(move |req| {
                let place = place.clone();
                place.serve();
                let mut state = State::from_request(req, peer);
                state.put(Place(place.clone()));
                let state = AssertUnwindSafe(state);
                let handled: Handled = Box::pin(call_handler(new_handler.clone(), state));
                async move {
                    let res = handled.await;
                    place.wait();
                    res
                }
            });
            let served = http1::Builder::new()
                .max_buf_size(MAX_HEAD)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                log::debug!("connection of {peer} has ended: {e}");
            }
        }
    };
    let serving = tokio::spawn(accept::run(listener, clients, serve));
    Ok(Server {
        addr,
        serving,
        connections,
    })
}

type Handled = Pin<Box<dyn Future<Output = anyhow::Result<Response<Body>>> + Send>>;

type Served = Result<(State, Response<Body>), (State, HandlerError)>;

async fn serve<H, R>(mut state: State, handler: H) -> Served
where
    H: Fn(Incoming) -> R,
    R: Future<Output = Reply>,
{
    let connection = Place::take_from(&mut state).0;
    let incoming = Incoming {
        method: Method::borrow_from(&state).clone(),
        uri: Uri::borrow_from(&state).clone(),
        headers: HeaderMap::take_from(&mut state),
        body: Body::take_from(&mut state),
        connection: connection.clone(),
    };
    let reply = handler(incoming).await;
    let body = Bytes::from_owner(Answer {
        _held: connection.hold_answer(reply.body.len()),
        bytes: reply.body,
    });
    let mut res = create_response(&state, reply.status, reply.mime, body);
    if let Some(seconds) = reply.retry_after {
        res.headers_mut().insert("retry-after", seconds.into());
    }
    Ok((state, res))
}
