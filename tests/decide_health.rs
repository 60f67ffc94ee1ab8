//! Failing and slow workers are barred by comparison with their peers, and return with a limited
//! number of real tasks.

mod decide_support;

use std::time::Duration;

use decide_support as fake;

const FAULT_FROM: Duration = Duration::from_secs(2);

/// Submits work for 20 s, enough for about 80% of 11 workers. Returns the number of all starts, and
/// for each worker in `faulty` the number of its starts after the fault began.
fn submit_for_20_s(fake: &mut fake::FakeCell, faulty: &[&str]) -> (usize, Vec<usize>) {
    let mut from = 0;
    for i in 0..400 {
        if fake.now - fake.started_at < FAULT_FROM {
            from = fake.starts.len();
        }
        let account = ["town", "village", "state"][i % 3];
        fake.submit(account, fake::tasks(14, 250, 250));
        fake.advance(Duration::from_millis(50));
    }
    fake.advance(Duration::from_secs(8));
    let starts_at = |name: &&str| {
        let starts = fake.starts[from..].iter();
        starts.filter(|(agent, _)| agent == *name).count()
    };
    (fake.starts.len(), faulty.iter().map(starts_at).collect())
}

fn open_with_failing_workers(faulty: &'static [&'static str]) -> fake::FakeCell {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(move |agent, start, age| {
        if age >= FAULT_FROM && faulty.contains(&agent) {
            return fake::fail_quickly();
        }
        fake::succeed(start)
    });
    fake
}

/// One worker begins to fail every task within 2 ms, so it always has free slots, and the placement
/// alone would send it most of the work. Fewer than 0.5% of the tasks may fail.
#[test]
fn worker_that_fails_every_task_gets_few_tasks() {
    let faulty = ["agent-03"];
    let mut fake = open_with_failing_workers(&["agent-03"]);
    let (all, starts_at) = submit_for_20_s(&mut fake, &faulty);
    assert!(starts_at[0] * 200 < all, "{starts_at:?} of {all}");
    assert!(
        starts_at[0] >= 3,
        "the failing worker gets no further task: {starts_at:?}"
    );
}

/// A quarter of the workers begin to fail every task at the same time. Fewer than 1% of the tasks
/// may go to them.
#[test]
fn quarter_of_failing_workers_gets_few_tasks() {
    let faulty = ["agent-00", "agent-04", "agent-08"];
    let mut fake = open_with_failing_workers(&["agent-00", "agent-04", "agent-08"]);
    let (all, starts_at) = submit_for_20_s(&mut fake, &faulty);
    assert!(
        starts_at.iter().sum::<usize>() * 100 < all,
        "{starts_at:?} of {all}"
    );
}

/// A failing worker is repaired after 2 s. The next real task that it gets succeeds, and it then
/// gets its full share of the work again.
#[test]
fn repaired_worker_gets_its_share_again() {
    let mut fake = fake::open(2);
    fake.behavior = Box::new(|agent, start, age| {
        if age < Duration::from_secs(2) && agent == "agent-01" {
            return fake::fail_quickly();
        }
        fake::succeed(start)
    });
    for _ in 0..240 {
        fake.submit("town", fake::tasks(3, 250, 250));
        fake.advance(Duration::from_millis(50));
    }
    assert_eq!(fake.owner.fleet().slots(), 16);
    let last = &fake.starts[fake.starts.len() - 40..];
    let back = last.iter().filter(|(agent, _)| agent == "agent-01").count();
    assert!(back >= 10, "{back} of 40");
}

/// One client account sends input on which every task fails, on every worker. The workers are
/// healthy, so nearly all slots must stay usable for the other client accounts.
#[test]
fn broken_input_of_one_client_account_bars_no_worker() {
    let mut fake = fake::open(4);
    fake.behavior = Box::new(|_, start, _| {
        if start.client_account == "broken" {
            return fake::fail_quickly();
        }
        fake::succeed(start)
    });
    let mut least = u32::MAX;
    for i in 0..100 {
        for _ in 0..4 {
            fake.submit("broken", fake::tasks(1, 100, 100));
            fake.advance(Duration::from_millis(5));
        }
        fake.submit("town", fake::tasks(8, 100, 100));
        fake.advance(Duration::from_millis(30));
        if i >= 10 {
            least = least.min(fake.owner.fleet().slots());
        }
    }
    assert!(least >= 24, "down to {least} of 32 slots");
    fake.advance(Duration::from_secs(1));
    assert_eq!(fake.owner.fleet().slots(), 32);
    let town = fake.starts_of("town", 0);
    assert_eq!(town, 800);
}

/// One worker runs every task five times slower than the others. A task that was started may not be
/// started again elsewhere, so the worker must get few tasks: less than 1% of all.
#[test]
fn slow_worker_gets_few_tasks() {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(|agent, start, _| {
        let mut task_end = fake::succeed(start)?;
        if agent == "agent-03" {
            task_end.after *= 5;
        }
        Some(task_end)
    });
    let (all, starts_at) = submit_for_20_s(&mut fake, &["agent-03"]);
    assert!(starts_at[0] * 100 < all, "{starts_at:?} of {all}");
}

/// A worker accepts tasks but never answers. Its tasks are stopped when the class target passes;
/// after that it must get one task at a time, not eight again.
#[test]
fn hanging_worker_gets_few_tasks() {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(|agent, start, age| {
        if age >= FAULT_FROM && agent == "agent-03" {
            return None;
        }
        fake::succeed(start)
    });
    let (all, starts_at) = submit_for_20_s(&mut fake, &["agent-03"]);
    assert!(starts_at[0] * 100 < all, "{starts_at:?} of {all}");
}

/// Every task fails on every worker, so the workers aren't the cause: at most half of them may be
/// barred.
#[test]
fn at_most_half_of_the_workers_are_barred() {
    let mut fake = fake::open(8);
    fake.behavior = Box::new(|_, _, _| fake::fail_quickly());
    for i in 0..100 {
        let account = format!("customer-{}", i % 50);
        fake.submit(&account, fake::tasks(1, 100, 100));
        fake.advance(Duration::from_millis(10));
        assert!(fake.owner.fleet().slots() >= 4);
    }
}
