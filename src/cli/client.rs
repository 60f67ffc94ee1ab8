//! What the command line says to an entry, over the same HTTP that callers and operators use.

use std::time;

use anyhow::{bail, Context};
use hyper::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::class;
use crate::code::Code;
use crate::wire::caller;
use crate::wire::http;

/// Longest answer that is taken, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Longest that an answer may take.
const LIMIT: time::Duration = time::Duration::from_secs(620);

/// A client of one entry.
pub struct Client {
    http: http::Client,
    base: String,
}

/// Opens a client of the entry at `addr` (host and port).
pub fn open(addr: &str) -> Client {
    Client {
        http: http::open(MAX_ANSWER),
        base: format!("http://{addr}"),
    }
}

impl Client {
    /// Sends one request; returns whether it succeeded, and the body.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Vec<u8>,
    ) -> anyhow::Result<(bool, String)> {
        let mut call = http::Call::new(method, format!("{}{path}", self.base), body);
        if let Some(key) = key {
            call = call.header(caller::IDEMPOTENCY_KEY, key);
        }
        let unreachable = || format!("{} {}", Code::Unreachable, Code::Unreachable.advice());
        let answer = self
            .http
            .call(call, LIMIT)
            .await
            .with_context(unreachable)?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Ok((answer.status.is_success(), text))
    }

    /// Reads a path's JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let (ok, text) = self.call(Method::GET, path, None, Vec::new()).await?;
        if !ok {
            bail!("{}", text.trim());
        }
        Ok(serde_json::from_str(&text)?)
    }

    /// Changes the configuration to a document, from the version that is in force now or `base`.
    pub async fn change(
        &self,
        document: class::Document,
        base: Option<u64>,
    ) -> anyhow::Result<u64> {
        let base = match base {
            Some(base) => base,
            None => self.version().await?,
        };
        let body = serde_json::to_vec(&serde_json::json!({ "base": base, "document": document }))?;
        let (ok, text) = self.call(Method::PUT, "/v1/config", None, body).await?;
        if !ok {
            bail!("{}", text.trim());
        }
        let accepted: Value = serde_json::from_str(&text)?;
        Ok(accepted["version"].as_u64().unwrap_or(0))
    }

    /// The version in force; 0 where there is none yet.
    async fn version(&self) -> anyhow::Result<u64> {
        let (ok, text) = self
            .call(Method::GET, "/v1/config", None, Vec::new())
            .await?;
        if !ok && !text.contains(&Code::NoConfiguration.to_string()) {
            bail!("{}", text.trim());
        }
        let value: Value = serde_json::from_str(&text)?;
        Ok(value["version"].as_u64().unwrap_or(0))
    }
}
