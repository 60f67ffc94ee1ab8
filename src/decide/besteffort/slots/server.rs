//! The agent's side towards its backend server: the lease, answers and listings.

use std::collections::HashSet;
use std::time;

use crate::decide::besteffort::lease;
use crate::decide::besteffort::message::{Run, RunOutcome};
use crate::decide::besteffort::slots::incarnations::may_belong_to;
use crate::decide::besteffort::slots::{
    millis, HeldRun, Listing, Slots, StaleMessage, StartAnswer, State, STOP_RESEND_AFTER,
};

/// Part of the lease after which a renewal that wasn't answered is sent once more, on its own; the
/// listing that should have brought it is late.
const RENEW_AGAIN_AFTER_LEASES: f64 = 0.4;

impl Slots {
    /// Everything that was with the backend server has ended: its lease ran out or it is another.
    pub(super) fn end_lost_runs(&mut self, now: time::Duration, why: &'static str) {
        let gone = self.held.iter().filter(|(_, h)| h.state != State::Waiting);
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        if !gone.is_empty() {
            log::warn!(runs = gone.len(), why = why; "runs lost with the backend server");
            *self.counts.leases_lost.entry(why).or_default() += 1;
        }
        for run in gone {
            self.record_lost_run(now, &run);
            self.end_run(now, &run, RunOutcome::Gone);
        }
    }

    /// The end of the lease to ask for with a listing, on the backend server's clock.
    /// None while a run that has to end goes on, because its stop isn't answered or nobody was awake
    /// to send one: the lease is one for all, and running it out is the one way left to end that run
    /// before its task may start elsewhere. None as well before a life is known: each has a clock of
    /// its own, and a lease reckoned on that of a life which has crashed may last for minutes on that
    /// of the next.
    pub fn renew_lease(&mut self, now: time::Duration) -> Option<u64> {
        if self.backend.incarnation.id.is_empty() {
            return None;
        }
        let open = |held: &HeldRun| !matches!(held.state, State::Waiting | State::StopConfirmed);
        let overdue = |held: &HeldRun| now > self.end_due_at(held) + lease::DELAY_MARGIN;
        if self.held.values().any(|held| open(held) && overdue(held)) {
            return None;
        }
        self.lease.renew(now)
    }

    /// When a run has to end: withdrawn, past its deadline, or its entry not heard.
    fn end_due_at(&self, held: &HeldRun) -> time::Duration {
        let entry = self.entries.get(&held.entry);
        let heard = entry.map_or(time::Duration::ZERO, |entry| entry.alive_until);
        let deadline = millis(held.start.deadline_ms);
        held.must_end_since
            .unwrap_or(deadline)
            .min(deadline)
            .min(heard)
    }

    /// The last end that needn't be listed any more.
    pub fn acknowledged_end(&self) -> u64 {
        self.acknowledged
    }

    /// Whether a renewal is overdue while something runs, so that one more is worth a call.
    pub fn is_renewal_overdue(&self, now: time::Duration) -> bool {
        self.is_working()
            && self
                .lease
                .is_renewal_overdue(now, self.bounds.lease.mul_f64(RENEW_AGAIN_AFTER_LEASES))
    }

    /// Counts a word of the backend server that tells nothing any more.
    pub fn count_stale(&mut self, word: StaleMessage) {
        *self.counts.stale_messages.entry(word).or_default() += 1;
    }

    /// Takes in whether the backend server answers; nothing is started while it doesn't.
    pub(super) fn set_reachable(&mut self, now: time::Duration, reachable: bool) {
        if self.reachable == reachable {
            return;
        }
        self.reachable = reachable;
        log::info!(instance = self.backend.incarnation.id.as_str(), born_ms = self.backend.incarnation.born_ms, reached = reachable;
            "backend server's reach changed");
        self.dispatch_waiting(now);
    }

