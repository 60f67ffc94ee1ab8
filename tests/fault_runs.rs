//! Short runs of all parts together under pairs of faults; `lovagemill demo --all-pairs` runs every
//! pair.

use std::time;

use lovagemill::decide::owner;
use lovagemill::demo;
use lovagemill::demo::deployment;
use lovagemill::demo::fault::Fault;
use lovagemill::demo::report;

/// Runs callers, entries, agents and backend servers under the faults given, and checks that no
/// promise was broken and no submission was lost.
async fn run(faults: &[Fault]) -> report::Report {
    let cfg = demo::Config {
        deployment: deployment::trilha(),
        duration: time::Duration::from_millis(2_500),
        seed: 5,
        dominant_load: 0.2,
        small_load: 0.2,
        policy: owner::Policy::default(),
        aged_keys: true,
        faults: faults.to_vec(),
        progress: false,
    };
    let report = demo::run(cfg).await.expect("the parts get ready");
    assert_eq!(report.violations(), 0, "{report:?}");
    assert_eq!(report.lost_submissions, 0, "{report:?}");
    assert!(report.jobs_complete > 0, "{report:?}");
    report
}

/// The owner dies, and an agent dies while the new owner still finds out what ran. Callers lose
/// their answers and submit again through other entries; each job gets one ending, and no task runs
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn owner_and_agent_die() {
    run(&[Fault::EntryDeath, Fault::AgentDeath]).await;
}

/// All open connections go silent for good, and callers cancel many jobs meanwhile. Callers ask for
/// lost answers by key on new connections; no job that ran is answered with "not run".
#[tokio::test(flavor = "multi_thread")]
async fn connections_go_silent_under_cancellations() {
    run(&[Fault::SilentConnection, Fault::CancelWave]).await;
}

/// The table is down, and answers to writes are lost before and after. Work that needs no claim
/// before its start goes on; the rest is refused as "not run" and indeed doesn't run.
#[tokio::test(flavor = "multi_thread")]
async fn table_is_down_and_loses_answers() {
    run(&[Fault::LostWriteAnswers, Fault::TableDown]).await;
}

/// Operators change the configuration through different entries at once while the owner dies. One
/// change is accepted for each version, and no entry goes back to an older version.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race_while_the_owner_dies() {
    let report = run(&[Fault::OperatorRace, Fault::EntryDeath]).await;
    assert!(report.config_changes > 0, "{report:?}");
}
