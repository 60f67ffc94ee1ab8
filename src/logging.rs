//! Logs as JSON lines on standard error, by `log` and `env_logger`.

use std::io::Write;

use serde::Serialize;

use crate::clock;

/// One line.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u128,
    level: &'a str,
    process: &'a str,
    target: &'a str,
    message: String,
}

/// Starts logging for a process; `RUST_LOG` sets the level, `info` where it is unset.
pub fn init(process: &str) {
    let process = process.to_owned();
    let env = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(env)
        .format(move |f, record| {
            let line = Line {
                time_ms: clock::since_epoch().as_millis(),
                level: record.level().as_str(),
                process: &process,
                target: record.target(),
                message: record.args().to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            writeln!(f, "{text}")
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
}
