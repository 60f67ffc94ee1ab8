//! What an agent holds for entries: runs, the room they take, and when each must end.
//!
//! Nothing runs here for an entry that isn't heard, past its deadline, or after its entry withdrew
//! it. A run counts against the room until the backend server has listed its end, so that the agent
//! never asks for more than there is. Orders that had no answer count as running until it is
//! certain that they don't.

mod counts;
mod crashes;
mod entries;
mod held;
mod incarnations;
mod lend;
mod order;
mod server;

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time;

use crate::decide::besteffort::evacuation;
use crate::decide::besteffort::lease::{Bounds, Lease};
use crate::decide::besteffort::message::{
    Backend, Crash, EntryIncarnation, Room, Run, RunEnd, RunOutcome, ServerIncarnation, WaitingWork,
};

pub use counts::{Counts, StaleMessage};
pub use crashes::Isolation;
use held::{HeldRun, State};
pub use incarnations::{Check, CheckResult};
pub use order::{Listing, Order, Recipient, StartAnswer};

/// Why runs are lost, in logs and metrics.
const LEASE_RAN_OUT: &str = "lease ran out";
const ANOTHER_INCARNATION: &str = "another life";

/// Ends that are repeated when an entry connects again.
const RETAINED_ENDS: usize = 128;

/// Waiting starts that are looked at for one that fits; keeps a full agent from long scans.
const MAX_STARTS_CONSIDERED: usize = 8;

/// How long a stop may go unanswered before it is sent again.
const STOP_RESEND_AFTER: time::Duration = time::Duration::from_millis(50);

/// Part of the lease for which the backend server may be silent before nothing new is sent to it.
const UNREACHABLE_AFTER_LEASES: f64 = 0.7;

/// How long an entry that is gone is remembered.
const ENTRY_RETENTION: time::Duration = time::Duration::from_secs(10);

