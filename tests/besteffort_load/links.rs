//! The links between entries and agents, and the messages on them.

use lovagemill::decide::besteffort::asking;
use lovagemill::decide::besteffort::board::Action;
use lovagemill::decide::besteffort::message::{AgentMessage, EntryMessage, Room};
use lovagemill::decide::besteffort::subset::LinkChange;

use crate::load::Informed;
use crate::servers;
use crate::world::{at, Event, World, CONNECT_RETRY, HEARTBEAT, MS, ONE_WAY, ORDER_TIME, TICK};

impl World {
    pub fn connect(&mut self, e: usize, a: usize) {
        let mut hello = self.agents[a]
            .slots
            .entry_connected(at(self.now), &self.names[e]);
        hello.agent = format!("agent-{a}").into();
        hello.incarnation = 1;
        hello.failure_domain = self.domain(a);
        self.agents[a].starts_read[e] = 0;
        let link = a as u64;
        self.entries[e].links.insert(link, ());
        self.entries[e].board.agent_up(at(self.now), link, &hello);
        // The agent's first message on a link reports its room.
        let message = self.agent_message(e, a);
        self.receive_at_entry(e, a, &message);
    }

    pub fn change_link(&mut self, e: usize, change: LinkChange) {
        let number = |agent: &str| -> usize {
            let number = agent.strip_prefix("agent-").and_then(|n| n.parse().ok());
            number.expect("numbered by the simulation")
        };
        match change {
            LinkChange::Open(agent, _) => {
                let a = number(&agent);
                self.entries[e].wanted.insert(a as u64);
                self.after(self.load.link_opens_in_ms * MS, Event::Linked(e, a));
            }
            LinkChange::Close(agent) => {
                let link = number(&agent) as u64;
                self.entries[e].wanted.remove(&link);
                self.unlink(e, link);
            }
        }
    }

    pub fn unlink(&mut self, e: usize, link: u64) {
        let entry = &mut self.entries[e];
        if entry.links.remove(&link).is_some() {
            entry.outgoing.remove(&link);
            entry.agent_clocks.remove(&link);
            entry.asking.link_closed(link);
            entry.board.agent_down(at(self.now), link);
            self.agents[link as usize]
                .slots
                .entry_disconnected(&self.names[e]);
        }
    }

    pub fn linked(&mut self, e: usize, a: usize) {
        let link = a as u64;
        if !self.entries[e].wanted.contains(&link) || self.entries[e].links.contains_key(&link) {
            return;
        }
        if self.agents[a].is_lost {
            let name = format!("agent-{a}");
            self.entries[e].board.agent_unreachable(at(self.now), &name);
            self.after(CONNECT_RETRY, Event::Linked(e, a));
            return;
        }
        self.connect(e, a);
    }

    pub fn entry_tick(&mut self, e: usize) {
        self.entries[e].board.tick(at(self.now));
        self.flush_entry(e);
        if self.now >= self.entries[e].heartbeat_sent_at + HEARTBEAT {
            self.entries[e].heartbeat_sent_at = self.now;
            let links: Vec<u64> = self.entries[e].links.keys().copied().collect();
            for link in links {
                self.send_from_entry(e, link as usize);
            }
        }
        self.after(TICK, Event::EntryTick(e));
    }

    pub fn flush_entry(&mut self, e: usize) {
        for action in self.entries[e].board.take_actions() {
            match action {
                Action::Start(link, start) => {
                    self.results.starts += 1;
                    self.count_pause(servers::class_of(&start.run));
                    self.entries[e]
                        .outgoing
                        .entry(link)
                        .or_default()
                        .starts
                        .push(start);
                }
                Action::Stop(link, run) => {
                    self.entries[e]
                        .outgoing
                        .entry(link)
                        .or_default()
                        .stops
                        .push(run);
                }
                Action::Close(link) => {
                    let name = format!("agent-{link}");
                    self.unlink(e, link);
                    self.entries[e].board.agent_unreachable(at(self.now), &name);
                    self.after(CONNECT_RETRY, Event::Linked(e, link as usize));
                }
                Action::Link(change) => self.change_link(e, change),
                Action::Answer(no, outcome) => self.answered(e, no, &outcome),
            }
        }
        let entry = &mut self.entries[e];
        if let Some(waiting) = entry.board.waiting_work() {
            let now = at(self.now);
            for link in
                entry
                    .asking
                    .links_to_ask(now, asking::asked_priority(&waiting), &entry.links)
            {
                entry.outgoing.entry(link).or_default();
            }
        }
        let due: Vec<u64> = self.entries[e].outgoing.keys().copied().collect();
        for link in due {
            self.send_from_entry(e, link as usize);
        }
    }

