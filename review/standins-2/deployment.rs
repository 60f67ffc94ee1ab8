//! A small deployment: the store with a configuration, entries, and workers with their agents.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use crate::client::{Record, HOST, PREFIX};
use crate::store::Store;
use crate::system::{Machine, Network};
use crate::worker::{Kind, RunRecord, Worker};
use crate::Stage;

/// The failure domains.
pub const ZONES: [&str; 3] = ["poa-centro", "cwb-norte", "fln-ilha"];

const SERVICE: &str = "autoriza";

/// How long the system may take to find itself.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A running deployment; its processes end with it.
pub struct Deployment {
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub workers: Vec<Worker>,
    pub record: Record,
}

/// Thousandths of a core of each worker, as on the sheets.
const WORKER_CPU: u64 = 32_000;

/// Returns a configuration with one queue.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"route-clearance\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"type\":\"unsafe\",\"service\":\"{SERVICE}\",\"timeout_ms\":1500,\
         \"slo_ms\":60,\"priority\":0,\"attempts\":4,\"stretch\":1.6}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"enforces_capacity\":true,\"max_conns\":64}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

impl Deployment {
    /// Starts everything, and returns once each entry is linked to all agents.
    pub fn open(stage: &Stage, entries: u8, workers: u8) -> io::Result<Deployment> {
        let network = Network::find()?;
        let store = Store::open(network.store())?;
        store.write("op", "config", &configuration(1));
        let zone = |number: u8| ZONES[usize::from(number) % ZONES.len()];
        let mut deployment = Deployment {
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            record: Record::default(),
        };
        for number in 1..=entries {
            let entry = Machine::entry(network, number, zone(number), &stage.temporary)?;
            deployment.entries.push(entry);
        }
        for number in 1..=workers {
            let agent = Machine::agent(network, 100 + number, zone(number), &stage.temporary)?;
            let kind = Kind {
                id: format!("i-{number:08x}"),
                service: SERVICE.into(),
                zone: zone(number).into(),
                labels: vec!["a".into(), format!("r1-{number}")],
                cpu: WORKER_CPU,
                mem_mb: 65_536,
            };
            let worker = Worker::open(agent.worker(), agent.announce(), kind)?;
            deployment.workers.push(worker);
            deployment.agents.push(agent);
        }
        for machine in deployment.entries.iter_mut().chain(&mut deployment.agents) {
            machine.start()?;
        }
        for entry in &deployment.entries {
            if !entry.wait_until_ready(deployment.agents.len(), START_LIMIT) {
                return Err(io::Error::other(format!("{} isn't ready", entry.name)));
            }
        }
        Ok(deployment)
    }

    /// Returns the runs of all workers so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.workers.iter().flat_map(Worker::records).collect()
    }

    /// Writes what was sent, answered and run, in the order of time.
    pub fn write_record(&self, folder: &Path, findings: &[String]) -> io::Result<()> {
        let mut lines = self.record.lines();
        for run in self.runs() {
            let what = format!("{} of {} on {}", run.run, run.task, run.worker);
            lines.push((run.began_ms, format!("began run {what}")));
            if let Some(ended) = run.ended_ms {
                lines.push((ended, format!("ended run {what}: {}", run.how)));
            }
        }
        lines.sort();
        let mut text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>7} ms {line}\n"))
            .collect();
        for finding in findings {
            text.push_str(finding);
            text.push('\n');
        }
        fs::write(folder.join("record.txt"), text)
    }
}
