//! Agents and their backend servers: listings, orders, words about lives.

use lovagemill::decide::besteffort::lease;
use lovagemill::decide::besteffort::message::{Backend, Room};
use lovagemill::decide::besteffort::slots::{Check, Checked, Listing, Order, Slots, StartAnswer};
use rand::Rng;

use crate::server::{Clock, Ms, NoAnswer, Server, CLOCK_ERROR};
use crate::world::{ms, Agent, Event, Process, World, BEAT, ENTRIES, TICK};

impl World {
    /// The clock of a life that begins now; it may begin anywhere.
    pub(super) fn new_clock(&mut self) -> Clock {
        let off = self.rng.random_range(0..=2 * CLOCK_ERROR);
        Clock {
            born: self.now,
            first: self.rng.random_range(1..100_000),
            rate: 1_000 + off - CLOCK_ERROR,
        }
    }

    pub(super) fn new_agent(&self, server: Server) -> Agent {
        Agent {
            process: Process::default(),
            slots: Slots::open(self.guards.bounds()),
            server,
            clean: false,
            born: self.now,
        }
    }

    pub(super) fn wake_agent(&mut self, a: usize) {
        let life = self.agents[a].process.life;
        self.at(self.now, Event::AgentTick(a, life));
        for e in 0..ENTRIES {
            self.at(self.now + 10, Event::Connect(e, a));
        }
    }

    pub(super) fn agent_tick(&mut self, a: usize, life: u64) {
        if self.agents[a].process.life != life {
            return;
        }
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        if self.now > agent.born + lease::Bounds::default().lapse().as_millis() as u64 {
            agent.clean = true;
        }
        agent.slots.tick(now);
        self.ask_for_list(a);
        self.flush_agent(a);
        for e in 0..ENTRIES {
            self.agent_says(e, a, None);
            self.close_if_silent(e, a, true);
        }
        let pause = TICK + self.rng.random_range(0..5);
        self.at(self.now + pause, Event::AgentTick(a, life));
    }

    /// A listing that is answered at once; some are lost.
    pub(super) fn ask_for_list(&mut self, a: usize) {
        let now = self.clock(self.agents[a].process);
        let (lost, late) = (self.is_unanswered(), self.is_unanswered());
        // One that is late may come in after the next.
        let delay = self.rng.random_range(0..if late { 300 } else { 3 });
        let agent = &mut self.agents[a];
        let until = agent.clean.then(|| agent.slots.renew(now)).flatten();
        if lost {
            return;
        }
        let (life, at) = (agent.process.life, self.now);
        let of = agent.slots.instance();
        let acknowledged = agent.slots.acknowledged();
        let listing = agent.server.list(at, &of, life, until, acknowledged);
        let sent = now.as_millis() as u64;
        self.at(at + delay, Event::Listed(a, life, of, sent, listing));
    }

    pub(super) fn listed(
        &mut self,
        a: usize,
        life: u64,
        of: &str,
        sent: Ms,
        answer: Result<Listing, NoAnswer>,
    ) {
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        if agent.process.life != life || agent.slots.instance() != of {
            return;
        }
        match answer {
            Ok(listing) => {
                agent.clean |= listing.running.is_empty();
                agent.slots.listed(now, ms(sent), listing);
            }
            Err(NoAnswer::AnotherLife) => agent.slots.another_life(now),
            Err(NoAnswer::OldToken) => {}
        }
        self.flush_agent(a);
    }

