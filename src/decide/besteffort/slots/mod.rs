//! Decides what an agent runs for its entries: which starts it sends to the backend server, how much room they
//! take and when each run must end.
//!
//! The agent ends a run when it hasn't heard the run's entry for [`Bounds::silence`], when the run's deadline
//! has passed, and when its entry has withdrawn it. A run takes room until a listing of the backend server
//! contains its end, so that the agent never asks for more than the backend server has. A run whose start had
//! no answer counts as running until it is certain that it isn't.

mod counts;
mod crashes;
mod demand;
mod entries;
mod held;
mod incarnations;
mod lend;
mod order;
mod pace;
mod server;
mod starts;

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time;

use crate::decide::besteffort::evacuation;
use crate::decide::besteffort::features::Features;
use crate::decide::besteffort::lease::{Bounds, Lease};
use crate::decide::besteffort::message::{
    Backend, Crash, EntryIncarnation, Room, Run, RunEnd, RunOutcome, ServerIncarnation, WaitingWork,
};
use crate::decide::besteffort::pace::observed;
use crate::decide::besteffort::sharing;
use crate::decide::besteffort::told;

pub use counts::{Counts, StaleMessage};
pub use crashes::Isolation;
use held::{HeldRun, State};
pub use incarnations::{Check, CheckResult};
pub use order::{Listing, Order, Recipient, StartAnswer};

/// Causes of lost runs, as logs and metrics name them.
const LEASE_RAN_OUT: &str = "lease ran out";
const ANOTHER_INCARNATION: &str = "another life";

/// Number of ends kept per entry, to be repeated when the entry connects again.
const RETAINED_ENDS: usize = 128;

/// Number of waiting starts that are tried for room, which bounds the scan at a full agent.
const MAX_STARTS_CONSIDERED: usize = 8;

/// How long a stop may go unanswered before it is sent again.
const STOP_RESEND_AFTER: time::Duration = time::Duration::from_millis(50);

/// How long the backend server may be silent before nothing new is sent to it, in leases.
const UNREACHABLE_AFTER_LEASES: f64 = 0.7;

/// How long an entry that isn't heard is remembered.
const ENTRY_RETENTION: time::Duration = time::Duration::from_secs(10);

/// What an agent knows of an entry, and what it hasn't sent to it yet.
#[derive(Debug, Default)]
struct Entry {
    /// Until when the entry counts as up; proven by the agent's clock, which its messages repeat.
    alive_until: time::Duration,
    /// When its last message arrived, however old that was.
    heard_at: time::Duration,
    unsent_ends: Vec<RunEnd>,
    recent_ends: VecDeque<RunEnd>,
    /// Crashes that the entry hasn't been told of.
    unsent_crashes: Vec<Crash>,
    /// The work that waits at the entry for room.
    waiting_work: Option<WaitingWork>,
    /// Room that is reserved for the entry's next starts.
    loan: Option<lend::Loan>,
    /// The work that the entry states and that counts here; empty unless the feature `demand` is on.
    waiting_share: sharing::demand::Share,
    /// What became of the latest loans; considered only with the feature `demand`.
    loan_usage: sharing::lending::Usage,
    /// When the entry was last sent a report on demand on the present link.
    demand_sent_at: Option<time::Duration>,
    /// The pace that the entry was last told of on its present link.
    told_pace: Option<told::Pace>,
}

/// The agent's decisions on best-effort work: the runs it holds, the backend server's state and lease, and the
/// entries.
///
/// Events and `now` (time since boot, including suspensions) go in; [`Order`]s to the backend server come out
/// of [`Slots::take_orders`], and messages to entries out of [`Slots::next_message`].
#[derive(Debug)]
pub struct Slots {
    bounds: Bounds,
    lease: Lease,
    /// The number of the last end that was handled, as the current incarnation numbers ends. An end is
    /// acknowledged only after that, because the backend server doesn't list an acknowledged end again.
    acknowledged: u64,
    /// The backend server's clock in the newest listing of the current incarnation, in milliseconds.
    newest_listing_ms: u64,
    backend: Backend,
    /// Incarnations that have announced themselves and are being checked.
    candidates: VecDeque<incarnations::Candidate>,
    last_check: u64,
    /// Incarnations that are known to have ended.
    dead_incarnations: HashSet<ServerIncarnation>,
    /// The number of the newest heartbeat of the current incarnation.
    last_heartbeat: u64,
    /// Runs that were sent to the previous incarnation under the same id. Whether they run on the current one
    /// isn't known until its first listing.
    inherited: Vec<Run>,
    held: BTreeMap<Run, HeldRun>,
    /// The held runs in [`State::Waiting`], by [`HeldRun::queue_key`].
    waiting: BTreeSet<(u32, u64, Run)>,
    /// The room that all other held runs take.
    used: Room,
    entries: BTreeMap<EntryIncarnation, Entry>,
    orders: Vec<Order>,
    /// When a stop was last sent for each run that the backend server lists but the agent doesn't hold.
    unknown_run_stops: BTreeMap<Run, time::Duration>,
    stopping: bool,
    crashes: crashes::Crashes,
    isolation: Isolation,
    /// Whether isolation of a suspect keeps other starts waiting.
    reserved_for_suspect: bool,
    /// The newest state of the agent's failure domain: evacuated or not.
    evacuation: evacuation::DomainState,
    /// Whether the backend server may get work: it has answered recently, and its present lease ends no later
    /// than the one that the agent would ask for now.
    reachable: bool,
    /// The optional decisions that are switched on.
    features: Features,
    /// The room that was started lately, by class; counted only with the feature `demand`.
    start_rates: sharing::rates::StartRates,
    /// The room that was lent lately; counted only with the feature `demand`.
    lent_lately: sharing::lending::LentLately,
    /// The speed of the current incarnation of the backend server.
    pace: observed::Observed,
    /// What the agent has done since its start.
    pub counts: Counts,
}

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

