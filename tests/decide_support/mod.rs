//! An owner with fake agents in virtual time. By default a task runs for the milliseconds in its
//! input and succeeds; a test can set a [`Behavior`] that decides otherwise.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time;

use compact_str::{format_compact, CompactString, ToCompactString};
use lovagemill::class;
use lovagemill::code;
use lovagemill::decide::action::{Action, WaiterId};
use lovagemill::decide::{notice, order, owner};
use lovagemill::id;
use lovagemill::submission;
use lovagemill::task;
use serde_json::value::{to_raw_value, RawValue};

/// The class of all jobs that these tests submit.
pub const CLASS: &str = "check";
/// The target of that class.
pub const TARGET: time::Duration = time::Duration::from_secs(8);

/// Decides how a start ends, from the agent, the start and the time since the fake was opened;
/// `None` if it never ends by itself.
pub type Behavior = Box<dyn FnMut(&str, &order::Start, time::Duration) -> Option<TaskEnd>>;

/// When and how a start ends.
pub struct TaskEnd {
    /// Time from the start to the answer or refusal.
    pub after: time::Duration,
    pub outcome: Result<(), code::Code>,
}

/// Succeeds after the milliseconds in the input.
pub fn succeed(start: &order::Start) -> Option<TaskEnd> {
    let ms: u64 = start.input.get().parse().expect("an input is a number");
    Some(TaskEnd {
        after: time::Duration::from_millis(ms),
        outcome: Ok(()),
    })
}

/// Fails after 2 ms.
pub fn fail_quickly() -> Option<TaskEnd> {
    Some(TaskEnd {
        after: time::Duration::from_millis(2),
        outcome: Err(code::Code::TaskFailed),
    })
}

/// An owner and its fake agents.
pub struct FakeCell {
    pub owner: owner::Owner,
    pub started_at: time::Instant,
    pub now: time::Instant,
    /// The starts in order, each with its agent.
    pub starts: Vec<(id::AgentId, task::Id)>,
    /// The agents that got an order to cancel a job.
    pub cancels: Vec<id::AgentId>,
    /// When and how jobs ended, by waiter.
    pub endings: HashMap<WaiterId, (time::Instant, Arc<submission::Ending>)>,
    pub behavior: Behavior,
    /// The answer of every task that succeeds.
    pub answer: Box<RawValue>,
    /// Ends that are due, by time, with the number of the start.
    ends: BinaryHeap<Reverse<(time::Instant, u64)>>,
    /// Running starts by number: agent, task, time of start, and outcome.
    running: BTreeMap<u64, (id::AgentId, task::Id, time::Instant, Result<(), code::Code>)>,
    /// The last number that was given to a start or a waiter.
    last_number: u64,
}

/// A configuration whose only class is [`CLASS`].
pub fn config() -> Arc<class::Versioned> {
    let class = class::Class {
        name: CLASS.into(),
        target_ms: TARGET.as_millis() as i64,
        max_tasks: 290,
    };
    Arc::new(class::Versioned {
        version: 1,
        document: class::Document {
            classes: vec![class],
            quotas: Vec::new(),
        },
    })
}

/// A submission under a key, which begins with its client account.
pub fn submission(
    key: &str,
    minted_ms: Option<u64>,
    tasks: Vec<submission::Task>,
) -> submission::Submission {
    let (account, _) = key.split_once('/').expect("a key is scoped");
    submission::Submission {
        key: key.into(),
        digest: 1,
        minted_ms,
        idempotent: true,
        job: submission::Job {
            client_account: account.into(),
            class: CLASS.into(),
            tasks,
        },
        traceparent: None,
    }
}

/// Creates an owner with `workers` workers of 8 slots each.
pub fn open(workers: usize) -> FakeCell {
    let started_at = time::Instant::now() + time::Duration::from_secs(1_000);
    let wall = time::Duration::from_secs(1_700_000_000);
    let policy = owner::Policy::default();
    let mut owner = owner::Owner::open(1, policy, config(), started_at, wall);
    owner.set_members(started_at, Vec::new(), &[]);
    owner.set_earlier_claims(started_at, Vec::new());
    let mut fake = FakeCell {
        owner,
        started_at,
        now: started_at,
        starts: Vec::new(),
        cancels: Vec::new(),
        endings: HashMap::new(),
        behavior: Box::new(|_, start, _| succeed(start)),
        answer: to_raw_value(&1).expect("a number is JSON"),
        ends: BinaryHeap::new(),
        running: BTreeMap::new(),
        last_number: 0,
    };
    for number in 0..workers {
        let id = format_compact!("agent-{number:02}");
        fake.join(&id, task::Needs::default());
    }
    fake
}

/// Equal tasks that run for `ms` and declare `declared_ms`.
pub fn tasks(number: usize, ms: u64, declared_ms: u64) -> Vec<submission::Task> {
    let task = submission::Task {
        kind: "check".into(),
        run_ms: declared_ms,
        needs: task::Needs::default(),
        input: to_raw_value(&ms).expect("a number is JSON"),
    };
    vec![task; number]
}

impl FakeCell {
    /// Adds a worker with 8 slots and a capacity.
    pub fn join(&mut self, id: &str, capacity: task::Needs) {
        let welcome = notice::Welcome {
            incarnation: 1,
            failure_domain: "domain".into(),
            rack: "rack".into(),
            tasks: Vec::new(),
        };
        let load = notice::Load {
            slots: 8,
            capacity,
            running: 0,
            draining: false,
        };
        self.owner
            .handle_welcome(self.now, &id.into(), welcome, load);
        self.apply_actions();
    }

