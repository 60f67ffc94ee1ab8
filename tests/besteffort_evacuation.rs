//! Evacuated failure domains: which announcement an agent believes, when an entry repeats its announcement,
//! and what an agent does while its domain is evacuated.

mod support;

use std::time::Duration;

use lovagemill::decide::besteffort::evacuation::{
    DomainState, Evacuations, LastSent, StoreReading,
};
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{Run, RunOutcome};
use lovagemill::decide::besteffort::slots::{CheckResult, Order, Slots, StartAnswer};

use support::besteffort::{self, entry, heartbeat, listed, run, start};

const START: u64 = 10_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

/// Returns a reading of all domains that are evacuated.
fn all_evacuated(version: u64, names: &[&str]) -> StoreReading {
    StoreReading {
        version,
        is_complete: true,
        domains: names.iter().map(|name| ((*name).into(), true)).collect(),
    }
}

/// Returns a reading of one domain that was evacuated or taken back.
fn change(version: u64, name: &str, evacuated: bool) -> StoreReading {
    StoreReading {
        version,
        is_complete: false,
        domains: vec![(name.into(), evacuated)],
    }
}

fn state(version: u64, evacuated: bool) -> DomainState {
    DomainState { version, evacuated }
}

/// Opens an agent with a running backend server and links to two entries.
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    let check = slots.heartbeat_received(ms(START), heartbeat("life"));
    let check = check.expect("a new incarnation is checked");
    let answered = CheckResult::Answered(listed(Vec::new(), Vec::new()));
    assert!(slots.check_answered(ms(START), ms(START), &check, answered));
    for name in ["informed", "cut-off"] {
        slots.entry_connected(ms(START), &entry(name));
        slots.message_received(ms(START), &entry(name), START);
    }
    slots
}

fn started_runs(slots: &mut Slots) -> Vec<Run> {
    let orders = slots.take_orders().into_iter();
    let starts = orders.filter_map(|order| match order {
        Order::Start { run, .. } => Some(run),
        Order::Stop { .. } => None,
    });
    starts.collect()
}

fn ends(slots: &mut Slots, name: &str) -> Vec<(Run, RunOutcome)> {
    besteffort::ends(slots, &entry(name), ms(START))
}

/// Delivers a start of an entry to the agent.
fn send(slots: &mut Slots, name: &str, run: Run) {
    slots.start_requested(ms(START), &entry(name), true, start(run, START));
}

/// Guards against a task that starts in a failure domain whose power is about to be cut. The operator has
/// evacuated the domain, but one entry is cut off from the store, doesn't know of the evacuation, and goes on
/// sending work there. The agent knows of it from another entry and must refuse the start.
#[test]
fn an_entry_that_does_not_know_starts_nothing_in_an_evacuated_domain() {
    let mut slots = open();
    assert!(slots.update_evacuation(ms(START), state(50, true)));
    assert!(!slots.advertised_backend().takes_work, "entries are told");
    send(&mut slots, "cut-off", run("a", 0, 1));
    assert_eq!(started_runs(&mut slots), []);
    assert_eq!(
        ends(&mut slots, "cut-off"),
        [(run("a", 0, 1), RunOutcome::NotRun)]
    );
    // The entry that is cut off announces an older version, which changes nothing.
    assert!(!slots.update_evacuation(ms(START), state(40, false)));
    send(&mut slots, "cut-off", run("a", 0, 2));
    assert_eq!(started_runs(&mut slots), []);
}

