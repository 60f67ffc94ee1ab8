//! Entries: their time bounds, and what their boards ask for.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lovagemill::decide::besteffort::board::{Action, Board};
use lovagemill::decide::besteffort::job::{JobNo, Outcome};
use lovagemill::decide::besteffort::message::EntryMessage;
use lovagemill::decide::besteffort::policy::Policy;
use rand::Rng;

use crate::net::Link;
use crate::world::links::member;
use crate::world::{Entry, Event, Process, World, AGENTS, TICK};

impl World {
    pub(super) fn new_entry(&self, e: usize) -> Entry {
        let mut policy = Policy::default();
        policy.subset.base_size = 1;
        policy.subset.max_extra = AGENTS;
        policy.subset.extra_at_once = 1;
        policy.subset.links_for_job = 1;
        policy.subset.unused_timeout = Duration::from_millis(500);
        let name = format!("entry-{e}");
        let mut board = Board::open(&name, "domain", self.guards.bounds(), policy);
        if self.faults.picks {
            let listed = (0..AGENTS).filter(|a| !self.unlisted.contains(&(e, *a)));
            listed.for_each(|a| board.list_agent(member(a)));
        }
        Entry {
            process: Process::default(),
            board,
            callers: HashMap::new(),
        }
    }

    pub(super) fn entry_tick(&mut self, e: usize, life: u64) {
        if self.entries[e].process.life != life {
            return;
        }
        let now = self.clock(self.entries[e].process);
        self.entries[e].board.tick(now);
        self.flush_entry(e, Vec::new());
        for a in 0..AGENTS {
            self.close_if_silent(e, a, false);
            self.entry_says(e, a, EntryMessage::default());
        }
        let pause = TICK + self.rng.random_range(0..5);
        self.at(self.now + pause, Event::EntryTick(e, life));
    }

    pub(super) fn flush_entry(&mut self, e: usize, mut first: Vec<Action>) {
        first.extend(self.entries[e].board.take_actions());
        let mut lines: BTreeMap<usize, EntryMessage> = BTreeMap::new();
        let of = |links: &BTreeMap<(usize, usize), Link>, number: u64| {
            let mut own = links.range((e, 0)..(e + 1, 0));
            own.find(|(_, link)| link.number == number)
                .map(|((_, a), _)| *a)
        };
        for action in first {
            match action {
                Action::Start(link, start) => {
                    if let Some(a) = of(&self.links, link) {
                        lines.entry(a).or_default().starts.push(start);
                    }
                }
                Action::Stop(link, run) => {
                    if let Some(a) = of(&self.links, link) {
                        lines.entry(a).or_default().stops.push(run);
                    }
                }
                Action::Close(link) => {
                    if let Some(a) = of(&self.links, link) {
                        self.links.get_mut(&(e, a)).expect("found").entry_open = false;
                    }
                }
                Action::Link(change) => self.change_link(e, &change),
                Action::Answer(no, outcome) => self.answered(e, no, &outcome),
            }
        }
        for (a, line) in lines {
            self.entry_says(e, a, line);
        }
    }

    pub(super) fn answered(&mut self, e: usize, no: JobNo, outcome: &Outcome) {
        let Some(index) = self.entries[e].callers.remove(&no) else {
            return;
        };
        let job = &mut self.jobs[index];
        job.over = true;
        job.done = *outcome == Outcome::Complete;
        job.failed = *outcome == Outcome::Failed;
    }
}
