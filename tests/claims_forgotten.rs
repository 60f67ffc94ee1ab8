//! What an owner answers for jobs whose endings it no longer keeps, and for jobs that it never had.

#[path = "decide_support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time;

use lovagemill::code;
use lovagemill::decide::inherit;
use lovagemill::decide::owner;
use lovagemill::submission;

/// Guards against a second run of a job whose ending was evicted. A school submits a job, gets no
/// answer and submits again two minutes later, after the owner has ended more jobs than it keeps
/// endings for. When the key was evicted together with the ending, the job looked new and ran
/// again.
#[test]
fn a_job_whose_ending_was_dropped_does_not_run_again() {
    let mut fake = support::open(100);
    let first = fake.submit("school", support::tasks(1, 10, 10));
    fake.advance(time::Duration::from_millis(50));
    assert!(fake.is_complete(first));
    while fake.endings.len() <= owner::MAX_KEPT_ENDINGS + 1 {
        for _ in 0..500 {
            fake.submit("network", support::tasks(1, 1, 1));
        }
        fake.advance(time::Duration::from_millis(50));
    }
    let starts = fake.starts.len();
    let again = fake.resubmit("school", first, support::tasks(1, 10, 10));
    fake.advance(time::Duration::from_millis(50));
    let refusal = fake.refusal(again).expect("the job isn't run again");
    assert_eq!(refusal.code, code::Code::AnswerGone);
    assert!(!refusal.not_run);
    assert_eq!(fake.starts.len(), starts);
}

/// Guards against large answers that fill the owner's memory long before 20,000 jobs have ended.
#[test]
fn endings_are_dropped_by_their_bytes() {
    let mut fake = support::open(10);
    let size = 1024 * 1024;
    let large = "x".repeat(size);
    fake.answer = serde_json::value::to_raw_value(&large).expect("a text is JSON");
    let mut last = 0;
    for _ in 0..owner::MAX_KEPT_BYTES / size + 1 {
        last = fake.submit("school", support::tasks(1, 1, 1));
        fake.advance(time::Duration::from_millis(50));
    }
    let first = fake.resubmit("school", 1, support::tasks(1, 1, 1));
    let newest = fake.resubmit("school", last, support::tasks(1, 1, 1));
    fake.advance(time::Duration::from_millis(50));
    assert_eq!(
        fake.refusal(first).map(|r| r.code),
        Some(code::Code::AnswerGone)
    );
    assert!(fake.is_complete(newest));
}

/// Guards against "not run" for a job that runs. The owner dies while a job runs, and the caller
/// cancels the job at the new owner, which doesn't know it yet and answered "not found, not run".
#[test]
fn cancelling_an_earlier_owners_job_is_not_answered_not_run() {
    let now = time::Instant::now();
    let wall = time::Duration::from_secs(1_700_000_000);
    let config = Arc::default();
    let mut owner = owner::Owner::open(2, owner::Policy::default(), config, now, wall);
    let claim = inherit::StoredClaim {
        key: "school/1".into(),
        digest: 1,
        tasks: 1,
        at_ms: 1_699_999_999_000,
    };
    owner.set_members(now, Vec::new(), &[]);
    owner.set_earlier_claims(now, vec![claim]);
    owner.cancel(now, &"school/1".into(), 1);
    let replies = owner.take_actions();
    let [lovagemill::decide::action::Action::Reply(1, ending)] = replies.as_slice() else {
        panic!("one reply: {replies:?}");
    };
    let submission::Ending::Failed(refusal) = &**ending else {
        panic!("a cancelled job has no answer");
    };
    assert!(refusal.unknown && !refusal.not_run, "{refusal:?}");
}