/// Guards against runs that are stopped because their failure domain is evacuated. They continue to their
/// end, the agent returns starts that wait for room at once so that they run elsewhere, and once the domain
/// is taken back into service the agent accepts work again.
#[test]
fn an_evacuated_agent_keeps_its_runs_and_returns_waiting_starts() {
    let mut slots = open();
    // Four fit beside each other; the fifth waits.
    for task in 0..5 {
        send(&mut slots, "informed", run("a", task, 1));
    }
    assert_eq!(started_runs(&mut slots).len(), 4);
    for task in 0..4 {
        slots.start_answered(ms(START), &run("a", task, 1), StartAnswer::Accepted);
    }
    slots.update_evacuation(ms(START), state(50, true));
    assert_eq!(
        ends(&mut slots, "informed"),
        [(run("a", 4, 1), RunOutcome::NotRun)]
    );
    assert!(slots.take_orders().is_empty(), "no run is stopped");
    let done = (0..4)
        .map(|task| (run("a", task, 1), RunOutcome::Done))
        .collect();
    slots.listing_received(ms(START + 50), ms(START + 40), listed(Vec::new(), done));
    assert_eq!(ends(&mut slots, "informed").len(), 4);
    assert!(slots.update_evacuation(ms(START + 60), state(70, false)));
    assert!(slots.advertised_backend().takes_work);
    let next = start(run("b", 0, 1), START);
    slots.start_requested(ms(START + 60), &entry("informed"), true, next);
    assert_eq!(started_runs(&mut slots), [run("b", 0, 1)]);
}

/// Guards against an old announcement that overrides a newer one: an agent believes the newest version,
/// whichever entry sends it and in whatever order they arrive.
#[test]
fn an_agent_believes_the_newest_announcement() {
    let cases = [
        (vec![state(10, true)], true),
        (vec![state(10, true), state(20, false)], false),
        (vec![state(20, false), state(10, true)], false),
        (
            vec![state(10, false), state(20, true), state(15, false)],
            true,
        ),
        (vec![state(10, true), state(10, true)], true),
    ];
    for (states, expected) in cases {
        let mut known = DomainState::default();
        for state in &states {
            known.update(*state);
        }
        assert_eq!(known.evacuated, expected, "{states:?}");
    }
}

/// Guards against an entry that announces a state before it has read the store, and against one that applies
/// a reading after a newer one.
#[test]
fn an_entry_announces_what_it_has_read() {
    let mut known = Evacuations::default();
    assert_eq!(known.domain_state("a"), None, "nothing was read yet");
    assert!(!known.update(&all_evacuated(5, &[])));
    assert_eq!(known.domain_state("a"), Some(state(5, false)));
    assert!(known.update(&all_evacuated(7, &["a"])));
    assert!(!known.update(&all_evacuated(8, &["a"])), "unchanged");
    assert!(!known.update(&all_evacuated(6, &[])), "older");
    assert_eq!(known.domain_state("a"), Some(state(8, true)));
    assert_eq!(known.domain_state("b"), Some(state(8, false)));
    assert!(known.update(&all_evacuated(9, &["b"])));
    assert_eq!(known.domain_state("a"), Some(state(9, false)));
    assert!(known.update(&change(10, "a", true)), "b stays evacuated");
    assert_eq!(known.domain_state("b"), Some(state(10, true)));
    assert!(known.update(&change(11, "b", false)));
    assert!(!known.update(&change(10, "b", true)), "older");
    assert_eq!(known.domain_state("a"), Some(state(11, true)));
    assert_eq!(known.domain_state("b"), Some(state(11, false)));
}

/// Guards against a failure domain that never gets work again. It was evacuated and taken back between two
/// readings of one entry; another entry read only the evacuation, told the agent and was then cut off from
/// the store. The first entry saw no change to announce. So an entry repeats what it knows every two seconds.
#[test]
fn an_evacuation_is_announced_on_each_change_and_every_two_seconds() {
    let mut last_sent = LastSent::default();
    assert_eq!(last_sent.due(ms(0), None), None);
    assert_eq!(
        last_sent.due(ms(1), Some(state(5, false))),
        Some(state(5, false))
    );
    assert_eq!(last_sent.due(ms(900), Some(state(6, false))), None);
    assert_eq!(
        last_sent.due(ms(950), Some(state(7, true))),
        Some(state(7, true))
    );
    assert_eq!(
        last_sent.due(ms(1_000), Some(state(8, false))),
        Some(state(8, false))
    );
    assert_eq!(last_sent.due(ms(2_900), Some(state(9, false))), None);
    assert_eq!(
        last_sent.due(ms(3_000), Some(state(9, false))),
        Some(state(9, false))
    );
}