    pub(super) fn announced(&mut self, a: usize, backend: Backend) {
        let now = self.clock(self.agents[a].process);
        let lost = self.is_unanswered();
        let delay = self.rng.random_range(0..3);
        let agent = &mut self.agents[a];
        let check = agent.slots.announced(now, backend);
        self.flush_agent(a);
        let Some(check) = check else {
            return;
        };
        let agent = &mut self.agents[a];
        let (life, sent) = (agent.process.life, now.as_millis() as u64);
        let answer = agent.server.list(self.now, &check.life, life, None, 0);
        let (checked, delay) = match answer {
            _ if lost => (Checked::Silent, 200),
            Ok(listing) => (Checked::There(listing), delay),
            Err(NoAnswer::AnotherLife) if !self.guards.checks_life => {
                (Checked::There(Listing::default()), delay)
            }
            Err(NoAnswer::AnotherLife) => (Checked::AnotherLife, delay),
            Err(NoAnswer::OldToken) => (Checked::Silent, delay),
        };
        let event = Event::Checked(a, life, check, sent, checked);
        self.at(self.now + delay, event);
    }

    pub(super) fn checked(
        &mut self,
        a: usize,
        life: u64,
        check: &Check,
        sent: Ms,
        checked: Checked,
    ) {
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        if agent.process.life != life {
            return;
        }
        let is_idle = matches!(&checked, Checked::There(listing) if listing.running.is_empty());
        let known = agent.slots.checked(now, ms(sent), check, checked);
        agent.clean |= known && is_idle;
        self.flush_agent(a);
    }

    /// A backend server says which life of it is there; some of its words are late.
    pub(super) fn beat(&mut self, a: usize) {
        let word = backend(self.agents[a].server.instance());
        let late = self.is_unanswered();
        let delay = self.rng.random_range(0..if late { 1_500 } else { 3 });
        self.at(self.now + delay, Event::Announced(a, word));
        self.at(self.now + BEAT, Event::Beat(a));
    }

    pub(super) fn flush_agent(&mut self, a: usize) {
        let life = self.agents[a].process.life;
        for order in self.agents[a].slots.orders() {
            let answered = !self.is_unanswered();
            let late = self.rng.random_range(2_000..12_000);
            let delay = if answered {
                self.rng.random_range(0..2)
            } else {
                late
            };
            if !answered {
                if let Order::Start { run, .. } = &order {
                    let unknown = Event::Started(a, life, run.clone(), StartAnswer::Unknown);
                    self.at(self.now + 150, unknown);
                }
            }
            let to = self.agents[a].server.life();
            let event = Event::Order(a, life, to, order, answered);
            self.at(self.now + delay, event);
        }
        for e in 0..ENTRIES {
            let Some(name) = self.entry_name(e, a) else {
                continue;
            };
            if self.agents[a].slots.has_news(&name) {
                self.agent_says(e, a, None);
            }
        }
    }

    pub(super) fn order(&mut self, a: usize, life: u64, to: u64, order: Order, answered: bool) {
        let delay = self.rng.random_range(0..2);
        let work = self.work();
        let agent = &mut self.agents[a];
        let held_back_by_the_dead = !answered && agent.server.life() != to;
        if self.faults.dies_with_orders && held_back_by_the_dead {
            return;
        }
        match order {
            Order::Start {
                life: of,
                run,
                until,
                ..
            } => {
                let of = if self.guards.names_life { &of } else { "" };
                let answer = agent.server.start(self.now, of, life, &run, until, work);
                if answered {
                    self.at(self.now + delay, Event::Started(a, life, run, answer));
                }
            }
            Order::Stop { life: of, run } => {
                let of = if self.guards.names_life { &of } else { "" };
                let certain = agent.server.stop(self.now, of, life, &run);
                if answered && certain {
                    self.at(self.now + delay, Event::Stopped(a, life, run));
                }
            }
        }
    }

    /// Mostly short tasks, and some that are still at work when their job is submitted again.
    pub(super) fn work(&mut self) -> Ms {
        if self.rng.random_range(0..4) == 0 {
            self.rng.random_range(1_000..3_500)
        } else {
            self.rng.random_range(40..500)
        }
    }
}

fn backend(instance: String) -> Backend {
    Backend {
        instance: instance.into(),
        service: "svc".into(),
        labels: Vec::new(),
        size: Room {
            cpu: 24_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
        takes_work: true,
    }
}
