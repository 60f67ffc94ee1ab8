//! Crashes of the backend server, the runs that may have caused them, and how suspects are kept apart.
//!
//! Silence is no sign of a crash: a cut link or a process that stands still looks the same, and a planned stop
//! says so before. A crash is known by a connection that is refused, or by another life that has answered,
//! of a backend server that hadn't said that it leaves.

use std::collections::VecDeque;
use std::time;

use crate::decide::besteffort::crashes::{is_suspect, PROBATION, REMEMBERED_FOR};
use crate::decide::besteffort::message::{Crash, Run, Start, TaskName};
use crate::decide::besteffort::slots::{HeldRun, Recipient, Slots, State};

/// How a suspect is kept from other work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// Not at all.
    Together,
    /// Nothing else begins shortly before it and while it is on probation, so that a crash in that time is
    /// its own. What has run for longer goes on.
    #[default]
    Probation,
    /// Nothing else runs beside it.
    Alone,
}

/// A task that was with a backend server.
#[derive(Clone, Debug)]
struct TaskOnServer {
    name: TaskName,
    /// Whether it had just begun when the backend server was heard last.
    just_started: bool,
    suspect: bool,
}

/// What an agent knows of crashes.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// The newest ones, and when they were found.
    known: VecDeque<(time::Duration, Crash)>,
    /// Whether the known life has refused a connection since it last answered.
    connection_refused: bool,
    /// What was with the known life when it was given up as lost.
    lost: Vec<TaskOnServer>,
}

impl Crashes {
    /// All that is remembered.
    pub(super) fn all(&self) -> Vec<Crash> {
        self.known.iter().map(|(_, crash)| crash.clone()).collect()
    }
}

impl Slots {
    /// The crashes that are remembered.
    pub fn crashes(&self) -> Vec<Crash> {
        self.crashes.all()
    }

    /// Sets how suspects are kept from other work.
    pub fn set_isolation(&mut self, isolation: Isolation) {
        self.isolation = isolation;
    }

    /// Nothing listens where a life of the backend server was asked.
    pub fn connection_refused(&mut self, now: time::Duration, to: &Recipient) {
        if *to != self.recipient() || to.incarnation.id.is_empty() {
            return;
        }
        self.set_reachable(now, false);
        if !self.crashes.connection_refused {
            self.crashes.connection_refused = true;
            self.record_crash(now);
        }
    }

    /// The life that was known has ended. What was with it is suspected, unless it had said that it leaves.
    pub(super) fn incarnation_ended(&mut self, now: time::Duration) {
        if !self.crashes.connection_refused {
            self.record_crash(now);
        }
        self.crashes.connection_refused = false;
        self.crashes.lost.clear();
    }

    /// The known life has answered: whatever looked like a crash was none.
    pub(super) fn incarnation_answered(&mut self, now: time::Duration) {
        self.crashes.lost.clear();
        if std::mem::take(&mut self.crashes.connection_refused) {
            self.report_crash(now, Crash::default());
        }
    }

    /// Remembers what is given up with the backend server, until it is known what became of that.
    pub(super) fn record_lost_run(&mut self, now: time::Duration, run: &Run) {
        let lost = self
            .held
            .get(run)
            .map(|held| self.task_on_server(now, held));
        self.crashes.lost.extend(lost);
    }

    /// A start has begun, or may have. Where the backend server has crashed meanwhile, it was there.
    pub(super) fn start_may_have_begun(&mut self, now: time::Duration) {
        if self.crashes.connection_refused {
            self.record_crash(now);
        }
    }

    /// When the backend server was last known to be up: it had listed what it has, or taken a start.
    fn last_known_up(&self, now: time::Duration) -> time::Duration {
        let listed = now.saturating_sub(self.lease.since_last_answer(now).unwrap_or_default());
        let held = self.held.values();
        let running = held.filter(|held| held.state == State::Running);
        running.map(|held| held.since).fold(listed, Ord::max)
    }

    fn task_on_server(&self, now: time::Duration, held: &HeldRun) -> TaskOnServer {
        TaskOnServer {
            name: held.start.run.task_name(),
            just_started: self.last_known_up(now) < held.since + PROBATION,
            suspect: is_suspect(held.start.suspicion),
        }
    }

