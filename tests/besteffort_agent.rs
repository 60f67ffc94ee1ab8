//! Tests a running agent between an entry and a backend server that the test simulates.

mod support;

use std::time;

use lovagemill::besteffort::agent::{self, Agent, ListingError};
use lovagemill::decide::besteffort::features::Features;
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{AgentMessage, EntryMessage, Run, RunOutcome};
use lovagemill::decide::besteffort::slots::StartAnswer;

use support::besteffort::{backend, heartbeat, listed, run, Calls, FakeEntry, Running};

/// A bound that no test exceeds, even on a busy machine.
const LONG_BOUND: time::Duration = time::Duration::from_secs(20);

/// The silence bound in the one test whose entry goes silent.
const SILENCE: time::Duration = time::Duration::from_secs(4);

async fn open(calls: &Calls, silence: time::Duration) -> Agent {
    let cfg = agent::Config {
        name: "agent".into(),
        incarnation: 1,
        failure_domain: "domain".into(),
        link_addr: ([127, 0, 0, 1], 0).into(),
        features: Features::default(),
        bounds: Bounds {
            silence,
            // An overdue renewal also requests a listing, which must not happen during a test.
            lease: 30 * LONG_BOUND,
            ..Bounds::default()
        },
    };
    let agent = agent::bind(cfg, calls.server()).await;
    agent.expect("a free port")
}

/// An agent with a backend server and a connected entry.
struct Linked {
    calls: Calls,
    agent: Agent,
    entry: FakeEntry,
}

/// Starts a run, which the backend server accepts.
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
    let ready = |message: &AgentMessage| message.backend.clone().filter(|b| b.takes_work);
    entry.read_until(ready).await;
    Linked {
        calls,
        agent,
        entry,
    }
}

/// Guards against two runs of one task. The backend server's next incarnation announces itself while a listing
/// of the old one is under way. A run begins on the new incarnation, and only then the old listing is answered
/// with "another incarnation". An agent that applied this answer to the new incarnation gave the run up, and the
/// entry started its task elsewhere while the run continued.
#[test]
fn a_late_answer_about_the_old_incarnation_ends_no_run_of_the_new_one() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, LONG_BOUND).await;
        calls
            .answer_list("", Ok(listed(Vec::new(), Vec::new())))
            .await;
        let (mut entry, _) = FakeEntry::connect(agent.link_addr(), 1).await;
        agent.heartbeat_received(heartbeat("old"));
        let nothing = || Ok(listed(Vec::new(), Vec::new()));
        calls.answer_list("old", nothing()).await;
        support::until("the old incarnation is known", || {
            agent.server_incarnation().id == "old"
        })
        .await;
        let late = calls.list("old").await;
        agent.heartbeat_received(heartbeat("new"));
        let running = Running::default();
        let listing = calls.keep_listing("new", &running);
        let is_new = |message: &AgentMessage| {
            message
                .backend
                .clone()
                .filter(|b| b.takes_work && b.incarnation.id == "new")
        };
        entry.read_until(is_new).await;
        entry.start(run("job", 0, 1)).await;
        let (begun, answer) = calls.start().await;
        running.lock().expect("no panic").push(begun.clone());
        answer.send(StartAnswer::Accepted).expect("the agent waits");
        let _ = late.send(Err(ListingError::AnotherIncarnation));
        // Shows that the old listing was handled: a message with the run's progress, or one that gives the run
        // up.
        let handled = |message: &AgentMessage| {
            let known = message.progress.iter().any(|p| p.percent == 50);
            (known || !message.ended.is_empty()).then(|| message.ended.clone())
        };
        let ended = entry.read_until(handled).await;
        assert!(ended.is_empty(), "given up: {ended:?}");
        listing.abort();
        calls
            .answer_list(
                "new",
                Ok(listed(Vec::new(), vec![(begun, RunOutcome::Done)])),
            )
            .await;
        let outcome = entry
            .read_until(|message| message.ended.first().map(|end| end.outcome))
            .await;
        assert_eq!(outcome, RunOutcome::Done);
    });
}

