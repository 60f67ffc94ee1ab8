//! Which entry gets the room that comes free.
//!
//! Answers bursts over the workers' room. Were every entry with work waiting told of each slot that comes
//! free, all would send to it, all but one start would come back, and thin entries would stand still under
//! the lines. Room is lent to one entry at a time, the one whose work is most urgent, for as long as its
//! start may take to arrive.

use std::time;

use crate::decide::besteffort::message::{EntryIncarnation, Room, WaitingWork};
use crate::decide::besteffort::slots::Slots;

/// How long room is kept for an entry that was told of it: an exchange between failure domains (2 ms),
/// and the turn of an entry that has much to do.
const LOAN_DURATION: time::Duration = time::Duration::from_millis(25);

/// Room that is kept for one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    pub(super) room: Room,
    /// Tasks that it is for.
    tasks: u32,
    until: time::Duration,
    /// The agent's clock in the line that told of it; none before it was told.
    pub(super) sent_ms: Option<u64>,
}

impl Slots {
    /// Takes in what waits at an entry. A line that answers a loan gives back what the starts in it
    /// haven't used.
    pub fn update_waiting_work(
        &mut self,
        now: time::Duration,
        name: &EntryIncarnation,
        seen_ms: u64,
        wants: Option<WaitingWork>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.waiting_work = wants;
        let told = entry.loan.and_then(|loan| loan.sent_ms);
        if told.is_some_and(|told| seen_ms >= told) {
            entry.loan = None;
        }
        self.lend_free_room(now);
    }

    /// A start has come: the room that was kept for it isn't kept any more.
    pub(super) fn use_loan(&mut self, name: &EntryIncarnation, need: &Room) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.loan = entry.loan.take().and_then(|mut loan| {
            // A larger task than the one that the room was lent for takes what there is.
            let fits = loan.room.fits(need);
            loan.room = loan.room.minus(need);
            loan.tasks -= 1;
            (fits && loan.tasks > 0).then_some(loan)
        });
    }

    /// Room that is kept for entries, but for one.
    pub(super) fn lent_room(&self, but: Option<&EntryIncarnation>) -> Room {
        let others = self.entries.iter().filter(|(name, _)| Some(*name) != but);
        let loans = others.filter_map(|(_, entry)| entry.loan);
        loans.fold(Room::default(), |sum, loan| sum.plus(&loan.room))
    }

    /// Lends what is free to the entries whose work is most urgent.
    pub(super) fn lend_free_room(&mut self, now: time::Duration) {
        for entry in self.entries.values_mut() {
            entry.loan = entry.loan.filter(|loan| now < loan.until);
        }
        if !self.takes_work() {
            return;
        }
        let mut free = self.free().minus(&self.lent_room(None));
        loop {
            let asking = self.entries.values_mut().filter_map(|entry| {
                let wants = entry.waiting_work?;
                let lent = entry.loan.map_or(0, |loan| loan.tasks);
                let more = lent < wants.tasks && free.fits(&wants.need);
                (more && now < entry.alive_until).then_some((wants, entry))
            });
            let first = asking.min_by_key(|(wants, _)| (wants.priority, wants.urgency_ms));
            let Some((wants, entry)) = first else {
                return;
            };
            free = free.minus(&wants.need);
            let before = entry
                .loan
                .map_or((Room::default(), 0), |l| (l.room, l.tasks));
            entry.loan = Some(Loan {
                room: before.0.plus(&wants.need),
                tasks: before.1 + 1,
                until: now + LOAN_DURATION,
                sent_ms: None,
            });
        }
    }
}