    pub fn send_from_entry(&mut self, e: usize, a: usize) {
        let entry = &mut self.entries[e];
        let link = a as u64;
        let mut message = entry.outgoing.remove(&link).unwrap_or_default();
        let (seen_ms, received_at) = entry.agent_clocks.get(&link).copied().unwrap_or_default();
        message.seen_ms = seen_ms;
        message.waiting = entry.board.waiting_work();
        message.demand = entry.board.statement(at(self.now));
        entry
            .asking
            .message_sent(link, message.waiting.as_ref().map(asking::asked_priority));
        if entry.board.links_not_asked(at(self.now)).contains(&link) {
            message.waiting = None;
        }
        let agent_ms = |ms: u64| (ms + seen_ms).saturating_sub(received_at / MS);
        for start in &mut message.starts {
            start.deadline_ms = agent_ms(start.deadline_ms);
            start.urgency_ms = agent_ms(start.urgency_ms);
        }
        self.results.messages += 1;
        self.after(ONE_WAY, Event::ToAgent(e, a, message));
    }

    pub fn receive_at_agent(&mut self, e: usize, a: usize, message: EntryMessage) {
        if self.agents[a].is_lost || !self.entries[e].links.contains_key(&(a as u64)) {
            return;
        }
        let (now, sender) = (at(self.now), self.names[e].clone());
        let agent = &mut self.agents[a];
        let is_heartbeat = message.starts.is_empty() && message.stops.is_empty();
        agent.starts_read[e] += message.starts.len() as u64;
        agent.slots.handle_message(now, &sender, message);
        if is_heartbeat {
            self.send_from_agent(e, a);
        }
        self.flush_agent(a);
    }

    pub fn send_from_agent(&mut self, e: usize, a: usize) {
        let message = self.agent_message(e, a);
        self.results.messages += 1;
        self.results.reports += u64::from(message.demand.is_some());
        self.after(ONE_WAY, Event::ToEntry(e, a, Box::new(message)));
    }

    pub fn agent_message(&mut self, e: usize, a: usize) -> AgentMessage {
        let agent = &mut self.agents[a];
        let mut message = agent.slots.next_message(&self.names[e], at(self.now));
        message.starts_read = agent.starts_read[e];
        message.backend = Some(agent.slots.advertised_backend());
        if self.load.informed == Informed::Everyone {
            message.free = agent.slots.free();
            message.lent = Room::default();
        }
        message
    }

    pub fn receive_at_entry(&mut self, e: usize, a: usize, message: &AgentMessage) {
        if !self.entries[e].links.contains_key(&(a as u64)) {
            return;
        }
        let entry = &mut self.entries[e];
        entry
            .agent_clocks
            .insert(a as u64, (message.now_ms, self.now));
        entry.board.handle_message(at(self.now), a as u64, message);
        if !message.lent.is_empty() {
            entry.outgoing.entry(a as u64).or_default();
        }
        self.flush_entry(e);
    }

    pub fn flush_agent(&mut self, a: usize) {
        for order in self.agents[a].slots.take_orders() {
            self.after(ORDER_TIME, Event::Order(a, order));
        }
        for e in 0..self.load.entries {
            if !self.entries[e].links.contains_key(&(a as u64)) {
                continue;
            }
            let has_unsent = self.agents[a].slots.has_unsent(&self.names[e]);
            let informs_all = self.load.informed == Informed::Everyone
                && self.entries[e].board.waiting_work().is_some();
            if has_unsent || informs_all {
                self.send_from_agent(e, a);
            }
        }
    }
}
