//! Lines between entries and agents.

use lovagemill::decide::besteffort::message::{
    AgentMessage, Crash, EntryIncarnation, EntryMessage, Room,
};
use lovagemill::decide::besteffort::subset::{LinkChange, ListedAgent};
use rand::Rng;

use crate::net::{Line, Link};
use crate::server::Ms;
use crate::world::{Event, World};

/// Longest time between two messages of a busy entry: less than a machine stands still that has used up its share of the
/// processor.
const LONGEST_COMPOSING: Ms = 80;

fn agent_name(a: usize) -> String {
    format!("agent-{a}")
}

/// What is listed of an agent.
pub(super) fn member(a: usize) -> ListedAgent {
    ListedAgent {
        agent: agent_name(a).into(),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: "domain".into(),
        service: "svc".into(),
        labels: Vec::new(),
        size: Room {
            cpu: 8_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
    }
}

impl World {
    pub(super) fn entry_name(&self, e: usize, a: usize) -> Option<EntryIncarnation> {
        let link = self.links.get(&(e, a))?;
        link.agent_open.then(|| EntryIncarnation {
            entry: format!("entry-{e}").into(),
            incarnation: self.entries[e].process.life,
        })
    }

    pub(super) fn connect(&mut self, e: usize, a: usize) {
        if !self.agents[a].clean || self.entries[e].process.asleep_until > self.now {
            self.at(self.now + 100, Event::Connect(e, a));
            return;
        }
        if self.faults.picks && !self.wanted.contains(&(e, a)) {
            return;
        }
        let is_up = |link: &Link| link.agent_open && (link.entry_open || !self.faults.picks);
        if self.links.get(&(e, a)).is_some_and(is_up) {
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
            let now = self.clock(self.entries[e].process);
            self.entries[e].board.agent_unreachable(now, &agent_name(a));
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
        let mut hello = self.agents[a].slots.entry_connected(now, &name);
        hello.agent = agent_name(a).into();
        hello.incarnation = self.agents[a].process.life;
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
        let mut line: AgentMessage = agent.slots.next_message(&name, now);
        line.backend = Some(agent.slots.advertised_backend());
        if !self.guards.tells_crashes {
            line.crashes.clear();
        }
        line.hello = hello;
        let link = self.links.get_mut(&(e, a)).expect("named above");
        line.starts_read = link.taken;
        let delay = self.rng.random_range(1..3);
        let at = (self.now + delay).max(link.last.1).max(link.held.1);
        link.last.1 = at;
        let number = link.number;
        self.at(at, Event::Line(e, a, number, Line::ToEntry(Box::new(line))));
    }

    /// An entry tells an agent something; a busy one writes it later, together with what it has for the agent by then.
    pub(super) fn entry_says(&mut self, e: usize, a: usize, line: EntryMessage) {
        if !self.faults.busy_entries {
            self.write_line(e, a, line);
            return;
        }
        let Some(link) = self.links.get_mut(&(e, a)).filter(|link| link.entry_open) else {
            return;
        };
        let number = link.number;
        if let Some(outgoing) = &mut link.outgoing {
            outgoing.starts.extend(line.starts);
            outgoing.stops.extend(line.stops);
            return;
        }
        link.outgoing = Some(line);
        let delay = self.rng.random_range(0..LONGEST_COMPOSING);
        self.at(self.now + delay, Event::Write(e, a, number));
    }

    /// A busy entry writes what it has for an agent.
    pub(super) fn write_outgoing(&mut self, e: usize, a: usize, number: u64) {
        let link = self.links.get_mut(&(e, a));
        let link = link.filter(|link| link.number == number);
        if let Some(line) = link.and_then(|link| link.outgoing.take()) {
            self.write_line(e, a, line);
        }
    }

    fn write_line(&mut self, e: usize, a: usize, mut line: EntryMessage) {
        let delay = self.rng.random_range(1..3);
        let Some(link) = self.links.get_mut(&(e, a)).filter(|link| link.entry_open) else {
            return;
        };
        let (seen, at) = link.seen;
        if seen == 0 {
            return;
        }
        line.seen_ms = seen;
        line.waiting = self.entries[e].board.waiting_work();
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
                link.taken += line.starts.len() as u64;
                self.agents[a].slots.handle_message(now_agent, &name, *line);
                self.flush_agent(a);
            }
            Line::ToEntry(line) if link.entry_open => {
                link.heard.1 = self.now;
                link.seen = (line.now_ms, now_entry.as_millis() as u64);
                let board = &mut self.entries[e].board;
                if let Some(hello) = &line.hello {
                    board.agent_up(now_entry, number, hello);
                }
                board.handle_message(now_entry, number, &line);
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
        if self.faults.picks {
            self.at(self.now + 100, Event::Connect(e, a));
        }
        self.flush_entry(e, Vec::new());
    }

    /// An entry opens or closes the link to an agent.
    pub(super) fn change_link(&mut self, e: usize, change: &LinkChange) {
        let number = |agent: &str| -> usize {
            let number = agent.strip_prefix("agent-").and_then(|n| n.parse().ok());
            number.expect("named so")
        };
        match change {
            LinkChange::Open(agent, _) => {
                let a = number(agent);
                self.wanted.insert((e, a));
                self.at(self.now + 3, Event::Connect(e, a));
            }
            LinkChange::Close(agent) => {
                let a = number(agent);
                self.wanted.remove(&(e, a));
                let now = self.now;
                if let Some(link) = self.links.get_mut(&(e, a)) {
                    // Where the link is cut, the agent finds out by silence.
                    link.agent_open &= link.held.0 > now;
                }
                if self.links.get(&(e, a)).is_some_and(|link| link.entry_open) {
                    self.entry_lost(e, a);
                }
            }
        }
    }

    pub(super) fn relist(&mut self, e: usize, a: usize) {
        if self.unlisted.remove(&(e, a)) {
            self.entries[e].board.list_agent(member(a));
        } else {
            self.unlisted.insert((e, a));
            self.entries[e].board.unlist_agent(&agent_name(a));
        }
        self.flush_entry(e, Vec::new());
    }

    /// An agent writes the crashes that it has seen into its row, and each entry reads them within a second.
    pub(super) fn list_crashes(&mut self, a: usize) {
        if !self.faults.picks || !self.guards.lists_crashes {
            return;
        }
        let crashes = self.agents[a].slots.crashes();
        if crashes.is_empty() || crashes == self.agents[a].listed_crashes {
            return;
        }
        let life = self.agents[a].process.life;
        for e in 0..self.entries.len() {
            let delay = self.rng.random_range(10..1_000);
            for crash in &crashes {
                let row = Event::CrashRow(e, a, life, crash.clone());
                self.at(self.now + delay, row);
            }
        }
        self.agents[a].listed_crashes = crashes;
    }

    /// An entry that starts reads all rows.
    pub(super) fn read_all_crashes(&mut self, e: usize, at: Ms) {
        for a in 0..self.agents.len() {
            let life = self.agents[a].process.life;
            for crash in self.agents[a].listed_crashes.clone() {
                self.at(at + 20, Event::CrashRow(e, a, life, crash));
            }
        }
    }

    pub(super) fn read_crash(&mut self, e: usize, a: usize, life: u64, crash: &Crash) {
        let now = self.clock(self.entries[e].process);
        let board = &mut self.entries[e].board;
        board.crash_reported(now, &agent_name(a), life, crash);
        self.flush_entry(e, Vec::new());
    }
}
