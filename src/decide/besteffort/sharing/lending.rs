//! Decides which entry gets room that becomes free at an agent.
//!
//! It addresses a class at a multiple of its usual rate while callers are uneven by entry: an entry with a long
//! queue was lent all room that its number of tasks allowed as soon as its first task was the most urgent one, and
//! the next entry's work of the same class waited.

use std::time;

use crate::decide::besteffort::job::LATE_PRIORITY;
use crate::decide::besteffort::message::WaitingWork;
use crate::decide::besteffort::sharing::demand::Share;
use crate::decide::besteffort::sharing::rates::Rate;

/// Part of the room that was lent lately which goes to classes whose turn it is. Callers of more urgent classes lose
/// no more than this, also to an entry that states a turn for all of its work.
const TURN_SHARE: f64 = 0.1;

/// Number of unused loans in a row from which on an entry is lent nothing for a while. One is usual, since the entry
/// asks several agents for the same task.
const UNUSED_BEFORE_PAUSE: u32 = 2;

/// First time without loans, doubled with each further unused one: as long as one loan.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(25);

/// Longest time without loans. An entry that never uses its loans of 25 ms then holds a ninth of the room that
/// becomes free, and one that was slow for a moment gets room again before the target of the shortest class.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// What one entry asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its first task, and the number of all its tasks.
    pub work: WaitingWork,
    /// Its waiting work by class; empty where the entry states none.
    pub share: &'a Share,
    /// Number of tasks that room is lent for now.
    pub lent: u32,
}

/// The order of requests; the smallest gets room first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// False goes first: the turn of a class.
    is_usual: bool,
    priority: u32,
    urgency_ms: u64,
}

impl Rank {
    /// Whether the request goes first because it's the turn of its class.
    pub fn is_turn(&self) -> bool {
        !self.is_usual
    }
}

/// Returns the rank of the next task that an entry may be lent room for; none if it has enough. Nothing is lent for
/// late work.
///
/// An entry is lent as many places at a time as tasks of it fall to one agent, since it is lent room by others
/// too, and what it can't use is kept from the other entries until its next message. Only the row of the announced
/// class counts: the room that is lent is what the announced task needs. One place is lent where the entry states
/// rows but none for that class, which happens beyond [`MAX_CLASSES`](crate::decide::besteffort::told::MAX_CLASSES).
pub fn rank(request: &Request, may_take_turn: bool) -> Option<Rank> {
    let work = request.work;
    if work.priority == LATE_PRIORITY {
        return None;
    }
    let rank = Rank {
        is_usual: true,
        priority: work.priority,
        urgency_ms: work.urgency_ms,
    };
    if work.overdue && may_take_turn && request.lent == 0 {
        return Some(Rank {
            is_usual: false,
            ..rank
        });
    }
    let rows = &request.share.classes;
    let announced = rows.iter().find(|row| row.priority == work.priority);
    let places = match announced {
        Some(row) => row.tasks,
        None if rows.is_empty() => work.tasks,
        None => 1,
    };
    (request.lent < places).then_some(rank)
}

/// The room that an agent lent lately, in all and to classes whose turn it was.
#[derive(Clone, Debug, Default)]
pub struct LentLately {
    all: Rate,
    in_turn: Rate,
}

impl LentLately {
    /// Whether a class whose turn it is may go first.
    pub fn may_take_turn(&self, now: time::Duration) -> bool {
        self.in_turn.decayed_sum(now) <= TURN_SHARE * self.all.decayed_sum(now)
    }

    /// Counts room that was lent, in thousandths of a core.
    pub fn lent(&mut self, now: time::Duration, cpu: i64, is_turn: bool) {
        self.all.add(now, cpu.max(0) as f64);
        if is_turn {
            self.in_turn.add(now, cpu.max(0) as f64);
        }
    }
}

/// What became of the latest loans to an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    unused: u32,
    paused_until: time::Duration,
}

impl Usage {
    /// Counts a loan of which some was used.
    pub fn used(&mut self) {
        *self = Usage::default();
    }

    /// Counts a loan that was sent and ended unused while the entry still had work waiting.
    pub fn unused(&mut self, now: time::Duration) {
        self.unused += 1;
        if self.unused >= UNUSED_BEFORE_PAUSE {
            let doubled = (self.unused - UNUSED_BEFORE_PAUSE).min(8);
            self.paused_until = now + (FIRST_PAUSE * (1 << doubled)).min(LONGEST_PAUSE);
        }
    }

    /// Whether room may be lent to the entry.
    pub fn may_borrow(&self, now: time::Duration) -> bool {
        now >= self.paused_until
    }
}
