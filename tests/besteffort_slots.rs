//! What an agent holds: starts, stops and ends under loss, and the lease that covers them.

mod support;

use std::time::Duration;

use lovagemill::decide::besteffort::lease::{self, Bounds};
use lovagemill::decide::besteffort::message::{
    EntryIncarnation, Room, Run, RunOutcome, ServerIncarnation, Start,
};
use lovagemill::decide::besteffort::slots::{
    CheckResult, Listing, Order, Recipient, Slots, StartAnswer,
};

use support::besteffort::{self, backend, heartbeat};

const START: u64 = 10_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn entry(incarnation: u64) -> EntryIncarnation {
    EntryIncarnation {
        entry: "entry".into(),
        incarnation,
    }
}

fn run(task: u32, number: u64) -> Run {
    besteffort::run("job", task, number)
}

/// Half of the backend server is asked for.
fn start(run: Run, at: u64) -> Start {
    Start {
        need: Room {
            cpu: 2_000,
            ..besteffort::NEED
        },
        deadline_ms: at + 5_000,
        patience_ms: 40,
        ..besteffort::start(run, at)
    }
}

fn stop(run: Run) -> Order {
    let to = Recipient {
        incarnation: ServerIncarnation::with_id("life"),
        fence: 1,
    };
    Order::Stop { to, run }
}

fn listing(at: u64, running: &[Run]) -> Listing {
    let running = running.iter().map(|run| (run.clone(), 10)).collect();
    Listing {
        clock_ms: at,
        ..besteffort::listed(running, Vec::new())
    }
}

/// A life announces itself, and is there when it is asked.
fn take_up(slots: &mut Slots, at: u64, life: &str) {
    let check = slots.heartbeat_received(ms(at), heartbeat(life));
    let check = check.expect("a new life is checked");
    let there = CheckResult::Answered(listing(at, &[]));
    assert!(slots.check_answered(ms(at), ms(at), &check, there));
}

/// An agent with a backend server that was heard, and an entry that has connected.
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    take_up(&mut slots, START, "life");
    slots.entry_connected(ms(START), &entry(1));
    slots
}

/// Starts a run that the backend server accepts at once.
fn begin(slots: &mut Slots, at: u64, run: Run) {
    slots.message_received(ms(at), &entry(1), at);
    slots.start_requested(ms(at), &entry(1), true, start(run.clone(), at));
    assert!(matches!(&slots.take_orders()[..], [Order::Start { run: begun, .. }] if *begun == run));
    slots.start_answered(ms(at), &run, StartAnswer::Accepted);
}

fn ends(slots: &mut Slots, at: u64) -> Vec<(Run, RunOutcome)> {
    besteffort::ends(slots, &entry(1), ms(at))
}

/// Two runs of one task. A backend server has just started anew, so that no lease was granted yet.
/// A start is ordered, and the time bounds are looked at before the order has left: the run was
/// given up for want of a lease, and its task started elsewhere while the order was carried out.
#[test]
fn a_start_on_its_way_has_a_lease() {
    let mut slots = open();
    slots.message_received(ms(START), &entry(1), START);
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    slots.tick(ms(START + 1));
    assert_eq!(ends(&mut slots, START + 1), []);
    assert!(slots.is_working());
}

/// Two runs of one task. The entry has fallen silent, and the stops of its run go unanswered one
/// after the other; the agent kept renewing the lease for other runs, and with it that of the run
/// that the entry counts as ended by now.
#[test]
fn the_lease_runs_out_under_a_run_that_no_stop_ends() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    let silent = START + Bounds::default().silence.as_millis() as u64;
    slots.tick(ms(silent));
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    slots.listing_received(ms(silent), ms(silent), listing(silent, &[run(0, 1)]));
    assert!(
        slots.renew_lease(ms(silent)).is_some(),
        "the stop may still work"
    );
    let overdue = silent + lease::DELAY_MARGIN.as_millis() as u64 + 1;
    slots.listing_received(ms(overdue), ms(overdue), listing(overdue, &[run(0, 1)]));
    assert_eq!(slots.renew_lease(ms(overdue)), None);
    slots.stop_answered(ms(overdue), &run(0, 1));
    assert!(
        slots.renew_lease(ms(overdue)).is_some(),
        "stopped after all"
    );
}

