//! A stand-in for the platform's metadata store, in its form with tables.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{map, Json};

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value and version of each row; the value is none where the row was removed.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
}

fn query(path: &str) -> HashMap<String, String> {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%20", " ")))
        .collect()
}

impl Store {
    pub fn open() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            addr: listener.local_addr().expect("an address"),
            rows: Arc::default(),
            began: Instant::now(),
        };
        let serving = store.clone();
        http::serve(listener, move |req| serving.answer(&req));
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let change = (table.to_owned(), String::new(), key.to_owned());
        self.change([(change, Some(base64(value.as_bytes())))]);
    }

    fn change(&self, changes: impl IntoIterator<Item = (RowKey, Option<String>)>) -> u64 {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("a lock");
        rows.version += 1;
        let version = rows.version;
        for (key, value) in changes {
            rows.rows.insert(key, (value, version));
        }
        changed.notify_all();
        version
    }

    fn tail(&self, version: u64) -> [(&'static str, Json); 2] {
        [
            ("ver", version.into()),
            ("now_ms", (self.began.elapsed().as_millis() as u64).into()),
        ]
    }

    fn answer(&self, req: &Request) -> Answer {
        // A call to the store takes a few milliseconds.
        std::thread::sleep(Duration::from_millis(3));
        let params = query(&req.path);
        let text = |name: &str| params.get(name).cloned().unwrap_or_default();
        let (rows, changed) = &*self.rows;
        match req.path.split('?').next().unwrap_or_default() {
            "/-/rows-get" => {
                let rows = rows.lock().expect("a lock");
                let (table, part, from) = (text("table"), text("part"), text("from"));
                let to = params.get("to");
                let wanted = rows.rows.iter().filter(|((t, p, k), (value, _))| {
                    *t == table
                        && *p == part
                        && *k >= from
                        && to.is_none_or(|to| k < to)
                        && value.is_some()
                });
                let list: Vec<Json> = wanted.map(row).collect();
                let [ver, now] = self.tail(rows.version);
                Answer::json(map([
                    ("rows", list.into()),
                    ("has_more", Json::Bool(false)),
                    ver,
                    now,
                ]))
            }
            "/-/rows-parts" => {
                let rows = rows.lock().expect("a lock");
                let (table, after) = (text("table"), text("after"));
                let live = rows
                    .rows
                    .iter()
                    .filter(|((t, ..), (value, _))| *t == table && value.is_some());
                let parts: BTreeSet<&String> = live
                    .map(|((_, p, _), _)| p)
                    .filter(|p| **p > after || after.is_empty())
                    .collect();
                let parts: Vec<Json> = parts.into_iter().map(|p| p.as_str().into()).collect();
                let [ver, now] = self.tail(rows.version);
                Answer::json(map([("parts", parts.into()), ver, now]))
            }
            "/-/rows-feed" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let table = text("table");
                let mut rows = rows.lock().expect("a lock");
                loop {
                    let found = rows
                        .rows
                        .iter()
                        .filter(|((t, ..), (_, ver))| *t == table && *ver > after);
                    let list: Vec<Json> = found.map(row).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !list.is_empty() || left.is_zero() {
                        let [ver, now] = self.tail(rows.version);
                        return Answer::json(map([("rows", list.into()), ver, now]));
                    }
                    rows = changed.wait_timeout(rows, left).expect("a lock").0;
                }
            }
            "/-/rows-tx" => {
                let body = Json::parse(&req.body).unwrap_or(Json::Null);
                let key = |row: &Json| {
                    let text = |name| row.get(name).text().unwrap_or_default().to_owned();
                    (text("table"), text("part"), text("key"))
                };
                let set = body.get("set_keys").list().iter();
                let set = set.map(|row| (key(row), row.get("value").text().map(str::to_owned)));
                let removed = body.get("remove").list().iter().map(|row| (key(row), None));
                let version = self.change(set.chain(removed).collect::<Vec<_>>());
                Answer::json(map(self.tail(version)))
            }
            _ => Answer::empty(404),
        }
    }
}

fn row(((table, part, key), (value, ver)): (&RowKey, &(Option<String>, u64))) -> Json {
    let key = [
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", key.as_str().into()),
    ];
    let [table, part, key] = key;
    match value {
        Some(value) => map([
            table,
            part,
            key,
            ("value", value.as_str().into()),
            ("ver", (*ver).into()),
        ]),
        None => map([
            table,
            part,
            key,
            ("tombstone", Json::Bool(true)),
            ("ver", (*ver).into()),
        ]),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(n >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
