//! Tests the agent's decisions on runs: starts, stops and ends when messages are lost, and the lease that
//! covers the runs.

mod support;

use std::time::Duration;

use lovagemill::decide::besteffort::lease::{self, Bounds};
use lovagemill::decide::besteffort::message::{
    EntryIncarnation, EntryMessage, Room, Run, RunOutcome, ServerIncarnation, Start,
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

/// Returns a start that needs half of the backend server.
fn start(run: Run, at: u64) -> Start {
    Start {
        need: Room {
            cpu: 2_000,
            ..besteffort::NEED
        },
        deadline_ms: at + 5_000,
        max_wait_ms: 40,
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

/// Announces an incarnation, and answers the check of it.
fn adopt_incarnation(slots: &mut Slots, at: u64, id: &str) {
    let check = slots.heartbeat_received(ms(at), heartbeat(id));
    let check = check.expect("a new incarnation is checked");
    let answer = CheckResult::Answered(listing(at, &[]));
    assert!(slots.check_answered(ms(at), ms(at), &check, answer));
}

/// Returns an agent with a known backend server and one connected entry.
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    adopt_incarnation(&mut slots, START, "life");
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

/// Guards against two runs of one task. A new backend server has no lease yet. If the time bounds were checked
/// between the decision on a start and the sending of its order, the agent gave the run up for lack of a lease,
/// and its task started elsewhere while the order was carried out.
#[test]
fn a_start_under_way_is_covered_by_the_lease() {
    let mut slots = open();
    slots.message_received(ms(START), &entry(1), START);
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    slots.tick(ms(START + 1));
    assert_eq!(ends(&mut slots, START + 1), []);
    assert!(slots.is_working());
}

/// Guards against two runs of one task. When the entry is silent and the stops of its run go unanswered, the
/// agent kept renewing the lease for other runs, and thereby for the run that the entry counts as ended.
#[test]
fn the_lease_isn_t_renewed_while_the_stops_of_a_run_go_unanswered() {
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
        "the run was stopped"
    );
}

/// Guards against two runs of one task. An agent is paused while its entry gives it up, resumes before the
/// lease has run out, renews the lease at once, and dies while its stop is under way: the run continued for
/// another whole lease, beyond the time at which the entry starts its task elsewhere.
#[test]
fn a_resumed_agent_doesn_t_renew_the_lease_of_runs_that_must_end() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    slots.listing_received(
        ms(START + 100),
        ms(START + 100),
        listing(START + 100, &[run(0, 1)]),
    );
    let silence = Bounds::default().silence.as_millis() as u64;
    let resumed_at = START + silence + lease::DELAY_MARGIN.as_millis() as u64 + 1;
    assert_eq!(slots.renew_lease(ms(resumed_at)), None);
}

/// Guards against a lost stop. It is sent again soon, since an order may be carried out seconds late.
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

/// Guards against stops that are sent to the backend server twice because the entry repeats them, and against reports of a
/// run that is being stopped, which make the entry do so.
#[test]
fn a_run_that_is_being_stopped_is_neither_reported_nor_stopped_again_at_once() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    let reported = |slots: &mut Slots| slots.next_message(&entry(1), ms(START + 5)).progress.len();
    assert_eq!(reported(&mut slots), 1);
    assert!(slots.withdraw(ms(START + 10), &entry(1), &run(0, 1)));
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    assert!(slots.withdraw(ms(START + 12), &entry(1), &run(0, 1)));
    assert_eq!(slots.take_orders(), []);
    assert_eq!(reported(&mut slots), 0);
}

