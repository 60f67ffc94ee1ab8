//! The agent of best-effort work, between an entry and a backend server that the test plays.

mod support;

use std::time;

use lovagemill::besteffort::agent::{self, Agent, ListingError};
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{AgentMessage, EntryMessage, Run, RunOutcome};
use lovagemill::decide::besteffort::slots::StartAnswer;

use support::besteffort::{backend, heartbeat, listed, run, Calls, FakeEntry, Running};

/// Bounds that no test exceeds, on however busy a machine.
const PATIENT: time::Duration = time::Duration::from_secs(20);

/// The silence of the one test in which an entry falls silent.
const SILENT: time::Duration = time::Duration::from_secs(4);

async fn open(calls: &Calls, silence: time::Duration) -> Agent {
    let cfg = agent::Config {
        name: "agent".into(),
        incarnation: 1,
        failure_domain: "domain".into(),
        link_addr: ([127, 0, 0, 1], 0).into(),
        bounds: Bounds {
            silence,
            // A renewal that is late lists as well, and must not do so within a test.
            lease: 30 * PATIENT,
            ..Bounds::default()
        },
    };
    let agent = agent::bind(cfg, calls.server()).await;
    agent.expect("a free port")
}

/// An agent with a backend server, and the entry that has connected to it.
struct Linked {
    calls: Calls,
    agent: Agent,
    entry: FakeEntry,
}

/// Has a run begin that the backend server accepts.
async fn begin(calls: &Calls, entry: &mut FakeEntry) -> Run {
    entry.start(run("job", 0, 1)).await;
    let (begun, answer) = calls.start().await;
    answer.send(StartAnswer::Accepted).expect("the agent waits");
    begun
}

async fn linked(silence: time::Duration) -> Linked {
    let calls = Calls::default();
    let agent = open(&calls, silence).await;
    let nothing = || Ok(listed(Vec::new(), Vec::new()));
    calls.answer_list("", nothing()).await;
    let (mut entry, _) = FakeEntry::connect(agent.link_addr(), 1).await;
    agent.heartbeat_received(heartbeat("life"));
    calls.answer_list("life", nothing()).await;
    let ready = |line: &AgentMessage| line.backend.clone().filter(|b| b.takes_work);
    entry.until(ready).await;
    Linked {
        calls,
        agent,
        entry,
    }
}

/// A caller's approval runs twice. A backend server crashes and starts anew; the new life announces
/// itself while the agent's listing of the old one is still under way. A run begins in the new life,
/// and only then the old listing is answered: "another life". The agent took that for news, gave the
/// run up, and the entry started its task elsewhere while it went on here.
#[test]
fn a_late_word_of_the_old_life_ends_nothing_in_the_new_one() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, PATIENT).await;
        calls
            .answer_list("", Ok(listed(Vec::new(), Vec::new())))
            .await;
        let (mut entry, _) = FakeEntry::connect(agent.link_addr(), 1).await;
        agent.heartbeat_received(heartbeat("old"));
        let nothing = || Ok(listed(Vec::new(), Vec::new()));
        calls.answer_list("old", nothing()).await;
        support::until("the old life is known", || {
            agent.server_incarnation().id == "old"
        })
        .await;
        let late = calls.list("old").await;
        agent.heartbeat_received(heartbeat("new"));
        let running = Running::default();
        let listing = calls.keep_listing("new", &running);
        let is_new = |line: &AgentMessage| {
            line.backend
                .clone()
                .filter(|b| b.takes_work && b.incarnation.id == "new")
        };
        entry.until(is_new).await;
        entry.start(run("job", 0, 1)).await;
        let (begun, answer) = calls.start().await;
        running.lock().expect("no panic").push(begun.clone());
        answer.send(StartAnswer::Accepted).expect("the agent waits");
        let _ = late.send(Err(ListingError::AnotherIncarnation));
        // Long enough for the old listing to be taken in: a line that knows the run's progress, or
        // one that gives the run up.
        let told = |line: &AgentMessage| {
            let known = line.progress.iter().any(|p| p.percent == 50);
            (known || !line.ended.is_empty()).then(|| line.ended.clone())
        };
        let ended = entry.until(told).await;
        assert!(ended.is_empty(), "given up: {ended:?}");
        listing.abort();
        calls
            .answer_list(
                "new",
                Ok(listed(Vec::new(), vec![(begun, RunOutcome::Done)])),
            )
            .await;
        let how = entry
            .until(|line| line.ended.first().map(|end| end.outcome))
            .await;
        assert_eq!(how, RunOutcome::Done);
    });
}