/// Guards against two runs of one task. A start is decided, and before its order is sent the backend server
/// crashes and its next incarnation announces itself. The run is given up and its task goes elsewhere; the
/// order was then sent to the incarnation known at that time, which began the run.
#[test]
fn an_order_is_sent_to_the_incarnation_it_was_decided_for() {
    support::block_on_one_thread(async {
        let Linked {
            calls,
            agent,
            mut entry,
        } = linked(LONG_BOUND).await;
        for number in 1..=4 {
            entry.start(run("job", number as u32, number)).await;
            let (_, answer) = calls.start().await;
            answer.send(StartAnswer::Accepted).expect("the agent waits");
        }
        entry.start(run("waits", 0, 5)).await;
        entry
            .read_until(|message| (message.starts_read == 5).then_some(()))
            .await;
        let mut larger = heartbeat("life");
        larger.backend.size.cpu += 1_000;
        // No task that the agent has spawned runs between these two calls.
        agent.heartbeat_received(larger);
        agent.heartbeat_received(heartbeat("next"));
        let (id, ordered) = calls
            .next("a start", |call| match call {
                support::besteffort::Call::Start(to, run, _) => Ok((to.incarnation.id, run)),
                other => Err(other),
            })
            .await;
        assert_eq!((id.as_str(), ordered), ("life", run("waits", 0, 5)));
    });
}

/// Guards against two runs of one task. An agent is killed and restarted at once, while the backend server
/// still works under the lease of its first incarnation. If the new agent told the entry that nothing runs
/// here, the entry would start the task elsewhere.
#[test]
fn a_restarted_agent_ends_leftover_runs_before_it_answers_entries() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, LONG_BOUND).await;
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
        assert!(!connects.is_finished(), "the agent answered too early");
        let _ = next.send(Ok(listed(Vec::new(), Vec::new())));
        let (_, hello) = connects.await.expect("no panic");
        assert!(hello.hello.expect("the first message").runs.is_empty());
    });
}

/// Guards against two runs of one task: its caller resubmits through another entry, while the first entry is
/// frozen or cut off and its agent keeps the run going. The agent ends the runs of an entry that doesn't repeat
/// its clock any more, even if the link seems to be up.
#[test]
fn runs_of_a_silent_entry_are_stopped() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent: _agent,
        } = linked(SILENCE).await;
        let begun = begin(&calls, &mut entry).await;
        let running = Running::default();
        running.lock().expect("no panic").push(begun.clone());
        let _listing = calls.keep_listing("life", &running);
        // The entry writes nothing from here on, and its connection stays open.
        let (stopped, _) = calls.stop().await;
        assert_eq!(stopped, begun);
    });
}

/// Guards against a start that the network held back for seconds and then delivered, when its caller has long
/// been answered. The agent's clock in the message shows how old it is.
#[test]
fn a_start_that_was_held_back_doesn_t_run() {
    support::block_on(async {
        let Linked {
            calls: _calls,
            mut entry,
            agent: _agent,
        } = linked(LONG_BOUND).await;
        entry.seen_ms = entry
            .seen_ms
            .saturating_sub(2 * LONG_BOUND.as_millis() as u64);
        entry.start(run("late", 0, 1)).await;
        let end = entry
            .read_until(|message| message.ended.first().cloned())
            .await;
        assert_eq!(
            (end.run.job.as_str(), end.outcome),
            ("late", RunOutcome::NotRun)
        );
    });
}

