//! Events of a play in virtual time, in the order of their times, and of their making where these agree.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What is still to happen; times are in whatever unit the play counts.
#[derive(Debug)]
pub struct Schedule<E> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, E>,
    last: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Schedule<E> {
        Schedule {
            order: BinaryHeap::new(),
            events: HashMap::new(),
            last: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Has an event happen at a time.
    pub fn insert(&mut self, at: u64, event: E) {
        self.last += 1;
        self.order.push(Reverse((at, self.last)));
        self.events.insert(self.last, event);
    }

    /// Takes the next event, and its time.
    pub fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