/// Guards against a task that is reported as not run but runs: its start had no answer and is carried out
/// seconds later. The run counts as present until a stop is answered and a later listing doesn't contain it.
#[test]
fn a_start_without_an_answer_is_stopped_before_its_run_is_given_up() {
    let mut slots = open();
    slots.message_received(ms(START), &entry(1), START);
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    slots.take_orders();
    slots.start_answered(ms(START + 150), &run(0, 1), StartAnswer::Unknown);
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    slots.listing_received(ms(START + 160), ms(START + 155), listing(START + 160, &[]));
    assert_eq!(ends(&mut slots, START + 160), [], "not stopped yet");
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

/// Guards against a run that must end and continues: it was withdrawn while its start was under way, and a listing
/// confirms the start before its answer does.
#[test]
fn a_withdrawn_run_is_stopped_once_it_is_listed() {
    let mut slots = open();
    slots.message_received(ms(START), &entry(1), START);
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    slots.take_orders();
    slots.withdraw(ms(START + 5), &entry(1), &run(0, 1));
    assert_eq!(slots.take_orders(), [], "its stop would overtake its start");
    let running = listing(START + 10, &[run(0, 1)]);
    slots.listing_received(ms(START + 10), ms(START + 8), running);
    assert_eq!(slots.take_orders(), [stop(run(0, 1))]);
    slots.start_answered(ms(START + 50), &run(0, 1), StartAnswer::Unknown);
    assert_eq!(slots.take_orders(), []);
}

/// Guards against a run that goes on without its entry: its start and its stop came in one message, and the stop was
/// carried out first.
#[test]
fn a_start_that_its_own_message_stops_never_begins() {
    let mut slots = open();
    let message = EntryMessage {
        seen_ms: START,
        starts: (0..3)
            .map(|task| start(run(task, u64::from(task) + 1), START))
            .collect(),
        stops: vec![run(0, 1), run(1, 2)],
        ..EntryMessage::default()
    };
    slots.handle_message(ms(START), &entry(1), message);
    let orders = slots.take_orders();
    assert!(
        matches!(&orders[..], [Order::Start { run: begun, .. }] if *begun == run(2, 3)),
        "{orders:?}"
    );
    let not_run = [
        (run(0, 1), RunOutcome::NotRun),
        (run(1, 2), RunOutcome::NotRun),
    ];
    assert_eq!(ends(&mut slots, START), not_run);
    assert_eq!(slots.counts.stops_unmatched, 0);
}

/// Guards against two runs of one task: an agent stands still while starts wait there for room, their entry starts the tasks
/// elsewhere, and a listing that is read first after the standstill shows room for them.
#[test]
fn a_start_that_waited_through_a_standstill_never_begins() {
    let silence = Bounds::default().silence.as_millis() as u64;
    for (woken, entry_is_back) in [(silence, false), (1_300, false), (1_300, true)] {
        let mut slots = open();
        begin(&mut slots, START, run(0, 1));
        begin(&mut slots, START, run(1, 2));
        slots.start_requested(ms(START), &entry(1), true, start(run(2, 3), START));
        let woken = START + woken;
        if entry_is_back {
            let hello = slots.entry_connected(ms(woken), &entry(1));
            assert!(!hello.runs.contains(&run(2, 3)), "{hello:?}");
        }
        slots.listing_received(ms(woken), ms(woken), listing(woken, &[run(1, 2)]));
        assert_eq!(slots.take_orders(), [], "after {} ms", woken - START);
        let ends = ends(&mut slots, woken);
        assert!(
            entry_is_back || ends.contains(&(run(2, 3), RunOutcome::NotRun)),
            "{ends:?}"
        );
    }
}

/// Guards against a run that begins after its caller has stopped waiting, since room became free before the time bounds
/// were checked.
#[test]
fn a_start_never_begins_after_its_deadline() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    begin(&mut slots, START, run(1, 2));
    let deadline = START + 100;
    let late = Start {
        deadline_ms: deadline,
        ..start(run(2, 3), START)
    };
    slots.start_requested(ms(START), &entry(1), true, late);
    let nearly = listing(deadline, &[run(1, 2)]);
    slots.listing_received(ms(deadline), ms(deadline), nearly);
    assert_eq!(slots.take_orders(), []);
    let ends = ends(&mut slots, deadline);
    assert!(ends.contains(&(run(2, 3), RunOutcome::NotRun)), "{ends:?}");
}

