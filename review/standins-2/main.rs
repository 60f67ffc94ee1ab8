//! Stand-ins of the platform, workers and clients, and the cases of the review that are scripts.
//!
//! `standins CASE FOLDER` plays a case, writes `record.txt` into the folder and exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod clock;
mod deployment;
mod freeze;
mod http;
mod json;
mod proxy;
mod resent;
mod reset;
mod store;
mod system;
mod twice;
mod worker;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;
use std::{env, io};

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case is given.
pub struct Stage {
    /// Where `record.txt` goes.
    pub folder: PathBuf,
    /// Where settings and the processes' output go.
    pub temporary: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    clock::now_ms();
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case takes too long");
        // The processes of the system end with their parent.
        exit(2);
    });
    match play() {
        Ok(Verdict::Held) => exit(0),
        Ok(Verdict::Broken) => exit(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            exit(2);
        }
    }
}

fn play() -> io::Result<Verdict> {
    let mut arguments = env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().ok_or(io::ErrorKind::InvalidInput)?);
    let temporary = PathBuf::from(env::var("CASE_TEMPORARY").map_err(io::Error::other)?);
    let stage = Stage {
        folder,
        temporary,
        trouble: env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    };
    match case.as_str() {
        "freeze" => freeze::play(&stage),
        "resent" => resent::play(&stage),
        "reset" => reset::play(&stage),
        _ => Err(io::Error::other("no such case")),
    }
}