    /// Submits a job. Returns its waiter, whose number is also in the job's key.
    pub fn submit(&mut self, account: &str, tasks: Vec<submission::Task>) -> WaiterId {
        let first = self.last_number + 1;
        self.resubmit(account, first, tasks)
    }

    /// Submits a job again under the key of its first submission. Returns the new waiter.
    pub fn resubmit(
        &mut self,
        account: &str,
        first: WaiterId,
        tasks: Vec<submission::Task>,
    ) -> WaiterId {
        self.last_number += 1;
        let number = self.last_number;
        let submission = submission::Submission {
            digest: first,
            ..submission(&key(account, first), Some(1_700_000_000_000), tasks)
        };
        self.owner.note_ownership_proof(self.now);
        self.owner.submit(self.now, Arc::new(submission), number);
        self.apply_actions();
        number
    }

    /// Cancels a job.
    pub fn cancel(&mut self, account: &str, number: WaiterId) {
        let key = key(account, number);
        self.owner.cancel(self.now, &key, WaiterId::MAX);
        self.apply_actions();
    }

    /// Advances the time; ends of tasks and the owner's ticks, every 25 ms, come in order.
    pub fn advance(&mut self, by: time::Duration) {
        let until = self.now + by;
        let tick = time::Duration::from_millis(25);
        let mut due = self.now + tick;
        while due <= until {
            self.end_until(due);
            self.now = due;
            self.owner.tick(due);
            self.apply_actions();
            due += tick;
        }
        self.end_until(until);
        self.now = until;
    }

    /// Returns the refusal with which a job ended, if it ended so.
    pub fn refusal(&self, number: WaiterId) -> Option<&lovagemill::refusal::Refusal> {
        match self.endings.get(&number).map(|(_, ending)| &**ending) {
            Some(submission::Ending::Failed(refusal)) => Some(refusal),
            _ => None,
        }
    }

    /// Returns whether a job ended with a complete answer.
    pub fn is_complete(&self, number: WaiterId) -> bool {
        let ending = self.endings.get(&number).map(|(_, ending)| &**ending);
        matches!(ending, Some(submission::Ending::Complete(_)))
    }

    /// Returns the number of starts of a client account's tasks, not counting the first `from`
    /// starts.
    pub fn starts_of(&self, account: &str, from: usize) -> usize {
        let prefix = format!("{account}/");
        let starts = self.starts[from..].iter();
        starts.filter(|(_, id)| id.job.starts_with(&prefix)).count()
    }

    /// Ends the tasks that are due by `until`, in order.
    fn end_until(&mut self, until: time::Instant) {
        while self
            .ends
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= until)
        {
            let Some(Reverse((at, number))) = self.ends.pop() else {
                return;
            };
            let Some((agent, id, since, outcome)) = self.running.remove(&number) else {
                continue;
            };
            self.now = at;
            self.answer(&agent, id, at - since, outcome);
        }
    }

    fn answer(
        &mut self,
        agent: &id::AgentId,
        id: task::Id,
        ran: time::Duration,
        outcome: Result<(), code::Code>,
    ) {
        let notice = match outcome {
            Err(code) if code.outcome() == code::Outcome::NotRun => {
                // The highest number covers every start of the task.
                let attempt = u32::MAX;
                notice::Notice::Refused(order::Attempt { id, attempt }, code)
            }
            outcome => notice::Notice::Answer(notice::Answer {
                id,
                outcome: match outcome {
                    Ok(()) => task::Outcome::Done(self.answer.clone()),
                    Err(code) => task::Outcome::Failed(code),
                },
                ran_us: ran.as_micros() as u64,
            }),
        };
        self.owner.handle_notice(self.now, agent, notice);
        self.owner.dispatch(self.now);
        self.apply_actions();
    }

    /// Carries out the owner's actions.
    fn apply_actions(&mut self) {
        for action in self.owner.take_actions() {
            match action {
                Action::Record(_) => {}
                Action::Order(agent, order::Order::Start(start)) => self.start(agent, start),
                Action::Order(agent, order::Order::Cancel(key)) => self.stop(agent, &key),
                Action::Reply(number, ending) => {
                    self.endings.insert(number, (self.now, ending));
                }
                Action::Order(..) | Action::Claim(_) => {}
            }
        }
    }

    fn start(&mut self, agent: id::AgentId, start: order::Start) {
        self.starts.push((agent.clone(), start.id.clone()));
        let end = (self.behavior)(&agent, &start, self.now - self.started_at);
        self.last_number += 1;
        // A start that never ends by itself gets its outcome from a cancellation, in `stop`.
        let outcome = end.as_ref().map_or(Ok(()), |end| end.outcome);
        if let Some(end) = end {
            self.ends
                .push(Reverse((self.now + end.after, self.last_number)));
        }
        self.running
            .insert(self.last_number, (agent, start.id, self.now, outcome));
    }

    fn stop(&mut self, agent: id::AgentId, key: &id::JobKey) {
        self.cancels.push(agent.clone());
        let held = self.running.iter_mut();
        let held = held.filter(|(_, (at, id, ..))| *at == agent && id.job == *key);
        for (number, (.., outcome)) in held {
            *outcome = Err(code::Code::Cancelled);
            self.ends.push(Reverse((self.now, *number)));
        }
    }
}

fn key(account: &str, number: WaiterId) -> CompactString {
    format_compact!("{account}/{}", number.to_compact_string())
}
