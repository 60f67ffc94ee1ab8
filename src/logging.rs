//! Logs as JSON lines, by `log` and `env_logger`.
//!
//! [`init`] writes to standard error; [`spawn`] to standard output through a bounded queue and a
//! thread of its own, so that a reader that stops reading never blocks the process. `docs/LOGS.md`
//! lists the fields.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::{io, thread, time};

use log::kv;
use serde::Serialize;

use crate::clock;

/// Lines that may wait for the reader of standard output; more are dropped and counted. A few
/// hundred kilobytes at most.
const WAITING: usize = 1_024;

/// How long lines gather before they are written. A line then costs neither a wake-up of the writer
/// nor a write of its own; a process that is killed takes the lines of so long with it.
const GATHER: time::Duration = time::Duration::from_millis(25);

/// One line.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u128,
    level: &'a str,
    process: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Collects a record's fields.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(n) = value.to_i64() {
            n.into()
        } else if let Some(n) = value.to_f64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn text(process: &str, record: &log::Record<'_>) -> String {
    let mut fields = Fields(serde_json::Map::new());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields_lost".to_owned(), true.into());
    }
    let line = Line {
        time_ms: clock::since_epoch().as_millis(),
        level: record.level().as_str(),
        process,
        target: record.target(),
        message: record.args().to_string(),
        fields: fields.0,
    };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Gives lines to the thread that writes them.
struct Queue {
    tx: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(mut lines) = rx.recv() {
        thread::sleep(GATHER);
        while let Ok(more) = rx.try_recv() {
            lines.extend(more);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{lost}}}\n"
            );
            lines.extend(text.into_bytes());
        }
        // Nobody is left to tell where the log itself can't be written.
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Starts logging to standard output without ever blocking on it; `RUST_LOG` sets the level, `info`
/// where it is unset.
pub fn spawn(process: &str) {
    let (tx, rx) = mpsc::sync_channel(WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        tx,
        dropped: dropped.clone(),
    };
    let writer = thread::Builder::new().name("log".to_owned());
    let started = writer.spawn(move || write_lines(&rx, &dropped, io::stdout()));
    if started.is_err() {
        return init(process);
    }
    start(process, env_logger::Target::Pipe(Box::new(queue)));
}

/// Waits until the last lines are written, before the process ends. They leave within [`GATHER`]; a
/// reader that has stopped reading isn't waited for.
pub fn drain() {
    thread::sleep(2 * GATHER);
}

/// Starts logging for a process to standard error; `RUST_LOG` sets the level, `info` where it is
/// unset.
pub fn init(process: &str) {
    start(process, env_logger::Target::Stderr);
}

fn start(process: &str, target: env_logger::Target) {
    let process = process.to_owned();
    let env = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(env)
        .target(target)
        .format(move |f, record| writeln!(f, "{}", text(&process, record)))
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
}