    /// A start was answered, or its time ran out.
    pub fn start_answered(&mut self, now: time::Duration, run: &Run, answer: StartAnswer) {
        *self.counts.starts.entry(answer.name()).or_default() += 1;
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        if held.state != State::Starting {
            return;
        }
        match answer {
            StartAnswer::Accepted => {
                held.state = State::Running;
                held.since = now;
                if held.must_end_since.is_some() {
                    self.send_stop(now, run);
                }
                self.start_may_have_begun(now);
            }
            StartAnswer::Refused => self.end_run(now, run, RunOutcome::NotRun),
            StartAnswer::Unhealthy => self.end_run(now, run, RunOutcome::Rejected),
            StartAnswer::Unknown => {
                held.state = State::StartUnconfirmed;
                held.must_end_since.get_or_insert(now);
                log::warn!(job = run.job.as_str(), task = run.task, run = run.number;
                    "start had no answer");
                self.send_stop(now, run);
                self.start_may_have_begun(now);
            }
        }
        self.dispatch_waiting(now);
    }

    /// A stop was answered: the run ends within the stop's grace, or never begins. Returns whether
    /// only a new listing can tell which, because nobody knows whether it began; an end that happens
    /// is listed by itself.
    pub fn stop_answered(&mut self, now: time::Duration, run: &Run) -> bool {
        let Some(held) = self.held.get_mut(run) else {
            return false;
        };
        let unsure = held.state == State::StartUnconfirmed;
        held.state = State::StopConfirmed;
        held.stop_at = now;
        unsure
    }

    /// Takes in a listing that was asked for at `sent`, of the life that is known.
    ///
    /// Two may be under way at a time, and the earlier one may come in last. What it has at work may
    /// have ended since, and its clock would make the lease seem longer than what was granted.
    ///
    /// A listing of another life under the same id is the first sign of it, and is asked for again: this
    /// one was asked without the new life's fence, so that an order which was decided for the life before
    /// may still be carried out after it.
    pub fn listing_received(
        &mut self,
        now: time::Duration,
        sent: time::Duration,
        listing: Listing,
    ) {
        if !may_belong_to(&listing, &self.backend.incarnation) {
            self.restarted_under_same_id(now, listing.born_ms);
            return;
        }
        if listing.clock_ms < self.newest_listing_ms {
            self.count_stale(StaleMessage::Listing);
            return;
        }
        self.newest_listing_ms = listing.clock_ms;
        self.incarnation_answered(now);
        self.lease.record_answer(sent, now, listing.clock_ms);
        let is_long = self.lease.outlasts_new_lease(now);
        self.set_reachable(now, !is_long);
        self.acknowledged = self.acknowledged.max(listing.last_end);
        for (run, how) in &listing.ended {
            self.end_run(now, run, *how);
        }
        let mut unknown = Vec::new();
        for (run, percent) in &listing.running {
            match self.held.get_mut(run) {
                Some(held) => {
                    held.percent = *percent;
                    held.percent_at = now;
                }
                None => unknown.push(run.clone()),
            }
        }
        for run in unknown {
            let again = self
                .unknown_run_stops
                .get(&run)
                .is_some_and(|at| now < *at + STOP_RESEND_AFTER);
            if again {
                continue;
            }
            self.unknown_run_stops
                .retain(|_, at| now < *at + STOP_RESEND_AFTER);
            self.unknown_run_stops.insert(run.clone(), now);
            log::warn!(job = run.job.as_str(), task = run.task, run = run.number;
                "stopping a run that nobody here asked for");
            self.order_stop(run);
        }
        let running: HashSet<&Run> = listing.running.iter().map(|(run, _)| run).collect();
        // No order for the life before is carried out any more; what isn't here never will be.
        for run in std::mem::take(&mut self.inherited) {
            if !running.contains(&run) {
                self.end_run(now, &run, RunOutcome::Gone);
            }
        }
        let missing = |held: &HeldRun| match held.state {
            State::Running => sent > held.since,
            State::StopConfirmed => sent > held.stop_at,
            State::Waiting | State::Starting | State::StartUnconfirmed => false,
        };
        let gone = self.held.iter();
        let gone = gone.filter(|(run, held)| missing(held) && !running.contains(run));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        for run in gone {
            self.end_run(now, &run, RunOutcome::Gone);
        }
        self.dispatch_waiting(now);
    }
}
