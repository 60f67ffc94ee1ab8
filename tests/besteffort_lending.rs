//! Who may claim the room that comes free: agents lend it to one entry, entries ask a few agents.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use lovagemill::decide::besteffort::asking::RoomRequests;
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{Room, Run, RunOutcome, WaitingWork};
use lovagemill::decide::besteffort::slots::{CheckResult, Listing, Slots, StartAnswer};

use support::besteffort::{self, entry, heartbeat, listed, NEED};

const START: u64 = 10_000;

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn wants(priority: u32, urgency_ms: u64, tasks: u32) -> Option<WaitingWork> {
    Some(WaitingWork {
        priority,
        urgency_ms,
        need: NEED,
        tasks,
    })
}

/// An agent whose four places are taken by the first entry, and the entries that have connected.
fn full(entries: &[&str]) -> Slots {
    let mut slots = Slots::open(Bounds::default());
    let check = slots.heartbeat_received(ms(START), heartbeat("life"));
    let there = CheckResult::Answered(listed_at(START, Vec::new()));
    assert!(slots.check_answered(ms(START), ms(START), &check.expect("a new life"), there));
    for name in entries {
        slots.entry_connected(ms(START), &entry(name));
        slots.message_received(ms(START), &entry(name), START);
    }
    for number in 1..=4 {
        let run = besteffort::run("full", number as u32, number);
        let start = besteffort::start(run.clone(), START);
        slots.start_requested(ms(START), &entry(entries[0]), true, start);
        slots.start_answered(ms(START), &run, StartAnswer::Accepted);
    }
    slots
}

fn listed_at(at: u64, ended: Vec<(Run, RunOutcome)>) -> Listing {
    let running = (1..=4).map(|n| (besteffort::run("full", n as u32, n), 10));
    let running = running.filter(|(run, _)| !ended.iter().any(|(end, _)| end == run));
    Listing {
        clock_ms: at,
        ..listed(running.collect(), ended)
    }
}

/// One task of the first entry ends.
fn one_ends(slots: &mut Slots, at: u64) {
    let ended = vec![(besteffort::run("full", 1, 1), RunOutcome::Done)];
    slots.listing_received(ms(at), ms(at), listed_at(at, ended));
}

/// Callers' jobs take five starts a task in a burst, and thin entries stand still under the lines. A
/// place comes free while three entries have work waiting; all hear of it, all send a start, and two
/// of three come back. Only the entry with the most urgent work may hear of it.
#[test]
fn a_place_that_comes_free_is_told_to_one_entry() {
    let mut slots = full(&["a", "b", "c"]);
    for (name, wants) in [
        ("a", wants(1, 5, 2)),
        ("b", wants(0, 9, 2)),
        ("c", wants(0, 8, 2)),
    ] {
        slots.update_waiting_work(ms(START + 1), &entry(name), START, wants);
    }
    one_ends(&mut slots, START + 10);
    let told = ["a", "b", "c"].map(|name| {
        let line = slots.next_message(&entry(name), ms(START + 10));
        (line.lent, line.free)
    });
    let none = Room::default();
    assert_eq!(told.map(|(lent, _)| lent), [none, none, NEED]);
    assert_eq!(told.map(|(_, free)| free.cpu), [0, 0, NEED.cpu]);
}

/// A worker stands idle while callers are refused: its free place is kept for an entry whose work went
/// elsewhere meanwhile. The entry's next line says so, and the place goes on at once.
#[test]
fn room_that_isn_t_used_goes_to_the_next() {
    let mut slots = full(&["a", "b"]);
    slots.update_waiting_work(ms(START + 1), &entry("a"), START, wants(0, 5, 1));
    slots.update_waiting_work(ms(START + 1), &entry("b"), START, wants(1, 5, 1));
    one_ends(&mut slots, START + 10);
    assert_eq!(slots.next_message(&entry("a"), ms(START + 10)).lent, NEED);
    assert!(!slots.has_unsent(&entry("b")));
    // A line that left before the place was offered says nothing about it.
    slots.update_waiting_work(ms(START + 11), &entry("a"), START + 9, wants(0, 5, 1));
    assert!(!slots.has_unsent(&entry("b")));
    slots.update_waiting_work(ms(START + 12), &entry("a"), START + 10, None);
    assert!(slots.has_unsent(&entry("b")));
    assert_eq!(slots.next_message(&entry("b"), ms(START + 12)).lent, NEED);
}

