//! Case: a job is cancelled through another entry than the one that it was submitted to.

use std::thread;
use std::time::Duration;

use crate::http;
use crate::lab::{self, Lab, HEADERS, PREFIX};
use crate::worker::epoch_us;
use crate::Verdict;

/// Jobs that are submitted, one after the other, and those of them that are cancelled: a share of 0.4.
const JOBS: u64 = 5;
const CANCELLED: [u64; 2] = [1, 3];

/// How long after its submission a job is cancelled.
const CANCELLED_AFTER: Duration = Duration::from_millis(100);

pub fn play(lab: &mut Lab, trouble: bool) -> Verdict {
    let (first, other) = (lab.entries[0].callers, lab.entries[1].callers);
    let mut callers = Vec::new();
    let mut cancelled = Vec::new();
    for n in 0..JOBS {
        let id = format!("5c0e7a21d94b{n:04x}");
        let path = format!("{PREFIX}{id}");
        let (record, submitted) = (lab.record.clone(), path.clone());
        callers.push(thread::spawn(move || {
            record.note(format!("caller {n}: POST {submitted} to entry 1"));
            let body = lab::job(2, lab::LONGEST_WORK_MS);
            let answer = http::call(
                first,
                Duration::from_secs(6),
                "POST",
                &submitted,
                &HEADERS,
                &body,
            );
            record.note(format!("caller {n}: the POST is answered with {answer:?}"));
        }));
        thread::sleep(CANCELLED_AFTER);
        if trouble && CANCELLED.contains(&n) {
            let answer = http::call(other, Duration::from_secs(2), "DELETE", &path, &HEADERS, "");
            lab.record.note(format!(
                "client in zone zb: DELETE {path} through entry 2 is answered with {answer:?}"
            ));
            if answer.is_ok_and(|answer| answer.status == 410 || answer.status / 100 == 2) {
                cancelled.push((id, epoch_us()));
            }
        }
        thread::sleep(Duration::from_millis(900));
    }
    for caller in callers {
        let _ = caller.join();
    }
    if trouble && cancelled.len() < CANCELLED.len() {
        return Verdict::CouldNotRun("a cancelling wasn't acknowledged".to_owned());
    }
    lab.judge_cancelled(&cancelled)
}
