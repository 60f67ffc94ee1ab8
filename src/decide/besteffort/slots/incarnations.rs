//! Which life of the backend server is there.
//!
//! What a backend server says of itself may arrive seconds late, after it has crashed and its next
//! life has announced itself, and also after the agent, which knew better, was started anew. Were a
//! late word of a dead life believed, the runs of the living one would be given up and started
//! elsewhere while they go on, and no later word would bring the living one back. So a life that
//! isn't the known one is only taken up once it has answered a call that names it.
//!
//! The next life may have the id of the one before, with its heartbeats numbered anew. Were they compared
//! with those of the life before, its leave would be acknowledged and passed over as late, and work would
//! still be sent to it. So numbers are compared within one life only, and a life is its id and its start
//! ([`ServerIncarnation`]).

use std::time;

use crate::decide::besteffort::lease::Lease;
use crate::decide::besteffort::message::{Backend, Heartbeat, Run, RunOutcome, ServerIncarnation};
use crate::decide::besteffort::slots::{
    Listing, Recipient, Slots, StaleMessage, State, ANOTHER_INCARNATION,
};

/// Most lives that are checked at a time. A word of a dead life or of another writer must not push out
/// the living one, which would be asked again only a heartbeat (1.5 s) later.
const MAX_CANDIDATES: usize = 8;

/// A life that has announced itself and was asked whether it is there.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The check that is under way; none after one that had no answer.
    check: Option<u64>,
    newest_heartbeat: Heartbeat,
}

impl Candidate {
    fn incarnation(&self) -> &ServerIncarnation {
        &self.newest_heartbeat.backend.incarnation
    }
}

/// A listing to ask of one life, which shows whether that life is there. It renews no lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Tells this check from earlier ones, whose answers may be late.
    pub number: u64,
    /// Whom it asks. The fence is that of the known life, which may be there still.
    pub to: Recipient,
}

/// What came of a check.
#[derive(Clone, Debug)]
pub enum CheckResult {
    /// The life that was asked for has answered.
    Answered(Listing),
    /// Another life has answered: the one that was asked for is dead.
    AnotherIncarnation,
    /// No answer; the next word of the life is checked again.
    NoAnswer,
}

impl Slots {
    /// Takes in what the backend server says of itself. A life that isn't known has to be checked
    /// first; a life that is known to be dead is passed over.
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