/// Guards against a caller that waits in vain after a connection reset, because the end of its task was written
/// to the broken link. The agent repeats the ends, and the runs it holds, on the next link of the same entry.
#[test]
fn ends_that_a_broken_link_lost_are_repeated() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent,
        } = linked(LONG_BOUND).await;
        let message = EntryMessage {
            starts: vec![
                support::besteffort::start(run("job", 0, 1), entry.seen_ms),
                support::besteffort::start(run("job", 1, 2), entry.seen_ms),
            ],
            ..EntryMessage::default()
        };
        entry.send(message).await;
        for _ in 0..2 {
            let (_, answer) = calls.start().await;
            answer.send(StartAnswer::Accepted).expect("the agent waits");
        }
        let ends = vec![(run("job", 0, 1), RunOutcome::Done)];
        let still = vec![(run("job", 1, 2), 10)];
        calls.answer_list("life", Ok(listed(still, ends))).await;
        entry
            .read_until(|message| message.ended.first().cloned())
            .await;
        drop(entry);
        let running = Running::default();
        running.lock().expect("no panic").push(run("job", 1, 2));
        let _listing = calls.keep_listing("life", &running);
        let (_, hello) = FakeEntry::connect_again(agent.link_addr(), 1, 2).await;
        let hello = hello.hello.expect("the first message");
        assert_eq!(hello.runs, [run("job", 1, 2)]);
        let ended: Vec<_> = hello
            .ended
            .iter()
            .map(|end| (&end.run, end.outcome))
            .collect();
        assert_eq!(ended, [(&run("job", 0, 1), RunOutcome::Done)]);
    });
}

/// Guards against a task that runs again after it was done. Its end was in a listing that was requested before
/// the backend server had announced itself. The agent ignored that listing but acknowledged the end, which was
/// therefore never listed again.
#[test]
fn an_end_in_an_ignored_listing_isn_t_acknowledged() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, LONG_BOUND).await;
        let early = calls.list("").await;
        agent.heartbeat_received(heartbeat("life"));
        let nothing = Ok(listed(Vec::new(), Vec::new()));
        calls.answer_list("life", nothing).await;
        support::until("the incarnation is known", || {
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

/// Guards against 1.5 s without service after a fault that hit all machines: restarted agents waited for the
/// next heartbeat of backend servers that are up. What an earlier incarnation of the agent knew is restored as
/// soon as that same backend server answers, and not if another one does.
#[test]
fn a_restored_backend_server_takes_work_only_if_it_is_still_up() {
    support::block_on(async {
        for (answer, expected) in [
            (Ok(listed(Vec::new(), Vec::new())), "life"),
            (Err(ListingError::AnotherIncarnation), ""),
            (Err(ListingError::NoAnswer), ""),
        ] {
            let calls = Calls::default();
            let agent = open(&calls, LONG_BOUND).await;
            let asked = async {
                calls.answer_list("life", answer).await;
            };
            tokio::join!(agent.restore_backend(backend("life")), asked);
            assert_eq!(agent.server_incarnation().id, expected);
        }
    });
}

/// Guards against answers that reach callers 200 ms late, with workers idle for as long: a delayed listing was
/// lost on its way, which looks the same as one that the backend server still delays until a run ends. A second
/// listing asks for the present state.
#[test]
fn an_end_is_learned_although_the_delayed_listing_was_lost() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent: _agent,
        } = linked(LONG_BOUND).await;
        let begun = begin(&calls, &mut entry).await;
        let delayed = |call| match call {
            support::besteffort::Call::List(call, tx) if !call.wait.is_zero() => Ok(tx),
            other => Err(other),
        };
        let immediate = |call| match call {
            support::besteffort::Call::List(call, tx) if call.wait.is_zero() => Ok(tx),
            other => Err(other),
        };
        let lost = calls.next("a delayed listing", delayed).await;
        let now = calls.next("an immediate listing", immediate).await;
        let ended = vec![(begun, RunOutcome::Done)];
        now.send(Ok(listed(Vec::new(), ended)))
            .expect("the agent waits");
        let outcome = entry
            .read_until(|message| message.ended.first().map(|end| end.outcome))
            .await;
        assert_eq!(outcome, RunOutcome::Done);
        calls.next("the next delayed listing", delayed).await;
        assert!(lost.is_closed(), "the lost one was given up");
    });
}

