//! What the command line says to an entry, over the same HTTP that callers and operators use.

use std::time;

use hyper::Method;
use serde::de::DeserializeOwned;

use crate::class;
use crate::cli::failure::Failure;
use crate::code::Code;
use crate::entry::operate::{Accepted, Change};
use crate::id;
use crate::wire::caller;
use crate::wire::http;

/// Longest answer that is taken, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Longest that an answer may take: the largest class target and a little.
const LIMIT: time::Duration = time::Duration::from_secs(620);

/// A client of one entry.
pub struct Client {
    http: http::Client,
    addr: String,
}

/// Opens a client of the entry at `addr` (host and port).
pub fn open(addr: &str) -> Client {
    Client {
        http: http::open(MAX_ANSWER),
        addr: addr.to_owned(),
    }
}

impl Client {
    /// Sends one request; returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with the code of the refusal, or one that tells whether anything was
    /// sent at all.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> anyhow::Result<String> {
        let mut call = http::Call::new(method, format!("http://{}{path}", self.addr), body);
        if let Some(key) = key {
            call = call.header(caller::IDEMPOTENCY_KEY, key);
        }
        let answer = self.http.call(call, LIMIT).await;
        let answer = answer.map_err(|e| self.unanswered(e))?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status.is_success() {
            Ok(text)
        } else {
            Err(Failure::read(&text).into())
        }
    }

    /// Reads a path's JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let text = self.call(Method::GET, path, None, Vec::new()).await?;
        self.decode(&text)
    }

    /// Asks for something that takes no body.
    pub async fn post(&self, path: &str) -> anyhow::Result<String> {
        self.call(Method::POST, path, None, Vec::new()).await
    }

    /// Changes the configuration to a document, from the version that is in force now or `base`.
    pub async fn change(
        &self,
        document: class::Document,
        base: Option<id::Version>,
    ) -> anyhow::Result<id::Version> {
        let base = match base {
            Some(base) => base,
            None => self.version().await?,
        };
        let body = serde_json::to_vec(&Change { base, document })?;
        let text = self.call(Method::PUT, "/v1/config", None, body).await?;
        let accepted: Accepted = self.decode(&text)?;
        Ok(accepted.version)
    }

    /// The version in force; 0 where there is none yet.
    async fn version(&self) -> anyhow::Result<id::Version> {
        match self.get::<class::Versioned>("/v1/config").await {
            Ok(config) => Ok(config.version),
            Err(e) => match e.downcast_ref::<Failure>() {
                Some(failure) if failure.code == Code::NoConfiguration => Ok(0),
                Some(_) | None => Err(e),
            },
        }
    }

    fn decode<T: DeserializeOwned>(&self, text: &str) -> anyhow::Result<T> {
        serde_json::from_str(text).map_err(|e| {
            let code = Code::Unreachable;
            let text = format!("{} answers in another form: {e}", self.addr);
            Failure::new(code, text).into()
        })
    }

    fn unanswered(&self, e: http::Error) -> Failure {
        let code = match e {
            http::Error::NotSent | http::Error::Refused => Code::NotReached,
            http::Error::Broken | http::Error::TimedOut | http::Error::TooLarge => {
                Code::Unreachable
            }
        };
        Failure::new(code, format!("{}: {e}; {}", self.addr, code.advice()))
    }
}
