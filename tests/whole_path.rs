//! The demo's workload on a whole system in one process, on loopback: callers, entries, agents and
//! backend servers.

use std::time;

use lovagemill::decide::owner;
use lovagemill::demo;
use lovagemill::demo::deployment;

/// A short run of the demo's workload violates no guarantee and answers every submission.
#[tokio::test(flavor = "multi_thread")]
async fn demo_answers_everything_once() {
    let cfg = demo::Config {
        deployment: deployment::trilha(),
        duration: time::Duration::from_secs(2),
        seed: 7,
        dominant_load: 0.2,
        small_load: 0.2,
        policy: owner::Policy::default(),
        aged_keys: true,
        faults: Vec::new(),
        progress: false,
    };
    let report = demo::run(cfg).await.expect("the parts get ready");
    assert_eq!(report.violations(), 0, "{report:?}");
    assert_eq!(report.jobs_failed, 0, "{report:?}");
    assert!(report.jobs_complete > 0, "{report:?}");
}
