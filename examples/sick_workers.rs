//! Sick workers and the retry budget: a worker that fails all it starts attracts no more work, and
//! sending again never multiplies the load.
//!
//! Run with `cargo run --example sick_workers`.

use std::time;

use lovagemill::decide::health::{Health, Outcome};
use lovagemill::decide::retry::Budget;
use lovagemill::id;

/// Workers of the cell.
const WORKERS: usize = 11;

pub fn main() {
    black_hole();
    retry_budget();
}

/// Ten workers do their tasks; one fails each at once, so that its slots are always free.
fn black_hole() {
    let mut health = Health::default();
    let begun = time::Instant::now();
    let account: id::ClientAccount = "canoas".into();
    let sick: id::AgentId = "agent-03".into();
    let run = time::Duration::from_millis(250);
    let mut at_sick = 0;
    for round in 0..200_u32 {
        let now = begun + time::Duration::from_millis(10) * round;
        for number in 0..WORKERS {
            let agent: id::AgentId = format!("agent-{number:02}").into();
            let is_sick = agent == sick;
            // A limit of 0 is the bar: placement sends such a worker nothing.
            if health.limit(&agent) == 0 {
                continue;
            }
            at_sick += u32::from(is_sick);
            let outcome = if is_sick {
                Outcome::Failed
            } else {
                Outcome::Done(run, run)
            };
            health.observe(now, &agent, &account, outcome, WORKERS);
        }
    }
    println!("of 200 rounds the failing worker got {at_sick} tasks before it was barred");
    assert!(at_sick < 10);
    assert_eq!(health.barred_count(), 1, "it alone is barred");

    // The bar ends, and one real task tells whether the worker is well again.
    let later = begun + time::Duration::from_secs(600);
    assert_eq!(health.end_due_bars(later).first(), Some(&sick));
    assert_eq!(health.limit(&sick), 1, "one task is at risk");
    health.observe(later, &sick, &account, Outcome::Done(run, run), WORKERS);
    assert!(health.limit(&sick) > 1, "it is let back");
}

/// Everything that is started is turned away; without a budget it would be sent again for ever.
fn retry_budget() {
    let mut budget = Budget::open();
    // What was saved up in good times is spent first.
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    println!("1,000 starts paid for {retries} retries");
    assert!((95..=100).contains(&retries), "a tenth of the starts");
}
