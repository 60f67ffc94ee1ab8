//! What an owner keeps of a job that has ended.

mod decide_support;

use std::sync::Arc;
use std::time;

use compact_str::format_compact;
use lovagemill::code::Code;
use lovagemill::submission::{Job, Submission};

fn submission(digest: u64) -> Arc<Submission> {
    Arc::new(Submission {
        key: format_compact!("harbour/trip"),
        digest,
        minted_ms: Some(1_800_000_000_000),
        idempotent: true,
        job: Job {
            customer: "harbour".into(),
            class: decide_support::CLASS.into(),
            tasks: decide_support::tasks(20, 10, 10),
        },
        traceparent: None,
    })
}

/// Under steady load an entry's memory grew by all inputs of the last ten minutes, 175 MB after
/// half a million tasks: an ended job is kept for resubmissions, and its tasks were kept with it.
#[test]
fn a_complete_job_keeps_its_answer_and_drops_its_inputs() {
    let mut fake = decide_support::open(2);
    let whole = submission(7);
    fake.owner.table_seen(fake.now);
    fake.owner.submit(fake.now, whole.clone(), 1);
    fake.pass(time::Duration::from_secs(2));
    assert!(fake.is_complete(1));
    assert_eq!(Arc::strong_count(&whole), 1, "the inputs are still held");

    // What was kept is enough for resubmissions, and for cancellations that come too late.
    fake.owner.submit(fake.now, whole.clone(), 2);
    fake.owner.submit(fake.now, submission(8), 3);
    fake.owner.cancel(fake.now, &whole.key, 4);
    fake.pass(time::Duration::from_secs(12));
    assert!(fake.is_complete(2));
    assert_eq!(
        fake.refusal(3).map(|refusal| refusal.code),
        Some(Code::KeyReused)
    );
    assert!(fake.is_complete(4));
    assert_eq!(fake.starts.len(), 20);
}
