//! An agent's planned leave shortly before a change of owner.

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

/// How long an agent waits for acknowledgements before it leaves: zero, so it leaves without them.
const LINGER: time::Duration = time::Duration::ZERO;

/// Guards against tasks that start twice. A job ends, and the caller's connection is lost with the
/// answer. An agent that ran some of the tasks is stopped as planned and leaves, then the owner
/// dies, and the caller submits the job again. The new owner found the job's claim but no agent
/// that knew these tasks, and started them again.
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
        other => {
            panic!("no process is left that knows the answer, but the job ended with: {other:?}")
        }
    }
}
