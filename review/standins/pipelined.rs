//! Case: connections with a further request behind the running one are reset, and the callers submit again through
//! another entry.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::lab::{self, Lab, Record, HEADERS, PREFIX};
use crate::Verdict;

/// `retransmit_ms` of the small deployments.
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// Work of a task in milliseconds.
const WORK_MS: u64 = 3_000;

/// Callers with a connection to the first entry; every other connection is reset.
const CALLERS: u64 = 12;

/// How long after the submissions the connections are reset.
const RESET_AFTER: Duration = Duration::from_millis(300);

/// How long a caller waits for an answer.
const WAIT: Duration = Duration::from_secs(6);

/// Overlaps of runs that are shorter are left to the accuracy of the record.
const SLACK: Duration = Duration::from_millis(50);

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the pointer and the length describe `linger`, which outlives the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &linger,
            size_of::<Linger>() as u32,
        )
    };
}

/// What a caller sends on its connection behind a job that isn't answered yet.
#[derive(Clone, Copy, PartialEq)]
enum Behind {
    /// Its next job.
    NextJob,
    /// A request for the state of the job.
    State,
}

fn path(id: u64) -> String {
    format!("{PREFIX}{:016x}", 0x5c0e_7a21_0000_0000_u64 + id)
}

/// Submits a job and sends a further request on the same connection before the job is answered. Where the connection
/// is reset, submits through another entry what wasn't answered.
fn submit(n: u64, entries: [SocketAddr; 2], behind: Behind, is_reset: bool, record: &Record) {
    let first = path(n * 2);
    let body = lab::job(1, WORK_MS);
    let mut stream = http::connect(entries[0], WAIT).expect("a connection");
    record.note(format!("caller {n}: POST {first} to entry 1"));
    http::send(&mut stream, "POST", &first, &HEADERS, &body).expect("an open connection");
    let (method, second, second_body) = match behind {
        Behind::NextJob => ("POST", path(n * 2 + 1), body.as_str()),
        Behind::State => ("GET", first.clone(), ""),
    };
    record.note(format!("caller {n}: {method} {second} to entry 1"));
    http::send(&mut stream, method, &second, &HEADERS, second_body).expect("an open connection");
    if !is_reset {
        for request in ["first", "second"] {
            let answer = http::receive(&mut stream);
            record.note(format!(
                "caller {n}: the {request} request is answered with {answer:?}"
            ));
        }
        return;
    }
    thread::sleep(RESET_AFTER);
    record.note(format!("caller {n}: the connection is reset"));
    reset(stream);
    thread::sleep(RETRANSMIT);
    let mut again = vec![first];
    if behind == Behind::NextJob {
        again.push(second);
    }
    let again = again.into_iter().map(|path| {
        let (record, body, entry) = (record.clone(), body.clone(), entries[1]);
        thread::spawn(move || {
            record.note(format!("caller {n}: POST {path} to entry 2"));
            let answer = http::call(entry, WAIT, "POST", &path, &HEADERS, &body);
            record.note(format!("caller {n}: {path} is answered with {answer:?}"));
        })
    });
    for submission in again.collect::<Vec<_>>() {
        let _ = submission.join();
    }
}

pub fn play(lab: &mut Lab, trouble: bool) -> Verdict {
    let entries = [lab.entries[0].callers, lab.entries[1].callers];
    let callers = (0..CALLERS).map(|n| {
        let record = lab.record.clone();
        let is_reset = trouble && n % 2 == 0;
        let behind = if n % 4 < 2 {
            Behind::NextJob
        } else {
            Behind::State
        };
        thread::spawn(move || submit(n, entries, behind, is_reset, &record))
    });
    let callers: Vec<_> = callers.collect();
    let failed = callers.into_iter().filter_map(|caller| caller.join().err());
    if failed.count() > 0 {
        return Verdict::CouldNotRun("a caller couldn't reach the entry".to_owned());
    }
    let overlaps = lab.record.overlaps(SLACK);
    for (one, other) in &overlaps {
        lab.record.note(format!(
            "BROKEN: run {} of {} on {} and run {} on {} were at work at the same time",
            one.number, one.task, one.worker, other.number, other.worker
        ));
    }
    if overlaps.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