impl Slots {
    /// Creates the state of an agent that knows no backend server and no entry.
    pub fn open(bounds: Bounds) -> Slots {
        Slots {
            bounds,
            lease: Lease::open(bounds),
            acknowledged: 0,
            newest_listing_ms: 0,
            backend: Backend::default(),
            candidates: VecDeque::new(),
            last_check: 0,
            dead_incarnations: HashSet::new(),
            last_heartbeat: 0,
            inherited: Vec::new(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            used: Room::default(),
            entries: BTreeMap::new(),
            orders: Vec::new(),
            unknown_run_stops: BTreeMap::new(),
            stopping: false,
            crashes: crashes::Crashes::default(),
            isolation: Isolation::default(),
            reserved_for_suspect: false,
            evacuation: evacuation::DomainState::default(),
            reachable: false,
            features: Features::default(),
            start_rates: sharing::rates::StartRates::default(),
            lent_lately: sharing::lending::LentLately::default(),
            pace: observed::Observed::default(),
            counts: Counts::default(),
        }
    }

    /// Switches optional decisions on; none are by default.
    pub fn set_features(&mut self, features: Features) {
        self.features = features;
    }

    /// Returns the current incarnation of the backend server; its id is empty before one is known.
    pub fn server_incarnation(&self) -> &ServerIncarnation {
        &self.backend.incarnation
    }

    /// Returns the incarnation, and the fence, that orders decided now are meant for.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            incarnation: self.backend.incarnation.clone(),
            fence: self.counts.incarnations,
        }
    }

    /// Returns the description of the backend server that entries get: it takes work only if the agent also
    /// does.
    pub fn advertised_backend(&self) -> Backend {
        Backend {
            takes_work: self.takes_work(),
            ..self.backend.clone()
        }
    }

    fn takes_work(&self) -> bool {
        self.backend.takes_work && self.reachable && !self.stopping && !self.evacuation.evacuated
    }

    /// Returns the backend server as it last announced itself.
    pub fn announced_backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the room that is neither used nor needed by waiting starts; none while it is reserved for a
    /// suspect.
    pub fn free(&self) -> Room {
        if self.reserved_for_suspect {
            return Room::default();
        }
        let waiting = self
            .waiting
            .iter()
            .filter_map(|(.., run)| self.held.get(run));
        waiting.fold(self.backend.size.minus(&self.used), |free, held| {
            free.minus(&held.start.need)
        })
    }

    /// Returns the time since the backend server last answered; none if it never has.
    pub fn last_answer_age(&self, now: time::Duration) -> Option<time::Duration> {
        self.lease.since_last_answer(now)
    }

    /// Whether the agent holds no run at all.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether any run was sent to the backend server and hasn't ended.
    pub fn is_working(&self) -> bool {
        self.held.len() > self.waiting.len()
    }

    /// Applies what an entry tells of the evacuation of the failure domain. While the domain is evacuated
    /// nothing new starts, waiting starts are returned to their entries at once, and sent runs continue.
    /// Returns whether the state has changed.
    pub fn update_evacuation(
        &mut self,
        now: time::Duration,
        state: evacuation::DomainState,
    ) -> bool {
        let changed = self.evacuation.update(state);
        if changed {
            log::info!(evacuated = state.evacuated, version = state.version;
                "failure domain was evacuated or taken back");
            self.dispatch_waiting(now);
        }
        changed
    }

    /// Returns all waiting starts to their entries and stops all runs that were sent.
    pub fn end_all_runs(&mut self, now: time::Duration) {
        let all: Vec<Run> = self.held.keys().cloned().collect();
        for run in all {
            self.require_end(now, &run);
        }
    }

    /// Checks all time bounds. The caller calls it at intervals shorter than the shortest bound.
    pub fn tick(&mut self, now: time::Duration) {
        if self
            .lease
            .is_silent(now, self.bounds.lease.mul_f64(UNREACHABLE_AFTER_LEASES))
        {
            self.set_reachable(now, false);
        }
        if self.is_working() && self.lease.has_lapsed(now) {
            self.end_lost_runs(now, LEASE_RAN_OUT);
        }
        let mut overdue = Vec::new();
        let mut returned = Vec::new();
        for (run, held) in &self.held {
            if held.state == State::Waiting {
                let waited = now.saturating_sub(held.since);
                if waited >= millis(held.start.max_wait_ms) || self.is_start_expired(now, held) {
                    returned.push(run.clone());
                }
                continue;
            }
            let silent = self.is_silent(now, &held.entry);
            let past = now >= millis(held.start.deadline_ms);
            if (silent || past) && held.must_end_since.is_none() {
                log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                    entry = held.entry.entry.as_str(), silent = silent, past_deadline = past;
                    "ending a run that nobody waits for");
                overdue.push(run.clone());
            }
        }
        for run in returned {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
        for run in overdue {
            self.require_end(now, &run);
        }
        self.observe_running();
        self.resend_stops(now);
        self.forget_crashes(now);
        self.entries
            .retain(|_, e| now.saturating_sub(e.heard_at) < ENTRY_RETENTION);
        self.dispatch_waiting(now);
    }

    /// Whether an entry hasn't been heard for so long that its runs have to end.
    fn is_silent(&self, now: time::Duration, entry: &EntryIncarnation) -> bool {
        let entry = self.entries.get(entry);
        entry.is_none_or(|entry| now >= entry.alive_until)
    }

    /// Whether a start that waits for room may no longer begin: its deadline has passed, or its entry is silent and
    /// may start the task elsewhere, as after a standstill of the agent.
    fn is_start_expired(&self, now: time::Duration, held: &HeldRun) -> bool {
        now >= millis(held.start.deadline_ms) || self.is_silent(now, &held.entry)
    }

    /// Returns and clears the orders for the backend server that were decided since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    fn resend_stops(&mut self, now: time::Duration) {
        let due = self.held.iter().filter(|(_, held)| {
            let waits = matches!(held.state, State::Running | State::StartUnconfirmed);
            held.must_end_since.is_some()
                && waits
                && now.saturating_sub(held.stop_at) >= STOP_RESEND_AFTER
        });
        let due: Vec<Run> = due.map(|(run, _)| run.clone()).collect();
        for run in due {
            self.send_stop(now, &run);
        }
    }

    fn require_end(&mut self, now: time::Duration, run: &Run) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        if held.state == State::Waiting {
            self.end_run(now, run, RunOutcome::NotRun);
            return;
        }
        held.must_end_since.get_or_insert(now);
        // A start that is under way is stopped after its answer: a stop that overtook it would be answered
        // before the run exists.
        if held.state != State::Starting {
            self.send_stop(now, run);
        }
    }

    fn send_stop(&mut self, now: time::Duration, run: &Run) {
        if let Some(held) = self.held.get_mut(run) {
            held.stop_at = now;
            self.order_stop(run.clone());
        }
    }

    fn order_stop(&mut self, run: Run) {
        let to = self.recipient();
        self.counts.stops += 1;
        self.orders.push(Order::Stop { to, run });
    }

    fn end_run(&mut self, now: time::Duration, run: &Run, outcome: RunOutcome) {
        let Some(held) = self.held.remove(run) else {
            return;
        };
        if held.state == State::Waiting {
            self.waiting.remove(&held.queue_key());
        } else {
            self.used = self.used.minus(&held.start.need);
        }
        let took = now.saturating_sub(held.since);
        self.observe_end(&held, outcome, took);
        let entry = self.entries.entry(held.entry).or_default();
        self.counts
            .run_seconds
            .observe(&[("how", outcome.name())], took);
        let ended = RunEnd {
            run: run.clone(),
            outcome,
            took_ms: took.as_millis() as u64,
        };
        entry.unsent_ends.push(ended.clone());
        entry.recent_ends.push_back(ended);
        if entry.recent_ends.len() > RETAINED_ENDS {
            entry.recent_ends.pop_front();
        }
    }

    /// Starts the waiting runs that fit, and returns those that can't start here.
    fn dispatch_waiting(&mut self, now: time::Duration) {
        if !self.takes_work() {
            let all: Vec<Run> = self.waiting.iter().map(|(.., run)| run.clone()).collect();
            for run in all {
                self.end_run(now, &run, RunOutcome::NotRun);
            }
            return;
        }
        let considered = self.waiting.iter().take(MAX_STARTS_CONSIDERED);
        let considered: Vec<Run> = considered.map(|(.., run)| run.clone()).collect();
        for run in considered {
            // The next check of the time bounds may come later than the room that this start waits for.
            let held = self.held.get(&run);
            if held.is_some_and(|held| self.is_start_expired(now, held)) {
                self.end_run(now, &run, RunOutcome::NotRun);
            } else {
                self.start_if_fits(now, &run);
            }
        }
        for run in self.surplus_suspects(now) {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
        self.reserved_for_suspect = self.is_reserved_for_suspect(now);
        self.lend_free_room(now);
    }
}
