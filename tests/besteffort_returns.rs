//! A backend server that comes back under the id that it had, knowing nothing, its counts and its clock
//! begun anew: what its agent takes from it, and what it gives up.

mod support;

use std::time::Duration;

use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{
    EntryIncarnation, Heartbeat, Run, RunOutcome, ServerIncarnation,
};
use lovagemill::decide::besteffort::slots::{
    Check, CheckResult, Listing, Order, Slots, StaleMessage, StartAnswer,
};

use support::besteffort::{self, entry, run};

const START: u64 = 10_000;
/// When lives began. The later one names an earlier time: the time of day was set back in between.
const FIRST: u64 = 5_000;
const SECOND: u64 = 4_000;
const THIRD: u64 = 6_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn name() -> EntryIncarnation {
    entry("entry")
}

fn heartbeat(born_ms: u64, number: u64, takes_work: bool) -> Heartbeat {
    let mut heartbeat = besteffort::heartbeat("server");
    heartbeat.backend.incarnation.born_ms = Some(born_ms);
    heartbeat.backend.takes_work = takes_work;
    heartbeat.number = number;
    heartbeat
}

fn listing(born_ms: u64, clock_ms: u64, running: &[Run]) -> Listing {
    let running = running.iter().map(|run| (run.clone(), 10)).collect();
    Listing {
        born_ms: Some(born_ms),
        clock_ms,
        ..besteffort::listed(running, Vec::new())
    }
}

fn announce(slots: &mut Slots, at: u64, heartbeat: Heartbeat) -> Check {
    let check = slots.heartbeat_received(ms(at), heartbeat);
    check.expect("a life that isn't known is asked for")
}

/// An agent that knows the first life, whose heartbeats have come to 20 and whose clock to [`START`].
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    let check = announce(&mut slots, START, heartbeat(FIRST, 20, true));
    let there = CheckResult::Answered(listing(FIRST, START, &[]));
    assert!(slots.check_answered(ms(START), ms(START), &check, there));
    slots.entry_connected(ms(START), &name());
    slots.message_received(ms(START), &name(), START);
    slots
}

/// Orders a start; its answer is still to come.
fn order(slots: &mut Slots, at: u64, run: &Run) {
    slots.start_requested(ms(at), &name(), true, besteffort::start(run.clone(), at));
    let orders = slots.take_orders();
    assert!(matches!(&orders[..], [Order::Start { run: begun, .. }] if begun == run));
}

/// The second life answers a question that names it; it has no run under way.
fn take_up_second(slots: &mut Slots, at: u64, takes_work: bool) {
    let check = announce(slots, at, heartbeat(SECOND, 1, takes_work));
    let there = CheckResult::Answered(listing(SECOND, 7, &[]));
    assert!(slots.check_answered(ms(at), ms(at), &check, there));
}

fn ends(slots: &mut Slots, at: u64) -> Vec<(Run, RunOutcome)> {
    besteffort::ends(slots, &name(), ms(at))
}

/// Work goes to a backend server that has said that it leaves. It had come back under its id; its
/// heartbeats, numbered anew, passed for late ones of the life before and were acknowledged all the same.
#[test]
fn heartbeats_are_numbered_within_a_life() {
    let mut slots = open();
    take_up_second(&mut slots, START + 1, true);
    slots.listing_received(ms(START + 3), ms(START + 2), listing(SECOND, 8, &[]));
    assert!(slots.advertised_backend().takes_work);
    assert_eq!(
        slots.heartbeat_received(ms(START + 4), heartbeat(SECOND, 2, false)),
        None
    );
    assert!(!slots.advertised_backend().takes_work, "it leaves");
    // Late ones, of this life and of the one before.
    assert_eq!(
        slots.heartbeat_received(ms(START + 5), heartbeat(SECOND, 1, true)),
        None
    );
    assert_eq!(
        slots.heartbeat_received(ms(START + 6), heartbeat(FIRST, 21, true)),
        None
    );
    assert!(!slots.advertised_backend().takes_work, "it still leaves");
    assert_eq!(slots.counts.stale_messages[&StaleMessage::Heartbeat], 2);
}

/// A healthy backend server gets nothing: the life before had said that it leaves, and that word comes
/// once more after the next life has announced itself.
#[test]
fn the_leave_of_the_life_before_isn_t_that_of_the_next() {
    let mut slots = open();
    take_up_second(&mut slots, START + 1, true);
    slots.listing_received(ms(START + 3), ms(START + 2), listing(SECOND, 8, &[]));
    slots.heartbeat_received(ms(START + 4), heartbeat(FIRST, 22, false));
    let first = ServerIncarnation {
        born_ms: Some(FIRST),
        ..slots.server_incarnation().clone()
    };
    slots.server_left(ms(START + 5), &first);
    assert!(slots.advertised_backend().takes_work);
    // A leave that names no life may be that of either; the living one's next word sets it right.
    slots.server_left(ms(START + 6), &ServerIncarnation::with_id("server"));
    assert!(!slots.advertised_backend().takes_work);
    slots.heartbeat_received(ms(START + 7), heartbeat(SECOND, 2, true));
    assert!(slots.advertised_backend().takes_work);
}

