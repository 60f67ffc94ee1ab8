//! Decides which entry may use room that becomes free.
//!
//! Under overload, many entries wait for the room of all workers. If every entry with waiting work were told of
//! each slot that becomes free, all would send a start, all but one start would be returned, and entries with
//! little processor time couldn't keep up with the messages. So free room is lent to one entry at a time, the
//! one whose work is most urgent, for as long as its start may take to arrive.

use std::time;

use crate::decide::besteffort::message::{EntryIncarnation, Room, WaitingWork};
use crate::decide::besteffort::sharing::lending;
use crate::decide::besteffort::slots::{Entry, Slots};

/// How long room is lent to an entry that was told of it: the time of an exchange between failure domains (2
/// ms), and the time until a busy entry handles the message.
const LOAN_DURATION: time::Duration = time::Duration::from_millis(25);

/// Room that is reserved for the starts of one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    pub(super) room: Room,
    /// The number of tasks that the room is lent for.
    pub(super) tasks: u32,
    /// Whether a start has used some of it.
    is_used: bool,
    pub(super) until: time::Duration,
    /// The agent's clock in the message that told the entry of the loan; none if it wasn't sent yet.
    pub(super) sent_ms: Option<u64>,
}

impl Entry {
    /// Lends the room of one more task to the entry, until `until`.
    fn add_loan(&mut self, until: time::Duration, work: &WaitingWork) {
        let before = self.loan;
        let (room, tasks) = before.map_or((Room::default(), 0), |l| (l.room, l.tasks));
        self.loan = Some(Loan {
            room: room.plus(&work.need),
            tasks: tasks + 1,
            is_used: before.is_some_and(|loan| loan.is_used),
            until,
            sent_ms: None,
        });
    }
}

impl Slots {
    /// Updates what waits at an entry. A message that the entry wrote after it heard of a loan (`seen_ms` is
    /// the agent's clock in the last message that it had read by then) ends the loan: the starts in it have used the
    /// room, and the rest becomes free.
    pub fn update_waiting_work(
        &mut self,
        now: time::Duration,
        name: &EntryIncarnation,
        seen_ms: u64,
        work: Option<WaitingWork>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.waiting_work = work;
        let sent_ms = entry.loan.and_then(|loan| loan.sent_ms);
        if sent_ms.is_some_and(|sent_ms| seen_ms >= sent_ms) {
            let is_unused = entry.loan.take().is_some_and(|loan| !loan.is_used);
            if is_unused && work.is_some() {
                entry.loan_usage.unused(now);
            }
        }
        self.lend_free_room(now);
    }

    /// Uses the entry's loan for a start that has arrived; that room isn't reserved any more.
    pub(super) fn use_loan(&mut self, name: &EntryIncarnation, need: &Room) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.loan.is_some() {
            entry.loan_usage.used();
        }
        entry.loan = entry.loan.take().and_then(|mut loan| {
            loan.is_used = true;
            // A task that is larger than the one the room was lent for uses up the loan.
            let fits = loan.room.fits(need);
            loan.room = loan.room.minus(need);
            loan.tasks -= 1;
            (fits && loan.tasks > 0).then_some(loan)
        });
    }

    /// Sums the room that is lent to entries other than `except`.
    pub(super) fn lent_room(&self, except: Option<&EntryIncarnation>) -> Room {
        let others = self
            .entries
            .iter()
            .filter(|(name, _)| Some(*name) != except);
        let loans = others.filter_map(|(_, entry)| entry.loan);
        loans.fold(Room::default(), |sum, loan| sum.plus(&loan.room))
    }

    /// Ends expired loans and lends the free room to the entries whose work is most urgent.
    pub(super) fn lend_free_room(&mut self, now: time::Duration) {
        for entry in self.entries.values_mut() {
            if let Some(loan) = entry.loan.take_if(|loan| now >= loan.until) {
                let could_be_used = loan.sent_ms.is_some() && entry.waiting_work.is_some();
                if !loan.is_used && could_be_used {
                    entry.loan_usage.unused(now);
                }
            }
        }
        if !self.takes_work() {
            return;
        }
        let mut free = self.free().minus(&self.lent_room(None));
        if self.features.demand {
            self.lend_by_demand(now, free);
            return;
        }
        loop {
            let requests = self.entries.values_mut().filter_map(|entry| {
                let work = entry.waiting_work?;
                let lent = entry.loan.map_or(0, |loan| loan.tasks);
                let more = lent < work.tasks && free.fits(&work.need);
                (more && now < entry.alive_until).then_some((work, entry))
            });
            let first = requests.min_by_key(|(work, _)| (work.priority, work.urgency_ms));
            let Some((work, entry)) = first else {
                return;
            };
            free = free.minus(&work.need);
            entry.add_loan(now + LOAN_DURATION, &work);
        }
    }

    /// Lends the free room by class and latest start, with a turn for classes that would starve; see
    /// [`lending`]. Nothing is lent for work that needs no room, of which any number of tasks would fit.
    fn lend_by_demand(&mut self, now: time::Duration, mut free: Room) {
        loop {
            let may_take_turn = self.lent_lately.may_take_turn(now);
            let requests = self.entries.values_mut().filter_map(|entry| {
                let work = entry.waiting_work?;
                let may_borrow = now < entry.alive_until && entry.loan_usage.may_borrow(now);
                let request = lending::Request {
                    work,
                    share: &entry.waiting_share,
                    lent: entry.loan.map_or(0, |loan| loan.tasks),
                };
                let rank = lending::rank(&request, may_take_turn)?;
                let needs_room = !Room::default().fits(&work.need);
                let fits = needs_room && free.fits(&work.need);
                (may_borrow && fits).then_some((rank, work, entry))
            });
            let Some((rank, work, entry)) = requests.min_by_key(|(rank, ..)| *rank) else {
                return;
            };
            free = free.minus(&work.need);
            // Room that is added to a loan doesn't extend it: an entry that never answers would keep all of it.
            let until = entry.loan.map_or(now + LOAN_DURATION, |loan| loan.until);
            entry.add_loan(until, &work);
            self.lent_lately.lent(now, work.need.cpu, rank.is_turn());
        }
    }
}
