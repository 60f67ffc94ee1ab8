//! Jobs are cancelled while their submitters wait, and the submitters do what the answer tells them.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{self, Job};
use crate::clock;
use crate::deployment::Deployment;
use crate::{Stage, Verdict};

const ENTRIES: u8 = 3;
const WORKERS: u8 = 2;
const ROUNDS: u64 = 6;

/// Jobs of a round, and how many of them are cancelled: 0.4, where a site file's largest share of clients is 0.4.
const JOBS: u64 = 5;
const CANCELLED: u64 = 2;

const TASKS: u32 = 2;
const TASK_CPU: u64 = 3_100;

/// The longest task of the sheets takes 3.6 s.
const TASK_MS: u64 = 3_500;

const CANCEL_AFTER: Duration = Duration::from_millis(400);

/// When a job without an answer, or answered 502 or 504, is sent again (`retransmit_ms`).
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// Until all runs of a round have ended.
const ROUND: Duration = Duration::from_millis(7_500);

/// Bounds of the sheets.
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 50;

/// Hands a job in at the first entry, and again at the second as PROTOCOL.md says of best-effort jobs.
fn hand_in(deployment: &Deployment, job: Job) -> JoinHandle<()> {
    let entries: Vec<SocketAddr> = deployment
        .entries
        .iter()
        .map(|entry| entry.callers())
        .collect();
    let record = deployment.record.clone();
    thread::spawn(move || {
        let answer = client::submit(entries[0], job.clone(), &record).join();
        if answer.is_ok_and(|status| matches!(status, None | Some(502 | 504))) {
            thread::sleep(RETRANSMIT);
            let _ = client::submit(entries[1], job, &record).join();
        }
    })
}

/// Plays the case.
pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let deployment = Deployment::open(stage, ENTRIES, WORKERS)?;
    let mut cancelled: Vec<(String, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let id = |number: u64| format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + round * 256 + number);
        let jobs = (0..JOBS).map(|number| {
            let job = Job {
                id: id(number),
                tasks: TASKS,
                cpu: TASK_CPU,
                ms: TASK_MS,
            };
            hand_in(&deployment, job)
        });
        let jobs: Vec<_> = jobs.collect();
        thread::sleep(CANCEL_AFTER);
        for number in (0..CANCELLED).filter(|_| stage.trouble) {
            let entry = deployment.entries[0].callers();
            if client::cancel(entry, &id(number), &deployment.record) {
                cancelled.push((id(number), clock::now_ms()));
            }
        }
        thread::sleep(ROUND);
        for job in jobs {
            let _ = job.join();
        }
    }
    let runs = deployment.runs();
    let mut findings = Vec::new();
    for (id, acknowledged) in &cancelled {
        let last = acknowledged + CANCEL_MS + STOP_GRACE_MS;
        let of_job = runs.iter().filter(|run| run.task.starts_with(id.as_str()));
        for run in of_job.filter(|run| run.ended_ms.is_none_or(|ended| ended > last)) {
            findings.push(format!(
                "UNASKED: the cancelling of {id} was acknowledged at {acknowledged}; run {} of {} on {} goes on from \
                 {} to {:?}",
                run.run, run.task, run.worker, run.began_ms, run.ended_ms
            ));
        }
    }
    deployment.write_record(&stage.folder, &findings)?;
    for finding in &findings {
        println!("{finding}");
    }
    println!(
        "{} jobs cancelled, {} runs went on",
        cancelled.len(),
        findings.len()
    );
    Ok(if findings.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