/// A caller's approval runs twice. A start is ordered, and before the order has left, the backend
/// server has crashed and another life of it announces itself. The run is given up and its task goes
/// elsewhere; the order then left for whichever life was known by that time, which began the run.
#[test]
fn an_order_goes_to_the_life_that_it_was_given_for() {
    support::block_on_one_thread(async {
        let Linked {
            calls,
            agent,
            mut entry,
        } = linked(PATIENT).await;
        for number in 1..=4 {
            entry.start(run("job", number as u32, number)).await;
            let (_, answer) = calls.start().await;
            answer.send(StartAnswer::Accepted).expect("the agent waits");
        }
        entry.start(run("waits", 0, 5)).await;
        entry
            .until(|line| (line.starts_read == 5).then_some(()))
            .await;
        let mut roomier = heartbeat("life");
        roomier.backend.size.cpu += 1_000;
        // Nothing that the agent has spawned runs between these two.
        agent.heartbeat_received(roomier);
        agent.heartbeat_received(heartbeat("next"));
        let (life, ordered) = calls
            .next("a start", |call| match call {
                support::besteffort::Call::Start(to, run, _) => Ok((to.incarnation.id, run)),
                other => Err(other),
            })
            .await;
        assert_eq!((life.as_str(), ordered), ("life", run("waits", 0, 5)));
    });
}

/// Two runs of one task. An agent is killed and started again at once, while the backend server
/// still works under the lease of its first life. If the new agent told the entry that nothing runs
/// here, the entry would start the task elsewhere.
#[test]
fn a_new_agent_ends_what_an_earlier_one_left_before_it_speaks() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, PATIENT).await;
        let connects = tokio::spawn(FakeEntry::connect(agent.link_addr(), 1));
        let left = run("job", 0, 1);
        let first = calls.list("").await;
        let _ = first.send(Ok(listed(vec![(left.clone(), 10)], Vec::new())));
        let (stopped, answer) = calls.stop().await;
        assert_eq!(stopped, left);
        answer.send(true).expect("the agent waits");
        let (renews, next) = calls
            .next("a listing", |call| match call {
                support::besteffort::Call::List(call, tx) => {
                    Ok((call.lease_until_ms.is_some(), tx))
                }
                other => Err(other),
            })
            .await;
        assert!(!renews, "the lease of what is left isn't renewed");
        assert!(!connects.is_finished(), "it has spoken before");
        let _ = next.send(Ok(listed(Vec::new(), Vec::new())));
        let (_, hello) = connects.await.expect("no panic");
        assert!(hello.hello.expect("the first line").runs.is_empty());
    });
}

/// A caller resubmits through another entry, and its task runs twice: the first entry was frozen or
/// cut off, and its agent went on for it. The agent ends the runs of an entry that doesn't repeat
/// its clock any more, also while the link seems to be up.
#[test]
fn runs_of_a_silent_entry_are_stopped() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent: _agent,
        } = linked(SILENT).await;
        let begun = begin(&calls, &mut entry).await;
        let running = Running::default();
        running.lock().expect("no panic").push(begun.clone());
        let _listing = calls.keep_listing("life", &running);
        // The entry says nothing from here on, and its connection stays open.
        let (stopped, _) = calls.stop().await;
        assert_eq!(stopped, begun);
    });
}

/// A task runs though its caller has long been answered: the network held a start back for seconds
/// and then delivered it. The agent's clock in it tells how old it is.
#[test]
fn a_start_that_was_held_back_doesn_t_run() {
    support::block_on(async {
        let Linked {
            calls: _calls,
            mut entry,
            agent: _agent,
        } = linked(PATIENT).await;
        entry.seen_ms = entry.seen_ms.saturating_sub(2 * PATIENT.as_millis() as u64);
        entry.start(run("late", 0, 1)).await;
        let end = entry.until(|line| line.ended.first().cloned()).await;
        assert_eq!(
            (end.run.job.as_str(), end.outcome),
            ("late", RunOutcome::NotRun)
        );
    });
}

/// A caller waits in vain after a reset connection: the end of its task was on the link that broke.
/// The agent repeats what ended, and what it still has, on the next link of the same entry.
#[test]
fn ends_that_a_broken_link_lost_are_repeated() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent,
        } = linked(PATIENT).await;
        let line = EntryMessage {
            starts: vec![
                support::besteffort::start(run("job", 0, 1), entry.seen_ms),
                support::besteffort::start(run("job", 1, 2), entry.seen_ms),
            ],
            ..EntryMessage::default()
        };
        entry.say(line).await;
        for _ in 0..2 {
            let (_, answer) = calls.start().await;
            answer.send(StartAnswer::Accepted).expect("the agent waits");
        }
        let ends = vec![(run("job", 0, 1), RunOutcome::Done)];
        let still = vec![(run("job", 1, 2), 10)];
        calls.answer_list("life", Ok(listed(still, ends))).await;
        entry.until(|line| line.ended.first().cloned()).await;
        drop(entry);
        let running = Running::default();
        running.lock().expect("no panic").push(run("job", 1, 2));
        let _listing = calls.keep_listing("life", &running);
        let (_, hello) = FakeEntry::connect_again(agent.link_addr(), 1, 2).await;
        let hello = hello.hello.expect("the first line");
        assert_eq!(hello.runs, [run("job", 1, 2)]);
        let ended: Vec<_> = hello
            .ended
            .iter()
            .map(|end| (&end.run, end.outcome))
            .collect();
        assert_eq!(ended, [(&run("job", 0, 1), RunOutcome::Done)]);
    });
}