/// Guards against starts on a full backend server: one that checks its room refuses them, another one is
/// overloaded. Room is freed only when an end is listed, also that of a stopped run.
#[test]
fn room_is_freed_by_the_listed_end() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    begin(&mut slots, START, run(1, 2));
    slots.start_requested(ms(START), &entry(1), true, start(run(2, 3), START));
    assert_eq!(slots.take_orders(), [], "no room");
    slots.withdraw(ms(START + 5), &entry(1), &run(0, 1));
    slots.take_orders();
    slots.stop_answered(ms(START + 6), &run(0, 1));
    assert_eq!(slots.take_orders(), [], "a stopped run hasn't ended");
    let mut ended = listing(START + 8, &[run(1, 2)]);
    ended.ended.push((run(0, 1), RunOutcome::Gone));
    slots.listing_received(ms(START + 8), ms(START + 7), ended);
    assert!(
        matches!(&slots.take_orders()[..], [Order::Start { run: begun, .. }] if *begun == run(2, 3))
    );
}

/// Guards against new work on a backend server that has announced that it leaves. From then on nothing is
/// started, and waiting starts are returned to their entry at once.
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
    let returned = [
        (run(2, 3), RunOutcome::NotRun),
        (run(3, 4), RunOutcome::NotRun),
    ];
    assert_eq!(ends(&mut slots, START + 6), returned);
    assert!(slots.is_working(), "sent runs continue");
}

/// Guards against a late heartbeat that makes a dead incarnation of the backend server the current one.
#[test]
fn a_late_heartbeat_of_a_dead_incarnation_is_ignored() {
    let mut slots = open();
    adopt_incarnation(&mut slots, START + 1, "next");
    assert_eq!(
        slots.heartbeat_received(ms(START + 2), heartbeat("life")),
        None
    );
    assert_eq!(slots.server_incarnation().id, "next");
}