/// The same where the entry doesn't answer at all, since it is stopped or cut off.
#[test]
fn room_isn_t_kept_for_an_entry_that_doesn_t_answer() {
    let mut slots = full(&["a", "b"]);
    slots.update_waiting_work(ms(START + 1), &entry("a"), START, wants(0, 5, 1));
    slots.update_waiting_work(ms(START + 1), &entry("b"), START, wants(1, 5, 1));
    one_ends(&mut slots, START + 10);
    assert_eq!(slots.next_message(&entry("a"), ms(START + 10)).lent, NEED);
    slots.message_received(ms(START + 30), &entry("a"), START + 5);
    slots.tick(ms(START + 40));
    // What is lent lapses, and the first entry still is the most urgent one that asks.
    assert_eq!(slots.next_message(&entry("a"), ms(START + 40)).lent, NEED);
    slots.update_waiting_work(ms(START + 41), &entry("a"), START + 40, None);
    assert_eq!(slots.next_message(&entry("b"), ms(START + 41)).lent, NEED);
}

/// A start that comes for a loan takes the place, whoever asked meanwhile.
#[test]
fn a_start_takes_the_place_that_was_kept_for_it() {
    let mut slots = full(&["a", "b"]);
    slots.update_waiting_work(ms(START + 1), &entry("b"), START, wants(1, 5, 1));
    one_ends(&mut slots, START + 10);
    assert_eq!(slots.next_message(&entry("b"), ms(START + 10)).lent, NEED);
    slots.next_message(&entry("a"), ms(START + 10));
    slots.update_waiting_work(ms(START + 11), &entry("a"), START, wants(0, 1, 1));
    assert!(!slots.has_unsent(&entry("a")), "the place is kept");
    slots.take_orders();
    let run = besteffort::run("lent", 0, 1);
    let start = besteffort::start(run.clone(), START + 12);
    slots.start_requested(ms(START + 12), &entry("b"), true, start);
    slots.update_waiting_work(ms(START + 12), &entry("b"), START + 10, None);
    assert_eq!(slots.take_orders().len(), 1, "it begins at once");
    assert!(!slots.has_unsent(&entry("a")), "nothing is left to lend");
}

/// An entry with 68 agents writes to all of them each time that work begins to wait, which a thin entry
/// can't carry. It asks a few, and more of them only while work still waits.
#[test]
fn a_few_agents_are_asked_at_a_time() {
    let links: BTreeMap<u64, ()> = (1..=20).map(|link| (link, ())).collect();
    let mut asking = RoomRequests::default();
    let first = asking.links_to_ask(ms(START), 1, &links);
    assert_eq!(first, [1, 2, 3, 4, 5, 6]);
    for link in &first {
        asking.message_sent(*link, Some(1));
    }
    assert!(
        asking.links_to_ask(ms(START + 9), 1, &links).is_empty(),
        "too soon"
    );
    let second = asking.links_to_ask(ms(START + 10), 1, &links);
    assert_eq!(second, [7, 8, 9, 10, 11, 12]);
    for link in second.into_iter().chain(13..=20) {
        asking.message_sent(link, Some(1));
    }
    assert!(
        asking.links_to_ask(ms(START + 20), 1, &links).is_empty(),
        "all know"
    );
    let urgent = asking.links_to_ask(ms(START + 30), 0, &links);
    assert_eq!(urgent.len(), 6, "not that it is urgent");
    asking.message_sent(3, None);
    asking.link_closed(4);
    assert_eq!(asking.links_to_ask(ms(START + 40), 1, &links), [3, 4]);
}

/// Callers are refused although their work had time: an entry reckoned with a third of the workers, as
/// three entries are there, while the other two had nothing waiting.
#[test]
fn only_entries_with_work_waiting_compete() {
    let mut slots = full(&["a", "b", "c"]);
    let sharers = |slots: &mut Slots| {
        ["a", "b", "c"].map(|name| slots.next_message(&entry(name), ms(START + 2)).sharers)
    };
    assert_eq!(sharers(&mut slots), [1, 1, 1]);
    slots.update_waiting_work(ms(START + 1), &entry("a"), START, wants(0, 5, 1));
    assert_eq!(sharers(&mut slots), [1, 2, 2]);
    slots.update_waiting_work(ms(START + 1), &entry("b"), START, wants(0, 5, 1));
    assert_eq!(sharers(&mut slots), [2, 2, 3]);
    slots.message_received(ms(START + 500), &entry("a"), START + 500);
    let late = slots.next_message(&entry("a"), ms(START + 500));
    assert_eq!(late.sharers, 1, "the other one isn't heard any more");
}
