//! How many operations the system sends to a platform that is slow, down, or just back.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time;

use lovagemill::backoff;
use lovagemill::count;
use lovagemill::decide::budget;
use lovagemill::entry;
use lovagemill::wire::platform;

use support::memory::{Fault, MemoryPlatform};
use support::path;
use support::script::{Script, ScriptedServer, ServerAction};

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[test]
fn budget_allows_its_saved_up_operations_at_once_and_the_rest_at_its_rate() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 10.0);
    for _ in 0..10 {
        assert_eq!(budget.reserve(start, ms(0)), Some(ms(0)));
    }
    assert_eq!(
        budget.reserve(start, ms(50)),
        None,
        "a wait of 100 ms is over the limit of 50 ms"
    );
    assert_eq!(budget.reserve(start, ms(100)), Some(ms(100)));
    assert_eq!(budget.reserve(start, ms(500)), Some(ms(200)));
    let later = start + ms(1_000);
    assert_eq!(budget.reserve(later, ms(0)), Some(ms(0)));
}

#[test]
fn budget_saves_up_operations_of_at_most_one_second() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 10.0);
    let later = start + ms(3_600_000);
    let at_once = (0..100).filter(|_| budget.reserve(later, ms(0)).is_some());
    assert_eq!(at_once.count(), 10);
}

#[test]
fn budget_holds_over_any_minute() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 60.0);
    let mut allowed = 0;
    for tick in 0..60_000 {
        let now = start + ms(tick);
        allowed += u32::from(budget.reserve(now, ms(0)).is_some());
    }
    assert!((3_600..=3_661).contains(&allowed), "{allowed} operations");
}

/// Guards against a burst of operations on a table that was slow: all callers that waited would send at once. A client
/// that is over its budget delays operations. It doesn't send an operation that its budget doesn't allow within the
/// time limit, and reports it as not done.
#[test]
fn client_delays_or_refuses_operations_over_its_budget() {
    support::block_on(async {
        let script = Script {
            server: ServerAction::Answer,
            status: 200,
            body: "null".to_owned(),
            repeat: 1,
            length: None,
            twice: false,
        };
        let server = ScriptedServer::bind(script).await;
        let messages = count::Messages::default();
        let limits = budget::Limits {
            reads: 2.0,
            writes: 0.001,
        };
        let platform =
            platform::connect_with_limits(&server.addr(), ms(700), messages.clone(), limits);
        let mut reads = Vec::new();
        for _ in 0..5 {
            reads.push(tokio::spawn((platform.table.get)("a".into())));
        }
        let mut refused = 0;
        for read in reads {
            refused += u32::from(read.await.unwrap() == Err(platform::Error::NotDone));
        }
        // The budget allows two at once, and one more within 700 ms.
        assert_eq!(refused, 2);
        assert_eq!(server.requests(), 3);
        assert_eq!(messages.delayed()["read"], 1);
        assert_eq!(messages.refused()["read"], 2);
        assert_eq!(messages.refused()["write"], 0);
    });
}

/// Guards against a table that comes back after an outage of a minute and fails again under the load of its clients.
/// All clients saw it fail at the same moment; without jitter they would go on calling it at the same moments.
#[test]
fn clients_retry_at_different_times_after_an_outage() {
    const CLIENTS: u64 = 200;
    let outage = ms(60_000);
    let mut first_calls = Vec::new();
    let mut calls = 0;
    for client in 0..CLIENTS {
        let mut backoff = backoff::seeded(ms(100), ms(1_000), client);
        let mut at = time::Duration::ZERO;
        while at < outage {
            calls += 1;
            at += backoff.pause();
        }
        first_calls.push(at - outage);
    }
    assert!(calls <= 60 * CLIENTS, "{calls} calls during the outage");
    let in_window = |from: u64| {
        let window = ms(from)..ms(from + 50);
        first_calls.iter().filter(|at| window.contains(*at)).count() as u64
    };
    let fullest = (0..2_000).map(in_window).max().unwrap();
    assert!(fullest <= CLIENTS / 5, "{fullest} clients within 50 ms");
}

/// Guards against an entry that calls an unavailable table without a pause, as all others do. This happened when the
/// loops for ownership, configuration, members and claims each retried at their own rate.
#[test]
fn entry_backs_off_from_an_unavailable_table() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let down: Arc<AtomicBool> = Arc::default();
        let is_down = down.clone();
        let platform = memory.platform_with_faults(Box::new(move |_| {
            if is_down.load(Ordering::SeqCst) {
                Fault::Down
            } else {
                Fault::None
            }
        }));
        let cfg = path::entry_config("entry-0");
        let entry = entry::open(cfg, platform, count::Messages::default())
            .await
            .unwrap();
        support::until("it owns the cell", || entry.owns_any()).await;
        down.store(true, Ordering::SeqCst);
        let (reads, writes) = memory.operations();
        tokio::time::sleep(ms(4_000)).await;
        let (more_reads, more_writes) = memory.operations();
        let operations = more_reads - reads + more_writes - writes;
        // On a slow machine there are fewer operations, never more.
        assert!(
            (1..=40).contains(&operations),
            "{operations} operations in 4 s"
        );
        assert!(entry.owns_any(), "an outage takes no ownership away");
    });
}
