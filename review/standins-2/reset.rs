//! Connections of clients are reset while jobs wait for room, and the clients hand their jobs in again elsewhere.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::{self, Job};
use crate::deployment::Deployment;
use crate::proxy::Proxy;
use crate::system::PROXY_PORT;
use crate::twice;
use crate::{Stage, Verdict};

const ENTRIES: u8 = 3;
const WORKERS: u8 = 2;
const ROUNDS: u64 = 8;

/// How long every task runs; the longest of the sheets take 3.6 s.
const TASK_MS: u64 = 2_500;

/// The jobs of a round in the order in which they come: tasks, and thousandths of a core of each. The first four leave
/// 1 core free at each worker, the fifth waits for room, and the last two wait behind it.
const JOBS: [(u32, u64); 7] = [
    (5, 3_100),
    (5, 3_100),
    (5, 3_100),
    (5, 3_100),
    (8, 3_100),
    (1, 500),
    (1, 500),
];

/// Which of their connections are reset: three of seven, where the site file says 0.55.
const RESET: [usize; 3] = [4, 5, 6];

const BETWEEN_JOBS: Duration = Duration::from_millis(30);
const RESET_AFTER: Duration = Duration::from_millis(150);

/// When a client whose connection broke hands its job in again (`retransmit_ms`).
const RETRANSMIT: Duration = Duration::from_millis(1_300);

/// Until all jobs of a round have ended.
const ROUND: Duration = Duration::from_millis(9_000);

/// Hands jobs in at the first entry, through a proxy, and those without an answer again at the second.
fn hand_in(
    deployment: &Deployment,
    proxied: SocketAddr,
    round: u64,
) -> Vec<thread::JoinHandle<()>> {
    let again = deployment.entries[1].callers();
    let jobs = JOBS.iter().enumerate().map(|(number, (tasks, cpu))| {
        let job = Job {
            id: format!(
                "{:016x}",
                0x5c0e_7a21_0000_0000_u64 + round * 256 + number as u64
            ),
            tasks: *tasks,
            cpu: *cpu,
            ms: TASK_MS,
        };
        let record = deployment.record.clone();
        let client = thread::spawn(move || {
            let answer = client::submit(proxied, job.clone(), &record).join();
            if answer.is_ok_and(|status| matches!(status, None | Some(502 | 504))) {
                thread::sleep(RETRANSMIT);
                let _ = client::submit(again, job, &record).join();
            }
        });
        thread::sleep(BETWEEN_JOBS);
        client
    });
    jobs.collect()
}

/// Plays the case.
pub fn play(stage: &Stage) -> io::Result<Verdict> {
    let deployment = Deployment::open(stage, ENTRIES, WORKERS)?;
    let proxied = SocketAddr::new(deployment.entries[0].ip, PROXY_PORT);
    let proxy = Proxy::open(proxied, deployment.entries[0].callers())?;
    for round in 0..ROUNDS {
        let before = proxy.connections();
        let clients = hand_in(&deployment, proxied, round);
        thread::sleep(RESET_AFTER);
        if stage.trouble {
            deployment.record.note("connections are reset".into());
            proxy.reset(&RESET.map(|number| before + number));
        }
        thread::sleep(ROUND);
        for client in clients {
            let _ = client.join();
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
