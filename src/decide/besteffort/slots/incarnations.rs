//! Decides which incarnation of the backend server is the current one.
//!
//! A heartbeat may arrive seconds late: after its sender has crashed and the next incarnation has announced
//! itself, and even after the agent, which knew that, has been restarted. If the agent believed a late
//! heartbeat of a dead incarnation, it would give up the runs of the live one, and their tasks would start
//! elsewhere while those runs continue; and no later heartbeat would make the live incarnation the current one
//! again. So an incarnation that isn't the current one is accepted only after it has answered a call that names
//! it.
//!
//! The next incarnation may use the id of the one before and number its heartbeats from the beginning. If these
//! numbers were compared with those of the incarnation before, the announcement that it leaves would be
//! acknowledged but ignored as late, and it would still get work. So numbers are compared within one
//! incarnation only, and an incarnation is identified by its id and its start time ([`ServerIncarnation`]).

use std::time;

use crate::decide::besteffort::lease::Lease;
use crate::decide::besteffort::message::{Backend, Heartbeat, Run, RunOutcome, ServerIncarnation};
use crate::decide::besteffort::slots::{
    Listing, Recipient, Slots, StaleMessage, State, ANOTHER_INCARNATION,
};

/// Maximum number of incarnations that are checked at a time. A heartbeat that a dead incarnation or another
/// process has sent mustn't displace the live one, which would be checked again only at its next heartbeat,
/// 1.5 s later.
const MAX_CANDIDATES: usize = 8;

/// An incarnation that has announced itself but hasn't yet proven, by answering a check, that it is up.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The number of the check that is under way; none after a check without an answer.
    check: Option<u64>,
    newest_heartbeat: Heartbeat,
}

impl Candidate {
    fn incarnation(&self) -> &ServerIncarnation {
        &self.newest_heartbeat.backend.incarnation
    }
}

/// A request for a listing by one incarnation, whose answer proves that the incarnation is up. It doesn't renew
/// the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Tells this check from earlier ones, whose answers may be late.
    pub number: u64,
    /// The incarnation to ask. The fence is that of the current incarnation, which may still be up.
    pub to: Recipient,
}

/// The result of a check.
#[derive(Clone, Debug)]
pub enum CheckResult {
    /// The incarnation that was asked has answered.
    Answered(Listing),
    /// Another incarnation has answered, so the one that was asked is dead.
    AnotherIncarnation,
    /// There was no answer; the next heartbeat of the incarnation starts another check.
    NoAnswer,
}

impl Slots {
    /// Handles a heartbeat. Returns the check to make if it comes from an incarnation that isn't the current
    /// one; heartbeats of incarnations that are known to be dead are ignored.
    pub fn heartbeat_received(
        &mut self,
        now: time::Duration,
        heartbeat: Heartbeat,
    ) -> Option<Check> {
        if self
            .dead_incarnations
            .contains(&heartbeat.backend.incarnation)
        {
            self.count_late_heartbeat(&heartbeat);
            return None;
        }
        if heartbeat.backend.incarnation == self.backend.incarnation {
            self.apply_heartbeat(now, heartbeat);
            return None;
        }
        self.last_check += 1;
        let check = self.last_check;
        let incarnation = heartbeat.backend.incarnation.clone();
        match self
            .candidates
            .iter_mut()
            .find(|c| *c.incarnation() == incarnation)
        {
            Some(known) if heartbeat.number < known.newest_heartbeat.number => {
                self.count_late_heartbeat(&heartbeat);
                return None;
            }
            Some(known) => {
                known.newest_heartbeat = heartbeat;
                if known.check.is_some() {
                    return None;
                }
                known.check = Some(check);
            }
            None => {
                if self.candidates.len() == MAX_CANDIDATES {
                    self.candidates.pop_front();
                }
                self.candidates.push_back(Candidate {
                    check: Some(check),
                    newest_heartbeat: heartbeat,
                });
            }
        }
        let to = Recipient {
            incarnation,
            fence: self.counts.incarnations,
        };
        Some(Check { number: check, to })
    }

