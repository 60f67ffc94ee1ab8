//! The agent's side of the connection to its backend server: the lease, and the answers to starts, stops and
//! listings.

use std::collections::HashSet;
use std::time;

use crate::decide::besteffort::lease;
use crate::decide::besteffort::message::{Run, RunOutcome};
use crate::decide::besteffort::slots::incarnations::may_belong_to;
use crate::decide::besteffort::slots::{
    millis, HeldRun, Listing, Slots, StaleMessage, StartAnswer, State, STOP_RESEND_AFTER,
};

/// How long a renewal of the lease may go unanswered, in leases, before it is repeated by a listing of its own,
/// because the listing that carried it is late.
const RENEW_AGAIN_AFTER_LEASES: f64 = 0.4;

impl Slots {
    /// Ends all runs that were sent to the backend server, because the lease ran out or another incarnation has
    /// answered.
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

    /// Renews the lease, and returns the end to ask for with the next listing or start, on the backend server's
    /// clock in milliseconds.
    ///
    /// Returns none while a run that is overdue to end may continue, because its stop isn't answered or the
    /// agent was paused and sent none. One lease covers all runs, and letting it run out is the only way left
    /// to end that run before its task may start elsewhere. Returns none as well before an incarnation is
    /// known: each one has its own clock, and a lease that was computed with the clock of a crashed incarnation
    /// may last for minutes on the clock of the next.
    pub fn renew_lease(&mut self, now: time::Duration) -> Option<u64> {
        if self.backend.incarnation.id.is_empty() {
            return None;
        }
        let may_run = |held: &HeldRun| !matches!(held.state, State::Waiting | State::StopConfirmed);
        let overdue = |held: &HeldRun| now > self.end_due_at(held) + lease::DELAY_MARGIN;
        if self
            .held
            .values()
            .any(|held| may_run(held) && overdue(held))
        {
            return None;
        }
        self.lease.renew(now)
    }

    /// When a run has to end: when it is withdrawn, at its deadline, or when its entry goes silent.
    fn end_due_at(&self, held: &HeldRun) -> time::Duration {
        let entry = self.entries.get(&held.entry);
        let alive_until = entry.map_or(time::Duration::ZERO, |entry| entry.alive_until);
        let deadline = millis(held.start.deadline_ms);
        held.must_end_since
            .unwrap_or(deadline)
            .min(deadline)
            .min(alive_until)
    }

    /// Returns the number of the last end that needn't be listed again.
    pub fn acknowledged_end(&self) -> u64 {
        self.acknowledged
    }

    /// Whether something runs and the renewal of its lease is so late that a separate listing is justified.
    pub fn is_renewal_overdue(&self, now: time::Duration) -> bool {
        self.is_working()
            && self
                .lease
                .is_renewal_overdue(now, self.bounds.lease.mul_f64(RENEW_AGAIN_AFTER_LEASES))
    }

    /// Counts a message of the backend server that is ignored as outdated.
    pub fn count_stale(&mut self, message: StaleMessage) {
        *self.counts.stale_messages.entry(message).or_default() += 1;
    }

    /// Sets whether the backend server may get work, and logs a change. Nothing is started while it may not.
    pub(super) fn set_reachable(&mut self, now: time::Duration, reachable: bool) {
        if self.reachable == reachable {
            return;
        }
        self.reachable = reachable;
        log::info!(instance = self.backend.incarnation.id.as_str(), born_ms = self.backend.incarnation.born_ms, reached = reachable;
            "backend server's reach changed");
        self.dispatch_waiting(now);
    }

    /// Handles the answer to a start, or the timeout of that answer.
    pub fn start_answered(&mut self, now: time::Duration, run: &Run, answer: StartAnswer) {
        *self.counts.starts.entry(answer.name()).or_default() += 1;
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        if held.state != State::Starting {
            if answer == StartAnswer::Unknown {
                log::info!(job = run.job.as_str(), task = run.task, run = run.number;
                    "start had no answer, but its run is listed");
            }
            return;
        }
        match answer {
            StartAnswer::Accepted => self.start_confirmed(now, run),
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

    /// Handles the proof that a start was carried out: its answer, or a listing that contains its run.
    fn start_confirmed(&mut self, now: time::Duration, run: &Run) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.state = State::Running;
        held.since = now;
        if held.must_end_since.is_some() {
            self.send_stop(now, run);
        }
        self.start_may_have_begun(now);
    }

    /// Handles the answer to a stop: the run ends within the time that a stop may take, or never begins.
    /// Returns whether a separate listing is needed because nobody knows whether the run began: a run that
    /// never began has no end that would be listed.
    pub fn stop_answered(&mut self, now: time::Duration, run: &Run) -> bool {
        let Some(held) = self.held.get_mut(run) else {
            return false;
        };
        let start_unconfirmed = held.state == State::StartUnconfirmed;
        held.state = State::StopConfirmed;
        held.stop_at = now;
        start_unconfirmed
    }

    /// Handles a listing of the current incarnation that was asked for at `sent`.
    ///
    /// Two listings may be under way at a time, and the earlier one may arrive last. It is ignored: a run in it
    /// may have ended since, and its clock would make the lease seem longer than what was granted.
    ///
    /// A listing of another incarnation under the same id is the first sign of the new incarnation. Its content
    /// isn't used, and another listing is requested, since this one was requested without the new fence: an
    /// order for the incarnation before may still be carried out after it.
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
        let outlasts_new_lease = self.lease.outlasts_new_lease(now);
        self.set_reachable(now, !outlasts_new_lease);
        self.acknowledged = self.acknowledged.max(listing.last_end);
        for (run, outcome) in &listing.ended {
            self.end_run(now, run, *outcome);
        }
        let mut unknown = Vec::new();
        for (run, percent) in &listing.running {
            let Some(held) = self.held.get_mut(run) else {
                unknown.push(run.clone());
                continue;
            };
            if held.state == State::Starting {
                self.start_confirmed(now, run);
            } else {
                held.percent = *percent;
                held.percent_at = now;
            }
        }
        for run in unknown {
            let recently_stopped = self
                .unknown_run_stops
                .get(&run)
                .is_some_and(|at| now < *at + STOP_RESEND_AFTER);
            if recently_stopped {
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
        // No order for the incarnation before is carried out any more, so a run that isn't listed here will
        // never begin.
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
