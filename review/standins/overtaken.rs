//! Case: an entry that stood still for a moment reads a job and its cancelling together.

use std::thread;
use std::time::Duration;

use crate::http;
use crate::lab::{self, Lab, HEADERS, PREFIX};
use crate::worker::epoch_us;
use crate::Verdict;

/// Jobs that are submitted and cancelled, one after the other.
const JOBS: u64 = 10;

/// Jobs beside each of them that aren't cancelled, so that a share of a third is.
const OTHER_JOBS: usize = 2;

/// Work of the other jobs in milliseconds.
const OTHER_WORK_MS: u64 = 60;

/// How long the entry's machine stands still: less than a core's quota of a quarter lets it stand in each tenth of a
/// second.
const FREEZE: Duration = Duration::from_millis(70);

/// When the job is submitted and when it is cancelled, from the beginning of the freeze.
const SUBMITTED_AT: Duration = Duration::from_millis(10);
const CANCELLED_AT: Duration = Duration::from_millis(40);

pub fn play(lab: &mut Lab, trouble: bool) -> Verdict {
    let entry = &lab.entries[0];
    let mut cancelled = Vec::new();
    for n in 0..JOBS {
        let id = format!("5c0e7a21d94b{n:04x}");
        let path = format!("{PREFIX}{id}");
        let open = || http::connect(entry.callers, Duration::from_secs(6));
        let (Ok(mut submitting), Ok(mut cancelling)) = (open(), open()) else {
            return Verdict::CouldNotRun("the entry can't be reached".to_owned());
        };
        for other in 0..OTHER_JOBS {
            submit_other(
                lab,
                other,
                format!(
                    "{PREFIX}5c0e7a21d94a{:04x}",
                    n * OTHER_JOBS as u64 + other as u64
                ),
            );
        }
        thread::sleep(Duration::from_millis(50));
        if trouble {
            lab.record.note(format!("{} freezes", entry.process.name));
            entry.process.signal("-STOP");
        }
        thread::sleep(SUBMITTED_AT);
        lab.record
            .note(format!("caller {n}: POST {path} to entry 1"));
        let body = lab::job(1, lab::LONGEST_WORK_MS);
        let sent = http::send(&mut submitting, "POST", &path, &HEADERS, &body);
        thread::sleep(CANCELLED_AT - SUBMITTED_AT);
        lab.record
            .note(format!("caller {n}: DELETE {path} to entry 1"));
        let cancel_sent = http::send(&mut cancelling, "DELETE", &path, &HEADERS, "");
        if trouble {
            thread::sleep(FREEZE - CANCELLED_AT);
            entry.process.signal("-CONT");
            lab.record.note(format!("{} wakes", entry.process.name));
        }
        if sent.is_err() || cancel_sent.is_err() {
            return Verdict::CouldNotRun("a request can't be sent".to_owned());
        }
        let answer = http::receive(&mut cancelling);
        lab.record.note(format!(
            "caller {n}: the DELETE is answered with {answer:?}"
        ));
        if answer.is_ok_and(|answer| answer.status / 100 == 2) {
            cancelled.push((id, epoch_us()));
        }
        let answer = http::receive(&mut submitting);
        lab.record
            .note(format!("caller {n}: the POST is answered with {answer:?}"));
        thread::sleep(Duration::from_millis(300));
    }
    if cancelled.is_empty() {
        return Verdict::CouldNotRun("no cancelling was acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(lab::LONGEST_WORK_MS + 500));
    lab.judge_cancelled(&cancelled)
}

/// Submits a job that isn't cancelled to another entry, and waits for its answer in the background.
fn submit_other(lab: &Lab, other: usize, path: String) {
    let (callers, record) = (lab.entries[1 + other].callers, lab.record.clone());
    thread::spawn(move || {
        record.note(format!(
            "another caller: POST {path} to entry {}",
            2 + other
        ));
        let body = lab::job(1, OTHER_WORK_MS);
        let answer = http::call(
            callers,
            Duration::from_secs(6),
            "POST",
            &path,
            &HEADERS,
            &body,
        );
        record.note(format!(
            "another caller: {path} is answered with {answer:?}"
        ));
    });
}
