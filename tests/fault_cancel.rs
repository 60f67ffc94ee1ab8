//! What may be said of a job that its caller cancels while owners change.

use std::sync::Arc;
use std::time;

use lovagemill::class;
use lovagemill::code;
use lovagemill::decide::action::Action;
use lovagemill::decide::owner;
use lovagemill::submission;
use lovagemill::task;

const TAKEN_AT: time::Duration = time::Duration::from_secs(1_000_000);

fn job() -> Arc<submission::Submission> {
    let task = submission::Task {
        kind: "check".into(),
        run_ms: 100,
        needs: task::Needs::default(),
        input: serde_json::value::to_raw_value(&1).expect("plain JSON"),
    };
    Arc::new(submission::Submission {
        key: "canoas/k".into(),
        digest: 1,
        minted_ms: None,
        idempotent: true,
        job: submission::Job {
            customer: "canoas".into(),
            class: "check".into(),
            tasks: vec![task],
        },
        traceparent: None,
    })
}

fn owner(now: time::Instant) -> owner::Owner {
    let class = class::Class {
        name: "check".into(),
        target_ms: 8_000,
        max_tasks: 10,
    };
    let document = class::Document {
        classes: vec![class],
        quotas: Vec::new(),
    };
    let config = Arc::new(class::Versioned {
        version: 1,
        document,
    });
    let policy = owner::Policy::default();
    let mut owner = owner::Owner::open(1, policy, config, now, TAKEN_AT);
    owner.members(now, Vec::new(), &[]);
    owner.claims(now, Vec::new());
    owner
}

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
    let now = time::Instant::now();
    let mut owner = owner(now);
    owner.cancel(now, &"canoas/k".into(), 1);
    assert_eq!(outcomes(&owner.actions()), [code::Outcome::Unknown]);
}

/// A job waits for its claim and is cancelled before anything of it ran. The caller that submitted
/// it doesn't hear of that, since the entry dies with the answer, and submits it again: a successor
/// runs it, while the one who cancelled it had been told "not run".
#[test]
fn cancel_before_the_start_is_no_proof() {
    let now = time::Instant::now();
    let mut owner = owner(now);
    owner.submit(now, job(), 1);
    owner.cancel(now, &"canoas/k".into(), 2);
    let outcomes = outcomes(&owner.actions());
    assert_eq!(outcomes.len(), 2);
    assert!(!outcomes.contains(&code::Outcome::NotRun), "{outcomes:?}");
}