/// A healthy backend server gets no work for as long as it lives: its clock began anew below that of the
/// life before, and all that it lists passed for overtaken.
#[test]
fn a_listing_tells_of_the_next_life_before_its_heartbeat_does() {
    let mut slots = open();
    slots.listing_received(ms(START + 2), ms(START + 1), listing(SECOND, 7, &[]));
    assert_eq!(slots.server_incarnation().born_ms, Some(SECOND));
    assert!(
        !slots.advertised_backend().takes_work,
        "nobody knows yet what it is"
    );
    slots.listing_received(ms(START + 4), ms(START + 3), listing(SECOND, 9, &[]));
    assert_eq!(
        slots.heartbeat_received(ms(START + 5), heartbeat(SECOND, 1, true)),
        None
    );
    assert!(slots.advertised_backend().takes_work);
}

/// A life that leaves gets work: its heartbeat had come, the question whether it is there had no answer,
/// and an earlier heartbeat that was late came after both.
#[test]
fn a_life_that_could_not_be_asked_is_remembered_as_leaving() {
    let mut slots = open();
    let check = announce(&mut slots, START + 1, heartbeat(SECOND, 2, false));
    slots.check_answered(
        ms(START + 200),
        ms(START + 1),
        &check,
        CheckResult::NoAnswer,
    );
    assert_eq!(
        slots.heartbeat_received(ms(START + 201), heartbeat(SECOND, 1, true)),
        None
    );
    slots.listing_received(ms(START + 203), ms(START + 202), listing(SECOND, 9, &[]));
    slots.listing_received(ms(START + 205), ms(START + 204), listing(SECOND, 11, &[]));
    assert!(!slots.advertised_backend().takes_work);
}

/// The same, after two crashes in a row: the life in between is found by its listing while the one after it
/// is still asked whether it is there.
#[test]
fn the_leave_of_the_life_after_next_is_remembered() {
    let mut slots = open();
    announce(&mut slots, START + 1, heartbeat(THIRD, 5, false));
    slots.listing_received(ms(START + 2), ms(START + 1), listing(SECOND, 7, &[]));
    assert_eq!(slots.server_incarnation().born_ms, Some(SECOND));
    slots.listing_received(ms(START + 4), ms(START + 3), listing(THIRD, 3, &[]));
    assert_eq!(slots.server_incarnation().born_ms, Some(THIRD));
    slots.listing_received(ms(START + 6), ms(START + 5), listing(THIRD, 5, &[]));
    assert_eq!(
        slots.heartbeat_received(ms(START + 7), heartbeat(THIRD, 4, true)),
        None
    );
    assert!(!slots.advertised_backend().takes_work);
}

/// A caller's approval runs twice. A start was on its way as the backend server crashed, and the next life
/// under the same id took it for its own. Given up with the life before, its task started elsewhere.
#[test]
fn a_start_that_the_next_life_took_isn_t_given_up() {
    let mut slots = open();
    let (taken, lost) = (run("taken", 0, 1), run("lost", 0, 2));
    order(&mut slots, START, &taken);
    order(&mut slots, START, &lost);
    take_up_second(&mut slots, START + 1, true);
    assert_eq!(ends(&mut slots, START + 1), [], "nobody knows yet");
    slots.start_answered(ms(START + 2), &taken, StartAnswer::Accepted);
    slots.listing_received(
        ms(START + 4),
        ms(START + 3),
        listing(SECOND, 9, std::slice::from_ref(&taken)),
    );
    assert_eq!(ends(&mut slots, START + 4), [(lost, RunOutcome::Gone)]);
    let mut done = listing(SECOND, 30, &[]);
    done.ended.push((taken.clone(), RunOutcome::Done));
    slots.listing_received(ms(START + 25), ms(START + 24), done);
    assert_eq!(ends(&mut slots, START + 25), [(taken, RunOutcome::Done)]);
}

/// The same, where the order is carried out after the first word of the next life. What was decided for
/// the life before has a smaller fence than the first question to the next one.
#[test]
fn the_fence_rises_with_each_life() {
    let mut slots = open();
    slots.start_requested(
        ms(START),
        &name(),
        true,
        besteffort::start(run("job", 0, 1), START),
    );
    let late = slots.take_orders();
    let before = slots.recipient();
    assert!(matches!(&late[..], [Order::Start { to, .. }] if *to == before));
    take_up_second(&mut slots, START + 1, true);
    assert!(slots.recipient().fence > before.fence);
}

/// A task runs on for a second after its agent has died, beside its successor elsewhere: a renewal for the
/// life before had reached the next one, and gave it the longest lease that there is. Nothing starts under
/// it before it is no longer than a lease of the agent's own.
#[test]
fn nothing_starts_under_the_lease_of_the_life_before() {
    let mut slots = open();
    slots.renew_lease(ms(START)).expect("its clock is known");
    take_up_second(&mut slots, START + 1, true);
    slots.listing_received(ms(START + 3), ms(START + 2), listing(SECOND, 9, &[]));
    assert!(!slots.advertised_backend().takes_work);
    let bounds = Bounds::default();
    let over = (bounds.longest_lease - bounds.lease).as_millis() as u64;
    slots.listing_received(
        ms(START + over),
        ms(START + over),
        listing(SECOND, over, &[]),
    );
    assert!(!slots.advertised_backend().takes_work, "clocks may be slow");
    let over = START + over + 100;
    slots.listing_received(ms(over), ms(over), listing(SECOND, over, &[]));
    assert!(slots.advertised_backend().takes_work);
}
