//! Tests a backend server that restarts under its previous id: it knows nothing, and its counters and its clock
//! begin anew. The tests show what its agent accepts from it and which runs the agent gives up.

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
/// The start times of the three incarnations of the backend server, in milliseconds. The second one began after
/// the first but has an earlier time, because the machine's time of day was set back in between.
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
    check.expect("an unknown incarnation is checked")
}

/// Returns an agent that knows the first incarnation, whose newest heartbeat has number 20 and whose clock is
/// at [`START`].
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    let check = announce(&mut slots, START, heartbeat(FIRST, 20, true));
    let answer = CheckResult::Answered(listing(FIRST, START, &[]));
    assert!(slots.check_answered(ms(START), ms(START), &check, answer));
    slots.entry_connected(ms(START), &name());
    slots.message_received(ms(START), &name(), START);
    slots
}

/// Orders a start that isn't answered yet.
fn order(slots: &mut Slots, at: u64, run: &Run) {
    slots.start_requested(ms(at), &name(), true, besteffort::start(run.clone(), at));
    let orders = slots.take_orders();
    assert!(matches!(&orders[..], [Order::Start { run: begun, .. }] if begun == run));
}

/// Announces the second incarnation and answers the check of it, without any run.
fn adopt_second_incarnation(slots: &mut Slots, at: u64, takes_work: bool) {
    let check = announce(slots, at, heartbeat(SECOND, 1, takes_work));
    let answer = CheckResult::Answered(listing(SECOND, 7, &[]));
    assert!(slots.check_answered(ms(at), ms(at), &check, answer));
}

fn ends(slots: &mut Slots, at: u64) -> Vec<(Run, RunOutcome)> {
    besteffort::ends(slots, &name(), ms(at))
}

/// Guards against work on a backend server that has announced that it leaves. It had restarted under its id,
/// and its newly numbered heartbeats were acknowledged but ignored as late ones of the incarnation before.
#[test]
fn heartbeats_are_numbered_within_an_incarnation() {
    let mut slots = open();
    adopt_second_incarnation(&mut slots, START + 1, true);
    slots.listing_received(ms(START + 3), ms(START + 2), listing(SECOND, 8, &[]));
    assert!(slots.advertised_backend().takes_work);
    assert_eq!(
        slots.heartbeat_received(ms(START + 4), heartbeat(SECOND, 2, false)),
        None
    );
    assert!(!slots.advertised_backend().takes_work, "it leaves");
    // Late heartbeats of this incarnation and of the one before.
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

/// Guards against a healthy backend server without work: the incarnation before had announced that it leaves,
/// and that announcement arrives again after the next incarnation has announced itself.
#[test]
fn the_leave_of_the_incarnation_before_isn_t_that_of_the_next() {
    let mut slots = open();
    adopt_second_incarnation(&mut slots, START + 1, true);
    slots.listing_received(ms(START + 3), ms(START + 2), listing(SECOND, 8, &[]));
    slots.heartbeat_received(ms(START + 4), heartbeat(FIRST, 22, false));
    let first = ServerIncarnation {
        born_ms: Some(FIRST),
        ..slots.server_incarnation().clone()
    };
    slots.server_left(ms(START + 5), &first);
    assert!(slots.advertised_backend().takes_work);
    // A leave without a start time may come from either; the next heartbeat of the current incarnation corrects
    // it.
    slots.server_left(ms(START + 6), &ServerIncarnation::with_id("server"));
    assert!(!slots.advertised_backend().takes_work);
    slots.heartbeat_received(ms(START + 7), heartbeat(SECOND, 2, true));
    assert!(slots.advertised_backend().takes_work);
}

/// Guards against a healthy backend server that never gets work: its clock restarted below that of the
/// incarnation before, so that all of its listings were ignored as overtaken.
#[test]
fn a_listing_shows_the_next_incarnation_before_its_heartbeat() {
    let mut slots = open();
    slots.listing_received(ms(START + 2), ms(START + 1), listing(SECOND, 7, &[]));
    assert_eq!(slots.server_incarnation().born_ms, Some(SECOND));
    assert!(
        !slots.advertised_backend().takes_work,
        "its state isn't known yet"
    );
    slots.listing_received(ms(START + 4), ms(START + 3), listing(SECOND, 9, &[]));
    assert_eq!(
        slots.heartbeat_received(ms(START + 5), heartbeat(SECOND, 1, true)),
        None
    );
    assert!(slots.advertised_backend().takes_work);
}

/// Guards against work on an incarnation that leaves. It announced this in a heartbeat, the check of it had no
/// answer, and then an older heartbeat, in which it takes work, arrived late.
#[test]
fn an_incarnation_whose_check_had_no_answer_is_remembered_as_leaving() {
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

/// Guards against work on an incarnation that leaves, after two crashes in a row: a listing shows the
/// incarnation in between while the one after it is still being checked.
#[test]
fn the_leave_of_the_incarnation_after_next_is_remembered() {
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

/// Guards against two runs of one task. A start was under way when the backend server crashed, and the next
/// incarnation under the same id accepted it. If the run was given up with the incarnation before, its task
/// started elsewhere.
#[test]
fn a_start_that_the_next_incarnation_accepted_isn_t_given_up() {
    let mut slots = open();
    let (taken, lost) = (run("taken", 0, 1), run("lost", 0, 2));
    order(&mut slots, START, &taken);
    order(&mut slots, START, &lost);
    adopt_second_incarnation(&mut slots, START + 1, true);
    assert_eq!(ends(&mut slots, START + 1), [], "not decided yet");
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

/// Guards against two runs of one task, if an order is carried out after the first call to the next
/// incarnation. What was decided for the incarnation before has a smaller fence than that call.
#[test]
fn the_fence_rises_with_each_incarnation() {
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
    adopt_second_incarnation(&mut slots, START + 1, true);
    assert!(slots.recipient().fence > before.fence);
}

/// Guards against a run that continues for a second after its agent has died, beside its successor elsewhere: a
/// renewal for the incarnation before reached the next one and gave it the longest possible lease. Nothing
/// starts until that lease ends no later than a new lease would.
#[test]
fn nothing_starts_under_the_lease_of_the_incarnation_before() {
    let mut slots = open();
    slots.renew_lease(ms(START)).expect("its clock is known");
    adopt_second_incarnation(&mut slots, START + 1, true);
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
