//! Measures what the parts of a best-effort job's way cost, apart: JSON of each message, an HTTP
//! exchange, a line over a link, a wake-up by a timer. Processor time of the whole process, in
//! microseconds. `docs/MEASUREMENTS.md` has the table.
//!
//! `cargo run --release --example besteffort_cost`

use std::future::Future;
use std::hint;
use std::time;

use bytes::Bytes;
use hyper::Method;
use lovagemill::besteffort::line;
use lovagemill::decide::besteffort::message::{
    AgentMessage, EntryMessage, Progress, Room, Run, RunEnd, RunOutcome, Start,
};
use lovagemill::platform::http as server;
use lovagemill::wire::http::{self, Call};
use nix::time::ClockId;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

/// Messages of each kind; enough for a stable mean within a second.
const ROUNDS: u32 = 100_000;

/// Exchanges and wake-ups of each kind; fewer, since each is slower.
const EXCHANGES: u32 = 20_000;

/// Longest that an exchange may take.
const LIMIT: time::Duration = time::Duration::from_secs(5);

/// Tasks of the mean job on the users' quiet day.
const TASKS: u32 = 3;

fn run(task: u32) -> Run {
    Run {
        job: "3e3201c2c9d18aab".into(),
        task,
        number: 22_369_632_275,
    }
}

fn start(task: u32) -> Start {
    Start {
        run: run(task),
        input: "eyJ0cmlwIjoiNDIwMTciLCJrIjo3fQ".into(),
        need: Room {
            cpu: 1_000,
            memory_mb: 512,
            accelerators: 0,
        },
        priority: 1,
        urgency_ms: 482_113,
        deadline_ms: 484_113,
        suspicion: 0,
        estimate_ms: 0,
        max_wait_ms: 40,
    }
}

fn measure<T: DeserializeOwned + Serialize>(name: &str, message: &T) {
    let text = serde_json::to_vec(message).expect("a message is JSON");
    let each = |what: &dyn Fn()| {
        let begun = time::Instant::now();
        (0..ROUNDS).for_each(|_| what());
        begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
    };
    let write = each(&|| {
        hint::black_box(serde_json::to_vec(message).expect("a message is JSON"));
    });
    let read = each(&|| {
        hint::black_box(serde_json::from_slice::<T>(&text).expect("it was just written"));
    });
    println!(
        "{name:34} {:5} B  write {write:6.2} us  read {read:6.2} us",
        text.len()
    );
}

async fn costs<R: Future>(name: &str, what: impl Fn() -> R) {
    let used = || {
        let time = nix::time::clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
        time::Duration::from(time.expect("the process has a clock"))
    };
    let before = used();
    for _ in 0..EXCHANGES {
        what().await;
    }
    let each = (used() - before).as_secs_f64() * 1e6 / f64::from(EXCHANGES);
    println!("{name:34} {each:6.1} us");
}

async fn exchanges() -> anyhow::Result<()> {
    let answer = |_req| async { server::text(200, "{\"clock_ms\":482113}".to_owned()) };
    let addr = server::bind_monitoring("127.0.0.1:0".parse()?, "measured", 4, answer).await?;
    let client = http::open(1024);
    let uri = format!("http://{addr}/");
    let call = || Call::new(Method::POST, uri.clone(), Bytes::from_static(b"{}"));
    costs("HTTP exchange, both ends", || client.call(call(), LIMIT)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let connecting = TcpStream::connect(listener.local_addr()?);
    let (accepted, connected) = tokio::try_join!(listener.accept(), connecting)?;
    let (mut reader, _writer) = line::open(accepted.0)?;
    let (_reader, mut writer) = line::open(connected)?;
    let heartbeat = EntryMessage::default();
    let before = time::Instant::now();
    let reading = async {
        for _ in 0..EXCHANGES {
            reader.read::<EntryMessage>().await?;
        }
        anyhow::Ok(())
    };
    let writing = async {
        for _ in 0..EXCHANGES {
            writer.write(&heartbeat).await?;
            tokio::task::yield_now().await;
        }
        anyhow::Ok(())
    };
    tokio::try_join!(reading, writing)?;
    let each = before.elapsed().as_secs_f64() * 1e6 / f64::from(EXCHANGES);
    println!("{:34} {each:6.1} us", "line over a link, both ends");
    let short = time::Duration::from_millis(1);
    costs("wake-up by a timer", || tokio::time::sleep(short)).await;
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let heartbeat = EntryMessage {
        seen_ms: 482_113,
        ..EntryMessage::default()
    };
    measure("heartbeat of an entry", &heartbeat);
    let starts = EntryMessage {
        starts: (0..TASKS).map(start).collect(),
        ..heartbeat
    };
    measure("starts of a job of 3 tasks", &starts);
    let progress = AgentMessage {
        now_ms: 482_113,
        progress: vec![Progress {
            run: run(0),
            percent: 40,
            age_ms: 60,
        }],
        ..AgentMessage::default()
    };
    measure("heartbeat of an agent with a run", &progress);
    let ended = AgentMessage {
        ended: vec![RunEnd {
            run: run(0),
            outcome: RunOutcome::Done,
            took_ms: 92,
        }],
        ..progress
    };
    measure("end of a run", &ended);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(exchanges())
}
