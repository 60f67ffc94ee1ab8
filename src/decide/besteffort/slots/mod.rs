//! What an agent holds for entries: runs, the room they take, and when each must end.
//!
//! Nothing runs here for an entry that isn't heard, past its deadline, or after its entry withdrew
//! it. A run counts against the room until the backend server has listed its end, so that the agent
//! never asks for more than there is. Orders that had no answer count as running until it is
//! certain that they don't.

mod entries;
mod lives;
mod server;

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::lease::{Bounds, Lease};
use crate::decide::besteffort::message::{Backend, Ended, EntryName, How, Room, Run, Start};
use crate::metrics;

pub use lives::{Check, Checked};

/// Why runs are lost, in logs and metrics.
const LEASE_RAN_OUT: &str = "lease ran out";
const ANOTHER_LIFE: &str = "another life";

/// Ends that are repeated when an entry connects again.
const KEPT_ENDS: usize = 128;

/// Waiting starts that are looked at for one that fits; keeps a full agent from long scans.
const LOOK_AHEAD: usize = 8;

/// How long a stop may go unanswered before it is sent again.
const STOP_AGAIN: time::Duration = time::Duration::from_millis(50);

/// Part of the lease for which the backend server may be silent before nothing new is sent to it.
const UNREACHED: f64 = 0.7;

/// How long an entry that is gone is remembered.
const FORGET_ENTRY: time::Duration = time::Duration::from_secs(10);

/// What the agent asks of one life of its backend server. An order that leaves late must not reach
/// another life: its run was given up with the one that it was meant for, and its task may already
/// run elsewhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Begin a run.
    Start {
        /// The life that is meant.
        life: CompactString,
        /// The run.
        run: Run,
        /// What it works on.
        input: CompactString,
        /// The end of its lease, on the backend server's clock in milliseconds.
        until: u64,
    },
    /// End a run, or make sure that it never begins.
    Stop {
        /// The life that is meant.
        life: CompactString,
        /// The run.
        run: Run,
    },
}

/// What came of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// It runs.
    Accepted,
    /// It doesn't run and never will.
    Refused,
    /// The backend server turned it away since it is unwell; nothing ran.
    Unwell,
    /// Nobody can tell; it may even begin later.
    Unknown,
}

impl StartAnswer {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StartAnswer::Accepted => "accepted",
            StartAnswer::Refused => "refused",
            StartAnswer::Unwell => "unwell",
            StartAnswer::Unknown => "unknown",
        }
    }
}

/// What a backend server says that it has.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs at work, with hundredths done.
    pub running: Vec<(Run, u8)>,
    /// Ends that were not acknowledged before.
    pub ended: Vec<(Run, How)>,
    /// The number of the last of them; 0 where there is none.
    pub last_end: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// No room yet.
    Waiting,
    /// The order is on its way.
    Starting,
    /// It runs.
    Running,
    /// The order had no answer; a stop will settle it.
    Unsure,
    /// A stop was answered; the next listing tells how it ended.
    Closing,
}

#[derive(Clone, Debug)]
struct Held {
    start: Start,
    entry: EntryName,
    state: State,
    /// Since when it waits or runs.
    since: time::Duration,
    /// Since when it has to end: withdrawn, past its deadline, or its entry silent.
    unwanted: Option<time::Duration>,
    /// When the last stop was sent, or answered while closing.
    stop_at: time::Duration,
    percent: u8,
    /// When the listing with that was asked for.
    percent_at: time::Duration,
}

impl Held {
    /// The order in which starts wait for room.
    fn rank(&self) -> (u32, u64, Run) {
        let start = &self.start;
        (start.priority, start.urgency_ms, start.run.clone())
    }
}

#[derive(Debug, Default)]
struct Entry {
    alive_until: time::Duration,
    heard: time::Duration,
    ended: Vec<Ended>,
    kept: VecDeque<Ended>,
}

