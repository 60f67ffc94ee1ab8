//! How long callers wait when the owner of a cell dies, by agents and by claims in the table.

use std::time;

use anyhow::{ensure, Context};
use compact_str::format_compact;
use hyper::Method;

use crate::bench::decisions;
use crate::bench::parts::{self, Sizes};
use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::clock;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::demo;
use crate::standin::backend::Input;
use crate::task;
use crate::wire::caller;
use crate::wire::http;
use crate::wire::platform::{Table, Transaction};
use crate::wire::rows;

/// Claims of one row, as under load.
const GROUP: usize = 1_000;

/// Longest that a caller waits.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Largest answer.
const MAX_ANSWER: usize = 1 << 20;

/// Measures fleets with no claims, then one fleet with many.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let cases: &[(usize, usize)] = if cfg.quick {
        &[(11, 0)]
    } else {
        &[(11, 0), (50, 0), (150, 0), (11, 10_000), (11, 50_000)]
    };
    let rounds = if cfg.quick { 1 } else { 3 };
    let mut found = vec![Vec::new(); cases.len()];
    for _ in 0..rounds {
        for ((agents, claims), found) in cases.iter().zip(&mut found) {
            found.push(takeover(*agents, *claims).await?);
        }
    }
    let slope = |((agents, claims), rounds): (&(usize, usize), Vec<f64>)| {
        let name = format_compact!("owner dies to next answer, {agents} agents, {claims} claims");
        Slope::of("takeover", name, "ms", rounds)
    };
    let mut slopes: Vec<Slope> = cases.iter().zip(found).map(slope).collect();
    slopes.extend(reports(cfg)?);
    Ok(slopes)
}

/// What a new owner spends on the tasks that agents report, and how many bytes those take.
fn reports(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let n = if cfg.quick { 10_000 } else { 44_000 };
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for incarnation in 0..3 {
        let life = inherit::AgentIncarnation {
            agent: "agent-0000".into(),
            incarnation,
        };
        let mut inheritance =
            inherit::Inheritance::open(time::Instant::now(), time::Duration::ZERO);
        let report = decisions::report(n);
        let begun = time::Instant::now();
        let text = serde_json::to_string(&report)?;
        let read: Vec<(task::Id, ledger::TaskState)> = serde_json::from_str(&text)?;
        inheritance.add_report(&life, &read);
        micros.push(begun.elapsed().as_secs_f64() * 1e6 / n as f64);
        bytes.push(text.len() as f64 / n as f64);
    }
    Ok(vec![
        Slope::of(
            "takeover",
            "per task that an agent reports: encode, decode, take in",
            "us",
            micros,
        ),
        Slope::of("takeover", "per task that an agent reports", "bytes", bytes),
    ])
}

/// Milliseconds from the death of the owner to the answer of a request sent at that moment.
async fn takeover(agents: usize, claims: usize) -> anyhow::Result<f64> {
    let parts = parts::open(Sizes {
        entries: 2,
        cells: 1,
        agents,
        slots: 8,
    })
    .await?;
    write_claims(&parts.client.table, claims).await?;
    let http = http::open(MAX_ANSWER);
    let owner = parts.owner().context("nobody owns the cell")?;
    let other = &parts.entries[1 - owner].entry;
    let addr = other.http_addr().to_string();
    // The first request shows that both entries know the owner.
    ask(&http, &addr).await?;
    parts.entries[owner].entry.kill();
    let begun = time::Instant::now();
    ask(&http, &addr).await?;
    let took = begun.elapsed().as_secs_f64() * 1e3;
    parts.stop().await;
    Ok(took)
}

async fn ask(http: &http::Client, addr: &str) -> anyhow::Result<()> {
    let req = caller::Request {
        client_account: "canoas".into(),
        class: "consent".into(),
        idempotent: true,
        kind: "request".into(),
        run_ms: 1,
        needs: Default::default(),
        input: serde_json::value::to_raw_value(&Input { ms: 1, value: 1 })?,
    };
    let uri = format!("http://{addr}/v1/requests");
    let call = http::Call::new(Method::POST, uri, serde_json::to_vec(&req)?)
        .header(caller::IDEMPOTENCY_KEY, demo::caller::mint(true));
    let answer = http.call(call, PATIENCE).await?;
    let text = String::from_utf8_lossy(&answer.body);
    ensure!(answer.status.is_success(), "no answer came: {text}");
    Ok(())
}

/// Writes claims of an earlier owner, as many as a busy cell has.
async fn write_claims(table: &Table, n: usize) -> anyhow::Result<()> {
    let at_ms = clock::since_epoch().as_millis() as u64;
    for group in 0..n.div_ceil(GROUP) {
        let claim = |number: usize| inherit::StoredClaim {
            key: format_compact!("team-07/0190a5b3-7c1d-7e2f-8a3b-{number:012x}"),
            digest: number as u64,
            tasks: 145,
            at_ms,
        };
        let claims: Vec<_> = (group * GROUP..(group + 1) * GROUP).map(claim).collect();
        let key = rows::claim(0, 0, group as u64);
        let tx = Transaction::put(&key, serde_json::to_string(&claims)?);
        ensure!((table.commit)(tx).await.is_ok(), "a claim wasn't written");
    }
    Ok(())
}