    /// Applies a heartbeat of the current incarnation.
    fn apply_heartbeat(&mut self, now: time::Duration, heartbeat: Heartbeat) {
        if heartbeat.backend.service != self.backend.service {
            // An incarnation never changes its service, so another process has sent this heartbeat.
            log::warn!(instance = heartbeat.backend.incarnation.id.as_str(), service = heartbeat.backend.service.as_str();
                "known life is said to be of another service");
        } else if heartbeat.number < self.last_heartbeat {
            self.count_late_heartbeat(&heartbeat);
        } else {
            self.last_heartbeat = heartbeat.number;
            self.update_backend(now, heartbeat.backend);
        }
    }

    fn count_late_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let incarnation = &heartbeat.backend.incarnation;
        log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms, seq = heartbeat.number,
            takes_work = heartbeat.backend.takes_work; "heartbeat is older than one heard");
        self.count_stale(StaleMessage::Heartbeat);
    }

    /// Handles the result of a check that was sent at `sent`. Returns whether the incarnation is now the
    /// current one.
    pub fn check_answered(
        &mut self,
        now: time::Duration,
        sent: time::Duration,
        check: &Check,
        checked: CheckResult,
    ) -> bool {
        let awaits_check = |candidate: &Candidate| candidate.check == Some(check.number);
        let Some(at) = self.candidates.iter().position(awaits_check) else {
            return false;
        };
        let incarnation = &check.to.incarnation;
        match checked {
            CheckResult::Answered(listing) if may_belong_to(&listing, incarnation) => {
                let Some(candidate) = self.candidates.remove(at) else {
                    return false;
                };
                let keeps_id = incarnation.id == self.backend.incarnation.id;
                self.adopt_incarnation(now, candidate.newest_heartbeat);
                if !keeps_id {
                    self.listing_received(now, sent, listing);
                }
                true
            }
            CheckResult::Answered(_) | CheckResult::AnotherIncarnation => {
                log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms,
                    known = self.backend.incarnation.id.as_str(); "late word of a dead life");
                self.candidates.remove(at);
                self.dead_incarnations.insert(incarnation.clone());
                false
            }
            CheckResult::NoAnswer => {
                log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms,
                    known = self.backend.incarnation.id.as_str(); "life of the backend server can't be checked");
                self.candidates[at].check = None;
                false
            }
        }
    }

    /// Handles the answer of another incarnation under the id of the current one, which is therefore dead. If
    /// the new incarnation hasn't announced itself yet, its room isn't known, and it gets no work until it
    /// does.
    pub(super) fn restarted_under_same_id(&mut self, now: time::Duration, born_ms: Option<u64>) {
        let incarnation = ServerIncarnation {
            born_ms,
            ..self.backend.incarnation.clone()
        };
        let at = self
            .candidates
            .iter()
            .position(|c| *c.incarnation() == incarnation);
        let candidate = at.and_then(|at| self.candidates.remove(at));
        let heartbeat = candidate.map_or_else(
            || Heartbeat {
                backend: Backend {
                    incarnation,
                    takes_work: false,
                    ..self.backend.clone()
                },
                number: 0,
            },
            |candidate| candidate.newest_heartbeat,
        );
        self.adopt_incarnation(now, heartbeat);
    }

    /// Makes another incarnation the current one, once an answer has proven that it is up. The runs that were
    /// sent to the one before end as lost; under the same id they are inherited until the next listing.
    fn adopt_incarnation(&mut self, now: time::Duration, heartbeat: Heartbeat) {
        let incarnation = &heartbeat.backend.incarnation;
        if !self.backend.incarnation.id.is_empty() {
            self.dead_incarnations
                .insert(self.backend.incarnation.clone());
        }
        log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms,
            before = self.backend.incarnation.id.as_str(), held = self.held.len(); "backend server has a new life");
        self.incarnation_ended(now);
        self.counts.incarnations += 1;
        // The clock offset and the lease belong to the incarnation before.
        if incarnation.id == self.backend.incarnation.id {
            self.lease = self.lease.next_incarnation();
            self.inherit_runs();
        } else {
            self.lease = Lease::open(self.bounds);
            self.end_lost_runs(now, ANOTHER_INCARNATION);
        }
        // Checks that are under way may yet be answered by an incarnation that has died since, so they are
        // void. The heartbeats of the candidates are kept, and the next one starts a new check: if they were
        // dropped, an announced leave that was acknowledged would be undone by a late, older heartbeat.
        self.candidates
            .retain(|candidate| *candidate.incarnation() != heartbeat.backend.incarnation);
        for candidate in &mut self.candidates {
            candidate.check = None;
        }
        self.acknowledged = 0;
        self.newest_listing_ms = 0;
        self.last_heartbeat = heartbeat.number;
        self.reachable = false;
        self.pace.forget();
        self.update_backend(now, heartbeat.backend);
    }

    /// Remembers the runs of the incarnation before under the same id. They have either ended with it or run on
    /// the new incarnation, since an order that was under way reaches whichever incarnation is up. If they were
    /// given up at once, their tasks would run twice. The first listing under the new fence tells which case it
    /// is.
    fn inherit_runs(&mut self) {
        let sent_runs = self.held.iter().filter(|(_, h)| h.state != State::Waiting);
        self.inherited = sent_runs.map(|(run, _)| run.clone()).collect();
    }

    fn update_backend(&mut self, now: time::Duration, backend: Backend) {
        if backend.takes_work != self.backend.takes_work {
            log::info!(instance = backend.incarnation.id.as_str(), born_ms = backend.incarnation.born_ms,
                takes_work = backend.takes_work;
                "backend server changed its mind about new work");
        }
        let shrunk = !backend.size.fits(&self.backend.size);
        if backend.size != self.backend.size {
            log::info!(instance = backend.incarnation.id.as_str(), cpu = backend.size.cpu, memory_mb = backend.size.memory_mb,
                accelerators = backend.size.accelerators, used_cpu = self.used.cpu; "backend server's room changed");
        }
        self.backend = backend;
        if shrunk {
            self.return_unfitting_starts(now);
        }
        self.dispatch_waiting(now);
    }

    /// Handles a loss of room: waiting starts that don't fit beside the sent runs are returned to their
    /// entries, and all loans end.
    fn return_unfitting_starts(&mut self, now: time::Duration) {
        for entry in self.entries.values_mut() {
            entry.loan = None;
        }
        let free = self.backend.size.minus(&self.used);
        let waiting = self.waiting.iter().map(|(.., run)| run);
        let fits = |run: &&Run| {
            self.held
                .get(*run)
                .is_some_and(|held| free.fits(&held.start.need))
        };
        let unfitting: Vec<Run> = waiting.filter(|run| !fits(run)).cloned().collect();
        for run in unfitting {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
    }

    /// Handles the announcement of an incarnation that it leaves now. Its runs may continue for a moment, so
    /// the agent still waits for their ends. An announcement without a start time may come late from an earlier
    /// incarnation under the same id; in that case the next heartbeat of the current one corrects it.
    pub fn server_left(&mut self, now: time::Duration, incarnation: &ServerIncarnation) {
        let is_meant = |known: &ServerIncarnation| {
            known.id == incarnation.id
                && (incarnation.born_ms.is_none() || known.born_ms == incarnation.born_ms)
        };
        let known = is_meant(&self.backend.incarnation);
        log::info!(instance = incarnation.id.as_str(), born_ms = incarnation.born_ms, known = known; "backend server has left");
        if known {
            self.backend.takes_work = false;
            self.dispatch_waiting(now);
        }
        // If its check, which is still under way, succeeded, the candidate's earlier heartbeat would be
        // applied, in which it takes work.
        self.candidates
            .retain(|known| !is_meant(known.incarnation()));
    }

    /// Handles an answer of another incarnation to a request for the current one. It proves that the current
    /// one is dead, so all runs that were sent to it are given up.
    pub fn another_incarnation_answered(&mut self, now: time::Duration) {
        self.end_lost_runs(now, ANOTHER_INCARNATION);
    }
}

/// Whether a listing may come from an incarnation: the start times are the same or can't be compared, because
/// no incarnation is known yet or the listing states no start time.
pub(super) fn may_belong_to(listing: &Listing, incarnation: &ServerIncarnation) -> bool {
    incarnation.id.is_empty() || listing.born_ms.is_none() || listing.born_ms == incarnation.born_ms
}
