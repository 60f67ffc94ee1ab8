//! What an agent holds for entries: runs, the room they take, and when each must end.
//!
//! Nothing runs here for an entry that isn't heard, past its deadline, or after its entry withdrew
//! it. A run counts against the room until the backend server has listed its end, so that the agent
//! never asks for more than there is. Orders that had no answer count as running until it is
//! certain that they don't.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::lease::{self, Bounds, Lease};
use crate::decide::besteffort::message::{
    Backend, Ended, EntryName, FromAgent, Hello, How, Progress, Room, Run, Start,
};

/// Ends that are repeated when an entry connects again.
const KEPT_ENDS: usize = 128;

/// Waiting starts that are looked at for one that fits; keeps a full agent from long scans.
const LOOK_AHEAD: usize = 8;

/// How long a stop may go unanswered before it is sent again.
const STOP_AGAIN: time::Duration = time::Duration::from_millis(50);

/// Part of the lease after which a renewal that wasn't answered is sent once more, on its own; the
/// listing that should have brought it is late.
const RENEW_AGAIN: f64 = 0.4;

/// Part of the lease for which the backend server may be silent before nothing new is sent to it.
const UNREACHED: f64 = 0.7;

/// How long an entry that is gone is remembered.
const FORGET_ENTRY: time::Duration = time::Duration::from_secs(10);

/// What the agent asks of its backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Begin a run, under a lease that ends then on the backend server's clock.
    Start(Run, CompactString, u64),
    /// End a run, or make sure that it never begins.
    Stop(Run),
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