    fn record_crash(&mut self, now: time::Duration) {
        if !self.backend.takes_work {
            return;
        }
        let at_work = |state| {
            matches!(
                state,
                State::Running | State::StartUnconfirmed | State::StopConfirmed
            )
        };
        let held = self.held.values().filter(|held| at_work(held.state));
        let held = held.map(|held| self.task_on_server(now, held));
        let all: Vec<TaskOnServer> = held.chain(self.crashes.lost.iter().cloned()).collect();
        let on_probation = |task: &TaskOnServer| task.suspect && task.just_started;
        let found = all.iter().any(on_probation);
        let mut crash = Crash::default();
        for task in all {
            if found && on_probation(&task) {
                crash.proven.push(task.name);
            } else if !found && task.just_started {
                crash.likely.push(task.name);
            } else if !found {
                crash.possible.push(task.name);
            }
        }
        let Some(first) = crash.suspects().next() else {
            return;
        };
        if !self.is_crash_reported() {
            self.counts.crashes += 1;
            log::warn!(instance = self.backend.incarnation.id.as_str(), born_ms = self.backend.incarnation.born_ms,
                proven = crash.proven.len(), likely = crash.likely.len(), possible = crash.possible.len(),
                first = first.to_string().as_str(); "backend server has crashed");
        }
        self.report_crash(now, crash);
    }

    /// Whether the crash of the known life was told already; what is found later only adds to it.
    fn is_crash_reported(&self) -> bool {
        let mut known = self.crashes.known.iter().map(|(_, crash)| crash);
        let of_this_life = known.find(|crash| crash.server == self.counts.incarnations);
        of_this_life.is_some_and(|crash| crash.suspects().next().is_some())
    }

    /// Tells all entries whom the crash of the known life is blamed on.
    fn report_crash(&mut self, now: time::Duration, crash: Crash) {
        let crash = Crash {
            server: self.counts.incarnations,
            ..crash
        };
        let known = &mut self.crashes.known;
        known.retain(|(_, other)| other.server != crash.server);
        known.push_back((now, crash.clone()));
        for entry in self.entries.values_mut() {
            entry.unsent_crashes.push(crash.clone());
        }
    }

    /// Forgets crashes of long ago.
    pub(super) fn forget_crashes(&mut self, now: time::Duration) {
        let known = &mut self.crashes.known;
        while known
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > REMEMBERED_FOR)
        {
            known.pop_front();
        }
    }

    /// Whether a start has to wait because of a suspect: itself, or one that waits or is on probation.
    pub(super) fn must_wait_for_isolation(&self, now: time::Duration, start: &Start) -> bool {
        if self.isolation == Isolation::Together {
            return false;
        }
        let alone = self.isolation == Isolation::Alone;
        let is_young = |held: &HeldRun| alone || now < held.since + PROBATION;
        let others = || {
            self.held
                .values()
                .filter(|held| held.start.run != start.run)
        };
        let begun = || others().filter(|held| held.state != State::Waiting);
        if is_suspect(start.suspicion) {
            return begun().any(is_young);
        }
        let suspects = || {
            self.held
                .values()
                .filter(|held| is_suspect(held.start.suspicion))
        };
        suspects().any(|held| held.state == State::Waiting || is_young(held))
    }

    /// Whether the room is kept for a suspect.
    pub(super) fn is_reserved_for_suspect(&self, now: time::Duration) -> bool {
        let other = Start::default();
        self.must_wait_for_isolation(now, &other)
    }

    /// Suspects that wait while another one waits or is on probation. They are turned away, to go elsewhere.
    pub(super) fn surplus_suspects(&self, now: time::Duration) -> Vec<Run> {
        if self.isolation == Isolation::Together {
            return Vec::new();
        }
        let alone = self.isolation == Isolation::Alone;
        let suspects = || {
            self.held
                .values()
                .filter(|held| is_suspect(held.start.suspicion))
        };
        let mut begun = suspects().filter(|held| held.state != State::Waiting);
        let taken = begun.any(|held| alone || now < held.since + PROBATION);
        let waiting = self
            .waiting
            .iter()
            .filter_map(|(.., run)| self.held.get(run));
        let waiting = waiting.filter(|held| is_suspect(held.start.suspicion));
        let crowded = waiting.skip(usize::from(!taken));
        crowded.map(|held| held.start.run.clone()).collect()
    }
}