    /// A heartbeat of the known life.
    fn apply_heartbeat(&mut self, now: time::Duration, heartbeat: Heartbeat) {
        if heartbeat.backend.service != self.backend.service {
            // A life stays with its service; this is another writer's word.
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
        let life = &heartbeat.backend.incarnation;
        log::info!(instance = life.id.as_str(), born_ms = life.born_ms, seq = heartbeat.number,
            takes_work = heartbeat.backend.takes_work; "heartbeat is older than one heard");
        self.count_stale(StaleMessage::Heartbeat);
    }

    /// Takes in what came of a check that was sent at `sent`. Returns whether the life is known from
    /// now on.
    pub fn check_answered(
        &mut self,
        now: time::Duration,
        sent: time::Duration,
        check: &Check,
        checked: CheckResult,
    ) -> bool {
        let current = |candidate: &Candidate| candidate.check == Some(check.number);
        let Some(at) = self.candidates.iter().position(current) else {
            return false;
        };
        let life = &check.to.incarnation;
        match checked {
            CheckResult::Answered(listing) if may_belong_to(&listing, life) => {
                let Some(candidate) = self.candidates.remove(at) else {
                    return false;
                };
                let keeps_id = life.id == self.backend.incarnation.id;
                self.adopt_incarnation(now, candidate.newest_heartbeat);
                if !keeps_id {
                    self.listing_received(now, sent, listing);
                }
                true
            }
            CheckResult::Answered(_) | CheckResult::AnotherIncarnation => {
                log::info!(instance = life.id.as_str(), born_ms = life.born_ms,
                    known = self.backend.incarnation.id.as_str(); "late word of a dead life");
                self.candidates.remove(at);
                self.dead_incarnations.insert(life.clone());
                false
            }
            CheckResult::NoAnswer => {
                log::info!(instance = life.id.as_str(), born_ms = life.born_ms,
                    known = self.backend.incarnation.id.as_str(); "life of the backend server can't be checked");
                self.candidates[at].check = None;
                false
            }
        }
    }

    /// Another life has answered under the id of the known one, which is dead then. Where the new one hasn't
    /// announced itself yet, nobody knows its room, and it gets nothing new until it does.
    pub(super) fn restarted_under_same_id(&mut self, now: time::Duration, born_ms: Option<u64>) {
        let incarnation = ServerIncarnation {
            born_ms,
            ..self.backend.incarnation.clone()
        };
        let at = self
            .candidates
            .iter()
            .position(|c| *c.incarnation() == incarnation);
        let said = at.and_then(|at| self.candidates.remove(at));
        let heartbeat = said.map_or_else(
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

    /// The first sure sign of another life: what the one before ran has ended with it.
    fn adopt_incarnation(&mut self, now: time::Duration, heartbeat: Heartbeat) {
        let life = &heartbeat.backend.incarnation;
        if !self.backend.incarnation.id.is_empty() {
            self.dead_incarnations
                .insert(self.backend.incarnation.clone());
        }
        log::info!(instance = life.id.as_str(), born_ms = life.born_ms,
            before = self.backend.incarnation.id.as_str(), held = self.held.len(); "backend server has a new life");
        self.incarnation_ended(now);
        self.counts.incarnations += 1;
        // What is known of the clock and the lease is of the life before.
        if life.id == self.backend.incarnation.id {
            self.lease = self.lease.next_incarnation();
            self.inherit_runs();
        } else {
            self.lease = Lease::open(self.bounds);
            self.end_lost_runs(now, ANOTHER_INCARNATION);
        }
        // What was asked before may be answered by a life that has died since; what was said counts, and is
        // asked for again with the next word. Forgotten, a leave that was acknowledged would be undone by a
        // late heartbeat from before it.
        self.candidates
            .retain(|known| *known.incarnation() != heartbeat.backend.incarnation);
        for known in &mut self.candidates {
            known.check = None;
        }
        self.acknowledged = 0;
        self.newest_listing_ms = 0;
        self.last_heartbeat = heartbeat.number;
        self.reachable = false;
        self.update_backend(now, heartbeat.backend);
    }

    /// Runs that were with a life of the same id are with nobody, or with the new one: an order that was
    /// on its way reaches whichever life is there. Given up at once, its task would run elsewhere beside
    /// it. The first listing under the new fence tells which it is.
    fn inherit_runs(&mut self) {
        let task_on_server = self.held.iter().filter(|(_, h)| h.state != State::Waiting);
        self.inherited = task_on_server.map(|(run, _)| run.clone()).collect();
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

    /// Room has gone: what waits for it goes elsewhere, and none is kept for anybody.
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
        let crowded: Vec<Run> = waiting.filter(|run| !fits(run)).cloned().collect();
        for run in crowded {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
    }

    /// The backend server says that it leaves now. What it has may run on for a moment, so that its
    /// ends are still waited for. Where it doesn't say when its life began, this may be the late word of an
    /// earlier life under the same id: the next heartbeat of the living one sets that right.
    pub fn server_left(&mut self, now: time::Duration, life: &ServerIncarnation) {
        let is_meant = |known: &ServerIncarnation| {
            known.id == life.id && (life.born_ms.is_none() || known.born_ms == life.born_ms)
        };
        let known = is_meant(&self.backend.incarnation);
        log::info!(instance = life.id.as_str(), born_ms = life.born_ms, known = known; "backend server has left");
        if known {
            self.backend.takes_work = false;
            self.dispatch_waiting(now);
        }
        // Its earlier word, which is still being checked, would bring it back as one that takes work.
        self.candidates
            .retain(|known| !is_meant(known.incarnation()));
    }

    /// Another life of the backend server has answered; nothing of the one that is known runs.
    pub fn another_incarnation_answered(&mut self, now: time::Duration) {
        self.end_lost_runs(now, ANOTHER_INCARNATION);
    }
}

/// Whether a listing may be of a life; before any is known it is of whichever answers.
pub(super) fn may_belong_to(listing: &Listing, life: &ServerIncarnation) -> bool {
    life.id.is_empty() || listing.born_ms.is_none() || listing.born_ms == life.born_ms
}
