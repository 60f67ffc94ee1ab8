//! What may be said of a job that its caller cancels while owners change.

mod decide_support;

use std::sync::Arc;

use lovagemill::code;
use lovagemill::decide::action::Action;
use lovagemill::submission;

use decide_support::Fake;

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

/// An entry dies with a job that runs. Its caller cancels the job through another entry before it
/// submits it again, and the successor has not heard of it. "Not found" was said to mean "not run",
/// and the caller gave the work to somebody else while it ran.
#[test]
fn cancel_of_an_unknown_job_is_no_proof() {
    let Fake { mut owner, now, .. } = decide_support::open(0);
    owner.cancel(now, &"canoas/k".into(), 1);
    assert_eq!(outcomes(&owner.actions()), [code::Outcome::Unknown]);
}

/// A job waits for its claim and is cancelled before anything of it ran. The caller that submitted
/// it doesn't hear of that, since the entry dies with the answer, and submits it again: a successor
/// runs it, while the one who cancelled it had been told "not run".
#[test]
fn cancel_before_the_start_is_no_proof() {
    let Fake { mut owner, now, .. } = decide_support::open(0);
    let job = decide_support::submission("canoas/k", None, decide_support::tasks(1, 1, 100));
    owner.submit(now, Arc::new(job), 1);
    owner.cancel(now, &"canoas/k".into(), 2);
    let outcomes = outcomes(&owner.actions());
    assert_eq!(outcomes.len(), 2);
    assert!(!outcomes.contains(&code::Outcome::NotRun), "{outcomes:?}");
}
