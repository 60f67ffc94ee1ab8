//! The interface to the platform's table and object store, and a client of it over HTTP.
//!
//! This module alone knows the platform's protocol, so that the users' real platform can be
//! connected by replacing [`connect`]. The interface is a plain struct of functions: tests pass
//! closures, the daemons pass the HTTP client. See `docs/design/interfaces.md`.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::count;
use crate::decide::budget;
use crate::wire::http;

/// Largest answer of the table or the object store that is accepted, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Approximate bytes that the request line, the status line and the headers of HTTP add to a call.
const HEADERS: usize = 260;

/// Counts the changes of one row; 0 means that the row is absent.
pub type Revision = u64;

/// The future of one platform call, boxed so that any client can return it.
pub type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The key, unique in the table; rows are sorted by it.
    pub key: CompactString,
    /// The value, as JSON text.
    pub value: String,
    /// The row's revision, never 0.
    pub revision: Revision,
}

/// What must hold of a row for a transaction to be committed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: CompactString,
    /// The revision that the row must have; 0 requires the row to be absent.
    pub revision: Revision,
}

/// A change of one row inside a transaction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: CompactString,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// A transaction: all writes are done if all conditions hold, else none.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Transaction {
    /// The conditions, of which all must hold.
    pub conditions: Vec<Condition>,
    /// The changes to make; they take effect together.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Returns a transaction that writes one row if it still has this revision.
    pub fn put_if(key: &str, revision: Revision, value: String) -> Transaction {
        Transaction {
            conditions: vec![Condition {
                key: key.into(),
                revision,
            }],
            writes: vec![Write {
                key: key.into(),
                value: Some(value),
            }],
        }
    }

    /// Returns a transaction that writes one row without a condition.
    pub fn put(key: &str, value: String) -> Transaction {
        Transaction {
            conditions: Vec::new(),
            writes: vec![Write {
                key: key.into(),
                value: Some(value),
            }],
        }
    }

    /// Returns a transaction that removes rows without a condition.
    pub fn remove(keys: impl IntoIterator<Item = CompactString>) -> Transaction {
        let write = |key| Write { key, value: None };
        Transaction {
            conditions: Vec::new(),
            writes: keys.into_iter().map(write).collect(),
        }
    }
}

/// How a transaction ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes were done; the rows written have this revision.
    Done(Revision),
    /// The condition on this row didn't hold; nothing was written.
    Conflict(CompactString),
}

/// Whether an operation that the platform didn't answer, or refused, may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The operation had no effect.
    NotDone,
    /// The operation may have taken effect; read before trying again.
    Unknown,
}

/// The operations of the platform's transactional table.
#[derive(Clone)]
pub struct Table {
    /// Reads one row.
    pub get: Arc<dyn Fn(CompactString) -> Pending<Result<Option<Row>, Error>> + Send + Sync>,
    /// Reads all rows whose key starts with a prefix, sorted by key.
    pub scan: Arc<dyn Fn(CompactString) -> Pending<Result<Vec<Row>, Error>> + Send + Sync>,
    /// Commits a transaction.
    pub commit: Arc<dyn Fn(Transaction) -> Pending<Result<Commit, Error>> + Send + Sync>,
}

/// The operations of the platform's object store.
#[derive(Clone)]
pub struct Objects {
    /// Stores an object under a name; a put that may have taken effect may be repeated.
    pub put: Arc<dyn Fn(CompactString, Bytes) -> Pending<Result<(), Error>> + Send + Sync>,
    /// Fetches an object; `None` if no object has this name.
    pub get: Arc<dyn Fn(CompactString) -> Pending<Result<Option<Bytes>, Error>> + Send + Sync>,
    /// Removes an object; it is no error if no object has this name.
    pub remove: Arc<dyn Fn(CompactString) -> Pending<Result<(), Error>> + Send + Sync>,
}

/// Both of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// The table, which holds small rows and decides conflicts between writers.
    pub table: Table,
    /// The object store, which holds inputs and answers too large for messages.
    pub objects: Objects,
}

/// The body of the table's `get` and `scan` requests over HTTP.
#[derive(Debug, Deserialize, Serialize)]
pub struct Key {
    /// A row's key, or a prefix of keys.
    pub key: CompactString,
}

/// Returns a client of the platform at `addr` (host and port). Each call takes at most `limit`, in
/// addition to its wait for the budget of [`budget::ENTRY_LIMITS`].
pub fn connect(addr: &str, limit: time::Duration, messages: count::Messages) -> Platform {
    connect_with_limits(addr, limit, messages, budget::ENTRY_LIMITS)
}

