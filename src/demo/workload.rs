//! The workload: seeded arrivals of jobs and requests, by the shares that a deployment names.

use std::time;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::class;
use crate::demo::deployment::Deployment;
use crate::id;

/// Share of arrivals that are single requests.
const REQUESTS: f64 = 0.25;

/// Share of tasks that last several seconds.
const LONG: f64 = 0.01;

/// Bounds of an ordinary task, in milliseconds; spread evenly over the logarithm.
const SHORTEST: f64 = 50.0;
const LONGEST: f64 = 1_000.0;

/// A submission that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the arrival before.
    pub after: time::Duration,
    /// Who sends it.
    pub client_account: id::ClientAccount,
    /// Its class.
    pub class: id::ClassName,
    /// Whether it is a single request.
    pub request: bool,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Run times of its tasks, in milliseconds.
    pub tasks: Vec<u64>,
    /// The target of its class.
    pub target: time::Duration,
    /// Tells its answers from others'.
    pub value: u64,
}

/// A stream of arrivals.
pub struct Workload {
    rng: SmallRng,
    deployment: Deployment,
    rate: f64,
    dominant: f64,
}

/// Opens the stream for two loads, each as a share of the capacity.
pub fn open(deployment: &Deployment, seed: u64, dominant_load: f64, small_load: f64) -> Workload {
    let mean_tasks = REQUESTS + (1.0 - REQUESTS) * deployment.tasks_per_job;
    let mean_work = mean_tasks * mean_run_seconds();
    let load = dominant_load + small_load;
    Workload {
        rng: SmallRng::seed_from_u64(seed),
        deployment: deployment.clone(),
        rate: load * f64::from(deployment.slots()) / mean_work,
        dominant: if load > 0.0 {
            dominant_load / load
        } else {
            0.0
        },
    }
}

/// Mean of the run times that [`Workload`] draws, in seconds.
fn mean_run_seconds() -> f64 {
    let ordinary = (LONGEST - SHORTEST) / (LONGEST / SHORTEST).ln() / 1e3;
    (1.0 - LONG) * ordinary + LONG * 2.5
}

impl Workload {
    /// The next arrival; never ends.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Arrival {
        let unit: f64 = self.rng.random_range(1e-9..1.0);
        let request = self.rng.random_bool(REQUESTS);
        let tasks = if request { 1 } else { self.draw_tasks() };
        let class = if request {
            self.deployment.request_class
        } else {
            self.deployment.job_class
        };
        Arrival {
            after: time::Duration::from_secs_f64(-unit.ln() / self.rate.max(1e-9)),
            client_account: self.draw_account(),
            class: class.into(),
            target: self.target(class),
            request,
            idempotent: !request || self.rng.random_bool(0.7),
            tasks: (0..tasks).map(|_| self.draw_run()).collect(),
            value: self.rng.random(),
        }
    }

    fn target(&self, class: &str) -> time::Duration {
        let class = self.deployment.config.class(class);
        class.map_or(class::MAX_TARGET, class::Class::target)
    }

    fn draw_account(&mut self) -> CompactString {
        if self.rng.random_bool(self.dominant) {
            return self.deployment.dominant.into();
        }
        let mut left: f64 = self.rng.random_range(0.0..1.0);
        for account in &self.deployment.small {
            left -= account.share;
            if left <= 0.0 {
                return account.name.into();
            }
        }
        self.deployment.small[0].name.into()
    }

    /// Evenly spread around the mean, from 1 to twice the mean less 1.
    fn draw_tasks(&mut self) -> u64 {
        let most = (2.0 * self.deployment.tasks_per_job - 1.0).max(1.0) as u64;
        self.rng.random_range(1..=most)
    }

    fn draw_run(&mut self) -> u64 {
        if self.rng.random_bool(LONG) {
            return self.rng.random_range(1_000..4_000);
        }
        let span: f64 = (LONGEST / SHORTEST).ln();
        (SHORTEST * (self.rng.random_range(0.0..1.0) * span).exp()) as u64
    }
}