/// A task that was done runs once more. Its end came with a listing that was asked for before the
/// backend server had announced itself; the agent passed that over, but acknowledged the end, so that
/// it was never listed again.
#[test]
fn an_end_that_wasn_t_taken_in_isn_t_acknowledged() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, PATIENT).await;
        let early = calls.list("").await;
        agent.heartbeat_received(heartbeat("life"));
        let nothing = Ok(listed(Vec::new(), Vec::new()));
        calls.answer_list("life", nothing).await;
        support::until("the life is known", || {
            agent.server_incarnation().id == "life"
        })
        .await;
        let _ = early.send(Ok(listed(
            Vec::new(),
            vec![(run("job", 0, 1), RunOutcome::Done)],
        )));
        for _ in 0..3 {
            let (acknowledged, tx) = calls
                .next("a listing", |call| match call {
                    support::besteffort::Call::List(call, tx)
                        if call.to.incarnation.id == "life" =>
                    {
                        Ok((call.acknowledged, tx))
                    }
                    other => Err(other),
                })
                .await;
            assert_eq!(acknowledged, 0);
            let _ = tx.send(Ok(listed(Vec::new(), Vec::new())));
        }
    });
}

/// After a fault that hit all machines nothing is served for a second and a half: agents that start
/// anew beside living backend servers wait for their next heartbeat. What an earlier life knew is
/// taken up as soon as that very backend server answers, and not if another one does.
#[test]
fn a_remembered_backend_server_takes_work_if_it_is_the_one() {
    support::block_on(async {
        for (answer, expected) in [
            (Ok(listed(Vec::new(), Vec::new())), "life"),
            (Err(ListingError::AnotherIncarnation), ""),
            (Err(ListingError::NoAnswer), ""),
        ] {
            let calls = Calls::default();
            let agent = open(&calls, PATIENT).await;
            let asked = async {
                calls.answer_list("life", answer).await;
            };
            tokio::join!(agent.restore_backend(backend("life")), asked);
            assert_eq!(agent.server_incarnation().id, expected);
        }
    });
}

/// Callers get answers 200 ms late, and workers stand idle for as long: the call that waits for an end
/// was lost on its way, and looks like one that still waits. Another one asks what there is now.
#[test]
fn an_end_is_heard_though_the_waiting_listing_was_lost() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent: _agent,
        } = linked(PATIENT).await;
        let begun = begin(&calls, &mut entry).await;
        let waits = |call| match call {
            support::besteffort::Call::List(call, tx) if !call.wait.is_zero() => Ok(tx),
            other => Err(other),
        };
        let asks = |call| match call {
            support::besteffort::Call::List(call, tx) if call.wait.is_zero() => Ok(tx),
            other => Err(other),
        };
        let lost = calls.next("a waiting listing", waits).await;
        let now = calls.next("a listing at once", asks).await;
        let ended = vec![(begun, RunOutcome::Done)];
        now.send(Ok(listed(Vec::new(), ended)))
            .expect("the agent waits");
        let how = entry
            .until(|line| line.ended.first().map(|end| end.outcome))
            .await;
        assert_eq!(how, RunOutcome::Done);
        calls.next("the next waiting listing", waits).await;
        assert!(lost.is_closed(), "the lost one was given up");
    });
}

/// Guards against an entry that waits for ends which its agent has written into an older link that went silent.
#[test]
fn a_later_link_of_an_entry_closes_the_one_before() {
    support::block_on(async {
        let Linked {
            entry: silent,
            agent,
            calls: _calls,
        } = linked(PATIENT).await;
        let (_entry, hello) = FakeEntry::connect_again(agent.link_addr(), 1, 2).await;
        assert!(hello.hello.is_some());
        silent.closed().await;
        assert_eq!(agent.status().linked_entries, 1);
    });
}

/// Guards against an older link, held back by the network, that takes the place of the one in use.
#[test]
fn an_older_link_of_an_entry_does_not_replace_a_later_one() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, PATIENT).await;
        calls
            .answer_list("", Ok(listed(Vec::new(), Vec::new())))
            .await;
        let (mut entry, _) = FakeEntry::connect_again(agent.link_addr(), 1, 7).await;
        let older = tokio::spawn(FakeEntry::connect_again(agent.link_addr(), 1, 6));
        assert!(older.await.is_err(), "the agent closes it unanswered");
        entry.read().await;
        assert_eq!(agent.status().linked_entries, 1);
    });
}

/// Guards against an agent that every entry of a large fleet links to, because it was the first that was listed.
#[test]
fn an_agent_takes_a_bounded_number_of_links() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, PATIENT).await;
        calls
            .answer_list("", Ok(listed(Vec::new(), Vec::new())))
            .await;
        let mut entries = Vec::new();
        for life in 0..agent::MAX_LINKS as u64 {
            entries.push(FakeEntry::connect(agent.link_addr(), life).await);
        }
        let one_more = tokio::spawn(FakeEntry::connect(agent.link_addr(), u64::MAX));
        assert!(one_more.await.is_err(), "it is turned away");
        let (again, _) = FakeEntry::connect_again(agent.link_addr(), 0, 2).await;
        assert_eq!(agent.status().linked_entries, agent::MAX_LINKS);
        drop(again);
    });
}
