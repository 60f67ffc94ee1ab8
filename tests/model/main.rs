//! Explores the shipped claim, fence, takeover and join code breadth first, over all orders of
//! what can happen within stated bounds (`docs/design/claims.md` has the specification).

mod digest;
mod moves;
mod world;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::Arc;

use lovagemill::decide::ledger;
use pathfinding::directed::bfs;

use world::{Agent, Bounds, Joining, Mutation, Node, Row, Table, Truth, Used, World};

/// The world before anything happened: both agents have joined, nobody owns the cell.
fn start(bounds: Bounds) -> Node {
    let agent = || {
        let mut ledger = ledger::Ledger::default();
        ledger.join(0);
        Agent {
            ledger: digest::Part::open(ledger),
            life: 1,
            joining: Joining::Joined,
            owner: None,
            greeted: 0,
            running: BTreeSet::new(),
        }
    };
    let row = || Row {
        life: 1,
        lost: Vec::new(),
    };
    let mut agents = [agent(), agent()];
    let mut rows = [row(), row()];
    if bounds.newcomer {
        agents[1].ledger = digest::Part::default();
        agents[1].joining = Joining::Nothing;
        rows[1] = Row::default();
    }
    let table = Table {
        rows,
        ..Table::default()
    };
    Node::of(World {
        bounds: Arc::new(bounds),
        used: Used::default(),
        clock: 0,
        table,
        entries: Default::default(),
        agents,
        wire: BTreeSet::new(),
        truth: Truth::default(),
        step: String::new(),
    })
}

/// Looks for the shortest story that breaks a promise.
fn search(bounds: Bounds) -> Option<String> {
    let begun = std::time::Instant::now();
    let states = Cell::new(0_u64);
    let most = bounds.states;
    let successors = |node: &Node| {
        states.set(states.get() + 1);
        if states.get() > most {
            return Vec::new();
        }
        moves::all(node)
    };
    let begin = lead_in(start(bounds));
    let found = bfs::bfs(&begin, successors, |node| node.world.truth.wrong.is_some());
    println!("{} states in {:.1?}", states.get(), begun.elapsed());
    found.map(|path| story(&path))
}

/// The first owner takes the cell and meets both agents, before the search branches out.
fn lead_in(start: Node) -> Node {
    let first = [
        "entry 1 takes the cell",
        "entry 1 reads the members",
        "arrives: Hello",
        "arrives: Up",
        "arrives: Hello",
        "arrives: Up",
    ];
    let known = if start.world.bounds.newcomer { 4 } else { 6 };
    let mut node = start;
    for step in first.into_iter().take(known) {
        let next = moves::all(&node);
        let found = next.into_iter().find(|n| n.world.step.starts_with(step));
        node = found.unwrap_or_else(|| panic!("\"{step}\" can't be done"));
    }
    node
}

fn story(path: &[Node]) -> String {
    let mut story = String::new();
    for (number, node) in path.iter().enumerate().skip(1) {
        story += &format!("{number:3}. {}\n", node.world.step);
    }
    let last = path.last().expect("a path has an end");
    let wrong = last.world.truth.wrong.as_deref();
    story + &format!("     => {}\n", wrong.unwrap_or("nothing is wrong"))
}

fn holds(bounds: Bounds) {
    if let Some(story) = search(bounds) {
        panic!("a promise is broken:\n{story}");
    }
}

fn breaks(mutation: Mutation, bounds: Bounds) {
    let story = search(Bounds { mutation, ..bounds });
    println!("{}", story.expect("the mutation must be found"));
}

/// One task, one takeover from a living owner, one agent that loses its memory.
fn small() -> Bounds {
    Bounds {
        tasks: 1,
        submissions: 2,
        takeovers: 2,
        agent_deaths: 1,
        idempotent: true,
        minted: Some(0),
        states: 200_000,
        ..Bounds::default()
    }
}

#[test]
fn aged_key_crash() {
    holds(Bounds {
        kill: true,
        ..small()
    });
}