/// Two runs of one task. An agent is frozen while its entry gives it up, wakes before the lease has
/// run out, renews it at once, and dies as its stop is on the way: the run went on for another whole
/// lease, past the time at which the entry starts its task elsewhere.
#[test]
fn an_agent_that_wakes_late_doesn_t_renew_what_must_end() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    slots.listing_received(
        ms(START + 100),
        ms(START + 100),
        listing(START + 100, &[run(0, 1)]),
    );
    let silence = Bounds::default().silence.as_millis() as u64;
    let woken = START + silence + lease::DELAY_MARGIN.as_millis() as u64 + 1;
    assert_eq!(slots.renew_lease(ms(woken)), None);
}

/// A stop that nobody answers is sent again, and soon: an order may be carried out seconds late.
#[test]
fn a_stop_without_an_answer_is_sent_again() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    slots.withdraw(ms(START + 10), &entry(1), &run(0, 1));
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    slots.tick(ms(START + 20));
    assert_eq!(slots.take_orders(), []);
    slots.message_received(ms(START + 70), &entry(1), START + 70);
    slots.tick(ms(START + 70));
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
}

/// A task is said not to run, and runs: its start had no answer and is carried out seconds later.
/// Such a run counts as there until a stop is answered and a later listing doesn't name it.
#[test]
fn a_start_without_an_answer_is_closed_before_it_is_given_up() {
    let mut slots = open();
    slots.message_received(ms(START), &entry(1), START);
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    slots.take_orders();
    slots.start_answered(ms(START + 150), &run(0, 1), StartAnswer::Unknown);
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    slots.listing_received(ms(START + 160), ms(START + 155), listing(START + 160, &[]));
    assert_eq!(ends(&mut slots, START + 160), [], "not closed yet");
    slots.stop_answered(ms(START + 170), &run(0, 1));
    slots.listing_received(ms(START + 175), ms(START + 165), listing(START + 175, &[]));
    assert_eq!(
        ends(&mut slots, START + 175),
        [],
        "the listing is older than the stop"
    );
    slots.listing_received(ms(START + 190), ms(START + 180), listing(START + 190, &[]));
    assert_eq!(
        ends(&mut slots, START + 190),
        [(run(0, 1), RunOutcome::Gone)]
    );
}

/// A backend server that guards its room refuses what doesn't fit, and one that doesn't is
/// overloaded: room comes free only when an end was listed, also for runs that were stopped.
#[test]
fn room_comes_free_with_the_listed_end() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    begin(&mut slots, START, run(1, 2));
    slots.start_requested(ms(START), &entry(1), true, start(run(2, 3), START));
    assert_eq!(slots.take_orders(), [], "no room");
    slots.withdraw(ms(START + 5), &entry(1), &run(0, 1));
    slots.take_orders();
    slots.stop_answered(ms(START + 6), &run(0, 1));
    assert_eq!(slots.take_orders(), [], "stopped isn't ended");
    let mut ended = listing(START + 8, &[run(1, 2)]);
    ended.ended.push((run(0, 1), RunOutcome::Gone));
    slots.listing_received(ms(START + 8), ms(START + 7), ended);
    assert!(
        matches!(&slots.take_orders()[..], [Order::Start { run: begun, .. }] if *begun == run(2, 3))
    );
}

/// New work reaches a backend server after it said that it leaves: nothing is started from that
/// moment on, and what waited here goes back to its entry at once.
#[test]
fn nothing_starts_on_a_backend_server_that_leaves() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    begin(&mut slots, START, run(1, 2));
    slots.start_requested(ms(START), &entry(1), true, start(run(2, 3), START));
    let mut leaving = heartbeat("life");
    leaving.backend.takes_work = false;
    assert_eq!(slots.heartbeat_received(ms(START + 5), leaving), None);
    slots.start_requested(ms(START + 6), &entry(1), true, start(run(3, 4), START));
    assert_eq!(slots.take_orders(), []);
    let bounced = [
        (run(2, 3), RunOutcome::NotRun),
        (run(3, 4), RunOutcome::NotRun),
    ];
    assert_eq!(ends(&mut slots, START + 6), bounced);
    assert!(slots.is_working(), "what runs goes on");
}

