//! Evacuated failure domains: which word holds, who is told, and what an agent does meanwhile.

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

/// All domains that are evacuated.
fn whole(version: u64, names: &[&str]) -> StoreReading {
    StoreReading {
        version,
        is_complete: true,
        domains: names.iter().map(|name| ((*name).into(), true)).collect(),
    }
}

/// One domain that was evacuated or taken back.
fn change(version: u64, name: &str, evacuated: bool) -> StoreReading {
    StoreReading {
        version,
        is_complete: false,
        domains: vec![(name.into(), evacuated)],
    }
}

fn word(version: u64, evacuated: bool) -> DomainState {
    DomainState { version, evacuated }
}

/// An agent with a living backend server and two entries that it hears.
fn open() -> Slots {
    let mut slots = Slots::open(Bounds::default());
    let check = slots.heartbeat_received(ms(START), heartbeat("life"));
    let check = check.expect("a new life is checked");
    let there = CheckResult::Answered(listed(Vec::new(), Vec::new()));
    assert!(slots.check_answered(ms(START), ms(START), &check, there));
    for name in ["informed", "cut-off"] {
        slots.entry_connected(ms(START), &entry(name));
        slots.message_received(ms(START), &entry(name), START);
    }
    slots
}

fn begun(slots: &mut Slots) -> Vec<Run> {
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

/// An entry sends a start.
fn send(slots: &mut Slots, name: &str, run: Run) {
    slots.start_requested(ms(START), &entry(name), true, start(run, START));
}

/// A task starts in a failure domain whose power is about to be cut. The operator has evacuated it, but
/// one entry is cut off from the store and doesn't know; it goes on sending work there. The agent heard of
/// it from another entry and must refuse.
#[test]
fn an_entry_that_does_not_know_starts_nothing_in_an_evacuated_domain() {
    let mut slots = open();
    assert!(slots.update_evacuation(ms(START), word(50, true)));
    assert!(!slots.advertised_backend().takes_work, "entries are told");
    send(&mut slots, "cut-off", run("a", 0, 1));
    assert_eq!(begun(&mut slots), []);
    assert_eq!(
        ends(&mut slots, "cut-off"),
        [(run("a", 0, 1), RunOutcome::NotRun)]
    );
    // The old word of the entry that knows nothing newer changes nothing.
    assert!(!slots.update_evacuation(ms(START), word(40, false)));
    send(&mut slots, "cut-off", run("a", 0, 2));
    assert_eq!(begun(&mut slots), []);
}

/// A consent check is cut off in the middle because its failure domain is evacuated: what runs goes on to
/// its end, what waits for room goes back at once and runs elsewhere, and taken back the agent serves again.
#[test]
fn what_runs_goes_on_and_what_waits_goes_back() {
    let mut slots = open();
    // Four fit beside each other; the fifth waits.
    for task in 0..5 {
        send(&mut slots, "informed", run("a", task, 1));
    }
    assert_eq!(begun(&mut slots).len(), 4);
    for task in 0..4 {
        slots.start_answered(ms(START), &run("a", task, 1), StartAnswer::Accepted);
    }
    slots.update_evacuation(ms(START), word(50, true));
    assert_eq!(
        ends(&mut slots, "informed"),
        [(run("a", 4, 1), RunOutcome::NotRun)]
    );
    assert!(
        slots.take_orders().is_empty(),
        "nothing that runs is stopped"
    );
    let done = (0..4)
        .map(|task| (run("a", task, 1), RunOutcome::Done))
        .collect();
    slots.listing_received(ms(START + 50), ms(START + 40), listed(Vec::new(), done));
    assert_eq!(ends(&mut slots, "informed").len(), 4);
    assert!(slots.update_evacuation(ms(START + 60), word(70, false)));
    assert!(slots.advertised_backend().takes_work);
    let next = start(run("b", 0, 1), START);
    slots.start_requested(ms(START + 60), &entry("informed"), true, next);
    assert_eq!(begun(&mut slots), [run("b", 0, 1)]);
}

/// The newest version holds, whoever says it and in whatever order the words arrive.
#[test]
fn the_newest_word_holds() {
    let cases = [
        (vec![word(10, true)], true),
        (vec![word(10, true), word(20, false)], false),
        (vec![word(20, false), word(10, true)], false),
        (vec![word(10, false), word(20, true), word(15, false)], true),
        (vec![word(10, true), word(10, true)], true),
    ];
    for (words, expected) in cases {
        let mut held = DomainState::default();
        for word in &words {
            held.update(*word);
        }
        assert_eq!(held.evacuated, expected, "{words:?}");
    }
}

/// An entry reads the store: it has nothing to tell before, and a reading that was overtaken by a newer
/// one changes nothing.
#[test]
fn what_an_entry_has_read() {
    let mut known = Evacuations::default();
    assert_eq!(known.domain_state("a"), None, "nothing was read yet");
    assert!(!known.update(&whole(5, &[])));
    assert_eq!(known.domain_state("a"), Some(word(5, false)));
    assert!(known.update(&whole(7, &["a"])));
    assert!(!known.update(&whole(8, &["a"])), "no news");
    assert!(!known.update(&whole(6, &[])), "overtaken");
    assert_eq!(known.domain_state("a"), Some(word(8, true)));
    assert_eq!(known.domain_state("b"), Some(word(8, false)));
    assert!(known.update(&whole(9, &["b"])));
    assert_eq!(known.domain_state("a"), Some(word(9, false)));
    assert!(known.update(&change(10, "a", true)), "beside the other");
    assert_eq!(known.domain_state("b"), Some(word(10, true)));
    assert!(known.update(&change(11, "b", false)));
    assert!(!known.update(&change(10, "b", true)), "overtaken");
    assert_eq!(known.domain_state("a"), Some(word(11, true)));
    assert_eq!(known.domain_state("b"), Some(word(11, false)));
}

/// A failure domain stays without work for good. It was evacuated and taken back between two looks of one
/// entry; another entry saw only the beginning, told the agent and was cut off from the store. The first one
/// had no change to tell of. So it repeats what it knows every two seconds.
#[test]
fn an_agent_is_told_at_once_on_a_change_and_again_after_a_while() {
    let mut told = LastSent::default();
    assert_eq!(told.due(ms(0), None), None);
    assert_eq!(told.due(ms(1), Some(word(5, false))), Some(word(5, false)));
    assert_eq!(told.due(ms(900), Some(word(6, false))), None);
    assert_eq!(told.due(ms(950), Some(word(7, true))), Some(word(7, true)));
    assert_eq!(
        told.due(ms(1_000), Some(word(8, false))),
        Some(word(8, false))
    );
    assert_eq!(told.due(ms(2_900), Some(word(9, false))), None);
    assert_eq!(
        told.due(ms(3_000), Some(word(9, false))),
        Some(word(9, false))
    );
}
