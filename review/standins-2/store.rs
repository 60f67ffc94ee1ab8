//! A stand-in for the platform's store: rows of tables with versions, and watches of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, reply, Reply, Request};
use crate::json::{quote, Json};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// The value, none where the row was dropped, and the version of each row.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
}

impl Store {
    /// Serves an empty store at an address.
    pub fn open(addr: SocketAddr) -> io::Result<Store> {
        let store = Store {
            rows: Arc::default(),
        };
        let serving = store.clone();
        let began = Instant::now();
        http::serve(
            addr,
            Arc::new(move |request| Some(serving.answer(&request, began))),
        )?;
        Ok(store)
    }

    /// Writes a row as the operator does; the value is any text.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (Some(base64(value.as_bytes())), rows.version);
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
    }

    fn answer(&self, request: &Request, began: Instant) -> Reply {
        thread::sleep(ANSWER_TIME);
        let now_ms = began.elapsed().as_millis();
        match request.path.as_str() {
            "/-/rows-get" => self.get(request, now_ms),
            "/-/rows-parts" => self.parts(request),
            "/-/rows-feed" => self.feed(request, now_ms),
            "/-/rows-tx" => self.transact(request, now_ms),
            _ => reply(404, ""),
        }
    }

    fn get(&self, request: &Request, now_ms: u128) -> Reply {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, p, key), (value, _))| {
            *t == table
                && *p == part
                && *key >= from
                && (to.is_empty() || *key < to)
                && value.is_some()
        });
        let found: Vec<String> = found.map(row).collect();
        reply(
            200,
            format!(
                "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{now_ms}}}",
                found.join(","),
                rows.version
            ),
        )
    }

    fn parts(&self, request: &Request) -> Reply {
        let (table, after) = (request.parameter("table"), request.parameter("after"));
        let rows = self.rows.lock().unwrap();
        let found = rows
            .rows
            .iter()
            .filter(|((t, p, _), (value, _))| *t == table && *p > after && value.is_some());
        let found: BTreeSet<&str> = found.map(|((_, part, _), _)| part.as_str()).collect();
        let found: Vec<String> = found.into_iter().map(quote).collect();
        reply(
            200,
            format!(
                "{{\"parts\":[{}],\"ver\":{}}}",
                found.join(","),
                rows.version
            ),
        )
    }

    fn feed(&self, request: &Request, now_ms: u128) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let rows = self.rows.lock().unwrap();
                let found = rows.rows.iter();
                let mut found: Vec<_> = found
                    .filter(|((t, ..), (_, ver))| *t == table && *ver > after)
                    .collect();
                found.sort_by_key(|(_, (_, ver))| *ver);
                if !found.is_empty() || Instant::now() >= until {
                    let found: Vec<String> = found.into_iter().map(row).collect();
                    return reply(
                        200,
                        format!(
                            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{now_ms}}}",
                            found.join(","),
                            rows.version
                        ),
                    );
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, request: &Request, now_ms: u128) -> Reply {
        let change = Json::parse(&request.body);
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = |row: &Json| -> RowKey {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        for row in change.get("set_keys").items() {
            let value = Some(row.get("value").text().to_owned());
            rows.rows.insert(key(row), (value, version));
        }
        for row in change.get("remove").items() {
            rows.rows.insert(key(row), (None, version));
        }
        reply(200, format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}"))
    }
}

fn row(((table, part, key), (value, ver)): (&RowKey, &(Option<String>, u64))) -> String {
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{ver}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut bits = 0_u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(*chunk.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            let digit = (bits >> (18 - 6 * at)) & 63;
            out.push(if at <= chunk.len() {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    out
}
