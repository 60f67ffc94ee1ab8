//! Which of several agents a task goes to: the draw between those that suit alike, and how far old words
//! on their room are trusted.

use std::time::Duration;

use lovagemill::decide::besteffort::caution::Caution;
use lovagemill::decide::besteffort::draw;
use lovagemill::decide::besteffort::message::Run;
use lovagemill::decide::besteffort::policy::Policy;

fn run(task: u32) -> Run {
    Run {
        job: "5c0e7a21d94b36f8".into(),
        task,
        number: 7_000,
    }
}

/// All entries send to one agent because each takes the emptiest: an agent must win as often as its
/// share of the room, and the draws of different tasks must not hang together.
#[test]
fn agents_are_drawn_in_proportion_to_their_room() {
    let rooms = [("a", 1.0), ("b", 2.0), ("c", 5.0)];
    let mut won = [0_u32; 3];
    for task in 0..8_000 {
        let places = rooms.map(|(agent, room)| draw::place(&run(task), agent, room));
        let least = (0..3).min_by(|a, b| places[*a].total_cmp(&places[*b]));
        won[least.expect("three agents")] += 1;
    }
    for (won, (agent, room)) in won.iter().zip(rooms) {
        let expected = 1_000.0 * room;
        let off = (f64::from(*won) - expected).abs();
        assert!(off < 0.1 * expected + 50.0, "{agent} won {won}");
    }
    // The same events have the same effects.
    let again = [1, 2].map(|_| draw::place(&run(3), "a", 2.0));
    assert_eq!(again[0], again[1]);
}

/// A start waits at an agent that has filled up since it was heard. An entry trusts what it heard until
/// starts come back, then asks for more room the older the word is, and trusts again once runs begin.
#[test]
fn starts_that_come_back_make_an_entry_cautious() {
    let long = Duration::from_millis(200);
    let heard = |ms| Duration::from_millis(ms);
    let mut caution = Caution::open(Policy::default().caution);
    assert_eq!(caution.margin(10.0, heard(100), long), 0.0);
    caution.came_back();
    let (young, old) = (
        caution.margin(10.0, heard(1), long),
        caution.margin(10.0, heard(100), long),
    );
    assert!(young < 0.5 && old > 1.0, "{young} {old}");
    assert_eq!(caution.margin(10.0, heard(0), long), 0.0, "just heard");
    for _ in 0..100 {
        caution.came_back();
    }
    let most = caution.margin(10.0, heard(100), long);
    assert!(most < 10.0, "an empty agent is always sure: {most}");
    for _ in 0..500 {
        caution.began();
    }
    assert!(caution.margin(10.0, heard(100), long) < 0.1);
}
