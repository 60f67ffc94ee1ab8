//! The stand-in platform: table and object store over HTTP, with faults.

use std::collections::HashMap;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use bytes::Bytes;
use compact_str::CompactString;
use gotham::hyper::StatusCode;
use gotham::mime;
use serde::de::DeserializeOwned;

use crate::code;
use crate::refusal::Refusal;
use crate::standin::store::Store;
use crate::wire::platform::{Key, Transaction};
use crate::wire::server::{self, Incoming, Reply};

/// Largest body that is taken.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// What a synced write takes, and a read.
const WRITE_TIME: time::Duration = time::Duration::from_millis(4);
const READ_TIME: time::Duration = time::Duration::from_millis(1);

/// An operation, as faults see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A read of the table or the object store.
    Read,
    /// A write to the table or the object store.
    Write,
}

/// What befalls an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It is refused without effect.
    Down,
    /// It takes this much longer.
    Slow(time::Duration),
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It never arrives, and no answer comes.
    Lost,
}

/// Decides what befalls an operation.
pub type Faults = Arc<dyn Fn(Operation) -> Fault + Send + Sync>;

/// A running stand-in platform.
pub struct Platform {
    server: server::Server,
    inner: Arc<Inner>,
}

struct Inner {
    store: Mutex<Store>,
    objects: Mutex<HashMap<CompactString, Bytes>>,
    faults: Mutex<Faults>,
    reads: AtomicU64,
    writes: AtomicU64,
}

/// Binds a stand-in platform without faults.
pub async fn bind(addr: net::SocketAddr) -> anyhow::Result<Platform> {
    let inner = Arc::new(Inner {
        store: Mutex::default(),
        objects: Mutex::default(),
        faults: Mutex::new(Arc::new(|_| Fault::None)),
        reads: AtomicU64::new(0),
        writes: AtomicU64::new(0),
    });
    let handling = inner.clone();
    let handler = move |incoming: Incoming| {
        let inner = handling.clone();
        async move { inner.handle(incoming).await }
    };
    let server = server::bind(addr, handler).await?;
    Ok(Platform { server, inner })
}

impl Platform {
    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Puts faults into force from now on.
    pub fn fail(&self, faults: Faults) {
        *self.inner.faults.lock().expect("the faults are whole") = faults;
    }

    /// Reads and writes so far.
    pub fn operations(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.inner.reads), load(&self.inner.writes))
    }
}

impl Inner {
    async fn handle(&self, incoming: Incoming) -> Reply {
        let path = incoming.uri.path().to_owned();
        let method = incoming.method.clone();
        let reads = matches!(path.as_str(), "/table/get" | "/table/scan") || method == "GET";
        let operation = if reads {
            Operation::Read
        } else {
            Operation::Write
        };
        let Ok(received) = incoming.read_body(MAX_BODY).await else {
            return Reply::refusal(&Refusal::new(code::Code::BadJson));
        };
        let faults = self.faults.lock().expect("the faults are whole").clone();
        let fault = faults(operation);
        self.endure(operation, fault).await;
        if fault == Fault::Down {
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "down\n".to_owned());
        }
        let reply = self.apply(method.as_str(), &path, &received.bytes);
        if fault == Fault::AnswerLost {
            std::future::pending::<()>().await;
        }
        reply
    }

    async fn endure(&self, operation: Operation, fault: Fault) {
        let (counter, takes) = match operation {
            Operation::Read => (&self.reads, READ_TIME),
            Operation::Write => (&self.writes, WRITE_TIME),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        match fault {
            Fault::Down => {}
            Fault::Lost => std::future::pending::<()>().await,
            Fault::Slow(longer) => tokio::time::sleep(takes + longer).await,
            Fault::None | Fault::AnswerLost => tokio::time::sleep(takes).await,
        }
    }

    fn apply(&self, method: &str, path: &str, body: &Bytes) -> Reply {
        let mut store = self.store.lock().expect("the store is whole");
        match (method, path) {
            ("POST", "/table/get") => reply(body, |key: Key| store.get(&key.key)),
            ("POST", "/table/scan") => reply(body, |key: Key| store.scan(&key.key)),
            ("POST", "/table/commit") => reply(body, |tx: Transaction| store.commit(&tx)),
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.object(method, name, body),
                None => Reply::text(StatusCode::NOT_FOUND, String::new()),
            },
        }
    }

    fn object(&self, method: &str, name: &str, body: &Bytes) -> Reply {
        let mut objects = self.objects.lock().expect("the objects are whole");
        match method {
            "PUT" => {
                objects.insert(name.into(), body.clone());
                Reply::text(StatusCode::OK, String::new())
            }
            "DELETE" => {
                objects.remove(name);
                Reply::text(StatusCode::OK, String::new())
            }
            _ => match objects.get(name) {
                Some(body) => {
                    Reply::bytes(StatusCode::OK, mime::APPLICATION_OCTET_STREAM, body.clone())
                }
                None => Reply::text(StatusCode::NOT_FOUND, String::new()),
            },
        }
    }
}

fn reply<T: DeserializeOwned, R: serde::Serialize>(
    body: &[u8],
    apply: impl FnOnce(T) -> R,
) -> Reply {
    match serde_json::from_slice(body) {
        Ok(request) => Reply::json(StatusCode::OK, &apply(request)),
        Err(e) => Reply::text(StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}
