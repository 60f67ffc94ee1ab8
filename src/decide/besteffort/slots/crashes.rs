//! Detects crashes of the backend server, names the runs that may have caused them, and isolates suspected
//! tasks from other work.
//!
//! Silence doesn't prove a crash: a cut link or a paused process looks the same, and a planned stop is
//! announced beforehand. The agent concludes that a backend server has crashed if a connection to it is
//! refused, or if another incarnation of it answers, and it hadn't announced that it leaves.

use std::collections::VecDeque;
use std::time;

use crate::decide::besteffort::crashes::{is_suspect, PROBATION, REMEMBERED_FOR};
use crate::decide::besteffort::message::{Crash, Run, Start, TaskName};
use crate::decide::besteffort::slots::{HeldRun, Recipient, Slots, State};

/// How a suspected task is isolated from other work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// No isolation: suspects run beside other work.
    Together,
    /// Nothing else starts shortly before a suspect or while it is on probation, so that a crash in that time
    /// is caused by the suspect. Runs that began earlier continue.
    #[default]
    Probation,
    /// Nothing else runs beside a suspect.
    Alone,
}

/// A task of which the backend server had, or may have had, a run.
#[derive(Clone, Debug)]
struct TaskOnServer {
    name: TaskName,
    /// Whether the run had begun less than [`PROBATION`] before the backend server was last known to be up.
    just_started: bool,
    suspect: bool,
}

/// What an agent knows of the crashes of its backend server.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// The remembered crashes, oldest first, and when each was detected.
    known: VecDeque<(time::Duration, Crash)>,
    /// Whether the current incarnation has refused a connection since its last answer.
    connection_refused: bool,
    /// The tasks whose runs were given up as lost while the current incarnation was silent.
    lost: Vec<TaskOnServer>,
}

impl Crashes {
    /// Returns all remembered crashes, for an entry that has just connected.
    pub(super) fn all(&self) -> Vec<Crash> {
        self.known.iter().map(|(_, crash)| crash.clone()).collect()
    }
}

impl Slots {
    /// Returns the crashes that are remembered, for [`REMEMBERED_FOR`] each.
    pub fn crashes(&self) -> Vec<Crash> {
        self.crashes.all()
    }

    /// Sets how suspects are isolated; [`Isolation::Probation`] unless this is called.
    pub fn set_isolation(&mut self, isolation: Isolation) {
        self.isolation = isolation;
    }

    /// Handles a connection that was refused because nothing listens at the backend server's address. Ignores
    /// it if another incarnation has been accepted since the call to `to` was decided.
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

    /// Records that the current incarnation has ended. The tasks on it become suspects, unless it had announced
    /// that it leaves.
    pub(super) fn incarnation_ended(&mut self, now: time::Duration) {
        if !self.crashes.connection_refused {
            self.record_crash(now);
        }
        self.crashes.connection_refused = false;
        self.crashes.lost.clear();
    }

    /// Records that the current incarnation has answered: it hasn't crashed. A crash that was reported for it
    /// is replaced by an empty one, which withdraws the suspicion.
    pub(super) fn incarnation_answered(&mut self, now: time::Duration) {
        self.crashes.lost.clear();
        if std::mem::take(&mut self.crashes.connection_refused) {
            self.report_crash(now, Crash::default());
        }
    }

    /// Remembers the task of a run that is given up as lost. If it turns out later that the backend server has
    /// crashed, the task is one of the suspects.
    pub(super) fn record_lost_run(&mut self, now: time::Duration, run: &Run) {
        let lost = self
            .held
            .get(run)
            .map(|held| self.task_on_server(now, held));
        self.crashes.lost.extend(lost);
    }

    /// Records that a start has begun or may have begun. If a crash was detected while the start was under way,
    /// its task may have caused the crash and is added to the report.
    pub(super) fn start_may_have_begun(&mut self, now: time::Duration) {
        if self.crashes.connection_refused {
            self.record_crash(now);
        }
    }

    /// When the backend server was last known to be up: at its last listing, or when it last accepted a start.
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

    /// Records a crash of the current incarnation and reports its suspects, unless it had announced that it
    /// leaves. Suspects that were on probation are reported as proven causes. Without any, tasks that had just
    /// started are reported as likely causes and all others as possible ones.
    fn record_crash(&mut self, now: time::Duration) {
        if !self.backend.takes_work {
            return;
        }
        let is_on_server = |state| {
            matches!(
                state,
                State::Running | State::StartUnconfirmed | State::StopConfirmed
            )
        };
        let held = self.held.values().filter(|held| is_on_server(held.state));
        let held = held.map(|held| self.task_on_server(now, held));
        let tasks: Vec<TaskOnServer> = held.chain(self.crashes.lost.iter().cloned()).collect();
        let on_probation = |task: &TaskOnServer| task.suspect && task.just_started;
        let has_culprit = tasks.iter().any(on_probation);
        let mut crash = Crash::default();
        for task in tasks {
            if has_culprit && on_probation(&task) {
                crash.proven.push(task.name);
            } else if !has_culprit && task.just_started {
                crash.likely.push(task.name);
            } else if !has_culprit {
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

    /// Whether a crash of the current incarnation has been reported. A later report replaces the first one and
    /// isn't counted or logged again.
    fn is_crash_reported(&self) -> bool {
        let mut known = self.crashes.known.iter().map(|(_, crash)| crash);
        let of_current = known.find(|crash| crash.server == self.counts.incarnations);
        of_current.is_some_and(|crash| crash.suspects().next().is_some())
    }

    /// Reports a crash of the current incarnation, with its suspects, to all entries. It replaces an earlier
    /// report on the same incarnation.
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

    /// Drops crashes that are older than [`REMEMBERED_FOR`].
    pub(super) fn forget_crashes(&mut self, now: time::Duration) {
        let known = &mut self.crashes.known;
        while known
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > REMEMBERED_FOR)
        {
            known.pop_front();
        }
    }

    /// Whether a start has to wait for isolation: because its own task is a suspect and other runs have just
    /// begun, or because a suspect waits or is on probation. With [`Isolation::Alone`], all begun runs count
    /// instead of those that have just begun.
    pub(super) fn must_wait_for_isolation(&self, now: time::Duration, start: &Start) -> bool {
        if self.isolation == Isolation::Together {
            return false;
        }
        let alone = self.isolation == Isolation::Alone;
        let has_just_started = |held: &HeldRun| alone || now < held.since + PROBATION;
        let others = || {
            self.held
                .values()
                .filter(|held| held.start.run != start.run)
        };
        let begun = || others().filter(|held| held.state != State::Waiting);
        if is_suspect(start.suspicion) {
            return begun().any(has_just_started);
        }
        let suspects = || {
            self.held
                .values()
                .filter(|held| is_suspect(held.start.suspicion))
        };
        suspects().any(|held| held.state == State::Waiting || has_just_started(held))
    }

    /// Whether isolation of a suspect blocks the start of any other task now.
    pub(super) fn is_reserved_for_suspect(&self, now: time::Duration) -> bool {
        let other = Start::default();
        self.must_wait_for_isolation(now, &other)
    }

    /// Returns the waiting suspects that can't start soon, since another suspect waits before them or is on
    /// probation. They are returned to their entries, which place them elsewhere.
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
        let surplus = waiting.skip(usize::from(!taken));
        surplus.map(|held| held.start.run.clone()).collect()
    }
}