#[test]
fn plain_key_crash() {
    holds(Bounds {
        minted: None,
        kill: true,
        ..small()
    });
}

#[test]
fn aged_key_pause() {
    holds(Bounds {
        agent_deaths: 0,
        duplicates: 1,
        ..small()
    });
}

#[test]
fn plain_key_pause() {
    holds(Bounds {
        agent_deaths: 0,
        duplicates: 1,
        minted: None,
        ..small()
    });
}

/// Two tasks, so that one may run where the other doesn't.
#[test]
fn two_tasks_crash() {
    holds(Bounds {
        tasks: 2,
        kill: true,
        ..small()
    });
}

/// The owner writes its claim but never hears of it, or gives up waiting for it.
#[test]
fn claim_answers_lost() {
    holds(Bounds {
        minted: None,
        agent_deaths: 0,
        lost_answers: 1,
        refusals: 1,
        submissions: 3,
        ..small()
    });
}

/// Links break while both ends live, and what was sent on them arrives late.
#[test]
fn links_lost() {
    holds(Bounds {
        takeovers: 1,
        agent_deaths: 0,
        link_losses: 1,
        tasks: 2,
        submissions: 1,
        duplicates: 1,
        ..small()
    });
}

/// The caller cancels, here or there.
#[test]
fn cancelled() {
    holds(Bounds {
        agent_deaths: 0,
        cancels: 1,
        ..small()
    });
}

/// The caller's clock is far ahead, so that its key claims to be younger than the takeover.
#[test]
fn caller_clock_ahead() {
    holds(Bounds {
        minted: Some(1_000),
        kill: true,
        ..small()
    });
}

/// An agent restarts long before the takeover, while the owner can't write its claims.
#[test]
fn agent_lost_long_before_takeover() {
    holds(Bounds {
        seconds: 10,
        stride: 10,
        kill: true,
        lost_early: true,
        ..small()
    });
}

/// The new owner can't reach an agent that the old one, whose clock stood still, still uses.
#[test]
fn frozen_owner_behind_a_partition() {
    holds(Bounds {
        agent_deaths: 0,
        cut_off: Some((1, 1)),
        seconds: 10,
        stride: 10,
        frozen: 1,
        submissions: 2,
        minted: Some(10),
        entry_skew: [500, 0],
        ..small()
    });
}

/// Without the fence a paused owner goes on starting tasks after its successor has looked.
#[test]
fn finds_a_removed_fence() {
    let bounds = Bounds {
        agent_deaths: 0,
        ..small()
    };
    breaks(Mutation::FenceRemoved, bounds);
}

/// An agent that reads the epoch before it writes its row falls between two owners.
#[test]
fn finds_a_reversed_join() {
    breaks(Mutation::JoinReversed, newcomer());
}

fn newcomer() -> Bounds {
    Bounds {
        newcomer: true,
        agent_deaths: 0,
        ..small()
    }
}

/// An agent joins while the cell changes hands.
#[test]
fn agent_joins() {
    holds(newcomer());
}

/// A start whose answer is slow is sent to another agent.
#[test]
fn finds_a_blind_retry() {
    let bounds = Bounds {
        takeovers: 1,
        agent_deaths: 0,
        submissions: 1,
        ..small()
    };
    breaks(Mutation::BlindRetry, bounds);
}

/// An owner of the past writes a claim after its successor has read the claims.
#[test]
fn finds_an_unconditional_claim() {
    let bounds = Bounds {
        minted: None,
        agent_deaths: 0,
        cut_off: Some((1, 1)),
        seconds: 2,
        stride: 2,
        ..small()
    };
    breaks(Mutation::ClaimUnconditional, bounds);
}

/// An agent that restarts says nothing of its life before.
#[test]
fn finds_ignored_lost_lives() {
    let bounds = Bounds {
        kill: true,
        ..small()
    };
    breaks(Mutation::LostLivesIgnored, bounds);
}
