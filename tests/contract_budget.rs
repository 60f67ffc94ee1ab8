//! What the system asks of a platform that is slow, down, or just back.

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
fn budget_lets_the_saved_up_part_go_at_once_and_the_rest_at_its_rate() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 10.0);
    for _ in 0..10 {
        assert_eq!(budget.book(start, ms(0)), Some(ms(0)));
    }
    assert_eq!(budget.book(start, ms(50)), None, "longer than the patience");
    assert_eq!(budget.book(start, ms(100)), Some(ms(100)));
    assert_eq!(budget.book(start, ms(500)), Some(ms(200)));
    let later = start + ms(1_000);
    assert_eq!(budget.book(later, ms(0)), Some(ms(0)));
}

#[test]
fn budget_saves_up_no_more_than_a_second() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 10.0);
    let later = start + ms(3_600_000);
    let at_once = (0..100).filter(|_| budget.book(later, ms(0)).is_some());
    assert_eq!(at_once.count(), 10);
}

#[test]
fn budget_holds_over_any_minute() {
    let start = time::Instant::now();
    let mut budget = budget::Budget::open(start, 60.0);
    let mut left = 0;
    for tick in 0..60_000 {
        let now = start + ms(tick);
        left += u32::from(budget.book(now, ms(0)).is_some());
    }
    assert!((3_600..=3_661).contains(&left), "{left} operations left");
}

/// Callers wait while the table is slow, and then the table is stormed by all that waited.
/// A client that is over its budget keeps operations back; what can't leave within the time limit
/// isn't sent at all, and is said to be surely not done.
#[test]
fn client_keeps_operations_back_that_are_over_its_budget() {
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
        let platform = platform::connect_within(&server.addr(), ms(700), messages.clone(), limits);
        let mut reads = Vec::new();
        for _ in 0..5 {
            reads.push(tokio::spawn((platform.table.get)("a".into())));
        }
        let mut kept_back = 0;
        for read in reads {
            kept_back += u32::from(read.await.unwrap() == Err(platform::Error::NotDone));
        }
        // Two were saved up, and one comes free within 700 ms.
        assert_eq!(kept_back, 2);
        assert_eq!(server.requests(), 3);
        assert_eq!(messages.delayed()["read"], 1);
        assert_eq!(messages.refused()["read"], 2);
        assert_eq!(messages.refused()["write"], 0);
    });
}

/// The table comes back after a minute and goes down again under the load of its clients.
/// All of them saw it fail in the same moment; without jitter they would ask in step for ever.
#[test]
fn clients_ask_out_of_step_after_an_outage() {
    const CLIENTS: u64 = 200;
    let outage = ms(60_000);
    let mut first_asks = Vec::new();
    let mut asked = 0;
    for client in 0..CLIENTS {
        let mut backoff = backoff::seeded(ms(100), ms(1_000), client);
        let mut at = time::Duration::ZERO;
        while at < outage {
            asked += 1;
            at += backoff.pause();
        }
        first_asks.push(at - outage);
    }
    assert!(asked <= 60 * CLIENTS, "{asked} asked while it was down");
    let in_window = |from: u64| {
        let window = ms(from)..ms(from + 50);
        first_asks.iter().filter(|at| window.contains(*at)).count() as u64
    };
    let fullest = (0..2_000).map(in_window).max().unwrap();
    assert!(fullest <= CLIENTS / 5, "{fullest} of them within 50 ms");
}

/// An entry that lost the table asks it without a pause, together with all others.
/// Its loops for ownership, configuration, members and claims each retried at their own pace.
#[test]
fn entry_asks_a_table_that_is_down_at_a_falling_pace() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        path::configure(&memory);
        let down: Arc<AtomicBool> = Arc::default();
        let falling = down.clone();
        let platform = memory.platform_with_faults(Box::new(move |_| {
            if falling.load(Ordering::SeqCst) {
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
        let asked = more_reads - reads + more_writes - writes;
        // A slow machine asks less often, never more.
        assert!((1..=40).contains(&asked), "{asked} operations in 4 s");
        assert!(entry.owns_any(), "an outage deposes nobody");
    });
}
