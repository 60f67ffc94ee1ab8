//! Overload: refused at once where the target can't be met, kept where it was promised.

mod decide_support;

use std::time::Duration;

use decide_support as fake;
use lovagemill::code::Code;

/// The dominant client account offers three times the capacity for 20 s. Work that was taken in must end
/// in time, and the rest must hear so in the same moment, with a time to come back: a refusal that
/// is held back is worth nothing to the caller.
#[test]
fn refusals_come_at_once_and_admitted_work_ends_in_time() {
    let mut fake = fake::open(2);
    let mut jobs = Vec::new();
    for _ in 0..320 {
        let at = fake.now;
        jobs.push((at, fake.submit("state", fake::tasks(10, 300, 300))));
        fake.advance(Duration::from_micros(62_500));
    }
    fake.advance(fake::TARGET);
    let mut refused = 0;
    for (at, job) in jobs {
        let Some(refusal) = fake.refusal(job) else {
            assert!(fake.is_complete(job));
            continue;
        };
        refused += 1;
        assert_eq!(refusal.code, Code::Overloaded);
        assert!(refusal.not_run && refusal.retry_after_ms.is_some());
        assert_eq!(fake.endings[&job].0, at, "it was held back");
    }
    assert!((160..=240).contains(&refused), "{refused} of 320 refused");
    // 16 slots for 20 s at 300 ms a task.
    assert!(fake.starts.len() >= 1_040, "{}", fake.starts.len());
}

/// One client account declares absurd run times. Its neighbours' jobs must not be refused for a backlog
/// that exists in its declarations only.
#[test]
fn absurd_declarations_refuse_nobody_else() {
    let mut fake = fake::open(2);
    fake.submit("village", fake::tasks(20, 200, 200));
    fake.submit("town", fake::tasks(290, 100, 600_000));
    let job = fake.submit("village", fake::tasks(4, 200, 200));
    assert!(fake.refusal(job).is_none(), "{:?}", fake.refusal(job));
    fake.advance(Duration::from_secs(3));
    assert!(fake.is_complete(job));
}

/// All workers but one are taken away from an admitted job before it started. As soon as its turn
/// comes too late, the caller hears "not run"; it must not wait for the target to pass.
#[test]
fn hopeless_job_is_told_when_its_turn_comes() {
    let mut fake = fake::open(1);
    fake.submit("town", fake::tasks(8, 7_500, 100));
    let job = fake.submit("town", fake::tasks(1, 3_000, 3_000));
    fake.advance(Duration::from_millis(7_600));
    let refusal = fake.refusal(job).expect("it is given up").clone();
    assert_eq!(refusal.code, Code::Expired);
    assert!(refusal.not_run && refusal.retry_after_ms.is_some());
    assert_eq!(fake.starts_of("town", 0), 8);
}

/// A backend server refuses every connection while its agent is well. Each start comes back at
/// once, provably not run; sent again without bound they would loop as fast as messages travel.
/// The worker is barred after two, and all work runs elsewhere.
#[test]
fn worker_that_turns_work_away_is_left_alone() {
    let mut fake = fake::open(4);
    fake.behavior = Box::new(|agent, start, _| {
        if agent == "agent-01" {
            return Some(fake::TaskEnd {
                after: Duration::from_millis(1),
                outcome: Err(Code::WorkerBusy),
            });
        }
        fake::succeed(start)
    });
    let jobs: Vec<_> = (0..40)
        .map(|_| {
            fake.advance(Duration::from_millis(50));
            fake.submit("town", fake::tasks(4, 200, 200))
        })
        .collect();
    fake.advance(Duration::from_secs(3));
    assert!(jobs.iter().all(|job| fake.is_complete(*job)));
    let sent = fake.starts.len();
    assert!(sent <= 160 + 16, "{sent} starts for 160 tasks");
}

/// Every worker turns every task away. Retries stop at the budget, and the callers hear that
/// nothing ran; where another task of the job is on its way, nobody can promise that.
#[test]
fn retries_end_with_the_budget() {
    let mut fake = fake::open(4);
    fake.behavior = Box::new(|_, _, _| {
        Some(fake::TaskEnd {
            after: Duration::from_millis(1),
            outcome: Err(Code::WorkerBusy),
        })
    });
    let jobs: Vec<_> = (0..200)
        .map(|_| fake.submit("town", fake::tasks(1, 200, 200)))
        .collect();
    let large = fake.submit("town", fake::tasks(10, 200, 200));
    fake.advance(fake::TARGET + Duration::from_secs(1));
    assert!(fake.starts.len() <= 450, "{}", fake.starts.len());
    for job in jobs {
        let refusal = fake.refusal(job).expect("nothing can run");
        assert!(refusal.not_run, "{refusal:?}");
    }
    let refusal = fake.refusal(large).expect("nothing can run");
    let honest = [Code::RetriesSpent, Code::Expired, Code::WorkerBusy];
    assert!(honest.contains(&refusal.code), "{refusal:?}");
}

/// The only client account there is sends long tasks to a system that stands half idle. Its own work
/// alone made it look like a flood, and it was refused while there was a free slot for every task.
#[test]
fn job_that_finds_its_slots_free_is_never_refused() {
    let mut fake = fake::open(1);
    let long = fake::TARGET.as_millis() as u64 * 3 / 4;
    let first = fake.submit("harbour", fake::tasks(4, long, long));
    fake.advance(Duration::from_millis(200));
    let second = fake.submit("harbour", fake::tasks(4, long, long));
    fake.advance(fake::TARGET);
    for job in [first, second] {
        assert!(fake.refusal(job).is_none(), "{:?}", fake.refusal(job));
        assert!(fake.is_complete(job));
    }
}
