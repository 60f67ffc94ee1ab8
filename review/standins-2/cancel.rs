//! Clients cancel jobs right after they handed them in, while the machine that takes the jobs is slow.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{self, Job};
use crate::clock;
use crate::deployment::Deployment;
use crate::system::{Machine, SIGCONT, SIGSTOP};
use crate::{Stage, Verdict};

/// A worker has room for ten tasks that take so many thousandths of a core, as on the sheets.
const TASK_CPU: u64 = 3_100;

const ENTRIES: u8 = 2;
const WORKERS: u8 = 2;
const ROUNDS: u64 = 9;
const JOBS: u64 = 6;
const TASKS: u32 = 2;

/// The longest task of the sheets takes 3.6 s, and 4.7 s on a worker of their slower kind.
const TASK_MS: u64 = 4_500;

/// From one job to the next, and from a job to its cancelling.
const BETWEEN_JOBS: Duration = Duration::from_millis(85);
const CANCEL_AFTER: Duration = Duration::from_millis(20);

/// A machine that is 5.5 times slower: it works for 18 ms of each tenth of a second.
const SLICE: Duration = Duration::from_millis(100);
const WORKS: Duration = Duration::from_millis(18);

/// Until the runs of a round have ended, whatever became of them.
const ROUND: Duration = Duration::from_millis(5_600);

/// Bounds of the sheets.
const CANCEL_MS: u64 = 3_000;
const STOP_GRACE_MS: u64 = 50;
const STABLE_WINDOW_MS: u64 = 3_000;

/// A cancelled job: its id, and when its cancelling was acknowledged.
type Cancelled = (String, u64);

/// Stops the machine for most of each slice until `until` is set.
fn slow_down(machine: &Machine, until: &AtomicBool) {
    while !until.load(Ordering::SeqCst) {
        machine.signal(SIGSTOP);
        thread::sleep(SLICE - WORKS);
        machine.signal(SIGCONT);
        thread::sleep(WORKS);
    }
}

/// Hands jobs in and cancels them; returns those whose cancelling was acknowledged.
fn cancel_jobs(deployment: &Deployment, round: u64) -> Vec<Cancelled> {
    let entry = deployment.entries[0].callers();
    let clients = (0..JOBS).map(|number| {
        let job = Job {
            id: format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + round * 256 + number),
            tasks: TASKS,
            cpu: TASK_CPU,
            ms: TASK_MS,
        };
        let record = deployment.record.clone();
        let client = thread::spawn(move || {
            let id = job.id.clone();
            let _answer = client::submit(entry, job, &record);
            thread::sleep(CANCEL_AFTER);
            client::cancel(entry, &id, &record).then(|| (id, clock::now_ms()))
        });
        thread::sleep(BETWEEN_JOBS);
        client
    });
    let clients: Vec<_> = clients.collect();
    clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect()
}

/// Plays the case.
pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let deployment = Deployment::open(stage, ENTRIES, WORKERS)?;
    let mut cancelled: Vec<(Cancelled, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let done = AtomicBool::new(false);
        let found = thread::scope(|scope| {
            if stage.trouble {
                deployment
                    .record
                    .note(format!("{} turns slow", deployment.entries[0].name));
                scope.spawn(|| slow_down(&deployment.entries[0], &done));
            }
            let found = cancel_jobs(&deployment, round);
            done.store(true, Ordering::SeqCst);
            found
        });
        deployment
            .record
            .note("all machines run at full speed".into());
        let calm = clock::now_ms();
        cancelled.extend(found.into_iter().map(|job| (job, calm)));
        thread::sleep(ROUND);
    }
    let runs = deployment.runs();
    let mut findings = Vec::new();
    for ((id, acknowledged), calm) in &cancelled {
        let last = (acknowledged + CANCEL_MS + STOP_GRACE_MS).max(calm + STABLE_WINDOW_MS);
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
