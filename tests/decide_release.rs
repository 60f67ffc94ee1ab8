//! What an owner keeps of a job that has ended, and what it drops.

mod decide_support;

use std::sync::Arc;
use std::time;

use lovagemill::code::Code;
use lovagemill::decide::owner;
use lovagemill::submission::Submission;

fn submission(digest: u64) -> Arc<Submission> {
    let tasks = decide_support::tasks(20, 10, 10);
    Arc::new(Submission {
        digest,
        ..decide_support::submission("harbour/trip", Some(1_700_000_000_000), tasks)
    })
}

/// An ended job is kept for ten minutes for resubmissions. If its inputs are kept with it, an
/// entry's memory grows with the load: by 175 MB after half a million tasks.
#[test]
fn a_complete_job_keeps_its_answer_and_drops_its_inputs() {
    let mut fake = decide_support::open(2);
    let original = submission(7);
    fake.owner.note_ownership_proof(fake.now);
    fake.owner.submit(fake.now, original.clone(), 1);
    fake.advance(time::Duration::from_secs(2));
    assert!(fake.is_complete(1));
    assert_eq!(Arc::strong_count(&original), 1, "the inputs are still held");

    // What was kept is enough for resubmissions, and for cancellations that come too late.
    fake.owner.submit(fake.now, original.clone(), 2);
    fake.owner.submit(fake.now, submission(8), 3);
    fake.owner.cancel(fake.now, &original.key, 4);
    fake.advance(time::Duration::from_secs(12));
    assert!(fake.is_complete(2));
    assert_eq!(
        fake.refusal(3).map(|refusal| refusal.code),
        Some(Code::KeyReused)
    );
    assert!(fake.is_complete(4));
    assert_eq!(fake.starts.len(), 20);
}

/// A caller resubmits a job after its answer was lost. Meanwhile more jobs have ended than an owner
/// keeps endings for. If the owner forgot the job with its ending, the job would run again.
#[test]
fn a_job_whose_ending_is_no_longer_kept_never_starts_again() {
    let mut fake = decide_support::open(11);
    let original = submission(7);
    fake.owner.note_ownership_proof(fake.now);
    fake.owner.submit(fake.now, original.clone(), u64::MAX);
    fake.advance(time::Duration::from_secs(1));
    let starts = fake.starts.len();
    let others = owner::MAX_KEPT_ENDINGS + 1;
    for _ in 0..others / 80 + 1 {
        for _ in 0..80 {
            fake.submit("mill", decide_support::tasks(1, 1, 1));
        }
        fake.advance(time::Duration::from_millis(25));
    }
    fake.advance(time::Duration::from_secs(1));
    let before = fake.starts.len();
    assert!(before - starts > owner::MAX_KEPT_ENDINGS, "{before}");
    fake.owner.submit(fake.now, original, u64::MAX - 1);
    fake.owner.submit(fake.now, submission(8), u64::MAX - 2);
    fake.owner
        .cancel(fake.now, &submission(7).key, u64::MAX - 3);
    fake.advance(time::Duration::from_secs(1));
    assert_eq!(fake.starts.len(), before);
    let code = |number| fake.refusal(number).map(|refusal| refusal.code);
    assert_eq!(code(u64::MAX - 1), Some(Code::AnswerGone));
    assert_eq!(code(u64::MAX - 2), Some(Code::KeyReused));
    assert_eq!(code(u64::MAX - 3), Some(Code::JobUnknown));
}
