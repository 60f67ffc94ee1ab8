//! Agents and their backend servers: listings, orders, words about lives.

use lovagemill::decide::besteffort::lease;
use lovagemill::decide::besteffort::message::{Backend, Heartbeat, Room, ServerIncarnation};
use lovagemill::decide::besteffort::slots::{
    Check, CheckResult, Isolation, Listing, Order, Recipient, Slots, StartAnswer,
};
use rand::Rng;

use crate::server::{Clock, Ms, NoAnswer, Server, CLOCK_ERROR};
use crate::world::callers::{self, NEED};
use crate::world::faults::HeldBack;
use crate::world::{ms, Agent, Event, Process, World, BEAT, DRAIN, ENTRIES, SHRUNK, TICK};

/// How long a start may go unanswered before it is sent once more.
const RESEND_AFTER: Ms = 20;

/// A check of the time bounds that is later than this by more than its interval is skipped once, as agents do.
const MIN_STANDSTILL: Ms = 40;

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
        let mut slots = Slots::open(self.guards.bounds());
        if !self.guards.isolates {
            slots.set_isolation(Isolation::Together);
        }
        Agent {
            process: Process::default(),
            slots,
            server,
            clean: false,
            born: self.now,
            checked_at: self.now,
            skipped_check: false,
            listed_crashes: Vec::new(),
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
        if self.now > agent.born + lease::Bounds::default().lease_lapses_within().as_millis() as u64
        {
            agent.clean = true;
        }
        let stood_still = self.now > agent.checked_at + 2 * TICK + MIN_STANDSTILL;
        agent.checked_at = self.now;
        agent.skipped_check = self.faults.skips_late_checks && !agent.skipped_check && stood_still;
        if !agent.skipped_check {
            agent.slots.tick(now);
        }
        self.ask_for_list(a);
        self.flush_agent(a);
        self.list_crashes(a);
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
        let until = agent.clean.then(|| agent.slots.renew_lease(now)).flatten();
        if lost {
            return;
        }
        let (life, at) = (agent.process.life, self.now);
        let to = agent.slots.recipient();
        let token = self.guards.token(life, &to);
        let acknowledged = agent.slots.acknowledged_end();
        let id = &to.incarnation.id;
        agent.server.is_known |= to.incarnation == backend(&agent.server).incarnation;
        let listing = agent.server.list(at, id, token, until, acknowledged);
        let sent = now.as_millis() as u64;
        self.at(at + delay, Event::Listed(a, life, to, sent, listing));
    }

    pub(super) fn listed(
        &mut self,
        a: usize,
        life: u64,
        to: &Recipient,
        sent: Ms,
        answer: Result<Listing, NoAnswer>,
    ) {
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        if agent.process.life != life || agent.slots.recipient() != *to {
            return;
        }
        match answer {
            Ok(listing) => {
                agent.clean |= listing.running.is_empty();
                agent.slots.listing_received(now, ms(sent), listing);
            }
            Err(NoAnswer::AnotherLife) => agent.slots.another_incarnation_answered(now),
            Err(NoAnswer::Refused) => agent.slots.connection_refused(now, to),
            Err(NoAnswer::OldToken) => {}
        }
        self.flush_agent(a);
    }

    pub(super) fn announced(&mut self, a: usize, heartbeat: Heartbeat) {
        let now = self.clock(self.agents[a].process);
        let lost = self.is_unanswered();
        let delay = self.rng.random_range(0..3);
        let agent = &mut self.agents[a];
        let is_current = heartbeat.backend.incarnation == backend(&agent.server).incarnation;
        if is_current && !heartbeat.backend.takes_work {
            agent.server.leave_heard.get_or_insert(self.now);
        }
        let check = agent.slots.heartbeat_received(now, heartbeat);
        self.flush_agent(a);
        let Some(check) = check else {
            return;
        };
        let agent = &mut self.agents[a];
        let (life, sent) = (agent.process.life, now.as_millis() as u64);
        let token = self.guards.token(life, &check.to);
        let id = &check.to.incarnation.id;
        let answer = agent.server.list(self.now, id, token, None, 0);
        let (checked, delay) = match answer {
            _ if lost => (CheckResult::NoAnswer, 200),
            Ok(listing) => (CheckResult::Answered(listing), delay),
            Err(NoAnswer::AnotherLife) if !self.guards.checks_life => {
                let believed = Listing {
                    born_ms: check.to.incarnation.born_ms,
                    ..Listing::default()
                };
                (CheckResult::Answered(believed), delay)
            }
            Err(NoAnswer::AnotherLife) => (CheckResult::AnotherIncarnation, delay),
            Err(NoAnswer::OldToken | NoAnswer::Refused) => (CheckResult::NoAnswer, delay),
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
        checked: CheckResult,
    ) {
        let now = self.clock(self.agents[a].process);
        let agent = &mut self.agents[a];
        if agent.process.life != life {
            return;
        }
        let is_idle =
            matches!(&checked, CheckResult::Answered(listing) if listing.running.is_empty());
        let known = agent.slots.check_answered(now, ms(sent), check, checked);
        agent.clean |= known && is_idle;
        self.flush_agent(a);
    }

    /// A backend server says which life of it is there; some of its words are late.
    pub(super) fn beat(&mut self, a: usize) {
        let server = &mut self.agents[a].server;
        if server.is_down(self.now) {
            self.at(self.now + BEAT, Event::Beat(a));
            return;
        }
        let word = Heartbeat {
            number: server.next_heartbeat(),
            backend: backend(server),
        };
        let late = self.is_unanswered();
        let delay = self.rng.random_range(0..if late { 1_500 } else { 3 });
        self.at(self.now + delay, Event::Announced(a, word));
        self.at(self.now + BEAT, Event::Beat(a));
    }

    pub(super) fn flush_agent(&mut self, a: usize) {
        let life = self.agents[a].process.life;
        for order in self.agents[a].slots.take_orders() {
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
                    if self.faults.resends {
                        let again = Event::Resent(a, life, order.clone());
                        let delay = RESEND_AFTER + self.rng.random_range(0..2);
                        self.at(self.now + delay, again);
                    }
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
            if self.agents[a].slots.has_unsent(&name) {
                self.agent_says(e, a, None);
            }
        }
    }

    pub(super) fn order(&mut self, a: usize, life: u64, to: u64, order: Order, answered: bool) {
        let delay = self.rng.random_range(0..2);
        let work = self.work();
        let crashes_after = self.rng.random_range(1..80).min(work - 1);
        let guards = self.guards;
        let id_of = |to: &Recipient| match guards.names_life {
            true => to.incarnation.id.to_string(),
            false => String::new(),
        };
        let agent = &mut self.agents[a];
        let receiver_died = !answered && agent.server.life() != to;
        let gone = match self.faults.held_back {
            HeldBack::Inherited => false,
            HeldBack::Dead => receiver_died,
            HeldBack::Overtaken => receiver_died && !agent.server.is_known,
        };
        if gone {
            return;
        }
        match order {
            Order::Start {
                to,
                run,
                lease_until_ms,
                ..
            } => {
                let token = guards.token(life, &to);
                let answer =
                    agent
                        .server
                        .start(self.now, &id_of(&to), token, &run, lease_until_ms, work);
                let heard = agent.server.leave_heard;
                let too_late = heard.is_some_and(|heard| self.now > heard + DRAIN);
                if answer == StartAnswer::Accepted {
                    let task = (run.job.as_str(), run.task);
                    if self.faults.crashing_tasks && crashes_backend_servers(task) {
                        let crash = Event::Crash(a, agent.server.life(), run.clone());
                        self.events.insert(self.now + crashes_after, crash);
                    }
                    let used = agent.server.at_work(self.now) as i64 * NEED.cpu;
                    let allowed = agent.server.allowed(self.now.saturating_sub(SHRUNK));
                    if answered && used > allowed {
                        let text = format!("{run:?} at {}: {used} of {allowed}", self.now);
                        self.over_room.push(text);
                    }
                }
                if answered && too_late && answer == StartAnswer::Accepted {
                    let server = agent.server.instance();
                    let text = format!("{run:?} at {} on {server}", self.now);
                    self.after_leave.push(text);
                }
                if answered {
                    self.at(self.now + delay, Event::Started(a, life, run, answer));
                }
            }
            Order::Stop { to, run } => {
                let token = guards.token(life, &to);
                let certain = agent.server.stop(self.now, &id_of(&to), token, &run);
                if answered && certain {
                    self.at(self.now + delay, Event::Stopped(a, life, run));
                }
            }
        }
    }

    /// A start arrives once more, at whichever life of the backend server is there by then. Only a success is certain,
    /// since the first sending may still be carried out.
    pub(super) fn resent(&mut self, a: usize, life: u64, order: Order) {
        let Order::Start {
            to,
            run,
            lease_until_ms,
            ..
        } = order
        else {
            return;
        };
        if self.is_unanswered() {
            return;
        }
        let (work, token) = (self.work(), self.guards.token(life, &to));
        let id = to.incarnation.id.as_str();
        let server = &mut self.agents[a].server;
        let answer = server.start(self.now, id, token, &run, lease_until_ms, work);
        if answer == StartAnswer::Accepted {
            let delay = self.rng.random_range(0..2);
            self.at(self.now + delay, Event::Started(a, life, run, answer));
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

fn crashes_backend_servers((job, task): (&str, u32)) -> bool {
    let index = usize::from_str_radix(job, 16).expect("numbered by the callers");
    task == 0 && callers::crashes(index)
}

fn backend(server: &Server) -> Backend {
    Backend {
        incarnation: ServerIncarnation {
            id: server.instance().into(),
            born_ms: server.born_ms(),
        },
        service: "svc".into(),
        labels: Vec::new(),
        size: Room {
            cpu: server.capacity(),
            memory_mb: 8_000,
            accelerators: 0,
        },
        takes_work: !server.leaving,
    }
}
