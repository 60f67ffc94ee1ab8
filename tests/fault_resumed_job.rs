//! Jobs of a dead owner whose agents are lost before the jobs are submitted again.

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

fn welcome(incarnation: u64, tasks: Vec<(task::Id, ledger::TaskState)>) -> notice::Welcome {
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

/// An owner that took over and to which agent `a`, incarnation 1, reported that it runs the only
/// task of a job.
fn successor(now: time::Instant, key: &str) -> owner::Owner {
    let policy = owner::Policy::default();
    let mut owner = owner::Owner::open(2, policy, decide_support::config(), now, TAKEN_AT);
    let incarnation = inherit::AgentIncarnation {
        agent: "a".into(),
        incarnation: 1,
    };
    owner.set_members(now, vec![incarnation], &[]);
    let claimed = inherit::StoredClaim {
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
    let tasks = vec![(id, ledger::TaskState::Started)];
    owner.handle_welcome(now, &"a".into(), welcome(1, tasks), load());
    assert!(owner.is_ready());
    owner
}

/// Returns the code of the refusal that the waiter got; none if it got an answer or no reply.
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

/// Guards against a task that runs twice. An entry dies, and an agent reports to the new owner that
/// a job's task runs there. The agent dies and comes back with a new incarnation, and only then the
/// caller submits its job again. The new incarnation reports that it doesn't know the task, which
/// the new owner took as proof that it may start the task.
#[test]
fn task_of_a_lost_incarnation_is_not_started_again() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.handle_welcome(now, &"a".into(), welcome(2, Vec::new()), load());
    owner.take_actions();
    owner.submit(now, job("canoas/k"), 1);
    let id = task::Id {
        job: "canoas/k".into(),
        index: 0,
    };
    // The highest attempt number covers any start that is under way.
    let attempt = u32::MAX;
    let asked = order::Attempt { id, attempt };
    let withdrawn = notice::Notice::Standing(asked, ledger::TaskState::Withdrawn);
    let mut actions = owner.take_actions();
    owner.handle_notice(now, &"a".into(), withdrawn);
    owner.dispatch(now);
    actions.extend(owner.take_actions());
    assert_eq!(starts(&actions), 0, "{actions:?}");
    assert_eq!(answered(&actions), Some(Code::WorkerLost));
}

/// Guards against a caller that waits for its whole target in vain. As above, but the agent doesn't
/// come back, so no process can say whether the task ran. The caller has to get that answer at
/// once.
#[test]
fn task_of_an_agent_that_does_not_come_back_ends_at_once() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.agent_link_lost(now, &"a".into());
    let later = now + owner::AGENT_LOST_AFTER;
    owner.tick(later);
    owner.take_actions();
    owner.submit(later, job("canoas/k"), 1);
    assert_eq!(answered(&owner.take_actions()), Some(Code::WorkerLost));
}

/// Guards against giving up a task that still runs. The link to an agent breaks, for a shorter time
/// than it takes to give the agent up, and meanwhile a job of the dead owner is submitted again.
/// The agent is alive, so the owner has to wait for the task.
#[test]
fn task_of_an_agent_that_is_silent_for_a_moment_is_awaited() {
    let now = time::Instant::now();
    let mut owner = successor(now, "canoas/k");
    owner.agent_link_lost(now, &"a".into());
    owner.submit(now, job("canoas/k"), 1);
    assert_eq!(answered(&owner.take_actions()), None);
    let id = task::Id {
        job: "canoas/k".into(),
        index: 0,
    };
    let tasks = vec![(id.clone(), ledger::TaskState::Started)];
    owner.handle_welcome(now, &"a".into(), welcome(1, tasks), load());
    let value = serde_json::value::to_raw_value(&7).expect("plain JSON");
    let answer = notice::Notice::Answer(notice::Answer {
        id,
        outcome: task::Outcome::Done(value),
        ran_us: 1,
    });
    owner.handle_notice(now, &"a".into(), answer);
    let complete = |action: &Action| matches!(action, Action::Reply(1, ending) if matches!(&**ending, submission::Ending::Complete(_)));
    assert!(owner.take_actions().iter().any(complete));
}
