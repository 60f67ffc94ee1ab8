//! What the owner's decisions cost per task: the pure part, driven by synthetic events and time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time;

use compact_str::format_compact;
use serde_json::value::RawValue;

use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::class;
use crate::decide::action::{self, Action};
use crate::decide::ledger;
use crate::decide::notice;
use crate::decide::order::Order;
use crate::decide::owner;
use crate::id;
use crate::submission;
use crate::task;

/// Run time of every task.
const RUN: time::Duration = time::Duration::from_millis(100);

/// The wall clock of the owner and of all keys, since the Unix epoch.
const WALL: time::Duration = time::Duration::from_secs(1_700_000_000);

/// Submissions without a start after which the owner plainly takes no work any more.
const MAX_IDLE: u64 = 100_000;

/// How often the owner's tick comes, as in a running entry.
const TICK: time::Duration = time::Duration::from_millis(25);

/// How often claims written behind their starts are reported, as by a running entry.
const CLAIMED: time::Duration = time::Duration::from_millis(400);

/// A size at which decisions are measured.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// What the report calls it.
    pub name: &'static str,
    /// Agents of the cell.
    pub agents: usize,
    /// Slots of each.
    pub slots: u32,
    /// Client accounts.
    pub client_accounts: usize,
    /// Tasks of a job.
    pub tasks: usize,
    /// Tasks that wait all the time.
    pub waiting: usize,
}

/// The sizes: today's, a cell of the target size, and the whole target size under one owner.
const SIZES: [Size; 4] = [
    Size {
        name: "11 agents, 88 slots, 7 customers, 500 waiting",
        agents: 11,
        slots: 8,
        client_accounts: 7,
        tasks: 10,
        waiting: 500,
    },
    Size {
        name: "50 agents, 400 slots, 48 teams, 6,000 waiting",
        agents: 50,
        slots: 8,
        client_accounts: 48,
        tasks: 145,
        waiting: 6_000,
    },
    Size {
        name: "790 agents, 6,320 slots, 48 teams, 6,000 waiting",
        agents: 790,
        slots: 8,
        client_accounts: 48,
        tasks: 145,
        waiting: 6_000,
    },
    Size {
        name: "790 agents, 6,320 slots, 48 teams, 100,000 waiting",
        agents: 790,
        slots: 8,
        client_accounts: 48,
        tasks: 145,
        waiting: 100_000,
    },
];

/// Measures every size, with the rounds of all sizes interleaved.
pub fn run(cfg: Config) -> Vec<Slope> {
    let (rounds, tasks) = if cfg.quick { (1, 10_000) } else { (5, 30_000) };
    let mut found = vec![Vec::new(); SIZES.len()];
    for _ in 0..rounds {
        for (size, found) in SIZES.iter().zip(&mut found) {
            let mut world = World::open(*size);
            world.warm_up();
            found.push(world.cost_per_task(tasks));
        }
    }
    let slope = |(size, rounds): (&Size, Vec<f64>)| {
        let name = format!("per task: {}", size.name);
        Slope::of("decisions", name, "us", rounds)
    };
    SIZES.iter().zip(found).map(slope).collect()
}

/// An owner and the events around it.
struct World {
    size: Size,
    owner: owner::Owner,
    now: time::Instant,
    ticked: time::Instant,
    claimed: time::Instant,
    claims: Vec<action::Claim>,
    running: VecDeque<(time::Instant, id::AgentId, task::Id)>,
    jobs: u64,
    spent: time::Duration,
}

impl World {
    fn open(size: Size) -> World {
        let now = time::Instant::now();
        let config = Arc::new(configuration());
        let mut owner = owner::Owner::open(1, owner::Policy::default(), config, now, WALL);
        owner.set_members(now, Vec::new(), &[]);
        owner.set_earlier_claims(now, Vec::new());
        for number in 0..size.agents {
            welcome(&mut owner, now, number, size.slots);
        }
        World {
            size,
            owner,
            now,
            ticked: now,
            claimed: now,
            claims: Vec::new(),
            running: VecDeque::new(),
            jobs: 0,
            spent: time::Duration::ZERO,
        }
    }

    /// Brings the owner to its size: all slots busy, and the waiting tasks there.
    fn warm_up(&mut self) {
        let slots = self.size.agents * self.size.slots as usize;
        while self.running.len() < slots || self.owner.queue().len() < self.size.waiting {
            self.submit();
            // Guards against a warm-up without end where jobs are refused or wait for claims.
            let stuck = self.running.is_empty() && self.jobs > MAX_IDLE;
            assert!(!stuck, "the owner starts nothing");
        }
        for _ in 0..2_000 {
            self.step();
        }
    }

