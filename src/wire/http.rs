//! A small HTTP client over `hyper-util`, shared by all interfaces that use HTTP.

use std::error::Error as _;
use std::fmt;
use std::io;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::time::timeout;

use crate::awake;

/// The reason why a call returned no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection was made, so the server received nothing.
    NotSent,
    /// The connection was refused: no process listens at the address, so nothing was sent.
    Refused,
    /// The connection failed after the request was sent; it may have taken effect.
    Broken,
    /// No complete answer came in time; the request may have been sent and taken effect.
    TimedOut,
    /// The answer was larger than the client accepts.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Error::NotSent => "no connection could be made",
            Error::Refused => "nothing listens there",
            Error::Broken => "the connection broke before the whole answer came",
            Error::TimedOut => "no answer came in time",
            Error::TooLarge => "the answer was over the limit",
        };
        f.write_str(text)
    }
}

impl std::error::Error for Error {}

/// A complete answer of a server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The full URL, such as `http://127.0.0.1:7001/v1/jobs`.
    pub uri: String,
    /// Headers in addition to those that HTTP itself requires.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty where the method has none.
    pub body: Bytes,
}

impl Call {
    /// Builds a call without headers.
    pub fn new(method: Method, uri: String, body: impl Into<Bytes>) -> Call {
        Call {
            method,
            uri,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Builds a POST with a message in JSON as its body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the message can't be encoded as JSON.
    pub fn json(uri: String, message: &impl Serialize) -> Result<Call, Error> {
        let body = serde_json::to_vec(message).map_err(|_| Error::NotSent)?;
        Ok(Call::new(Method::POST, uri, body).header("content-type", "application/json"))
    }

    /// Adds a header and returns the call.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }
}

/// A client that keeps connections open between calls; clones share the connections.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    max_answer: usize,
}

/// Creates a client that accepts answers of at most `max_answer` bytes.
pub fn open(max_answer: usize) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(time::Duration::from_secs(1)));
    let inner = legacy::Client::builder(TokioExecutor::new())
        .pool_idle_timeout(time::Duration::from_secs(20))
        // The library itself retries a call on a pooled connection that the server has closed only
        // where it knows that nothing was sent. Any other retry could start a task twice.
        .retry_canceled_requests(false)
        .build(connector);
    Client { inner, max_answer }
}

impl Client {
    /// Sends one request and waits at most `limit` for the complete answer.
    ///
    /// # Errors
    ///
    /// Only [`Error::NotSent`] and [`Error::Refused`] prove that the server received nothing.
    pub async fn call(&self, call: Call, limit: time::Duration) -> Result<Answer, Error> {
        match timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::TimedOut),
        }
    }

    /// Sends one request and waits for the complete answer as [`Client::call`] does, but doesn't count the time for
    /// which this process stood still; see [`awake::timeout`].
    ///
    /// # Errors
    ///
    /// See [`Client::call`].
    pub async fn call_while_awake(
        &self,
        call: Call,
        limit: time::Duration,
    ) -> Result<Answer, Error> {
        let answer = awake::timeout(limit, self.exchange(call)).await;
        answer.unwrap_or(Err(Error::TimedOut))
    }

    async fn exchange(&self, call: Call) -> Result<Answer, Error> {
        let mut builder = Request::builder().method(call.method).uri(&call.uri);
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        let req = builder
            .body(Full::new(call.body))
            .map_err(|_| Error::NotSent)?;
        let res = self.inner.request(req).await.map_err(|e| {
            if !e.is_connect() {
                Error::Broken
            } else if is_refused(&e) {
                Error::Refused
            } else {
                Error::NotSent
            }
        })?;
        let status = res.status();
        let limited = Limited::new(res.into_body(), self.max_answer);
        let collected = limited.collect().await.map_err(|e| {
            if e.is::<http_body_util::LengthLimitError>() {
                Error::TooLarge
            } else {
                Error::Broken
            }
        })?;
        Ok(Answer {
            status,
            body: collected.to_bytes(),
        })
    }
}

fn is_refused(e: &legacy::Error) -> bool {
    let mut cause = e.source();
    while let Some(e) = cause {
        let io = e.downcast_ref::<io::Error>();
        if io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = e.source();
    }
    false
}
