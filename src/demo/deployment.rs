//! The two deployments as they stand today: sizes, latencies, client accounts and classes.

use std::time;

use crate::class;
use crate::task;

/// A client account of a deployment.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    /// Its name.
    pub name: &'static str,
    /// Its share of the small client accounts' work; nothing for the dominant one.
    pub share: f64,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub failure_domains: [&'static str; 3],
    /// One-way latency between failure domains.
    pub domain_one_way: time::Duration,
    /// One-way latency to clients.
    pub client_one_way: time::Duration,
    /// Cells that agents and keys are spread over.
    pub cells: u16,
    /// Entry VMs.
    pub entries: usize,
    /// Workers, each with one backend server.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Slots of a backend server.
    pub slots_per_worker: u32,
    /// Connections of a backend server.
    pub connections: u32,
    /// What a worker has.
    pub capacity: task::Needs,
    /// The client account that sends more than all others.
    pub dominant: &'static str,
    /// The others.
    pub small: Vec<ClientAccount>,
    /// The class of jobs.
    pub job_class: &'static str,
    /// The class of single requests.
    pub request_class: &'static str,
    /// Mean tasks of a job.
    pub tasks_per_job: f64,
    /// The configuration that operators have set.
    pub config: class::Document,
}

impl Deployment {
    /// Slots in all.
    pub fn slots(&self) -> u32 {
        self.workers as u32 * self.slots_per_worker
    }
}

/// Trilha: trip authorization of schools.
pub fn trilha() -> Deployment {
    Deployment {
        name: "trilha",
        failure_domains: ["poa-centro", "cwb-norte", "fln-ilha"],
        domain_one_way: time::Duration::from_millis(1),
        client_one_way: time::Duration::from_millis(1),
        cells: 1,
        entries: 3,
        workers: 11,
        workers_per_rack: 3,
        slots_per_worker: 8,
        connections: 64,
        capacity: capacity(32, 64),
        dominant: "rede-estadual",
        small: accounts(&[
            ("gravatai", 0.3),
            ("canoas", 0.2),
            ("blumenau", 0.15),
            ("londrina", 0.15),
            ("maringa", 0.1),
            ("lages", 0.1),
        ]),
        job_class: "trip-check",
        request_class: "consent",
        tasks_per_job: 10.0,
        config: document(&[("trip-check", 8_000), ("consent", 6_000)]),
    }
}

/// Kwinana: contract desk of flour mills.
pub fn kwinana() -> Deployment {
    Deployment {
        name: "kwinana",
        failure_domains: ["kwinana", "northam", "bunbury"],
        domain_one_way: time::Duration::from_micros(500),
        client_one_way: time::Duration::from_millis(3),
        cells: 1,
        entries: 3,
        workers: 11,
        workers_per_rack: 3,
        slots_per_worker: 8,
        connections: 64,
        capacity: capacity(64, 128),
        dominant: "southern-mills",
        small: accounts(&[
            ("merredin-growers", 0.3),
            ("york-brokers", 0.25),
            ("wickepin-mill", 0.2),
            ("dalwallinu", 0.15),
            ("katanning", 0.1),
        ]),
        job_class: "contract-check",
        request_class: "tonnage-quote",
        tasks_per_job: 16.0,
        config: document(&[
            ("contract-check", 10_000),
            ("tonnage-quote", 6_000),
            ("grade-lookup", 6_000),
        ]),
    }
}

fn capacity(processors: u32, memory_gb: u32) -> task::Needs {
    task::Needs {
        processor_milli: processors * 1_000,
        memory_mb: memory_gb * 1_024,
        accelerators: 0,
    }
}

fn accounts(shares: &[(&'static str, f64)]) -> Vec<ClientAccount> {
    let account = |(name, share): &(&'static str, f64)| ClientAccount {
        name,
        share: *share,
    };
    shares.iter().map(account).collect()
}

fn document(classes: &[(&str, i64)]) -> class::Document {
    let class = |(name, target_ms): &(&str, i64)| class::Class {
        name: (*name).into(),
        target_ms: *target_ms,
        max_tasks: 290,
    };
    class::Document {
        classes: classes.iter().map(class).collect(),
        quotas: Vec::new(),
    }
}