/// A word of a backend server's earlier life that arrives late brings the dead one back.
#[test]
fn an_earlier_life_doesn_t_come_back() {
    let mut slots = open();
    take_up(&mut slots, START + 1, "next");
    assert_eq!(
        slots.heartbeat_received(ms(START + 2), heartbeat("life")),
        None
    );
    assert_eq!(slots.server_incarnation().id, "next");
}

/// A caller's approval runs twice, and a healthy backend server gets no work for good. It had crashed
/// twice in a row; a word of the life in the middle, which the agent had never heard of, comes late.
/// It was believed: what ran was given up and started elsewhere, and the living one passed for dead.
#[test]
fn a_life_is_believed_only_once_it_has_answered() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    for (at, checked) in [
        (1, CheckResult::NoAnswer),
        (2, CheckResult::AnotherIncarnation),
    ] {
        let at = ms(START + at);
        let check = slots
            .heartbeat_received(at, heartbeat("middle"))
            .expect("unknown");
        assert!(!slots.check_answered(at, at, &check, checked));
        assert_eq!(
            (slots.server_incarnation().id.as_str(), slots.is_working()),
            ("life", true)
        );
    }
    assert_eq!(
        slots.heartbeat_received(ms(START + 3), heartbeat("middle")),
        None
    );
    assert_eq!(ends(&mut slots, START + 3), []);
}

/// A run that was given up with a crashed backend server begins in its next life, beside its
/// successor elsewhere: the order was given before the next life was known, and left after.
#[test]
fn an_order_names_the_life_that_it_was_given_for() {
    let mut slots = open();
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    take_up(&mut slots, START + 1, "next");
    let orders = slots.take_orders();
    assert!(matches!(&orders[..], [Order::Start { to, .. }] if to.incarnation.id == "life"));
    assert_eq!(ends(&mut slots, START + 1), [(run(0, 1), RunOutcome::Gone)]);
}

/// A task runs on for ten seconds after its agent froze, beside its successor elsewhere. The agent had
/// just started and listed whatever life was there; that one crashed, and the lease which the agent
/// asked for next, on the dead life's clock, was granted by a life whose clock is far behind.
#[test]
fn no_lease_is_asked_for_before_a_life_is_known() {
    let mut slots = Slots::open(Bounds::default());
    slots.listing_received(ms(START), ms(START), listing(START, &[]));
    assert_eq!(slots.renew_lease(ms(START + 1)), None);
    take_up(&mut slots, START + 2, "life");
    assert!(slots.renew_lease(ms(START + 3)).is_some());
}

/// On-call engineers read that a run was stopped which nobody had asked for, though its job is
/// complete. Of two listings under way at a time the later one told of the run's end; the earlier one,
/// which still had it at work, came in after that.
#[test]
fn an_overtaken_listing_is_passed_over() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    let mut later = listing(START + 20, &[]);
    later.ended.push((run(0, 1), RunOutcome::Done));
    slots.listing_received(ms(START + 21), ms(START + 5), later);
    assert_eq!(
        ends(&mut slots, START + 21),
        [(run(0, 1), RunOutcome::Done)]
    );
    let earlier = listing(START + 10, &[run(0, 1)]);
    slots.listing_received(ms(START + 22), ms(START + 4), earlier);
    assert_eq!(slots.take_orders(), []);
    let still = listing(START + 30, &[run(0, 1)]);
    slots.listing_received(ms(START + 31), ms(START + 25), still);
    assert_eq!(slots.take_orders(), [stop(run(0, 1))], "it does run on");
}

/// New work reaches a backend server that has left. It said so while the agent, which had just
/// started, was still asking whether that life was there; the earlier word, "ready", was taken up.
#[test]
fn a_life_that_leaves_while_it_is_checked_gets_nothing() {
    let mut slots = Slots::open(Bounds::default());
    let at = ms(START);
    let check = slots
        .heartbeat_received(at, heartbeat("life"))
        .expect("unknown");
    slots.server_left(at, &ServerIncarnation::with_id("life"));
    let there = CheckResult::Answered(listing(START, &[]));
    slots.check_answered(at, at, &check, there);
    assert!(!slots.advertised_backend().takes_work);
}

