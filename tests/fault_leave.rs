//! Planned leaves that meet a change of owner.

use std::sync::Arc;
use std::time;

use lovagemill::decide::owner;
use lovagemill::demo;
use lovagemill::demo::caller;
use lovagemill::demo::cluster::{self, Death};
use lovagemill::demo::deployment;
use lovagemill::demo::ended::Ended;
use lovagemill::demo::tally;
use lovagemill::demo::workload::Arrival;
use lovagemill::standin::truth::Truth;

/// Longest that an agent waits for acknowledgements: nothing, so that it leaves without them.
const LINGER: time::Duration = time::Duration::ZERO;

/// A job ends, and its caller's connection is lost with the answer. An agent that had run some of
/// its tasks is stopped as planned and leaves; then the owner dies. The caller submits again: the
/// successor found the job's claim and nobody who had seen the tasks, and started them again.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_an_agent_that_left_are_not_started_again() {
    let mut deployment = deployment::trilha();
    deployment.workers = 2;
    deployment.entries = 2;
    let setup = cluster::Setup {
        deployment: deployment.clone(),
        policy: owner::Policy::default(),
        linger: LINGER,
        own_threads: false,
    };
    let truth = Truth::default();
    let mut cluster = cluster::open(setup, truth.clone())
        .await
        .expect("the parts get ready");
    let tally = Arc::new(tally::Tally::open());
    let target = caller::Target {
        entries: cluster.addrs(),
        one_way: deployment.client_one_way,
        slots: deployment.slots(),
        truth: Some(truth.clone()),
    };
    let caller = caller::open(target, tally);
    let arrival = Arrival {
        after: time::Duration::ZERO,
        client_account: "canoas".into(),
        class: deployment.job_class.into(),
        target: time::Duration::from_secs(8),
        request: false,
        idempotent: true,
        tasks: vec![20; 8],
        value: 1,
    };
    let key = demo::caller::mint(true);
    let (ended, _) = caller.run(&arrival, &key).await;
    assert!(matches!(ended, Ended::Complete), "{ended:?}");
    let agent = cluster.workers[0].agent.take();
    agent.expect("the agent runs").stop().await;
    let owner = cluster.owner().expect("an entry owns the cell");
    cluster.kill_entry(owner, Death::Process);
    let (ended, _) = caller.run(&arrival, &key).await;
    assert_eq!(truth.started_twice(), []);
    match ended {
        Ended::Refused(refusal) => assert!(refusal.unknown, "{refusal:?}"),
        other => panic!("nobody is left who knows the answer, and yet: {other:?}"),
    }
}
