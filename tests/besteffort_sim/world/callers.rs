//! Callers, who submit jobs and submit them again.

use std::time::Duration;

use lovagemill::decide::besteffort::board::SubmitResult;
use lovagemill::decide::besteffort::job::Submission;
use lovagemill::decide::besteffort::lease;
use lovagemill::decide::besteffort::message::Room;
use rand::Rng;

use crate::server::Ms;
use crate::world::{ms, Event, Job, World, END, ENTRIES, PATIENCE};

/// One job in so many has a task that crashes backend servers, on days when some do.
const CRASHING: usize = 25;

/// Room of each task.
pub(super) const NEED: Room = Room {
    cpu: 1_000,
    memory_mb: 10,
    accelerators: 0,
};

impl World {
    pub(super) fn new_job(&mut self) {
        let tasks = self.rng.random_range(1..4);
        self.jobs.push(Job {
            tasks,
            entry: 0,
            tries: 0,
            away: false,
            over: false,
            done: false,
            failed: false,
        });
        self.submit(self.jobs.len() - 1);
        let pause = self.rng.random_range(40..160);
        if self.now < END - PATIENCE {
            self.at(self.now + pause, Event::NewJob);
        }
    }

    pub(super) fn submit(&mut self, index: usize) {
        let e = self.rng.random_range(0..ENTRIES);
        let now = self.clock(self.entries[e].process);
        self.jobs[index].entry = e;
        self.jobs[index].away = false;
        self.jobs[index].tries += 1;
        let tries = self.jobs[index].tries;
        self.at(self.now + PATIENCE, Event::CallerGone(index, tries));
        if self.entries[e].process.asleep_until > self.now {
            return;
        }
        let ask = ask(index, &self.jobs[index], now + ms(PATIENCE), self.now);
        if let SubmitResult::Job(no) = self.entries[e].board.submit(now, ask) {
            self.entries[e].callers.insert(no, index);
        }
        self.flush_entry(e, Vec::new());
    }

    /// The caller gives its try up and submits the job once more; its entry hears that it left as
    /// soon as it is awake.
    pub(super) fn caller_gone(&mut self, index: usize, tries: u64) {
        let job = &mut self.jobs[index];
        if job.over || job.away || job.tries != tries {
            return;
        }
        job.away = true;
        let job = &self.jobs[index];
        self.at(self.now, Event::Left(job.entry, index));
        let again = lease::RESUBMIT_AFTER.as_millis() as u64;
        self.at(self.now + again, Event::Submit(index));
    }

    pub(super) fn left(&mut self, e: usize, index: usize) {
        let now = self.clock(self.entries[e].process);
        let mut callers = self.entries[e].callers.iter();
        let found = callers.find(|(_, of)| **of == index).map(|(no, _)| *no);
        if let Some(no) = found {
            self.entries[e].callers.remove(&no);
            self.entries[e].board.caller_left(now, no);
            self.flush_entry(e, Vec::new());
        }
    }
}

/// Whether the first task of a job crashes each backend server that starts it, on days when some do.
pub(super) fn crashes(index: usize) -> bool {
    index % CRASHING == CRASHING - 1
}

fn ask(index: usize, job: &Job, deadline: Duration, now: Ms) -> Submission {
    Submission {
        job: format!("{index:016x}").into(),
        class: "class".into(),
        service: "svc".into(),
        input: "input".into(),
        tasks: job.tasks,
        need: NEED,
        declared_run_time: ms(450),
        required_label: None,
        near_label: None,
        max_per_worker: None,
        max_attempts: 3,
        priority: 0,
        stretch: 2.0,
        slack: ms(1_000),
        deadline,
        wait_shortfall: Duration::ZERO,
        first_run_number: now * 10,
    }
}
