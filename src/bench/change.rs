//! How long an accepted configuration change takes to be in force at every entry.

use std::time;

use anyhow::ensure;
use compact_str::format_compact;
use hyper::Method;

use crate::bench::parts::{self, Sizes};
use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::class;
use crate::wire::http;

/// How often entries are asked for their version.
const ASK: time::Duration = time::Duration::from_millis(10);

/// Longest that a change is waited for.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Largest answer.
const MAX_ANSWER: usize = 1 << 20;

/// Measures few entries and many.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let sizes: &[usize] = if cfg.quick { &[3] } else { &[3, 16] };
    let changes = if cfg.quick { 2 } else { 5 };
    let mut found = Vec::new();
    for entries in sizes {
        found.push(one_size(*entries, changes).await?);
    }
    Ok(found)
}

async fn one_size(entries: usize, changes: u64) -> anyhow::Result<Slope> {
    let parts = parts::open(Sizes {
        entries,
        cells: entries as u16,
        agents: 0,
        slots: 8,
    })
    .await?;
    let http = http::open(MAX_ANSWER);
    let addrs: Vec<String> = parts
        .entries
        .iter()
        .map(|node| node.entry.http_addr().to_string())
        .collect();
    // All entries have read the first version before the first change is made.
    in_force(&http, &addrs, 1).await?;
    let mut rounds = Vec::new();
    for base in 1..=changes {
        let body = serde_json::json!({ "base": base, "document": parts.config });
        let uri = format!("http://{}/v1/config", addrs[base as usize % entries]);
        let call = http::Call::new(Method::PUT, uri, serde_json::to_vec(&body)?);
        let answer = http.call(call, PATIENCE).await?;
        ensure!(answer.status.is_success(), "a change was refused");
        let begun = time::Instant::now();
        in_force(&http, &addrs, base + 1).await?;
        rounds.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    parts.stop().await;
    let name = format_compact!("from accepted to in force at {entries} entries");
    Ok(Slope::of("configuration", name, "ms", rounds))
}

/// Waits until every entry has a version in force.
async fn in_force(http: &http::Client, addrs: &[String], version: u64) -> anyhow::Result<()> {
    let deadline = time::Instant::now() + PATIENCE;
    for addr in addrs {
        loop {
            let uri = format!("http://{addr}/v1/config");
            let call = http::Call::new(Method::GET, uri, Vec::new());
            let answer = http.call(call, PATIENCE).await?;
            let config: Option<class::Versioned> = serde_json::from_slice(&answer.body).ok();
            if config.is_some_and(|config| config.version >= version) {
                break;
            }
            ensure!(
                time::Instant::now() < deadline,
                "{addr} lacks version {version}"
            );
            tokio::time::sleep(ASK).await;
        }
    }
    Ok(())
}