#[derive(Debug, Default)]
struct Entry {
    alive_until: time::Duration,
    heard_at: time::Duration,
    unsent_ends: Vec<RunEnd>,
    recent_ends: VecDeque<RunEnd>,
    /// Crashes that it hasn't been told of.
    unsent_crashes: Vec<Crash>,
    /// What waits there.
    waiting_work: Option<WaitingWork>,
    /// Room that is kept for it.
    loan: Option<lend::Loan>,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Slots {
    bounds: Bounds,
    lease: Lease,
    /// The last end that was taken in from this life of the backend server. It is acknowledged only
    /// then: an end that is acknowledged isn't listed again.
    acknowledged: u64,
    /// The backend server's clock in the newest listing of this life.
    newest_listing_ms: u64,
    backend: Backend,
    /// Lives that may be there, while they are checked.
    candidates: VecDeque<incarnations::Candidate>,
    last_check: u64,
    /// Lives that are dead.
    dead_incarnations: HashSet<ServerIncarnation>,
    /// The number of the newest heartbeat of the known life.
    last_heartbeat: u64,
    /// Runs that were with the life before under the same id, until the known one has listed what it has.
    inherited: Vec<Run>,
    held: BTreeMap<Run, HeldRun>,
    waiting: BTreeSet<(u32, u64, Run)>,
    used: Room,
    entries: BTreeMap<EntryIncarnation, Entry>,
    orders: Vec<Order>,
    /// When runs that nobody here asked for were told to stop.
    unknown_run_stops: BTreeMap<Run, time::Duration>,
    stopping: bool,
    crashes: crashes::Crashes,
    isolation: Isolation,
    /// Whether a suspect keeps others from beginning.
    reserved_for_suspect: bool,
    /// The newest word on whether the agent's failure domain is evacuated.
    evacuation: evacuation::DomainState,
    /// Whether the backend server was heard lately, and nothing lengthens its lease beyond what the agent
    /// asks for.
    reachable: bool,
    /// What the agent did since the start.
    pub counts: Counts,
}

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

impl Slots {
    /// Opens the state of an agent that knows no backend server and no entry.
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
            counts: Counts::default(),
        }
    }

    /// The life of the backend server that is known.
    pub fn server_incarnation(&self) -> &ServerIncarnation {
        &self.backend.incarnation
    }

    /// Whom orders are meant for that are decided now.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            incarnation: self.backend.incarnation.clone(),
            fence: self.counts.incarnations,
        }
    }

    /// The backend server as entries should see it.
    pub fn advertised_backend(&self) -> Backend {
        Backend {
            takes_work: self.takes_work(),
            ..self.backend.clone()
        }
    }

    fn takes_work(&self) -> bool {
        self.backend.takes_work && self.reachable && !self.stopping && !self.evacuation.evacuated
    }

    /// The backend server as it last announced itself.
    pub fn announced_backend(&self) -> &Backend {
        &self.backend
    }

    /// Room that nobody uses or waits for.
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

    /// How long ago the backend server answered; none if it never did.
    pub fn last_answer_age(&self, now: time::Duration) -> Option<time::Duration> {
        self.lease.since_last_answer(now)
    }

    /// Whether nothing is held.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether anything is with the backend server.
    pub fn is_working(&self) -> bool {
        self.held.len() > self.waiting.len()
    }

    /// Takes no more work; what runs goes on.
    pub fn stop_accepting(&mut self, now: time::Duration) {
        self.stopping = true;
        self.dispatch_waiting(now);
    }

    /// Takes in an entry's word on whether the failure domain is evacuated: nothing new starts meanwhile,
    /// what runs goes on, and starts that wait go back to their entries at once. Returns whether that
    /// has changed.
    pub fn update_evacuation(
        &mut self,
        now: time::Duration,
        word: evacuation::DomainState,
    ) -> bool {
        let changed = self.evacuation.update(word);
        if changed {
            log::info!(evacuated = word.evacuated, version = word.version;
                "failure domain was evacuated or taken back");
            self.dispatch_waiting(now);
        }
        changed
    }

    /// Ends whatever is left.
    pub fn end_all_runs(&mut self, now: time::Duration) {
        let all: Vec<Run> = self.held.keys().cloned().collect();
        for run in all {
            self.require_end(now, &run);
        }
    }

    /// Looks at every time bound. To be called more often than any of them matters.
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
        let mut must_end_since = Vec::new();
        let mut bounced = Vec::new();
        for (run, held) in &self.held {
            let silent = self
                .entries
                .get(&held.entry)
                .is_none_or(|e| now >= e.alive_until);
            let past = now >= millis(held.start.deadline_ms);
            let waited = now.saturating_sub(held.since) >= millis(held.start.patience_ms);
            if held.state == State::Waiting && waited {
                bounced.push(run.clone());
            } else if (silent || past) && held.must_end_since.is_none() {
                log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                    entry = held.entry.entry.as_str(), silent = silent, past_deadline = past;
                    "ending a run that nobody waits for");
                must_end_since.push(run.clone());
            }
        }
        for run in bounced {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
        for run in must_end_since {
            self.require_end(now, &run);
        }
        self.resend_stops(now);
        self.forget_crashes(now);
        self.entries
            .retain(|_, e| now.saturating_sub(e.heard_at) < ENTRY_RETENTION);
        self.dispatch_waiting(now);
    }

    /// Orders for the backend server that have come up.
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
        // A start on its way is stopped once it is answered: a stop that overtook it would be
        // answered before the run is there.
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
        let entry = self.entries.entry(held.entry).or_default();
        let took = now.saturating_sub(held.since);
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

    /// Starts what fits, and turns away what can't start here.
    fn dispatch_waiting(&mut self, now: time::Duration) {
        if !self.takes_work() {
            let all: Vec<Run> = self.waiting.iter().map(|(.., run)| run.clone()).collect();
            for run in all {
                self.end_run(now, &run, RunOutcome::NotRun);
            }
            return;
        }
        let ahead = self.waiting.iter().take(MAX_STARTS_CONSIDERED);
        let ahead: Vec<Run> = ahead.map(|(.., run)| run.clone()).collect();
        for run in ahead {
            self.start_if_fits(now, &run);
        }
        for run in self.surplus_suspects(now) {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
        self.reserved_for_suspect = self.is_reserved_for_suspect(now);
        self.lend_free_room(now);
    }

    /// Whether an earlier run of the same task hasn't ended here; a later one would run beside it.
    fn has_earlier_run(&self, run: &Run) -> bool {
        let first = Run {
            number: 0,
            ..run.clone()
        };
        let mut earlier = self.held.range(first..run.clone());
        earlier.any(|(_, held)| held.state != State::Waiting)
    }

    fn start_if_fits(&mut self, now: time::Duration, run: &Run) {
        let free = self.backend.size.minus(&self.used);
        let fits = |held: &HeldRun| {
            free.fits(&held.start.need) && !self.must_wait_for_isolation(now, &held.start)
        };
        if !self.held.get(run).is_some_and(fits) || self.has_earlier_run(run) {
            return;
        }
        // The lease covers the run from the order on. Were it renewed only as the order leaves, the
        // next look at the time bounds could find the run without one and give it up, while the
        // order is on its way: its task would run here and elsewhere.
        let Some(lease_until_ms) = self.renew_lease(now) else {
            return;
        };
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.state = State::Starting;
        held.since = now;
        self.used = self.used.plus(&held.start.need);
        self.waiting.remove(&held.queue_key());
        let input = held.start.input.clone();
        self.orders.push(Order::Start {
            to: self.recipient(),
            run: run.clone(),
            input,
            lease_until_ms,
        });
    }
}