/// The answer to a check comes after the life that gave it has died and the next was taken up.
#[test]
fn a_late_answer_to_a_check_brings_nothing_back() {
    let mut slots = open();
    let at = ms(START + 1);
    let late = slots
        .heartbeat_received(at, heartbeat("middle"))
        .expect("unknown");
    assert_eq!(
        slots.heartbeat_received(at, heartbeat("middle")),
        None,
        "one at a time"
    );
    take_up(&mut slots, START + 2, "next");
    let again = slots.heartbeat_received(ms(START + 3), heartbeat("middle"));
    assert_ne!(again.expect("unknown").number, late.number);
    let there = || CheckResult::Answered(listing(START + 4, &[]));
    assert!(!slots.check_answered(ms(START + 4), at, &late, there()));
    assert_eq!(slots.server_incarnation().id, "next");
}

/// Nothing runs past its caller's patience: the deadline is kept here, on the agent's clock, also
/// where the entry lives on.
#[test]
fn a_run_is_stopped_at_its_deadline() {
    let mut slots = open();
    let deadline = START + 300;
    let start = Start {
        deadline_ms: deadline,
        ..start(run(0, 1), START)
    };
    slots.start_requested(ms(START), &entry(1), true, start);
    slots.take_orders();
    slots.start_answered(ms(START), &run(0, 1), StartAnswer::Accepted);
    slots.tick(ms(deadline - 1));
    assert_eq!(slots.take_orders(), []);
    slots.tick(ms(deadline));
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
}

/// The bounds must leave a resubmission nothing to meet: silence, then the lease of an agent that
/// died in the meantime, on a slow clock, with the stop's grace.
#[test]
fn all_bounds_together_are_shorter_than_a_resubmission() {
    assert!(Bounds::default().runs_end_within() < lease::RESUBMIT_AFTER);
}

/// A living worker gets no work for a second and a half: while its life is asked whether it is there,
/// another writer's heartbeat names one that isn't, and only the newest was remembered.
#[test]
fn a_word_of_another_writer_pushes_out_no_living_one() {
    let mut slots = Slots::open(Bounds::default());
    let living = slots
        .heartbeat_received(ms(START), heartbeat("living"))
        .expect("asked");
    let other = slots
        .heartbeat_received(ms(START), heartbeat("nobody"))
        .expect("asked");
    assert!(!slots.check_answered(
        ms(START),
        ms(START),
        &other,
        CheckResult::AnotherIncarnation
    ));
    let there = CheckResult::Answered(listing(START, &[]));
    assert!(slots.check_answered(ms(START), ms(START), &living, there));
    assert_eq!(slots.server_incarnation().id, "living");
    assert!(slots.advertised_backend().takes_work);
}

/// The same worker is said to be of a service that nobody asks for, and stands idle for good.
#[test]
fn a_life_stays_with_its_service() {
    let mut slots = open();
    let mut other = heartbeat("life");
    other.backend.service = "nobody's".into();
    assert!(slots.heartbeat_received(ms(START + 1), other).is_none());
    assert_eq!(slots.announced_backend(), &backend("life"));
}

/// A caller submits its job again sooner than a run surely ends, and the task runs twice. A program that
/// is told of such callers, or of backend servers with too short a lease, doesn't start.
#[test]
fn bounds_that_can_t_be_kept_are_refused() {
    let bounds = Bounds::default();
    let with_longest = |longest_lease| Bounds {
        longest_lease,
        ..bounds
    };
    assert_eq!(bounds.check(None), Ok(()));
    assert_eq!(with_longest(ms(1_000)).check(Some(ms(1_300))), Ok(()));
    let soon = bounds.check(Some(bounds.runs_end_within()));
    assert!(soon.is_err_and(|why| why.contains("run twice")));
    let short = with_longest(ms(649)).check(None);
    assert!(short.is_err_and(|why| why.contains("649 ms")));
}
