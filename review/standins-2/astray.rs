//! A client cancels its job, its connection is reset, and it cancels again at another entry.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::{self, Job};
use crate::clock;
use crate::deployment::Deployment;
use crate::proxy::Proxy;
use crate::system::PROXY_PORT;
use crate::{Stage, Verdict};

const ENTRIES: u8 = 3;
const WORKERS: u8 = 2;
const ROUNDS: u64 = 8;

/// A job that takes seven times the room of all workers, one after the other: 6.3 s.
const TASKS: u32 = 140;
const TASK_CPU: u64 = 3_100;
const TASK_MS: u64 = 900;

const CANCEL_AFTER: Duration = Duration::from_millis(300);

/// When a client whose connection broke sends its request again (`retransmit_ms`).
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// Until a round has ended, whatever became of its job.
const ROUND: Duration = Duration::from_millis(7_500);

/// A bound of the sheets.
const CANCEL_MS: u64 = 3_000;

/// Plays the case.
pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let deployment = Deployment::open(stage, ENTRIES, WORKERS)?;
    let (first, second) = (
        deployment.entries[0].callers(),
        deployment.entries[1].callers(),
    );
    let proxied = SocketAddr::new(deployment.entries[0].ip, PROXY_PORT);
    Proxy::open(proxied, first, stage.trouble)?;
    let mut cancelled: Vec<(String, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let began = clock::now_ms();
        let job = Job {
            id: format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + round),
            tasks: TASKS,
            cpu: TASK_CPU,
            ms: TASK_MS,
        };
        let id = job.id.clone();
        let answer = client::submit(proxied, job, &deployment.record);
        thread::sleep(CANCEL_AFTER);
        let mut acknowledged = client::cancel(proxied, &id, &deployment.record);
        if !acknowledged {
            thread::sleep(RETRANSMIT);
            acknowledged = client::cancel(second, &id, &deployment.record);
        }
        if acknowledged {
            cancelled.push((id, clock::now_ms()));
        }
        let _ = answer.join();
        thread::sleep(ROUND.saturating_sub(Duration::from_millis(clock::now_ms() - began)));
    }
    let runs = deployment.runs();
    let mut findings = Vec::new();
    for (id, acknowledged) in &cancelled {
        let of_job = runs.iter().filter(|run| run.task.starts_with(id.as_str()));
        for run in of_job.filter(|run| run.began_ms > acknowledged + CANCEL_MS) {
            findings.push(format!(
                "UNASKED: the cancelling of {id} was acknowledged at {acknowledged}; run {} of {} begins on {} at {}",
                run.run, run.task, run.worker, run.began_ms
            ));
        }
    }
    deployment.write_record(&stage.folder, &findings)?;
    for finding in &findings {
        println!("{finding}");
    }
    println!(
        "{} jobs cancelled, {} starts too late",
        cancelled.len(),
        findings.len()
    );
    Ok(if findings.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
