//! A backend server as the users' pages describe it: it runs what it is told to under a lease,
//! carries some orders out late, and never runs what was stopped or has ended.

use std::collections::BTreeMap;

use lovagemill::decide::besteffort::message::{How, Run};
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

/// A backend server.
#[derive(Default)]
pub struct Server {
    lease: Ms,
    token: u64,
    refuses_late: bool,
    running: BTreeMap<Run, (Ms, Ms)>,
    closed: BTreeMap<(String, u32), u64>,
    ended: Vec<(Run, How)>,
    pub seen: Vec<Seen>,
}

impl Server {
    /// A backend server that runs nothing.
    pub fn open(refuses_late: bool) -> Server {
        Server {
            refuses_late,
            ..Server::default()
        }
    }

    /// Ends what is done, and everything once the lease is over.
    pub fn settle(&mut self, now: Ms) {
        let runs: Vec<Run> = self.running.keys().cloned().collect();
        for run in runs {
            let (_, done) = self.running[&run];
            let lapse = self.lease;
            if done <= now && done <= lapse {
                self.end(&run, done, How::Done);
            } else if lapse <= now {
                self.end(&run, lapse, How::Gone);
            }
        }
    }

    fn end(&mut self, run: &Run, at: Ms, how: How) {
        let Some((began, _)) = self.running.remove(run) else {
            return;
        };
        self.seen.push(Seen {
            run: run.clone(),
            began,
            ended: at,
        });
        self.close(run);
        self.ended.push((run.clone(), how));
    }

    fn close(&mut self, run: &Run) {
        let task = (run.job.to_string(), run.task);
        let highest = self.closed.entry(task).or_default();
        *highest = (*highest).max(run.number);
    }

    /// A start arrives.
    pub fn start(&mut self, now: Ms, token: u64, run: &Run, until: Ms, work: Ms) -> StartAnswer {
        self.settle(now);
        if token < self.token {
            return StartAnswer::Refused;
        }
        self.token = token;
        if self.running.contains_key(run) {
            return StartAnswer::Accepted;
        }
        let task = (run.job.to_string(), run.task);
        let old = self.closed.get(&task).is_some_and(|n| *n >= run.number);
        if self.refuses_late && (old || until <= now) {
            return StartAnswer::Refused;
        }
        self.lease = self.lease.max(until);
        if !self.refuses_late {
            self.lease = self.lease.max(now + work);
        }
        self.running.insert(run.clone(), (now, now + work));
        StartAnswer::Accepted
    }

    /// A stop arrives.
    pub fn stop(&mut self, now: Ms, token: u64, run: &Run) -> bool {
        self.settle(now);
        if token < self.token {
            return false;
        }
        self.token = token;
        self.close(run);
        self.end(run, now, How::Gone);
        true
    }

    /// A listing is asked for.
    pub fn list(&mut self, now: Ms, token: u64, until: Option<Ms>) -> Option<Listing> {
        self.settle(now);
        if token < self.token {
            return None;
        }
        self.token = token;
        if let Some(until) = until {
            self.lease = self.lease.max(until);
        }
        Some(Listing {
            clock_ms: now,
            running: self.running.keys().map(|run| (run.clone(), 10)).collect(),
            ended: std::mem::take(&mut self.ended),
            last_end: 0,
        })
    }

    /// Ends everything, at the end of a play.
    pub fn finish(&mut self, now: Ms) {
        self.settle(now);
        let runs: Vec<Run> = self.running.keys().cloned().collect();
        for run in runs {
            self.end(&run, now, How::Gone);
        }
    }
}
