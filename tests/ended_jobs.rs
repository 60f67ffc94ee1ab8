//! An ended job is never started again within the retention time, however many ended after it.

mod decide_support;

use std::time::Duration;

use decide_support as fake;
use lovagemill::code::Code;
use lovagemill::decide::owner;
use lovagemill::submission::Ending;

/// A job is answered, and the answer is lost. Then another client account submits more jobs than
/// the owner keeps answers for, within a minute, and the first caller submits again under its key.
/// An owner that had forgotten the key would take this for a new job and run its tasks a second
/// time.
#[test]
fn resubmission_after_many_other_jobs_starts_nothing() {
    let mut fake = fake::open(400);
    let first = fake.submit("school", fake::tasks(1, 1, 1));
    fake.advance(Duration::from_millis(50));
    assert!(fake.is_complete(first));
    for _ in 0..=owner::MAX_KEPT_ENDINGS / 1_000 {
        for _ in 0..1_000 {
            fake.submit("state", fake::tasks(1, 1, 1));
        }
        fake.advance(Duration::from_millis(100));
    }
    let before = fake.starts.len();
    let again = fake.resubmit("school", first, fake::tasks(1, 1, 1));
    fake.advance(Duration::from_millis(100));
    assert_eq!(fake.starts_of("school", before), 0, "the job ran twice");
    let (_, ending) = &fake.endings[&again];
    match &**ending {
        Ending::Failed(refusal) => assert_eq!(refusal.code, Code::AnswerGone),
        Ending::Complete(_) => panic!("the job was answered, but its answer is no longer kept"),
    }
}