/// Guards against two runs of one task, and a healthy backend server that never gets work again. The backend
/// server crashed twice in a row, and a heartbeat of the incarnation in between, which the agent doesn't know,
/// arrives late. An agent that applied it without a check gave up its runs, whose tasks started elsewhere, and
/// treated the live incarnation as dead.
#[test]
fn an_incarnation_is_accepted_only_after_it_has_answered() {
    let mut slots = open();
    begin(&mut slots, START, run(0, 1));
    for (at, result) in [
        (1, CheckResult::NoAnswer),
        (2, CheckResult::AnotherIncarnation),
    ] {
        let at = ms(START + at);
        let check = slots
            .heartbeat_received(at, heartbeat("middle"))
            .expect("an unknown incarnation is checked");
        assert!(!slots.check_answered(at, at, &check, result));
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

/// Guards against two runs of one task. An order is decided before the backend server's next incarnation is
/// known, and sent afterwards. If that incarnation carried it out, the run that was given up with the crashed
/// one would begin beside its successor elsewhere.
#[test]
fn an_order_names_the_incarnation_it_was_decided_for() {
    let mut slots = open();
    slots.start_requested(ms(START), &entry(1), true, start(run(0, 1), START));
    adopt_incarnation(&mut slots, START + 1, "next");
    let orders = slots.take_orders();
    assert!(matches!(&orders[..], [Order::Start { to, .. }] if to.incarnation.id == "life"));
    assert_eq!(ends(&mut slots, START + 1), [(run(0, 1), RunOutcome::Gone)]);
}

/// Guards against a run that continues for ten seconds after its agent froze, beside its successor elsewhere.
/// An agent that had just started listed the incarnation that was up; that one crashed, and the next lease,
/// requested on the dead incarnation's clock, was granted by an incarnation whose clock is far behind.
#[test]
fn no_lease_is_requested_before_an_incarnation_is_known() {
    let mut slots = Slots::open(Bounds::default());
    slots.listing_received(ms(START), ms(START), listing(START, &[]));
    assert_eq!(slots.renew_lease(ms(START + 1)), None);
    adopt_incarnation(&mut slots, START + 2, "life");
    assert!(slots.renew_lease(ms(START + 3)).is_some());
}

/// Guards against a false warning that the agent stops a run that nobody asked for, about a run whose job is
/// complete. Of two listings under way at a time, the later one contained the run's end; the earlier one, which
/// still listed the run, arrived after it.
#[test]
fn an_overtaken_listing_is_ignored() {
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
    assert_eq!(
        slots.take_orders(),
        [stop(run(0, 1))],
        "the run does continue"
    );
}

/// Guards against new work on a backend server that has left. It left while the agent, which had just started,
/// was checking whether that incarnation is up, and the agent then applied its earlier heartbeat, in which it
/// was ready.
#[test]
fn an_incarnation_that_leaves_while_it_is_checked_gets_no_work() {
    let mut slots = Slots::open(Bounds::default());
    let at = ms(START);
    let check = slots
        .heartbeat_received(at, heartbeat("life"))
        .expect("an unknown incarnation is checked");
    slots.server_left(at, &ServerIncarnation::with_id("life"));
    let answer = CheckResult::Answered(listing(START, &[]));
    slots.check_answered(at, at, &check, answer);
    assert!(!slots.advertised_backend().takes_work);
}

/// Guards against a dead incarnation that becomes the current one: the answer to its check arrives after it has
/// died and the next one was accepted.
#[test]
fn a_late_answer_to_a_check_is_ignored() {
    let mut slots = open();
    let at = ms(START + 1);
    let late = slots
        .heartbeat_received(at, heartbeat("middle"))
        .expect("an unknown incarnation is checked");
    assert_eq!(
        slots.heartbeat_received(at, heartbeat("middle")),
        None,
        "one check at a time"
    );
    adopt_incarnation(&mut slots, START + 2, "next");
    let next_check = slots.heartbeat_received(ms(START + 3), heartbeat("middle"));
    assert_ne!(
        next_check
            .expect("an unknown incarnation is checked")
            .number,
        late.number
    );
    let answer = || CheckResult::Answered(listing(START + 4, &[]));
    assert!(!slots.check_answered(ms(START + 4), at, &late, answer()));
    assert_eq!(slots.server_incarnation().id, "next");
}

/// Guards against runs that continue after their caller's deadline: the agent stops a run at its deadline on
/// its own clock, even if the entry is up.
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

/// The bounds must let every run end before a resubmission: the silence, then the lease of an agent that died
/// in the meantime, on a slow clock, and the time of a stop.
#[test]
fn all_bounds_together_are_shorter_than_a_resubmission() {
    assert!(Bounds::default().runs_end_within() < lease::RESUBMIT_AFTER);
}

/// Guards against a live worker that gets no work for 1.5 s. While its incarnation is checked, another process
/// sends a heartbeat of an incarnation that isn't up, and only the newest check was kept.
#[test]
fn a_heartbeat_from_another_process_doesn_t_displace_the_live_incarnation() {
    let mut slots = Slots::open(Bounds::default());
    let live = slots
        .heartbeat_received(ms(START), heartbeat("living"))
        .expect("an unknown incarnation is checked");
    let other = slots
        .heartbeat_received(ms(START), heartbeat("nobody"))
        .expect("an unknown incarnation is checked");
    assert!(!slots.check_answered(
        ms(START),
        ms(START),
        &other,
        CheckResult::AnotherIncarnation
    ));
    let answer = CheckResult::Answered(listing(START, &[]));
    assert!(slots.check_answered(ms(START), ms(START), &live, answer));
    assert_eq!(slots.server_incarnation().id, "living");
    assert!(slots.advertised_backend().takes_work);
}

/// Guards against a heartbeat from another process that names another service for the current incarnation: the
/// backend server would never get work again, since nobody asks for that service.
#[test]
fn an_incarnation_keeps_its_service() {
    let mut slots = open();
    let mut other = heartbeat("life");
    other.backend.service = "nobody's".into();
    assert!(slots.heartbeat_received(ms(START + 1), other).is_none());
    assert_eq!(slots.announced_backend(), &backend("life"));
}

/// Guards against two runs of one task because a caller resubmits its job before its runs are certain to have
/// ended. A program refuses to start if its settings say that callers resubmit so early, or that the longest
/// lease of backend servers is shorter than the agent's leases.
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
