//! A backend server as the users' pages describe it: it runs what it is told to under a lease,
//! carries some orders out late, and never runs what was stopped or has ended. It may crash and
//! start anew; its clock begins anew with each life and runs fast or slow.

use std::collections::BTreeMap;

use lovagemill::decide::besteffort::message::{Run, RunOutcome};
use lovagemill::decide::besteffort::slots::{Listing, StartAnswer};

/// Times are in milliseconds.
pub type Ms = u64;

/// One run that was seen, for the judge.
#[derive(Clone, Debug)]
pub struct Seen {
    pub run: Run,
    pub began: Ms,
    pub ended: Ms,
}

/// How far a clock may be off, in thousandths of true time.
pub const CLOCK_ERROR: u64 = 20;

/// The clock of one life: it showed `first` at true time `born`, and runs at `rate` thousandths of
/// true time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub born: Ms,
    pub first: Ms,
    pub rate: u64,
}

impl Clock {
    fn at(&self, now: Ms) -> Ms {
        self.first + now.saturating_sub(self.born) * self.rate / 1_000
    }

    /// The true time at which it shows `clock`.
    fn when(&self, clock: Ms) -> Ms {
        self.born + (clock.saturating_sub(self.first) * 1_000).div_ceil(self.rate)
    }
}

/// Room of a backend server that hasn't shrunk, in thousandths of a core.
pub const FULL: i64 = 24_000;

/// Longest lease that is taken; a longer one is shortened to it.
const LONGEST_LEASE: Ms = 1_000;

/// What a play may take from a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// It refuses what comes late, and what was stopped or has ended.
    pub refuses_late: bool,
    /// It shortens a lease over the longest.
    pub shortens_leases: bool,
    /// It says when its life began.
    pub says_born: bool,
}

/// Why a call brought nothing.
#[derive(Clone, Copy, Debug)]
pub enum NoAnswer {
    /// It was meant for another life.
    AnotherLife,
    /// It came from an earlier agent.
    OldToken,
    /// Nothing listens: the backend server has crashed and isn't back yet.
    Refused,
}

/// A backend server.
pub struct Server {
    number: usize,
    id: u64,
    life: u64,
    clock: Clock,
    /// On its own clock.
    lease: Ms,
    token: u64,
    rules: Rules,
    /// Whether its agent has spoken to this life of it, and not just asked whether it is there.
    pub is_known: bool,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// When its agent first took that in.
    pub leave_heard: Option<Ms>,
    /// Until when it is down after a crash.
    down_until: Ms,
    /// Its room, in thousandths of a core, and since when; the newest last.
    capacity: Vec<(Ms, i64)>,
    /// Heartbeats of this life.
    heartbeats: u64,
    running: BTreeMap<Run, (Ms, Ms)>,
    closed: BTreeMap<(String, u32), u64>,
    /// Numbered from 1 in each life, until they are acknowledged.
    ended: Vec<(u64, Run, RunOutcome)>,
    last_end: u64,
    pub seen: Vec<Seen>,
}

impl Server {
    /// A backend server that runs nothing.
    pub fn open(number: usize, clock: Clock, rules: Rules) -> Server {
        Server {
            number,
            id: 0,
            life: 0,
            clock,
            lease: 0,
            token: 0,
            rules,
            is_known: false,
            leaving: false,
            leave_heard: None,
            down_until: 0,
            capacity: vec![(0, FULL)],
            heartbeats: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            seen: Vec::new(),
        }
    }

    /// Its room now.
    pub fn capacity(&self) -> i64 {
        self.capacity.last().map_or(FULL, |(_, cpu)| *cpu)
    }

    /// Its room shrinks or grows.
    pub fn resize(&mut self, now: Ms, cpu: i64) {
        self.capacity.push((now, cpu));
    }

    /// Room that may be used: the largest since `since`.
    pub fn allowed(&self, since: Ms) -> i64 {
        let older = self.capacity.iter().rev().find(|(at, _)| *at <= since);
        let newer = self.capacity.iter().filter(|(at, _)| *at > since);
        newer
            .chain(older)
            .map(|(_, cpu)| *cpu)
            .max()
            .unwrap_or(FULL)
    }

    /// Runs at work.
    pub fn at_work(&mut self, now: Ms) -> usize {
        self.settle(now);
        self.running.len()
    }

    /// Whether a run is at work.
    pub fn runs(&self, run: &Run) -> bool {
        self.running.contains_key(run)
    }

    /// Whether it is down after a crash.
    pub fn is_down(&self, now: Ms) -> bool {
        now < self.down_until
    }

    /// It is down for a while after a crash.
    pub fn stay_down(&mut self, until: Ms) {
        self.down_until = until;
    }

    /// Its id, as it names itself. The next life may have it too.
    pub fn instance(&self) -> String {
        format!("server-{}-{}", self.number, self.id)
    }

