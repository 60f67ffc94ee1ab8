//! Jobs of a dead owner whose agents are lost before the jobs are taken up again.

mod decide_support;

use std::sync::Arc;
use std::time;

use lovagemill::code::Code;
use lovagemill::decide::action::Action;
use lovagemill::decide::inherit;
use lovagemill::decide::ledger;
use lovagemill::decide::notice;
use lovagemill::decide::order::{self, Order};
use lovagemill::decide::owner;
use lovagemill::submission;
use lovagemill::task;

const TAKEN_AT: time::Duration = time::Duration::from_secs(1_000_000);

fn job(key: &str) -> Arc<submission::Submission> {
    let minted_ms = TAKEN_AT.as_millis() as u64 - 60_000;
    let tasks = decide_support::tasks(1, 1, 100);
    Arc::new(decide_support::submission(key, Some(minted_ms), tasks))
}

fn welcome(incarnation: u64, tasks: Vec<(task::Id, ledger::Standing)>) -> notice::Welcome {
    notice::Welcome {
        incarnation,
        failure_domain: "poa-centro".into(),
        rack: "rack-0".into(),
        tasks,
    }
}

fn load() -> notice::Load {
    notice::Load {
        slots: 8,
        capacity: task::Needs::default(),
        running: 0,
        draining: false,
    }
}

/// An owner that took over and heard from agent `a`, life 1, that it runs the only task of a job.
fn successor(now: time::Instant, key: &str) -> owner::Owner {
    let policy = owner::Policy::default();
    let mut owner = owner::Owner::open(2, policy, decide_support::config(), now, TAKEN_AT);
    let life = inherit::Life {
        agent: "a".into(),
        incarnation: 1,
    };
    owner.set_members(now, vec![life], &[]);
    let claimed = inherit::Claimed {
        key: key.into(),
        digest: 1,
        tasks: 1,
        at_ms: TAKEN_AT.as_millis() as u64 - 5_000,
    };
    owner.set_earlier_claims(now, vec![claimed]);
    let id = task::Id {
        job: key.into(),
        index: 0,
    };
    let tasks = vec![(id, ledger::Standing::Started)];
    owner.handle_welcome(now, &"a".into(), welcome(1, tasks), load());
    assert!(owner.is_ready());
    owner
}

/// The code with which the waiter was answered, if it was.
fn answered(actions: &[Action]) -> Option<Code> {
    actions.iter().find_map(|action| match action {
        Action::Reply(1, ending) => match &**ending {
            submission::Ending::Failed(refusal) => Some(refusal.code),
            submission::Ending::Complete(_) => None,
        },
        _ => None,
    })
}

fn starts(actions: &[Action]) -> usize {
    let start = |action: &&Action| matches!(action, Action::Order(_, Order::Start(_)));
    actions.iter().filter(start).count()
}

/// An entry dies, and its successor hears from an agent that a job's task runs there. The agent
/// dies and comes back with a new life, and only then the caller submits its job again. The new
/// life has never seen the task and says so, which the successor took for the proof that the task
/// could be started: it ran twice.
#[test]
fn task_of_a_lost_life_is_not_started_again() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.handle_welcome(now, &"a".into(), welcome(2, Vec::new()), load());
    owner.actions();
    owner.submit(now, job("canoas/k"), 1);
    let id = task::Id {
        job: "canoas/k".into(),
        index: 0,
    };
    // It covers whatever start is under way.
    let attempt = u32::MAX;
    let asked = order::Attempt { id, attempt };
    let withdrawn = notice::Notice::Standing(asked, ledger::Standing::Withdrawn);
    let mut actions = owner.actions();
    owner.handle_notice(now, &"a".into(), withdrawn);
    owner.dispatch(now);
    actions.extend(owner.actions());
    assert_eq!(starts(&actions), 0, "{actions:?}");
    assert_eq!(answered(&actions), Some(Code::WorkerLost));
}

/// As above, but the agent stays away. Nobody is left to ask for the task, and the caller waited
/// for its whole target where it could have been told at once that nobody can know.
#[test]
fn task_of_an_agent_that_stays_away_ends_at_once() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.agent_link_lost(now, &"a".into());
    let later = now + owner::AGENT_LOST_AFTER;
    owner.tick(later);
    owner.actions();
    owner.submit(later, job("canoas/k"), 1);
    assert_eq!(answered(&owner.actions()), Some(Code::WorkerLost));
}

/// The link to an agent breaks for less than it takes to give the agent up, and in that moment a
/// job of the dead owner is submitted again. The agent lives, so its task has to be awaited.
#[test]
fn task_of_an_agent_that_is_silent_for_a_moment_is_awaited() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.agent_link_lost(now, &"a".into());
    owner.submit(now, job("canoas/k"), 1);
    assert_eq!(answered(&owner.actions()), None);
    let id = task::Id {
        job: "canoas/k".into(),
        index: 0,
    };
    let tasks = vec![(id.clone(), ledger::Standing::Started)];
    owner.handle_welcome(now, &"a".into(), welcome(1, tasks), load());
    let value = serde_json::value::to_raw_value(&7).expect("plain JSON");
    let answer = notice::Notice::Answer(notice::Answer {
        id,
        outcome: task::Outcome::Done(value),
        ran_us: 1,
    });
    owner.handle_notice(now, &"a".into(), answer);
    let complete = |action: &Action| matches!(action, Action::Reply(1, ending) if matches!(&**ending, submission::Ending::Complete(_)));
    assert!(owner.actions().iter().any(complete));
}
