//! Under overload a job is refused at once if it can't meet its target, and admitted jobs end in
//! time.

mod decide_support;

use std::time::Duration;

use decide_support as fake;
use lovagemill::code::Code;

/// The dominant client account submits three times the capacity for 20 s. Admitted jobs must end in
/// time. The others must be refused at the time of submission, with a time after which to retry: a
/// delayed refusal is of no use to the caller.
#[test]
fn refusals_come_at_once_and_admitted_jobs_end_in_time() {
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
        assert_eq!(fake.endings[&job].0, at, "the refusal was delayed");
    }
    assert!((160..=240).contains(&refused), "{refused} of 320 refused");
    // 16 slots for 20 s at 300 ms a task.
    assert!(fake.starts.len() >= 1_040, "{}", fake.starts.len());
}

/// One client account declares run times of ten minutes for short tasks. Jobs of other client
/// accounts must not be refused for a backlog that exists only in these declarations.
#[test]
fn excessive_declared_run_times_refuse_no_job_of_others() {
    let mut fake = fake::open(2);
    fake.submit("village", fake::tasks(20, 200, 200));
    fake.submit("town", fake::tasks(290, 100, 600_000));
    let job = fake.submit("village", fake::tasks(4, 200, 200));
    assert!(fake.refusal(job).is_none(), "{:?}", fake.refusal(job));
    fake.advance(Duration::from_secs(3));
    assert!(fake.is_complete(job));
}

/// Tasks that run far longer than declared occupy all slots, so an admitted job can't start in time
/// any more. When its turn comes, its caller must get "not run" at once, before the target has
/// passed.
#[test]
fn job_that_cannot_end_in_time_fails_when_its_turn_comes() {
    let mut fake = fake::open(1);
    fake.submit("town", fake::tasks(8, 7_500, 100));
    let job = fake.submit("town", fake::tasks(1, 3_000, 3_000));
    fake.advance(Duration::from_millis(7_600));
    let refusal = fake.refusal(job).expect("the job is given up").clone();
    assert_eq!(refusal.code, Code::Expired);
    assert!(refusal.not_run && refusal.retry_after_ms.is_some());
    assert_eq!(fake.starts_of("town", 0), 8);
}

/// A backend server refuses every connection while its agent works. Each start comes back at once,
/// provably not run. If starts were sent again without limit, they would loop as fast as messages
/// travel. The worker must be barred after two refusals, and all tasks must run on the others.
#[test]
fn worker_that_refuses_every_start_gets_few_starts() {
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

/// Every worker refuses every task. Retries must end with the retry budget, and callers get "not
/// run". A job with another task in transit at that time can't be reported as not run.
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
    let allowed = [Code::RetriesSpent, Code::Expired, Code::WorkerBusy];
    assert!(allowed.contains(&refusal.code), "{refusal:?}");
}

/// A single client account sends long tasks to a system that is half idle. Its own work makes it
/// count as heavy. Its second job must not be refused for that, since there is a free slot for each
/// task.
#[test]
fn job_with_a_free_slot_for_each_task_is_never_refused() {
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
