//! Model checker for claims, fencing, takeover and joining: explores the shipped code breadth first
//! over all orders of events within stated bounds (`docs/design/claims.md` has the specification).

mod digest;
mod moves;
mod world;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::Arc;

use lovagemill::decide::ledger;
use pathfinding::directed::bfs;

use world::{Agent, Bounds, Joining, Mutation, Node, Row, Table, Truth, Used, World};

/// The initial state: no entry owns the cell. Both agents have joined it; if the bounds have a
/// newcomer, only the first one has.
fn start(bounds: Bounds) -> Node {
    let agent = || {
        let mut ledger = ledger::Ledger::default();
        ledger.join(0);
        Agent {
            ledger: digest::Digested::open(ledger),
            incarnation: 1,
            joining: Joining::Joined,
            owner: None,
            newest_hello: 0,
            running: BTreeSet::new(),
        }
    };
    let row = || Row {
        incarnation: 1,
        lost: Vec::new(),
    };
    let mut agents = [agent(), agent()];
    let mut rows = [row(), row()];
    if bounds.newcomer {
        agents[1].ledger = digest::Digested::default();
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
        messages: BTreeSet::new(),
        truth: Truth::default(),
        step: String::new(),
    })
}

/// Searches for the shortest trace of events that breaks a promise.
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
    let begin = take_first_cell(start(bounds));
    let found = bfs::bfs(&begin, successors, |node| {
        node.world.truth.violation.is_some()
    });
    println!("{} states in {:.1?}", states.get(), begun.elapsed());
    found.map(|path| trace(&path))
}

/// Lets the first owner take the cell and link to the agents, so that the search starts from there.
fn take_first_cell(start: Node) -> Node {
    let first = [
        "entry 1 takes the cell",
        "entry 1 reads the members",
        "arrives: Hello",
        "arrives: Up",
        "arrives: Hello",
        "arrives: Up",
    ];
    let steps = if start.world.bounds.newcomer { 4 } else { 6 };
    let mut node = start;
    for step in first.into_iter().take(steps) {
        let next = moves::all(&node);
        let found = next.into_iter().find(|n| n.world.step.starts_with(step));
        node = found.unwrap_or_else(|| panic!("\"{step}\" can't be done"));
    }
    node
}

/// Lists the events of a path, and how its last state breaks a promise.
fn trace(path: &[Node]) -> String {
    let mut trace = String::new();
    for (number, node) in path.iter().enumerate().skip(1) {
        trace += &format!("{number:3}. {}\n", node.world.step);
    }
    let last = path.last().expect("a path has an end");
    let wrong = last.world.truth.violation.as_deref();
    trace + &format!("     => {}\n", wrong.unwrap_or("nothing is wrong"))
}

/// Checks that no trace within the bounds breaks a promise.
fn assert_holds(bounds: Bounds) {
    if let Some(trace) = search(bounds) {
        panic!("a promise is broken:\n{trace}");
    }
}

/// Checks that a trace within the bounds breaks a promise once the mutation is applied.
fn assert_found(mutation: Mutation, bounds: Bounds) {
    let trace = search(Bounds { mutation, ..bounds });
    println!("{}", trace.expect("the mutation must be found"));
}

