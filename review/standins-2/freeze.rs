//! A machine beside a worker freezes while jobs come in at all entries, and wakes again.

use std::io;
use std::thread;
use std::time::Duration;

use crate::client::{self, Job};
use crate::deployment::Deployment;
use crate::system::{SIGCONT, SIGSTOP};
use crate::twice;
use crate::{Stage, Verdict};

/// A worker has room for ten tasks that take so many thousandths of a core, as on the sheets.
const TASK_CPU: u64 = 3_100;

const ENTRIES: u8 = 3;
const WORKERS: u8 = 3;
const ROUNDS: u32 = 8;

/// The largest job of the sheets' `route-clearance`, and how long its tasks take on average.
const TASKS: u32 = 16;
const TASK_MS: u64 = 900;

/// From the jobs to the freeze, and how long it lasts; the site allows 4 s.
const FREEZE_AFTER: Duration = Duration::from_millis(12);
const FREEZE: Duration = Duration::from_millis(1_700);

/// Until all jobs of a round have ended.
const ROUND: Duration = Duration::from_millis(7_000);

/// Plays the case.
pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let deployment = Deployment::open(stage, ENTRIES, WORKERS)?;
    for round in 0..ROUNDS {
        let jobs = deployment.entries.iter().enumerate().map(|(at, entry)| {
            let job = Job {
                id: format!(
                    "{:016x}",
                    0x5c0e_7a21_0000_0000_u64 + u64::from(round) * 16 + at as u64
                ),
                tasks: TASKS,
                cpu: TASK_CPU,
                ms: TASK_MS,
            };
            client::submit(entry.callers(), job, &deployment.record)
        });
        let jobs: Vec<_> = jobs.collect();
        thread::sleep(FREEZE_AFTER);
        let frozen = &deployment.agents[round as usize % deployment.agents.len()];
        if stage.trouble {
            deployment.record.note(format!("{} freezes", frozen.name));
            frozen.signal(SIGSTOP);
        }
        thread::sleep(FREEZE);
        if stage.trouble {
            frozen.signal(SIGCONT);
            deployment.record.note(format!("{} wakes", frozen.name));
        }
        thread::sleep(ROUND - FREEZE);
        for job in jobs {
            let _ = job.join();
        }
    }
    let findings: Vec<String> = twice::overlaps(&deployment.runs())
        .iter()
        .map(twice::describe)
        .collect();
    deployment.write_record(&stage.folder, &findings)?;
    for finding in &findings {
        println!("{finding}");
    }
    Ok(if findings.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
