//! Stand-ins and scenarios of the review; see `review/REPORT.md`.
//!
//! `standins worker ...` is one life of a worker. `standins SCENARIO RECORD DIR` plays a scenario and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if it couldn't run. With the variable `TROUBLE=0` there is no disruption.

mod http;
mod json;
mod lab;
mod store;
mod worker;

mod cancelled;
mod overtaken;
mod pipelined;
mod shrunk;

use std::env;
use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// The outcome of a scenario.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

/// Ends a scenario that hangs.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["worker", addr, agent, id, service, zone, labels, cpu, guards] => {
            worker::run(worker::Settings {
                addr: addr.parse().expect("an address"),
                agent: agent.parse().expect("an address"),
                id: (*id).to_owned(),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                labels: labels.split(',').map(str::to_owned).collect(),
                cpu: cpu.parse().expect("a number"),
                mem_mb: 65_536,
                guards: *guards == "true",
            })
        }
        [scenario, record, dir] => exit(play(scenario, Path::new(record), Path::new(dir))),
        _ => exit(2),
    }
}

fn play(scenario: &str, record: &Path, dir: &Path) -> i32 {
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = lab::Record::open(record);
    let guards = scenario != "shrunk";
    let scenario = match scenario {
        "cancelled" => cancelled::play,
        "overtaken" => overtaken::play,
        "pipelined" => pipelined::play,
        "shrunk" => shrunk::play,
        _ => return 2,
    };
    let dir = dir.to_owned();
    let (tx, rx) = std::sync::mpsc::channel();
    let recording = record.clone();
    thread::spawn(move || {
        let verdict = match lab::Lab::open_small(&dir, recording, guards) {
            Some(mut lab) => scenario(&mut lab, trouble),
            None => Verdict::CouldNotRun("the entries aren't ready".to_owned()),
        };
        let _ = tx.send(verdict);
    });
    let verdict = rx.recv_timeout(LIMIT);
    lab::kill_all();
    match verdict {
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            1
        }
        Ok(Verdict::Held) => {
            record.note("the rule held");
            0
        }
        Ok(Verdict::CouldNotRun(why)) => {
            record.note(format!("couldn't run: {why}"));
            2
        }
        Err(_) => {
            record.note("couldn't run: no end in time, or a stand-in failed");
            2
        }
    }
}