    /// Microseconds of processor time per task, from submission to answer.
    fn cost_per_task(&mut self, tasks: usize) -> f64 {
        self.spent = time::Duration::ZERO;
        for _ in 0..tasks {
            self.step();
        }
        self.spent.as_secs_f64() * 1e6 / tasks as f64
    }

    /// One task ends; what that lets the owner do is done.
    fn step(&mut self) {
        let (at, agent, id) = self.running.pop_front().expect("slots are busy");
        self.now = self.now.max(at);
        let answer = notice::Answer {
            id,
            outcome: task::Outcome::Done(raw("{\"value\":1}")),
            ran_us: RUN.as_micros() as u64,
        };
        let load = load(self.size.slots);
        self.time(|owner, now| {
            owner.handle_notice(now, &agent, notice::Notice::Answer(answer));
            owner.update_load(now, &agent, load);
        });
        while self.owner.queue().len() < self.size.waiting {
            self.submit();
        }
        if self.now.duration_since(self.ticked) >= TICK {
            self.ticked = self.now;
            self.time(owner::Owner::tick);
        }
        if self.now.duration_since(self.claimed) >= CLAIMED {
            self.claimed = self.now;
            let claims = std::mem::take(&mut self.claims);
            self.time(|owner, now| {
                owner.note_ownership_proof(now);
                owner.claims_written(now, &claims);
            });
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let job = submission(self.jobs, self.size.client_accounts, self.size.tasks);
        let waiter = self.jobs;
        self.time(|owner, now| owner.submit(now, Arc::new(job), waiter));
    }

    /// Feeds an event, takes what is to be done, and counts the time of both.
    fn time(&mut self, event: impl FnOnce(&mut owner::Owner, time::Instant)) {
        let begun = time::Instant::now();
        event(&mut self.owner, self.now);
        let actions = self.owner.take_actions();
        self.spent += begun.elapsed();
        for action in actions {
            match action {
                Action::Order(agent, Order::Start(start)) => {
                    self.running.push_back((self.now + RUN, agent, start.id));
                }
                Action::Claim(claim) => self.claims.push(claim),
                _ => {}
            }
        }
    }
}

/// Introduces an agent to an owner.
pub fn welcome(owner: &mut owner::Owner, now: time::Instant, number: usize, slots: u32) {
    let welcome = notice::Welcome {
        incarnation: 1,
        failure_domain: format_compact!("domain-{}", number % 5),
        rack: format_compact!("rack-{}", number / 3),
        tasks: Vec::new(),
    };
    let id = format_compact!("agent-{number:04}");
    owner.handle_welcome(now, &id, welcome, load(slots));
}

fn load(slots: u32) -> notice::Load {
    notice::Load {
        slots,
        capacity: task::Needs {
            processor_milli: 32_000,
            memory_mb: 65_536,
            accelerators: 1,
        },
        running: slots,
        draining: false,
    }
}

/// A configuration whose target never refuses anything here.
pub fn configuration() -> class::Versioned {
    class::Versioned {
        version: 1,
        document: class::Document {
            classes: vec![class::Class {
                name: "check".into(),
                target_ms: class::MAX_TARGET.as_millis() as i64,
                max_tasks: 290,
            }],
            quotas: Vec::new(),
        },
    }
}

/// A job under a key that tells its age, so that it starts ahead of its claim.
pub fn submission(number: u64, accounts: usize, tasks: usize) -> submission::Submission {
    let client_account = format_compact!("team-{:02}", number % accounts as u64);
    let task = || submission::Task {
        kind: "check".into(),
        run_ms: RUN.as_millis() as u64,
        needs: task::Needs::default(),
        input: raw("{\"trip\":\"2026-12-01/0417\",\"insurer\":\"sul\",\"route\":[1,2,3,4]}"),
    };
    submission::Submission {
        key: format_compact!("{client_account}/0190a5b3-7c1d-7e2f-8a3b-{number:012x}"),
        digest: number,
        minted_ms: Some(WALL.as_millis() as u64),
        idempotent: true,
        job: submission::Job {
            client_account,
            class: "check".into(),
            tasks: std::iter::repeat_with(task).take(tasks).collect(),
        },
        traceparent: None,
    }
}

/// What an agent reports of tasks that it remembers, three of each job.
pub fn report(n: usize) -> Vec<(task::Id, ledger::TaskState)> {
    let record = |number: usize| {
        let id = task::Id {
            job: format_compact!("team-07/0190a5b3-7c1d-7e2f-8a3b-{:012x}", number / 3),
            index: (number % 3) as u32,
        };
        (id, ledger::TaskState::Gone)
    };
    (0..n).map(record).collect()
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the text is JSON")
}