/// Counts since the start, for the metrics page.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// From a run's start, or its arrival if it never began, to its end; by how it ended.
    pub ended: metrics::Seconds,
    /// Starts by what came of them.
    pub starts: BTreeMap<&'static str, u64>,
    /// Stops sent, repeated ones included.
    pub stops: u64,
    /// Times that the lease ran out, or the backend server crashed, under runs; by which it was.
    pub lost: BTreeMap<&'static str, u64>,
    /// Lives of the backend server that were taken up.
    pub lives: u64,
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
    newest_ms: u64,
    backend: Backend,
    /// A life that may be there, while it is checked.
    candidate: Option<lives::Candidate>,
    checks: u64,
    /// Lives that are dead.
    past: HashSet<CompactString>,
    held: BTreeMap<Run, Held>,
    waiting: BTreeSet<(u32, u64, Run)>,
    used: Room,
    entries: BTreeMap<EntryName, Entry>,
    orders: Vec<Order>,
    /// When runs that nobody here asked for were told to stop.
    alien_stops: BTreeMap<Run, time::Duration>,
    stopping: bool,
    /// Whether the backend server was heard lately.
    reached: bool,
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
            newest_ms: 0,
            backend: Backend::default(),
            candidate: None,
            checks: 0,
            past: HashSet::new(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            used: Room::default(),
            entries: BTreeMap::new(),
            orders: Vec::new(),
            alien_stops: BTreeMap::new(),
            stopping: false,
            reached: false,
            counts: Counts::default(),
        }
    }

    /// The life of the backend server that is known.
    pub fn instance(&self) -> CompactString {
        self.backend.instance.clone()
    }

    /// The backend server as entries should see it.
    pub fn backend(&self) -> Backend {
        let mut backend = self.backend.clone();
        backend.takes_work &= self.reached && !self.stopping;
        backend
    }

    /// The backend server as it last announced itself.
    pub fn known(&self) -> &Backend {
        &self.backend
    }

    /// Room that nobody uses or waits for.
    pub fn free(&self) -> Room {
        let waiting = self
            .waiting
            .iter()
            .filter_map(|(.., run)| self.held.get(run));
        waiting.fold(self.backend.size.minus(&self.used), |free, held| {
            free.minus(&held.start.need)
        })
    }

    /// How long ago the backend server answered; none if it never did.
    pub fn heard_ago(&self, now: time::Duration) -> Option<time::Duration> {
        self.lease.heard_ago(now)
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
    pub fn stop(&mut self, now: time::Duration) {
        self.stopping = true;
        self.pump(now);
    }

    /// Ends whatever is left.
    pub fn stop_all(&mut self, now: time::Duration) {
        let all: Vec<Run> = self.held.keys().cloned().collect();
        for run in all {
            self.unwant(now, &run);
        }
    }

    /// Looks at every time bound. To be called more often than any of them matters.
    pub fn tick(&mut self, now: time::Duration) {
        if self.lease.silent(now, self.bounds.lease.mul_f64(UNREACHED)) {
            self.reach(now, false);
        }
        if self.is_working() && self.lease.lapsed(now) {
            self.lost(now, LEASE_RAN_OUT);
        }
        let mut unwanted = Vec::new();
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
            } else if (silent || past) && held.unwanted.is_none() {
                log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                    entry = held.entry.entry.as_str(), silent = silent, past_deadline = past;
                    "ending a run that nobody waits for");
                unwanted.push(run.clone());
            }
        }
        for run in bounced {
            self.end(now, &run, How::NotRun);
        }
        for run in unwanted {
            self.unwant(now, &run);
        }
        self.stop_again(now);
        self.entries
            .retain(|_, e| now.saturating_sub(e.heard) < FORGET_ENTRY);
        self.pump(now);
    }

    /// Orders for the backend server that have come up.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    fn stop_again(&mut self, now: time::Duration) {
        let due = self.held.iter().filter(|(_, held)| {
            let waits = matches!(held.state, State::Running | State::Unsure);
            held.unwanted.is_some() && waits && now.saturating_sub(held.stop_at) >= STOP_AGAIN
        });
        let due: Vec<Run> = due.map(|(run, _)| run.clone()).collect();
        for run in due {
            self.send_stop(now, &run);
        }
    }

    fn unwant(&mut self, now: time::Duration, run: &Run) {
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        if held.state == State::Waiting {
            self.end(now, run, How::NotRun);
            return;
        }
        held.unwanted.get_or_insert(now);
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
        let life = self.instance();
        self.counts.stops += 1;
        self.orders.push(Order::Stop { life, run });
    }

    fn end(&mut self, now: time::Duration, run: &Run, how: How) {
        let Some(held) = self.held.remove(run) else {
            return;
        };
        if held.state == State::Waiting {
            self.waiting.remove(&held.rank());
        } else {
            self.used = self.used.minus(&held.start.need);
        }
        let entry = self.entries.entry(held.entry).or_default();
        let took = now.saturating_sub(held.since);
        self.counts.ended.observe(&[("how", how.name())], took);
        let ended = Ended {
            run: run.clone(),
            how,
            took_ms: took.as_millis() as u64,
        };
        entry.ended.push(ended.clone());
        entry.kept.push_back(ended);
        if entry.kept.len() > KEPT_ENDS {
            entry.kept.pop_front();
        }
    }

    /// Starts what fits, and turns away what can't start here.
    fn pump(&mut self, now: time::Duration) {
        if !self.backend().takes_work {
            let all: Vec<Run> = self.waiting.iter().map(|(.., run)| run.clone()).collect();
            for run in all {
                self.end(now, &run, How::NotRun);
            }
            return;
        }
        let ahead = self.waiting.iter().take(LOOK_AHEAD);
        let ahead: Vec<Run> = ahead.map(|(.., run)| run.clone()).collect();
        for run in ahead {
            self.start_if_fits(now, &run);
        }
    }

    fn start_if_fits(&mut self, now: time::Duration, run: &Run) {
        let free = self.backend.size.minus(&self.used);
        // An earlier run of the same task that hasn't ended here would run beside this one.
        let first = Run {
            number: 0,
            ..run.clone()
        };
        let mut earlier = self.held.range(first..run.clone());
        if earlier.any(|(_, held)| held.state != State::Waiting) {
            return;
        }
        let Some(held) = self.held.get(run) else {
            return;
        };
        if !free.fits(&held.start.need) {
            return;
        }
        // The lease covers the run from the order on. Were it renewed only as the order leaves, the
        // next look at the time bounds could find the run without one and give it up, while the
        // order is on its way: its task would run here and elsewhere.
        let Some(until) = self.renew(now) else {
            return;
        };
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.state = State::Starting;
        held.since = now;
        self.used = self.used.plus(&held.start.need);
        self.waiting.remove(&held.rank());
        let order = Order::Start {
            life: self.backend.instance.clone(),
            run: run.clone(),
            input: held.start.input.clone(),
            until,
        };
        self.orders.push(order);
    }
}
