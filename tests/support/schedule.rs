//! Events of a simulation in virtual time, ordered by time. Events of the same time keep the order in which they were
//! inserted.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The events that are still to come; the simulation chooses the unit of time.
#[derive(Debug)]
pub struct Schedule<E> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, E>,
    last_number: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Schedule<E> {
        Schedule {
            order: BinaryHeap::new(),
            events: HashMap::new(),
            last_number: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Schedules an event for the time `at`.
    pub fn insert(&mut self, at: u64, event: E) {
        self.last_number += 1;
        self.order.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Removes the next event; returns its time and the event.
    pub fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