/// Returns a client as [`connect`] does, with the budget of `limits`.
pub fn connect_with_limits(
    addr: &str,
    limit: time::Duration,
    messages: count::Messages,
    limits: budget::Limits,
) -> Platform {
    let now = time::Instant::now();
    let client = Arc::new(Remote {
        http: http::open(MAX_ANSWER),
        base: format!("http://{addr}"),
        limit,
        messages,
        reads: Mutex::new(budget::Budget::open(now, limits.reads)),
        writes: Mutex::new(budget::Budget::open(now, limits.writes)),
    });
    Platform {
        table: remote_table(&client),
        objects: remote_objects(&client),
    }
}

fn remote_table(client: &Arc<Remote>) -> Table {
    let (get, scan, commit) = (client.clone(), client.clone(), client.clone());
    Table {
        get: Arc::new(move |key| {
            let remote = get.clone();
            Box::pin(async move {
                remote
                    .table("get", &Key { key }, count::Kind::TableRead)
                    .await
            })
        }),
        scan: Arc::new(move |key| {
            let remote = scan.clone();
            Box::pin(async move {
                remote
                    .table("scan", &Key { key }, count::Kind::TableRead)
                    .await
            })
        }),
        commit: Arc::new(move |tx| {
            let remote = commit.clone();
            Box::pin(async move { remote.table("commit", &tx, count::Kind::TableWrite).await })
        }),
    }
}

fn remote_objects(client: &Arc<Remote>) -> Objects {
    let (put, get, remove) = (client.clone(), client.clone(), client.clone());
    Objects {
        put: Arc::new(move |name, body| {
            let remote = put.clone();
            Box::pin(async move { remote.object(Method::PUT, &name, body).await.map(drop) })
        }),
        get: Arc::new(move |name| {
            let remote = get.clone();
            Box::pin(async move { remote.object(Method::GET, &name, Bytes::new()).await })
        }),
        remove: Arc::new(move |name| {
            let remote = remove.clone();
            Box::pin(async move {
                remote
                    .object(Method::DELETE, &name, Bytes::new())
                    .await
                    .map(drop)
            })
        }),
    }
}

struct Remote {
    http: http::Client,
    base: String,
    limit: time::Duration,
    messages: count::Messages,
    reads: Mutex<budget::Budget>,
    writes: Mutex<budget::Budget>,
}

impl Remote {
    /// Waits until the budget allows an operation. One that would have to wait longer than the
    /// limit of a call is refused and not sent.
    async fn await_budget(&self, usage: count::Usage) -> Result<(), Error> {
        let budget = match usage {
            count::Usage::Read => &self.reads,
            count::Usage::Write => &self.writes,
        };
        let wait = {
            let mut budget = budget.lock().expect("the budget is whole");
            budget.reserve(time::Instant::now(), self.limit)
        };
        let Some(wait) = wait else {
            self.messages.add_refused(usage);
            return Err(Error::NotDone);
        };
        if !wait.is_zero() {
            self.messages.add_delayed(usage);
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    async fn table<T: DeserializeOwned>(
        &self,
        verb: &str,
        body: &impl Serialize,
        kind: count::Kind,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|_| Error::NotDone)?;
        let uri = format!("{}/table/{verb}", self.base);
        let usage = match kind {
            count::Kind::TableWrite => count::Usage::Write,
            _ => count::Usage::Read,
        };
        self.await_budget(usage).await?;
        self.messages.add(kind, 2);
        let sent = body.len();
        let call = http::Call::new(Method::POST, uri, body);
        let answer = self.http.call(call, self.limit).await.map_err(from_http)?;
        let bytes = sent + answer.body.len() + HEADERS;
        self.messages.add_bytes(kind, bytes as u64);
        check_status(answer.status)?;
        serde_json::from_slice(&answer.body).map_err(|_| Error::Unknown)
    }

    async fn object(
        &self,
        method: Method,
        name: &str,
        body: Bytes,
    ) -> Result<Option<Bytes>, Error> {
        let uri = format!("{}/objects/{name}", self.base);
        let usage = if method == Method::GET {
            count::Usage::Read
        } else {
            count::Usage::Write
        };
        self.await_budget(usage).await?;
        self.messages.add(count::Kind::Object, 2);
        let call = http::Call::new(method, uri, body);
        let answer = self.http.call(call, self.limit).await.map_err(from_http)?;
        if answer.status.as_u16() == 404 {
            return Ok(None);
        }
        check_status(answer.status)?;
        Ok(Some(answer.body))
    }
}

/// Returns an error for a status other than success, and whether the operation may have taken
/// effect.
///
/// A gateway between this process and the platform may give up on an operation that still takes
/// effect. So only a client error (4xx, 429 among them) and 503 mean that nothing was done.
fn check_status(status: StatusCode) -> Result<(), Error> {
    if status.is_success() {
        Ok(())
    } else if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        Err(Error::NotDone)
    } else {
        Err(Error::Unknown)
    }
}

fn from_http(error: http::Error) -> Error {
    match error {
        http::Error::NotSent | http::Error::Refused => Error::NotDone,
        http::Error::Broken | http::Error::TimedOut | http::Error::TooLarge => Error::Unknown,
    }
}