    /// When its life began, by a time of day that jumps; no two lives name the same.
    pub fn born_ms(&self) -> Option<u64> {
        self.rules.says_born.then_some(self.life * 37 % 101)
    }

    /// The number of its next heartbeat.
    pub fn next_heartbeat(&mut self) -> u64 {
        self.heartbeats += 1;
        self.heartbeats
    }

    /// Which life it is, counted; for the judge only.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// It crashes with all that it runs, and remembers nothing in its next life.
    pub fn crash(&mut self, now: Ms, clock: Clock, keeps_id: bool) {
        self.finish(now);
        self.life += 1;
        self.id += u64::from(!keeps_id);
        self.clock = clock;
        self.lease = 0;
        self.token = 0;
        self.closed.clear();
        self.ended.clear();
        self.last_end = 0;
        self.is_known = false;
        self.leaving = false;
        self.leave_heard = None;
        self.heartbeats = 0;
    }

    fn accepts(&mut self, now: Ms, life: &str, token: u64) -> Result<(), NoAnswer> {
        self.settle(now);
        if self.is_down(now) {
            return Err(NoAnswer::Refused);
        }
        if !life.is_empty() && life != self.instance() {
            return Err(NoAnswer::AnotherLife);
        }
        if token < self.token {
            return Err(NoAnswer::OldToken);
        }
        self.token = token;
        Ok(())
    }

    /// Ends what is done, and everything once the lease is over.
    pub fn settle(&mut self, now: Ms) {
        let runs: Vec<Run> = self.running.keys().cloned().collect();
        for run in runs {
            let (_, done) = self.running[&run];
            let lapse = self.clock.when(self.lease);
            if done <= now && done <= lapse {
                self.end(&run, done, RunOutcome::Done);
            } else if lapse <= now {
                self.end(&run, lapse, RunOutcome::Gone);
            }
        }
    }

    fn end(&mut self, run: &Run, at: Ms, how: RunOutcome) {
        let Some((began, _)) = self.running.remove(run) else {
            return;
        };
        self.seen.push(Seen {
            run: run.clone(),
            began,
            ended: at,
        });
        self.close(run);
        self.last_end += 1;
        self.ended.push((self.last_end, run.clone(), how));
    }

    fn close(&mut self, run: &Run) {
        let task = (run.job.to_string(), run.task);
        let highest = self.closed.entry(task).or_default();
        *highest = (*highest).max(run.number);
    }

    /// A start arrives, for a life or for any where that is empty.
    pub fn start(
        &mut self,
        now: Ms,
        life: &str,
        token: u64,
        run: &Run,
        until: Ms,
        work: Ms,
    ) -> StartAnswer {
        if self.accepts(now, life, token).is_err() {
            return StartAnswer::Refused;
        }
        if self.running.contains_key(run) {
            return StartAnswer::Accepted;
        }
        let task = (run.job.to_string(), run.task);
        let old = self.closed.get(&task).is_some_and(|n| *n >= run.number);
        if self.rules.refuses_late && (old || until <= self.clock.at(now)) {
            return StartAnswer::Refused;
        }
        self.renew(now, until);
        if !self.rules.refuses_late {
            self.lease = self.lease.max(self.clock.at(now + work) + 1);
        }
        self.running.insert(run.clone(), (now, now + work));
        StartAnswer::Accepted
    }

    fn renew(&mut self, now: Ms, until: Ms) {
        let longest = self.clock.at(now) + LONGEST_LEASE;
        let until = if self.rules.shortens_leases {
            until.min(longest)
        } else {
            until
        };
        self.lease = self.lease.max(until);
    }

    /// A stop arrives.
    pub fn stop(&mut self, now: Ms, life: &str, token: u64, run: &Run) -> bool {
        if self.accepts(now, life, token).is_err() {
            return false;
        }
        self.close(run);
        self.end(run, now, RunOutcome::Gone);
        true
    }

    /// A listing is asked for.
    pub fn list(
        &mut self,
        now: Ms,
        life: &str,
        token: u64,
        until: Option<Ms>,
        acknowledged: u64,
    ) -> Result<Listing, NoAnswer> {
        self.accepts(now, life, token)?;
        self.ended.retain(|(number, ..)| *number > acknowledged);
        if let Some(until) = until {
            self.renew(now, until);
        }
        Ok(Listing {
            born_ms: self.born_ms(),
            clock_ms: self.clock.at(now),
            running: self.running.keys().map(|run| (run.clone(), 10)).collect(),
            ended: self
                .ended
                .iter()
                .map(|(_, run, how)| (run.clone(), *how))
                .collect(),
            last_end: self.ended.last().map_or(0, |(number, ..)| *number),
        })
    }

    /// Ends everything, at the end of a play.
    pub fn finish(&mut self, now: Ms) {
        self.settle(now);
        let runs: Vec<Run> = self.running.keys().cloned().collect();
        for run in runs {
            self.end(&run, now, RunOutcome::Gone);
        }
    }
}
