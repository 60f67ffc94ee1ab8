//! Lines between entries and agents.

use lovagemill::decide::besteffort::message::{EntryName, FromAgent, FromEntry};
use rand::Rng;

use crate::net::{Line, Link};
use crate::world::{Event, World};

impl World {
    pub(super) fn entry_name(&self, e: usize, a: usize) -> Option<EntryName> {
        let link = self.links.get(&(e, a))?;
        link.agent_open.then(|| EntryName {
            entry: format!("entry-{e}").into(),
            life: self.entries[e].process.life,
        })
    }

    pub(super) fn connect(&mut self, e: usize, a: usize) {
        if !self.agents[a].clean || self.entries[e].process.asleep_until > self.now {
            self.at(self.now + 100, Event::Connect(e, a));
            return;
        }
        if self.links.get(&(e, a)).is_some_and(|link| link.agent_open) {
            return;
        }
        self.last_link += 1;
        let number = self.last_link;
        let old = self.links.get(&(e, a)).cloned().unwrap_or_default();
        if old.entry_open {
            self.entry_lost(e, a);
        }
        // A cut hangs the connect until it heals.
        if old.held.0.max(old.held.1) > self.now {
            self.at(old.held.0.max(old.held.1) + 20, Event::Connect(e, a));
            return;
        }
        let link = Link {
            number,
            agent_open: true,
            entry_open: true,
            heard: (self.now, self.now),
            ..Link::default()
        };
        self.links.insert((e, a), link);
        let name = self.entry_name(e, a).expect("just opened");
        let now = self.clock(self.agents[a].process);
        let mut hello = self.agents[a].slots.entry_up(now, &name);
        hello.agent = format!("agent-{a}").into();
        hello.life = self.agents[a].process.life;
        self.agent_says(e, a, Some(hello));
    }

    pub(super) fn agent_says(
        &mut self,
        e: usize,
        a: usize,
        hello: Option<lovagemill::decide::besteffort::message::Hello>,
    ) {
        let Some(name) = self.entry_name(e, a) else {
            return;
        };
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        let mut line: FromAgent = agent.slots.line(&name, now);
        line.backend = Some(agent.slots.backend());
        if !self.guards.tells_crashes {
            line.crashes.clear();
        }
        line.hello = hello;
        let link = self.links.get_mut(&(e, a)).expect("named above");
        line.taken = link.taken;
        let delay = self.rng.random_range(1..3);
        let at = (self.now + delay).max(link.last.1).max(link.held.1);
        link.last.1 = at;
        let number = link.number;
        self.at(at, Event::Line(e, a, number, Line::ToEntry(Box::new(line))));
    }

    pub(super) fn entry_says(&mut self, e: usize, a: usize, mut line: FromEntry) {
        let delay = self.rng.random_range(1..3);
        let Some(link) = self.links.get_mut(&(e, a)).filter(|link| link.entry_open) else {
            return;
        };
        let (seen, at) = link.seen;
        if seen == 0 {
            return;
        }
        line.seen_ms = seen;
        line.wants = self.entries[e].board.wants();
        for start in &mut line.starts {
            start.deadline_ms = (start.deadline_ms + seen).saturating_sub(at);
            start.urgency_ms = (start.urgency_ms + seen).saturating_sub(at);
        }
        let at = (self.now + delay).max(link.last.0).max(link.held.0);
        link.last.0 = at;
        let number = link.number;
        self.at(at, Event::Line(e, a, number, Line::ToAgent(Box::new(line))));
    }

    pub(super) fn line(&mut self, e: usize, a: usize, number: u64, line: Line) {
        let now_agent = self.clock(self.agents[a].process);
        let now_entry = self.clock(self.entries[e].process);
        let name = self.entry_name(e, a);
        let Some(link) = self
            .links
            .get_mut(&(e, a))
            .filter(|link| link.number == number)
        else {
            return;
        };
        match line {
            Line::ToAgent(line) if link.agent_open => {
                link.heard.0 = self.now;
                let name = name.expect("the agent's side is open");
                let slots = &mut self.agents[a].slots;
                let fresh = slots.heard(now_agent, &name, line.seen_ms);
                for run in &line.stops {
                    slots.withdraw(now_agent, &name, run);
                }
                for start in line.starts {
                    link.taken += 1;
                    slots.start(now_agent, &name, fresh, start);
                }
                slots.waits(now_agent, &name, line.seen_ms, line.wants);
                self.flush_agent(a);
            }
            Line::ToEntry(line) if link.entry_open => {
                link.heard.1 = self.now;
                link.seen = (line.now_ms, now_entry.as_millis() as u64);
                let board = &mut self.entries[e].board;
                if let Some(hello) = &line.hello {
                    board.agent_up(now_entry, number, hello);
                }
                board.heard(now_entry, number, &line);
                self.flush_entry(e, Vec::new());
            }
            _ => {}
        }
    }

    pub(super) fn close_if_silent(&mut self, e: usize, a: usize, by_agent: bool) {
        let silence = self.guards.bounds().silence.as_millis() as u64;
        let Some(link) = self.links.get_mut(&(e, a)) else {
            return;
        };
        let heard = if by_agent { link.heard.0 } else { link.heard.1 };
        if self.now <= heard + silence {
            return;
        }
        if by_agent && link.agent_open {
            link.agent_open = false;
            self.at(self.now + 100, Event::Connect(e, a));
        } else if !by_agent && link.entry_open {
            self.entry_lost(e, a);
        }
    }

    pub(super) fn entry_lost(&mut self, e: usize, a: usize) {
        let now = self.clock(self.entries[e].process);
        let Some(link) = self.links.get_mut(&(e, a)) else {
            return;
        };
        link.entry_open = false;
        let number = link.number;
        self.entries[e].board.agent_down(now, number);
        self.flush_entry(e, Vec::new());
    }
}
