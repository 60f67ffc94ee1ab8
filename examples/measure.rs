//! Trials against running processes: what the path adds to a task, and what a start costs.
//!
//! `docs/MEASUREMENTS.md` has the commands. Processes are given by their pids, so that their
//! processor time and memory are read from outside.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::{fs, time};

use anyhow::{bail, Context};
use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use hyper::Method;
use lovagemill::demo;
use lovagemill::wire::{backend, caller, http};

/// Longest that one exchange may take.
const LIMIT: time::Duration = time::Duration::from_secs(15);

/// Clock ticks in a second, in which /proc counts processor time.
const TICKS: f64 = 100.0;

/// What to measure.
#[derive(Debug, Parser)]
struct Opts {
    #[command(subcommand)]
    trial: Trial,
}

#[derive(Debug, Subcommand)]
enum Trial {
    /// Requests through an entry and to a backend server, in turns
    Overhead {
        /// The entry (host and port)
        #[arg(long)]
        entry: String,
        /// A stand-in backend server (host and port)
        #[arg(long)]
        backend: String,
        /// The class
        #[arg(long, default_value = "trip-check")]
        class: String,
        /// How long a task runs, in milliseconds
        #[arg(long, default_value_t = 0)]
        ms: u64,
        /// Pairs of requests
        #[arg(long, default_value_t = 2_000)]
        pairs: u32,
        /// Use keys that don't tell their age, so that claims are written ahead of the starts
        #[arg(long)]
        plain_keys: bool,
    },
    /// Jobs one after the other on several lines, as fast as they are answered
    Rate {
        /// The entry (host and port)
        #[arg(long)]
        entry: String,
        /// The class
        #[arg(long, default_value = "trip-check")]
        class: String,
        /// Tasks of a job
        #[arg(long, default_value_t = 16)]
        tasks: usize,
        /// Jobs at a time
        #[arg(long, default_value_t = 16)]
        lines: usize,
        /// How long, in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Processes whose processor time and memory are reported
        #[arg(long, value_delimiter = ',')]
        pids: Vec<u32>,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Opts::parse().trial {
        Trial::Overhead {
            entry,
            backend,
            class,
            ms,
            pairs,
            plain_keys,
        } => {
            let client = http::open(1 << 20);
            let mut direct = Histogram::<u64>::new(3)?;
            let mut path = Histogram::<u64>::new(3)?;
            // The first exchanges open connections and fill caches.
            for round in 0..pairs + 100 {
                let one = call(&client, direct_call(&backend, ms, round)).await?;
                let call_path = path_call(&entry, &class, ms, !plain_keys);
                let two = call(&client, call_path).await?;
                if round >= 100 {
                    direct.record(one.as_micros() as u64)?;
                    path.record(two.as_micros() as u64)?;
                }
            }
            show("direct", &direct);
            show("path", &path);
            for quantile in [0.5, 0.99] {
                let [one, two] = [&direct, &path].map(|h| h.value_at_quantile(quantile));
                println!(
                    "added at p{}: {} us",
                    quantile * 100.0,
                    two as i64 - one as i64
                );
            }
        }
        Trial::Rate {
            entry,
            class,
            tasks,
            lines,
            seconds,
            pids,
        } => {
            let before = usage_of(&pids)?;
            let done = Arc::new(AtomicU64::new(0));
            let begun = time::Instant::now();
            let until = begun + time::Duration::from_secs(seconds);
            let mut running = tokio::task::JoinSet::new();
            for _ in 0..lines {
                let (entry, class, done) = (entry.clone(), class.clone(), done.clone());
                running.spawn(async move {
                    let client = http::open(1 << 20);
                    while time::Instant::now() < until {
                        call(&client, job_call(&entry, &class, tasks)).await?;
                        done.fetch_add(tasks as u64, Ordering::Relaxed);
                    }
                    anyhow::Ok(())
                });
            }
            while let Some(line) = running.join_next().await {
                line??;
            }
            let took = begun.elapsed().as_secs_f64();
            let done = done.load(Ordering::Relaxed) as f64;
            println!("{done} tasks in {took:.1} s, {:.0} a second", done / took);
            for (pid, (cpu, _)) in pids.iter().zip(before) {
                let (now, memory) = usage(*pid)?;
                let cpu = now - cpu;
                let name = fs::read_to_string(format!("/proc/{pid}/comm"))?;
                println!(
                    "{} {pid}: {cpu:.2} core seconds, {:.2} of a core, {:.1} us a task, \
                     {:.0} tasks a core second, {memory}",
                    name.trim(),
                    cpu / took,
                    1e6 * cpu / done,
                    done / cpu
                );
            }
        }
    }
    Ok(())
}

fn show(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: p50 {} us, p99 {} us, max {} us, n {}",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
        histogram.len()
    );
}

async fn call(client: &http::Client, call: http::Call) -> anyhow::Result<time::Duration> {
    let begun = time::Instant::now();
    let answer = client.call(call, LIMIT).await?;
    if !answer.status.is_success() {
        bail!("{}", String::from_utf8_lossy(&answer.body));
    }
    Ok(begun.elapsed())
}

fn direct_call(backend: &str, ms: u64, round: u32) -> http::Call {
    let body = serde_json::json!({"ms": ms, "value": round}).to_string();
    http::Call::new(Method::POST, format!("http://{backend}/run"), body)
        .header(backend::JOB, format!("measure/{round}"))
        .header(backend::INDEX, "0")
        .header(backend::CLIENT_ACCOUNT, "measure")
        .header(backend::DEADLINE, "10000")
}

fn path_call(entry: &str, class: &str, ms: u64, aged: bool) -> http::Call {
    let body = serde_json::json!({
        "customer": "measure", "class": class, "idempotent": true, "run_ms": ms,
        "input": {"ms": ms, "value": 1},
    });
    http::Call::new(
        Method::POST,
        format!("http://{entry}/v1/requests"),
        body.to_string(),
    )
    .header(caller::IDEMPOTENCY_KEY, demo::caller::mint(aged))
}

fn job_call(entry: &str, class: &str, tasks: usize) -> http::Call {
    let task = serde_json::json!({"run_ms": 1, "input": {"ms": 0, "value": 1}});
    let body = serde_json::json!({
        "customer": "measure", "class": class, "tasks": vec![task; tasks],
    });
    http::Call::new(
        Method::POST,
        format!("http://{entry}/v1/jobs"),
        body.to_string(),
    )
    .header(caller::IDEMPOTENCY_KEY, demo::caller::mint(true))
}

fn usage_of(pids: &[u32]) -> anyhow::Result<Vec<(f64, String)>> {
    pids.iter().map(|pid| usage(*pid)).collect()
}

/// Processor seconds used so far, and the lines about memory.
fn usage(pid: u32) -> anyhow::Result<(f64, String)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit_once(')').context("the name ends")?.1;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let memory = status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("VmHWM"));
    let memory: Vec<String> = memory
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    Ok((ticks / TICKS, memory.join(", ")))
}