/// One task, one takeover from an owner that may be alive, and one agent that restarts without its
/// records.
fn small_bounds() -> Bounds {
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

/// The key holds the time at which it was minted, and an owner dies when its cell is taken over.
#[test]
fn aged_key_crash() {
    assert_holds(Bounds {
        kill_previous_owner: true,
        ..small_bounds()
    });
}

/// The key doesn't hold the time at which it was minted, and an owner dies when its cell is taken
/// over.
#[test]
fn plain_key_crash() {
    assert_holds(Bounds {
        minted: None,
        kill_previous_owner: true,
        ..small_bounds()
    });
}

/// The key holds the time at which it was minted, and an owner is only paused when its cell is
/// taken over.
#[test]
fn aged_key_pause() {
    assert_holds(Bounds {
        agent_deaths: 0,
        duplicates: 1,
        ..small_bounds()
    });
}

/// The key doesn't hold the time at which it was minted, and an owner is only paused when its cell
/// is taken over.
#[test]
fn plain_key_pause() {
    assert_holds(Bounds {
        agent_deaths: 0,
        duplicates: 1,
        minted: None,
        ..small_bounds()
    });
}

/// Two tasks, so that one may run on an agent and the other not.
#[test]
fn two_tasks_crash() {
    assert_holds(Bounds {
        tasks: 2,
        kill_previous_owner: true,
        ..small_bounds()
    });
}

/// The owner's claim is written but the answer is lost, or the owner gives up waiting for it.
#[test]
fn claim_answers_lost() {
    assert_holds(Bounds {
        minted: None,
        agent_deaths: 0,
        lost_answers: 1,
        refusals: 1,
        submissions: 3,
        ..small_bounds()
    });
}

/// Links break while both ends are alive, and messages that were sent on them arrive late.
#[test]
fn links_lost() {
    assert_holds(Bounds {
        takeovers: 1,
        agent_deaths: 0,
        link_losses: 1,
        tasks: 2,
        submissions: 1,
        duplicates: 1,
        ..small_bounds()
    });
}

/// The caller cancels the job at either entry.
#[test]
fn cancelled() {
    assert_holds(Bounds {
        agent_deaths: 0,
        cancels: 1,
        ..small_bounds()
    });
}

/// The caller's clock is far ahead, so its key seems to be minted after the takeover.
#[test]
fn caller_clock_ahead() {
    assert_holds(Bounds {
        minted: Some(1_000),
        kill_previous_owner: true,
        ..small_bounds()
    });
}

/// An agent restarts long before the takeover, at a time when the owner can't write its claims.
#[test]
fn agent_lost_long_before_takeover() {
    assert_holds(Bounds {
        seconds: 10,
        stride: 10,
        kill_previous_owner: true,
        agents_die_early: true,
        ..small_bounds()
    });
}

/// The new owner can't reach an agent that the previous owner, whose clock stopped for a while,
/// still uses.
#[test]
fn frozen_owner_behind_a_partition() {
    assert_holds(Bounds {
        agent_deaths: 0,
        cut_off: Some((1, 1)),
        seconds: 10,
        stride: 10,
        frozen: 1,
        submissions: 2,
        minted: Some(10),
        entry_skew: [500, 0],
        ..small_bounds()
    });
}

/// Without the fence a paused owner goes on starting tasks after the new owner has read the
/// reports.
#[test]
fn finds_a_removed_fence() {
    let bounds = Bounds {
        agent_deaths: 0,
        ..small_bounds()
    };
    assert_found(Mutation::FenceRemoved, bounds);
}

/// An agent that reads the epoch before it writes its row is missed by a new owner and still
/// accepts the previous one.
#[test]
fn finds_a_reversed_join() {
    assert_found(Mutation::JoinReversed, newcomer_bounds());
}

/// One agent that has joined and one that joins for the first time.
fn newcomer_bounds() -> Bounds {
    Bounds {
        newcomer: true,
        agent_deaths: 0,
        ..small_bounds()
    }
}

/// An agent joins while the owner of the cell changes.
#[test]
fn agent_joins() {
    assert_holds(newcomer_bounds());
}

/// A start whose answer is slow is also sent to another agent.
#[test]
fn finds_a_blind_retry() {
    let bounds = Bounds {
        takeovers: 1,
        agent_deaths: 0,
        submissions: 1,
        ..small_bounds()
    };
    assert_found(Mutation::BlindRetry, bounds);
}

/// A previous owner writes a claim after the new owner has read the claims.
#[test]
fn finds_an_unconditional_claim() {
    let bounds = Bounds {
        minted: None,
        agent_deaths: 0,
        cut_off: Some((1, 1)),
        seconds: 2,
        stride: 2,
        ..small_bounds()
    };
    assert_found(Mutation::ClaimUnconditional, bounds);
}

/// An agent that restarts doesn't record its lost incarnation in its row.
#[test]
fn finds_ignored_lost_incarnations() {
    let bounds = Bounds {
        kill_previous_owner: true,
        ..small_bounds()
    };
    assert_found(Mutation::LostIncarnationsIgnored, bounds);
}