/// The state of an agent.
#[derive(Debug)]
pub struct Slots {
    bounds: Bounds,
    lease: Lease,
    /// The last end that was taken in from this life of the backend server. It is acknowledged only
    /// then: an end that is acknowledged isn't listed again.
    acknowledged: u64,
    backend: Backend,
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
            backend: Backend::default(),
            past: HashSet::new(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            used: Room::default(),
            entries: BTreeMap::new(),
            orders: Vec::new(),
            alien_stops: BTreeMap::new(),
            stopping: false,
            reached: false,
        }
    }

    /// Takes in what the backend server says of itself. The first word of another life ends all
    /// that ran in the one before; a late word of an earlier life is passed over.
    pub fn announced(&mut self, now: time::Duration, backend: Backend) {
        if self.past.contains(&backend.instance) {
            return;
        }
        if backend.instance != self.backend.instance {
            if !self.backend.instance.is_empty() {
                self.past.insert(self.backend.instance.clone());
            }
            log::info!(instance = backend.instance.as_str(), before = self.backend.instance.as_str(),
                held = self.held.len(); "backend server has a new life");
            self.lost(now, "another life of the backend server");
            // What is known of the clock and the lease is of the life before.
            self.lease = Lease::open(self.bounds);
            self.acknowledged = 0;
            self.reached = false;
        }
        if backend.takes_work != self.backend.takes_work {
            log::info!(instance = backend.instance.as_str(), takes_work = backend.takes_work;
                "backend server changed its mind about new work");
        }
        self.backend = backend;
        self.pump(now);
    }

    /// The backend server says that it leaves now. What it has may run on for a moment, so that its
    /// ends are still waited for.
    pub fn left(&mut self, now: time::Duration, instance: &str) {
        if self.backend.instance == instance {
            self.backend.takes_work = false;
            self.pump(now);
        }
    }

    /// Everything that was with the backend server has ended: its lease ran out or it is another.
    fn lost(&mut self, now: time::Duration, why: &str) {
        let gone = self.held.iter().filter(|(_, h)| h.state != State::Waiting);
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        if !gone.is_empty() {
            log::warn!(runs = gone.len(), why = why; "runs lost with the backend server");
        }
        for run in gone {
            self.end(now, &run, How::Gone);
        }
    }

    /// The end of the lease to ask for with a listing, on the backend server's clock.
    /// None while a run that has to end goes on, because its stop isn't answered or nobody was awake
    /// to send one: the lease is one for all, and running it out is the one way left to end that run
    /// before its task may start elsewhere.
    pub fn renew(&mut self, now: time::Duration) -> Option<u64> {
        let open = |held: &Held| !matches!(held.state, State::Waiting | State::Closing);
        let overdue = |held: &Held| now > self.must_end(held) + lease::SLACK;
        if self.held.values().any(|held| open(held) && overdue(held)) {
            return None;
        }
        self.lease.renew(now)
    }

    /// When a run has to end: withdrawn, past its deadline, or its entry not heard.
    fn must_end(&self, held: &Held) -> time::Duration {
        let entry = self.entries.get(&held.entry);
        let heard = entry.map_or(time::Duration::ZERO, |entry| entry.alive_until);
        let deadline = millis(held.start.deadline_ms);
        held.unwanted.unwrap_or(deadline).min(deadline).min(heard)
    }

    /// The last end that needn't be listed any more.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Whether a renewal is overdue while something runs, so that one more is worth a call.
    pub fn renewal_overdue(&self, now: time::Duration) -> bool {
        self.is_working()
            && self
                .lease
                .overdue(now, self.bounds.lease.mul_f64(RENEW_AGAIN))
    }

    /// Takes in whether the backend server answers; nothing is started while it doesn't.
    fn reach(&mut self, now: time::Duration, reached: bool) {
        if self.reached == reached {
            return;
        }
        self.reached = reached;
        log::info!(instance = self.backend.instance.as_str(), reached = reached;
            "backend server's reach changed");
        self.pump(now);
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

    /// An entry has connected; returns what it should know first.
    pub fn entry_up(&mut self, now: time::Duration, name: &EntryName) -> Hello {
        let entry = self.entries.entry(name.clone()).or_default();
        entry.ended.clear();
        entry.heard = now;
        entry.alive_until = now + self.bounds.silence;
        let ended = entry.kept.iter().cloned().collect();
        let runs = self.held.iter().filter(|(_, held)| held.entry == *name);
        Hello {
            runs: runs.map(|(run, _)| run.clone()).collect(),
            ended,
            agent: CompactString::default(),
            life: 0,
            failure_domain: CompactString::default(),
        }
    }

    /// An entry has repeated our clock. Whether the word is fresh enough to act on.
    pub fn heard(&mut self, now: time::Duration, name: &EntryName, seen_ms: u64) -> bool {
        let until = millis(seen_ms) + self.bounds.silence;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.alive_until = entry.alive_until.max(until);
            entry.heard = now;
        }
        now < until
    }

    /// An entry wants a run.
    pub fn start(&mut self, now: time::Duration, name: &EntryName, fresh: bool, start: Start) {
        if self.held.contains_key(&start.run) {
            return;
        }
        let run = start.run.clone();
        let held = Held {
            entry: name.clone(),
            state: State::Waiting,
            since: now,
            unwanted: None,
            stop_at: time::Duration::ZERO,
            percent: 0,
            percent_at: now,
            start,
        };
        self.waiting.insert(held.rank());
        self.held.insert(run.clone(), held);
        if !fresh {
            log::warn!(job = run.job.as_str(), task = run.task, run = run.number, entry = name.entry.as_str();
                "start came too late to act on");
            self.end(now, &run, How::NotRun);
        }
        self.pump(now);
    }

    /// An entry doesn't want a run any more.
    pub fn withdraw(&mut self, now: time::Duration, name: &EntryName, run: &Run) {
        if self.held.get(run).is_some_and(|held| held.entry == *name) {
            self.unwant(now, run);
            self.pump(now);
        }
    }

    /// A start was answered, or its time ran out.
    pub fn answered(&mut self, now: time::Duration, run: &Run, answer: StartAnswer) {
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
                if held.unwanted.is_some() {
                    self.send_stop(now, run);
                }
            }
            StartAnswer::Refused => self.end(now, run, How::NotRun),
            StartAnswer::Unwell => self.end(now, run, How::Rejected),
            StartAnswer::Unknown => {
                held.state = State::Unsure;
                held.unwanted.get_or_insert(now);
                log::warn!(job = run.job.as_str(), task = run.task, run = run.number;
                    "start had no answer");
                self.send_stop(now, run);
            }
        }
        self.pump(now);
    }

    /// A stop was answered: the run ends within the stop's grace, or never begins. Returns whether
    /// only a new listing can tell which, because nobody knows whether it began; an end that happens
    /// is listed by itself.
    pub fn stop_answered(&mut self, now: time::Duration, run: &Run) -> bool {
        let Some(held) = self.held.get_mut(run) else {
            return false;
        };
        let unsure = held.state == State::Unsure;
        held.state = State::Closing;
        held.stop_at = now;
        unsure
    }

    /// Another life of the backend server has answered; nothing of the one that is known runs.
    pub fn another_life(&mut self, now: time::Duration) {
        self.lost(now, "another life has answered");
    }

    /// Takes in a listing that was asked for at `sent`, of the life that is known.
    pub fn listed(&mut self, now: time::Duration, sent: time::Duration, listing: Listing) {
        self.lease.heard(sent, now, listing.clock_ms);
        self.reach(now, true);
        self.acknowledged = self.acknowledged.max(listing.last_end);
        for (run, how) in &listing.ended {
            self.end(now, run, *how);
        }
        let mut alien = Vec::new();
        for (run, percent) in &listing.running {
            match self.held.get_mut(run) {
                Some(held) => {
                    held.percent = *percent;
                    held.percent_at = now;
                }
                None => alien.push(run.clone()),
            }
        }
        for run in alien {
            let again = self
                .alien_stops
                .get(&run)
                .is_some_and(|at| now < *at + STOP_AGAIN);
            if again {
                continue;
            }
            self.alien_stops.retain(|_, at| now < *at + STOP_AGAIN);
            self.alien_stops.insert(run.clone(), now);
            log::warn!(job = run.job.as_str(), task = run.task, run = run.number;
                "stopping a run that nobody here asked for");
            self.orders.push(Order::Stop(run));
        }
        let running: HashSet<&Run> = listing.running.iter().map(|(run, _)| run).collect();
        let missing = |held: &Held| match held.state {
            State::Running => sent > held.since,
            State::Closing => sent > held.stop_at,
            State::Waiting | State::Starting | State::Unsure => false,
        };
        let gone = self.held.iter();
        let gone = gone.filter(|(run, held)| missing(held) && !running.contains(run));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        for run in gone {
            self.end(now, &run, How::Gone);
        }
        self.pump(now);
    }

    /// Looks at every time bound. To be called more often than any of them matters.
    pub fn tick(&mut self, now: time::Duration) {
        if self.lease.silent(now, self.bounds.lease.mul_f64(UNREACHED)) {
            self.reach(now, false);
        }
        if self.is_working() && self.lease.lapsed(now) {
            self.lost(now, "the lease ran out");
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

    /// What an entry should hear now: ends, and the progress of its runs.
    pub fn line(&mut self, name: &EntryName, now: time::Duration) -> FromAgent {
        let mut line = FromAgent {
            now_ms: now.as_millis() as u64,
            free: self.free(),
            sharers: self.sharers(now),
            ..FromAgent::default()
        };
        if let Some(entry) = self.entries.get_mut(name) {
            line.ended = std::mem::take(&mut entry.ended);
        }
        let runs = self.held.iter().filter(|(_, held)| held.entry == *name);
        let running = runs.filter(|(_, held)| held.state == State::Running);
        line.progress = running
            .map(|(run, held)| Progress {
                run: run.clone(),
                percent: held.percent,
                age_ms: held.percent_at.saturating_sub(held.since).as_millis() as u64,
            })
            .collect();
        line
    }

    fn sharers(&self, now: time::Duration) -> u32 {
        let alive = self.entries.values().filter(|e| now < e.alive_until);
        alive.count() as u32
    }

    /// Whether an entry has something to hear before the next heartbeat.
    pub fn has_news(&self, name: &EntryName) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|e| !e.ended.is_empty())
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
            self.orders.push(Order::Stop(run.clone()));
        }
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
        let ended = Ended {
            run: run.clone(),
            how,
            took_ms: now.saturating_sub(held.since).as_millis() as u64,
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
        let input = held.start.input.clone();
        self.orders.push(Order::Start(run.clone(), input, until));
    }
}