/// Guards against a run that is stopped, and begun anew elsewhere, because the answer to its start came late: the
/// backend server has carried the start out.
#[test]
fn a_run_whose_start_had_no_answer_is_kept_if_it_is_listed() {
    support::block_on(async {
        let Linked {
            calls,
            mut entry,
            agent,
        } = linked(LONG_BOUND).await;
        entry.start(run("job", 0, 1)).await;
        let (begun, unanswered) = calls.start().await;
        unanswered
            .send(StartAnswer::Unknown)
            .expect("the agent waits");
        let any = |call| match call {
            support::besteffort::Call::Start(..) => Err(call),
            other => Ok(other),
        };
        // The backend server runs the task until the agent has asked twice. It delays the other listings.
        let mut listings = 0;
        let mut delayed = Vec::new();
        while listings < 2 {
            match calls.next("a listing or a stop", any).await {
                support::besteffort::Call::List(call, tx) if call.wait.is_zero() => {
                    let now = listed(vec![(begun.clone(), 10)], Vec::new());
                    listings += u32::from(tx.send(Ok(now)).is_ok());
                }
                support::besteffort::Call::Stop(_, run, _) => panic!("stopped: {run:?}"),
                other => delayed.push(other),
            }
        }
        let ended = vec![(begun.clone(), RunOutcome::Done)];
        calls
            .answer_list("life", Ok(listed(Vec::new(), ended)))
            .await;
        let end = entry
            .read_until(|message| message.ended.first().cloned())
            .await;
        assert_eq!((end.run, end.outcome), (begun, RunOutcome::Done));
        assert_eq!(agent.status().counts.stops, 0);
    });
}

/// Guards against an entry that waits for ends which its agent has written to an older link that went silent.
#[test]
fn a_later_link_of_an_entry_closes_the_one_before() {
    support::block_on(async {
        let Linked {
            entry: silent,
            agent,
            calls: _calls,
        } = linked(LONG_BOUND).await;
        let (_entry, hello) = FakeEntry::connect_again(agent.link_addr(), 1, 2).await;
        assert!(hello.hello.is_some());
        silent.wait_until_closed().await;
        assert_eq!(agent.status().linked_entries, 1);
    });
}

/// Guards against two runs of one task: the entry learns on its next link that the agent doesn't have a run, and the
/// agent then reads the start of that run on the link before. Which of the two the agent reads first varies.
#[test]
fn a_start_on_a_replaced_link_never_begins() {
    support::block_on_one_thread(async {
        let Linked {
            calls,
            agent,
            mut entry,
        } = linked(LONG_BOUND).await;
        for link in 2..=20 {
            let mut next = FakeEntry::dial(agent.link_addr()).await;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            // The agent doesn't run between these two writes, and finds both in its sockets.
            next.introduce(1, link).await;
            entry.start(run("replaced", 0, link)).await;
            let hello = next.read().await.hello.expect("the first message");
            next.start(run("next", 0, link)).await;
            loop {
                let (begun, answer) = calls.start().await;
                let is_known = hello.runs.contains(&begun);
                assert!(is_known || begun.job == "next", "{begun:?} after {hello:?}");
                answer.send(StartAnswer::Refused).expect("the agent waits");
                if begun.job == "next" {
                    break;
                }
            }
            entry = next;
        }
    });
}

/// Guards against an older link that was held back by the network and replaces the one in use.
#[test]
fn an_older_link_of_an_entry_does_not_replace_a_later_one() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, LONG_BOUND).await;
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

/// Guards against an agent that every entry of a large fleet links to because it was listed first.
#[test]
fn an_agent_takes_a_bounded_number_of_links() {
    support::block_on(async {
        let calls = Calls::default();
        let agent = open(&calls, LONG_BOUND).await;
        calls
            .answer_list("", Ok(listed(Vec::new(), Vec::new())))
            .await;
        let mut entries = Vec::new();
        for id in 0..agent::MAX_LINKS as u64 {
            entries.push(FakeEntry::connect(agent.link_addr(), id).await);
        }
        let one_more = tokio::spawn(FakeEntry::connect(agent.link_addr(), u64::MAX));
        assert!(one_more.await.is_err(), "it is turned away");
        let (again, _) = FakeEntry::connect_again(agent.link_addr(), 0, 2).await;
        assert_eq!(agent.status().linked_entries, agent::MAX_LINKS);
        drop(again);
    });
}
