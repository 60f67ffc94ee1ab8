//! What an owner may answer for a job that its caller cancels while the ownership changes.

mod decide_support;

use std::sync::Arc;

use lovagemill::code;
use lovagemill::decide::action::Action;
use lovagemill::submission;

use decide_support::FakeCell;

fn outcomes(actions: &[Action]) -> Vec<code::Outcome> {
    let outcome = |action: &Action| match action {
        Action::Reply(_, ending) => match &**ending {
            submission::Ending::Failed(refusal) => Some(refusal.code.outcome()),
            submission::Ending::Complete(_) => None,
        },
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

/// Guards against "not run" for a job that runs. An entry dies while a job runs, and the caller
/// cancels the job through another entry before it submits it again. The new owner doesn't know the
/// job. Its answer "not found" meant "not run", so the caller gave the work to somebody else while
/// it ran.
#[test]
fn cancelling_an_unknown_job_does_not_prove_that_it_did_not_run() {
    let FakeCell { mut owner, now, .. } = decide_support::open(0);
    owner.cancel(now, &"canoas/k".into(), 1);
    assert_eq!(outcomes(&owner.take_actions()), [code::Outcome::Unknown]);
}

/// Guards against "not run" for a job that runs later. A job waits for its claim and is cancelled
/// before any of its tasks ran. The caller that submitted it never gets the answer, since the entry
/// dies, and submits the job again. The next owner runs it, although the caller that cancelled it
/// had been told "not run".
#[test]
fn cancelling_before_the_start_does_not_prove_that_the_job_will_not_run() {
    let FakeCell { mut owner, now, .. } = decide_support::open(0);
    let job = decide_support::submission("canoas/k", None, decide_support::tasks(1, 1, 100));
    owner.submit(now, Arc::new(job), 1);
    owner.cancel(now, &"canoas/k".into(), 2);
    let outcomes = outcomes(&owner.take_actions());
    assert_eq!(outcomes.len(), 2);
    assert!(!outcomes.contains(&code::Outcome::NotRun), "{outcomes:?}");
}
