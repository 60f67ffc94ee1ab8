//! Case: a worker's room shrinks while the agent beside it is down.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::lab::{self, Lab, Run, HEADERS, PREFIX};
use crate::worker::epoch_us;
use crate::Verdict;

/// Callers that submit one job after the other.
const CALLERS: usize = 15;

/// Tasks of a job, and the work of a task in milliseconds (the mean of `route-clearance`).
const TASKS: u64 = 3;
const WORK_MS: u64 = 900;

/// The side whose worker shrinks, and its room from then on.
const SIDE: usize = 0;
const SHRUNK_CPU: u64 = 8_000;

/// From a heartbeat of the worker on: when it shrinks, and when its agent is killed.
const SHRINKS_AFTER: Duration = Duration::from_millis(200);
const KILLED_AFTER: Duration = Duration::from_millis(1_200);

/// How long the agent is down: the longest that the site file says of killed processes.
const DOWN_FOR: Duration = Duration::from_millis(3_500);

/// `stable_window_ms` and `heartbeat_ms` of the small deployments: a room that has shrunk counts so much later.
const COUNTS_AFTER: Duration = Duration::from_millis(3_000 + 1_500);

/// How long the load goes on after the agent is back.
const PLAY_ON: Duration = Duration::from_secs(5);

pub fn play(lab: &mut Lab, trouble: bool) -> Verdict {
    let stop = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0x5c0e_7a21_0000_0000));
    let callers = (0..CALLERS).map(|n| {
        let callers = lab.entries[n % lab.entries.len()].callers;
        let (stop, next_id, record) = (stop.clone(), next_id.clone(), lab.record.clone());
        thread::spawn(move || {
            let body = lab::job(TASKS, WORK_MS);
            while !stop.load(Ordering::Relaxed) {
                let path = format!("{PREFIX}{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                let answer = http::call(
                    callers,
                    Duration::from_secs(6),
                    "POST",
                    &path,
                    &HEADERS,
                    &body,
                );
                record.note(format!(
                    "caller {n}: POST {path} is answered with {answer:?}"
                ));
                if answer.map_or(true, |answer| answer.status != 200) {
                    thread::sleep(Duration::from_millis(500));
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(Duration::from_secs(3));
    let worker = lab.sides[SIDE]
        .worker
        .as_ref()
        .map(|worker| worker.name.clone());
    let worker = worker.unwrap_or_default();
    if lab
        .record
        .next_beat(&worker, Duration::from_secs(4))
        .is_none()
    {
        return Verdict::CouldNotRun("the worker's heartbeat isn't acknowledged".to_owned());
    }
    thread::sleep(SHRINKS_AFTER);
    lab.set_room(SIDE, SHRUNK_CPU);
    let counts_from_us = epoch_us() + COUNTS_AFTER.as_micros() as u64;
    if trouble {
        thread::sleep(KILLED_AFTER - SHRINKS_AFTER);
        lab.kill_agent(SIDE);
        thread::sleep(DOWN_FOR);
        lab.restart_agent(SIDE);
    } else {
        thread::sleep(KILLED_AFTER - SHRINKS_AFTER + DOWN_FOR);
    }
    thread::sleep(PLAY_ON);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    judge(lab, &worker, counts_from_us)
}

/// Looks for starts that bring the shrunk worker over its room.
fn judge(lab: &Lab, worker: &str, counts_from_us: u64) -> Verdict {
    let runs: Vec<Run> = lab
        .record
        .runs()
        .into_iter()
        .filter(|run| run.worker == worker)
        .collect();
    let mut verdict = Verdict::Held;
    for start in runs.iter().filter(|run| run.began_us >= counts_from_us) {
        let is_there = |run: &&Run| {
            run.began_us <= start.began_us && run.ended_us.is_none_or(|end| end > start.began_us)
        };
        let used = runs.iter().filter(is_there).count() as u64 * lab::TASK_CPU;
        if used > SHRUNK_CPU {
            lab.record.note(format!(
                "BROKEN: the start of {} brings {worker} to {used} of {SHRUNK_CPU}",
                start.task
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
