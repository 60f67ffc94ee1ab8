//! The draw between several agents that suit a task equally well.

use lovagemill::decide::besteffort::draw;
use lovagemill::decide::besteffort::message::Run;

fn run(task: u32) -> Run {
    Run {
        job: "5c0e7a21d94b36f8".into(),
        task,
        number: 7_000,
    }
}

/// Guards against entries that all send to one agent because each chooses the one with the most free room. An
/// agent must win as often as its share of the room, and the draws of different tasks must be independent.
#[test]
fn agents_are_drawn_in_proportion_to_their_room() {
    let rooms = [("a", 1.0), ("b", 2.0), ("c", 5.0)];
    let mut won = [0_u32; 3];
    for task in 0..8_000 {
        let keys =
            rooms.map(|(agent, room)| draw::weighted_key(draw::seed(&run(task)), agent, room));
        let winner = (0..3).min_by(|a, b| keys[*a].total_cmp(&keys[*b]));
        won[winner.expect("three agents")] += 1;
    }
    for (won, (agent, room)) in won.iter().zip(rooms) {
        let expected = 1_000.0 * room;
        let off = (f64::from(*won) - expected).abs();
        assert!(off < 0.1 * expected + 50.0, "{agent} won {won}");
    }
    // The same run always has the same draw.
    let again = [1, 2].map(|_| draw::weighted_key(draw::seed(&run(3)), "a", 2.0));
    assert_eq!(again[0], again[1]);
}
