//! Sick workers: judged against their peers, barred, and let back by bounded real work.

mod decide_support;

use std::time::Duration;

use decide_support as fake;

const SICK_FROM: Duration = Duration::from_secs(2);

/// Offers work for 20 s at about 80% of 11 workers. Returns the share of tasks that failed and
/// the starts at each worker of the list after the sickness began.
fn offer(fake: &mut fake::FakeCell, sick: &[&str]) -> (usize, Vec<usize>) {
    let mut from = 0;
    for i in 0..400 {
        if fake.now - fake.started_at < SICK_FROM {
            from = fake.starts.len();
        }
        let account = ["town", "village", "state"][i % 3];
        fake.submit(account, fake::tasks(14, 250, 250));
        fake.advance(Duration::from_millis(50));
    }
    fake.advance(Duration::from_secs(8));
    let at = |name: &&str| {
        let starts = fake.starts[from..].iter();
        starts.filter(|(agent, _)| agent == *name).count()
    };
    (fake.starts.len(), sick.iter().map(at).collect())
}

fn sick_fake(sick: &'static [&'static str]) -> fake::FakeCell {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(move |agent, start, age| {
        if age >= SICK_FROM && sick.contains(&agent) {
            return fake::fail_quickly();
        }
        fake::succeed(start)
    });
    fake
}

/// One worker begins to fail every task within 2 ms. It always has free slots, so that the
/// placement alone would send it most of the work. Fewer than 0.5% of the tasks may fail.
#[test]
fn black_hole_gets_few_tasks() {
    let sick = ["agent-03"];
    let mut fake = sick_fake(&["agent-03"]);
    let (all, at) = offer(&mut fake, &sick);
    assert!(at[0] * 200 < all, "{at:?} of {all}");
    assert!(at[0] >= 3, "it is never tried again: {at:?}");
}

/// A quarter of the workers fails everything at the same time.
#[test]
fn quarter_of_sick_workers_gets_few_tasks() {
    let sick = ["agent-00", "agent-04", "agent-08"];
    let mut fake = sick_fake(&["agent-00", "agent-04", "agent-08"]);
    let (all, at) = offer(&mut fake, &sick);
    assert!(at.iter().sum::<usize>() * 100 < all, "{at:?} of {all}");
}

/// A worker is mended after a while. The next real task that it is given succeeds, and it takes
/// its full part again.
#[test]
fn mended_worker_comes_back() {
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

/// One client account sends input on which every task fails, on every worker. The workers are well, and
/// nobody else may lose them.
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

/// One worker runs everything five times slower. A task may not be started again elsewhere, so
/// the only cure is to send it little.
#[test]
fn slow_worker_gets_few_tasks() {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(|agent, start, _| {
        let mut end = fake::succeed(start)?;
        if agent == "agent-03" {
            end.after *= 5;
        }
        Some(end)
    });
    let (all, at) = offer(&mut fake, &["agent-03"]);
    assert!(at[0] * 100 < all, "{at:?} of {all}");
}

/// A worker that is half dead never answers. Its tasks end with the class target, and then it gets
/// one at a time, not eight again.
#[test]
fn hanging_worker_gets_few_tasks() {
    let mut fake = fake::open(11);
    fake.behavior = Box::new(|agent, start, age| {
        if age >= SICK_FROM && agent == "agent-03" {
            return None;
        }
        fake::succeed(start)
    });
    let (all, at) = offer(&mut fake, &["agent-03"]);
    assert!(at[0] * 100 < all, "{at:?} of {all}");
}

/// Everything fails everywhere, so the cause isn't a worker: at most half of them are barred.
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
