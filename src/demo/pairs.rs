//! Every fault alone and every pair of two, one short run each.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::demo::fault::{self, Fault};
use crate::demo::report::Report;
use crate::demo::{self, Config};

/// Heading of the table of runs, in Markdown.
pub const HEADING: &str = "\
| faults | small p50 | small p99 | failed | unknown | refused | lost | late | violations | back after s |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |";

/// Every fault alone, then every pair; with `only`, those that hold the fault.
fn combinations(only: &[Fault]) -> Vec<Vec<Fault>> {
    let mut all: Vec<Vec<Fault>> = fault::ALL.iter().map(|fault| vec![*fault]).collect();
    for (i, first) in fault::ALL.iter().enumerate() {
        all.extend(
            fault::ALL[i + 1..]
                .iter()
                .map(|second| vec![*first, *second]),
        );
    }
    all.retain(|faults| only.is_empty() || only.iter().any(|fault| faults.contains(fault)));
    all
}

/// Runs the combinations, `at_once` at a time, and hands each report over in order.
///
/// # Errors
///
/// Returns the first run's error.
pub async fn run(
    cfg: &Config,
    at_once: usize,
    mut each: impl FnMut(&Report),
) -> anyhow::Result<u64> {
    let room = Arc::new(Semaphore::new(at_once.max(1)));
    let mut runs = VecDeque::new();
    let mut violations = 0;
    for (number, faults) in combinations(&cfg.faults).into_iter().enumerate() {
        let cfg = Config {
            faults,
            seed: cfg.seed + number as u64,
            progress: false,
            ..cfg.clone()
        };
        let place = room.clone().acquire_owned().await?;
        runs.push_back(tokio::spawn(async move {
            let report = demo::run(cfg).await;
            drop(place);
            report
        }));
        while runs.front().is_some_and(JoinHandle::is_finished) {
            violations += take(&mut runs, &mut each).await?;
        }
    }
    while !runs.is_empty() {
        violations += take(&mut runs, &mut each).await?;
    }
    Ok(violations)
}

type Runs = VecDeque<JoinHandle<anyhow::Result<Report>>>;

/// Takes the first run's report; returns its violations.
async fn take(runs: &mut Runs, each: &mut impl FnMut(&Report)) -> anyhow::Result<u64> {
    let Some(run) = runs.pop_front() else {
        return Ok(0);
    };
    let report = run.await??;
    each(&report);
    Ok(report.violations())
}

/// One row of the table.
pub fn row(report: &Report) -> String {
    let names: Vec<String> = report.faults.iter().map(|fault| fault.name()).collect();
    let all = report.jobs_complete + report.jobs_failed + report.jobs_refused;
    let share = |n: u64| format!("{:.1}%", 100.0 * n as f64 / all.max(1) as f64);
    format!(
        "| {} | {:.2} | {:.2} | {} | {} | {} | {} | {} | {} | {:.1} |",
        names.join(" + "),
        report.small.ratio_p50,
        report.small.ratio_p99,
        share(report.jobs_failed - report.jobs_unknown),
        share(report.jobs_unknown),
        share(report.jobs_refused),
        report.lost_submissions,
        report.late_answers,
        report.violations(),
        report.recover_seconds.unwrap_or_default(),
    )
}
