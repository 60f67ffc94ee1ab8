//! The world of a play: callers, entries, links, agents and their backend servers, on one clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use compact_str::CompactString;
use lovagemill::decide::besteffort::asking::RoomRequests;
use lovagemill::decide::besteffort::board::{Action, Board, SubmitResult};
use lovagemill::decide::besteffort::job::{JobNo, Outcome};
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{
    AgentMessage, Backend, EntryIncarnation, EntryMessage, Heartbeat, Room, Run, RunOutcome,
    ServerIncarnation,
};
use lovagemill::decide::besteffort::policy::Policy;
use lovagemill::decide::besteffort::slots::{CheckResult, Listing, Order, Slots, StartAnswer};
use lovagemill::decide::besteffort::subset::{LinkChange, ListedAgent};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::{self, Claims, Links, Load, Seen, CLASSES, PLACES};
use crate::schedule::Schedule;

/// Times are in microseconds.
type Us = u64;

const MS: Us = 1_000;
const TICK: Us = 20 * MS;
const HEARTBEAT: Us = 120 * MS;
/// One way between an entry and an agent.
const WAY: Us = MS;
/// An exchange between an agent and its backend server.
const ORDER: Us = MS;
/// After how long without an answer a start is sent once more.
const SENT_AGAIN: Us = 20 * MS;
/// How long an agent waits for an answer to an order.
const UNANSWERED: Us = 50 * MS;
/// When the play begins, when after that callers do, and how long what they sent last may take.
const BEGIN: Us = 500 * MS;
const FIRST: Us = 1_000 * MS;
const DRAIN: Us = 2_500 * MS;
/// How long after a crash its agent meets a refused connection, how long the backend server is down, and
/// the longest that a run takes to crash it.
const REFUSED: Us = 100 * MS;
const DOWN: Us = 2_000 * MS;
const CRASHES_WITHIN: Us = 80 * MS;
/// How long callers that come again have waited.
const WAITED: Duration = Duration::from_millis(1_000);
/// How long the workers take to fill up.
const FILLS: Us = 300 * MS;
/// How long after the first job a failure domain is lost.
const LOST: Us = 500 * MS;
/// Until the next try of a connect that nothing answers.
const CONNECT: Us = 300 * MS;

enum Event {
    EntryTick(usize),
    AgentTick(usize),
    ToAgent(usize, usize, EntryMessage),
    ToEntry(usize, usize, Box<AgentMessage>),
    /// A start is carried out, or isn't answered.
    Order(usize, Order),
    /// The start that was sent once more arrives.
    Begin(usize, Run),
    Answer(usize, Run, StartAnswer),
    Stopped(usize, Run),
    Ended(usize, Run),
    /// A run crashes its backend server, which is back later.
    Crash(usize, Run),
    Back(usize),
    Job,
    /// A link that an entry has asked for is up, if it still wants it.
    Linked(usize, usize),
    /// The agents of the first failure domain are lost with all that they have.
    DomainLost,
}

struct Entry {
    board: Board,
    asking: RoomRequests,
    /// What waits for each link's next line, and the agents' clocks as last heard.
    out: BTreeMap<u64, EntryMessage>,
    seen: BTreeMap<u64, (u64, Us)>,
    links: BTreeMap<u64, ()>,
    wanted: BTreeSet<u64>,
    beaten: Us,
    /// The class of each job, whether it is sound, and when it came.
    callers: HashMap<JobNo, (usize, bool, Us)>,
}

struct Agent {
    slots: Slots,
    /// When each run began, and how long it works.
    running: BTreeMap<Run, (Us, Us)>,
    ended: Vec<(u64, Run, RunOutcome)>,
    last_end: u64,
    taken: Vec<u64>,
    /// Lost for good with its backend server.
    is_lost: bool,
    /// Which life of its backend server is there, and until when none is.
    life: u64,
    down_until: Us,
}

pub struct World {
    now: Us,
    load: Load,
    rng: SmallRng,
    events: Schedule<Event>,
    names: Vec<EntryIncarnation>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    jobs: u64,
    seen: Seen,
}

fn at(us: Us) -> Duration {
    Duration::from_micros(us)
}

fn name(e: usize) -> EntryIncarnation {
    EntryIncarnation {
        entry: format!("entry-{e}").into(),
        incarnation: 1,
    }
}

/// The label that few backend servers have.
const RARE: &str = "rare";

fn backend(a: usize, life: u64, load: &Load) -> Backend {
    let is_rare = a + 2 >= load.agents;
    Backend {
        incarnation: ServerIncarnation::with_id(format!("server-{a}-{life}")),
        service: "svc".into(),
        labels: is_rare.then(|| RARE.into()).into_iter().collect(),
        size: Room {
            cpu: 1_000 * PLACES as i64,
            memory_mb: 100_000,
            accelerators: 0,
        },
        takes_work: true,
    }
}

impl World {
    pub fn open(seed: u64, load: Load) -> World {
        let mut world = World {
            now: BEGIN,
            load,
            rng: SmallRng::seed_from_u64(seed),
            events: Schedule::default(),
            names: (0..load.entries).map(name).collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            jobs: 0,
            seen: Seen::default(),
        };
        world.entries = (0..load.entries).map(|e| world.new_entry(e)).collect();
        world.agents = (0..load.agents).map(|a| world.new_agent(a)).collect();
        for a in 0..load.agents {
            for e in 0..load.entries {
                if load.links == Links::Mesh {
                    world.connect(e, a);
                } else {
                    let member = world.member(a);
                    world.entries[e].board.list_agent(member);
                }
            }
            let phase = world.rng.random_range(0..TICK);
            world.after(phase, Event::AgentTick(a));
        }
        for e in 0..load.entries {
            let phase = world.rng.random_range(0..TICK);
            world.after(phase, Event::EntryTick(e));
        }
        world.after(FIRST, Event::Job);
        if load.loses_domain {
            world.after(FIRST + LOST, Event::DomainLost);
        }
        world
    }

    fn domain(&self, n: usize) -> CompactString {
        format!("domain-{}", n % self.load.domains).into()
    }

    fn member(&self, a: usize) -> ListedAgent {
        let backend = backend(a, 0, &self.load);
        ListedAgent {
            agent: format!("agent-{a}").into(),
            addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: self.domain(a),
            service: backend.service,
            labels: backend.labels,
            size: backend.size,
        }
    }

    fn new_entry(&self, e: usize) -> Entry {
        let mut policy = Policy::default();
        if self.load.base > 0 {
            policy.subset.base_size = self.load.base;
        }
        if self.load.links == Links::Base {
            policy.subset.max_extra = 0;
        }
        let name = &self.names[e].entry;
        let mut board = Board::open(name, &self.domain(e), Bounds::default(), policy);
        board.tick(at(self.now));
        Entry {
            board,
            asking: RoomRequests::default(),
            out: BTreeMap::new(),
            seen: BTreeMap::new(),
            links: BTreeMap::new(),
            wanted: BTreeSet::new(),
            beaten: 0,
            callers: HashMap::new(),
        }
    }

    fn new_agent(&self, a: usize) -> Agent {
        let mut slots = Slots::open(Bounds::default());
        slots.set_isolation(self.load.isolation);
        meet(&mut slots, self.now, backend(a, 0, &self.load));
        Agent {
            slots,
            is_lost: false,
            life: 0,
            down_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            taken: vec![0; self.load.entries],
        }
    }

    fn connect(&mut self, e: usize, a: usize) {
        let mut hello = self.agents[a]
            .slots
            .entry_connected(at(self.now), &self.names[e]);
        hello.agent = format!("agent-{a}").into();
        hello.incarnation = 1;
        hello.failure_domain = self.domain(a);
        self.agents[a].taken[e] = 0;
        let link = a as u64;
        self.entries[e].links.insert(link, ());
        self.entries[e].board.agent_up(at(self.now), link, &hello);
        // The line that greets an entry tells of the room.
        let line = self.agent_line(e, a);
        self.entry_hears(e, a, &line);
    }

    fn change_link(&mut self, e: usize, change: LinkChange) {
        let number = |agent: &str| -> usize {
            let number = agent.strip_prefix("agent-").and_then(|n| n.parse().ok());
            number.expect("numbered by the play")
        };
        match change {
            LinkChange::Open(agent, _) => {
                let a = number(&agent);
                self.entries[e].wanted.insert(a as u64);
                self.after(self.load.opens_in * MS, Event::Linked(e, a));
            }
            LinkChange::Close(agent) => {
                let link = number(&agent) as u64;
                self.entries[e].wanted.remove(&link);
                self.unlink(e, link);
            }
        }
    }

    fn unlink(&mut self, e: usize, link: u64) {
        let entry = &mut self.entries[e];
        if entry.links.remove(&link).is_some() {
            entry.out.remove(&link);
            entry.seen.remove(&link);
            entry.asking.link_closed(link);
            entry.board.agent_down(at(self.now), link);
        }
    }

    fn linked(&mut self, e: usize, a: usize) {
        let link = a as u64;
        if !self.entries[e].wanted.contains(&link) || self.entries[e].links.contains_key(&link) {
            return;
        }
        if self.agents[a].is_lost {
            let name = format!("agent-{a}");
            self.entries[e].board.agent_unreachable(at(self.now), &name);
            self.after(CONNECT, Event::Linked(e, a));
            return;
        }
        self.connect(e, a);
    }

    fn is_after_loss(&self, came: Us) -> bool {
        self.load.loses_domain && came >= BEGIN + FIRST + LOST + 1_000 * MS
    }

    fn lose_domain(&mut self) {
        for a in (0..self.load.agents).step_by(self.load.domains) {
            self.agents[a].is_lost = true;
            self.agents[a].running.clear();
        }
    }

    fn after(&mut self, delay: Us, event: Event) {
        self.events.insert(self.now + delay, event);
    }

    /// Plays to the end and tells what came of it.
    pub fn play(mut self) -> Seen {
        let end = self.last_job() + DRAIN;
        while let Some((when, event)) = self.events.next() {
            if when > end {
                break;
            }
            self.now = when;
            self.handle(event);
        }
        let links = self.entries.iter().map(|entry| entry.links.len() as u64);
        self.seen.links = links.sum();
        let places = PLACES * self.load.agents as u64;
        self.seen.room = places * (self.load.seconds * 1_000 * MS - FILLS);
        self.seen
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Job => self.job(),
            Event::Linked(e, a) => self.linked(e, a),
            Event::DomainLost => self.lose_domain(),
            Event::AgentTick(a) if self.agents[a].is_lost => {}
            Event::EntryTick(e) => self.entry_tick(e),
            Event::AgentTick(a) => {
                self.agents[a].slots.tick(at(self.now));
                self.list(a);
                self.after(TICK, Event::AgentTick(a));
            }
            Event::ToAgent(e, a, line) => self.agent_hears(e, a, line),
            Event::ToEntry(e, a, line) => self.entry_hears(e, a, &line),
            Event::Order(a, order) => self.order(a, order),
            Event::Begin(a, run) => self.begin(a, run),
            Event::Answer(a, run, answer) => {
                self.agents[a]
                    .slots
                    .start_answered(at(self.now), &run, answer);
                self.flush_agent(a);
            }
            Event::Stopped(a, run) => {
                self.agents[a].slots.stop_answered(at(self.now), &run);
                self.list(a);
            }
            Event::Crash(a, run) => self.crash(a, &run),
            Event::Back(a) => {
                self.agents[a].life += 1;
                let backend = backend(a, self.agents[a].life, &self.load);
                meet(&mut self.agents[a].slots, self.now, backend);
                self.flush_agent(a);
            }
            Event::Ended(a, run) => {
                if let Some((began, _)) = self.agents[a].running.remove(&run) {
                    let (from, to) = (
                        began.max(BEGIN + FIRST + FILLS),
                        self.now.min(self.last_job()),
                    );
                    self.seen.worked += to.saturating_sub(from);
                    self.agents[a].end(run, RunOutcome::Done);
                    self.list(a);
                }
            }
        }
    }

    fn last_job(&self) -> Us {
        BEGIN + FIRST + self.load.seconds * 1_000 * MS
    }

    /// One job comes, and the next one later: by the work of a mean job against what the workers can do.
    fn job(&mut self) {
        if self.now > self.last_job() {
            return;
        }
        let mean: f64 = CLASSES
            .iter()
            .map(|(tasks, ms, share)| f64::from(*tasks) * *ms as f64 * f64::from(*share) / 100.0)
            .sum();
        let places = (PLACES * self.load.agents as u64) as f64;
        let every = mean / places / self.load.times_capacity * MS as f64;
        let pause = self.rng.random_range(0.0..2.0 * every);
        self.after(pause as Us, Event::Job);
        let pick = self.rng.random_range(0..100);
        let class = match pick {
            0..24 => 0,
            24..94 => 1,
            _ => 2,
        };
        // The balancer's hash is uneven: the first entries get up to twice as much as the last.
        let uneven = self.rng.random_range(0.0..1.0_f64).powf(1.3);
        let mut e = (uneven * self.load.entries as f64) as usize;
        if self.load.to_first > 0 && self.rng.random_range(0..100) < self.load.to_first {
            e = 0;
        }
        self.jobs += 1;
        let mut ask = load::ask(self.jobs, class, at(self.now));
        if self.load.labelled > 0 && self.rng.random_range(0..100) < self.load.labelled {
            ask.required_label = Some(RARE.into());
        }
        let again = self.load.returning > 0 && self.rng.random_range(0..100) < self.load.returning;
        if again {
            ask.deadline -= WAITED;
        }
        if again && self.load.says_so {
            ask.wait_shortfall = WAITED;
        }
        let sound = !self.load.has_crashing_task(&ask.job) && !again;
        self.seen.jobs[class].all += u64::from(sound);
        self.seen.after_loss.all += u64::from(self.is_after_loss(self.now));
        match self.entries[e].board.submit(at(self.now), ask) {
            SubmitResult::Job(no) => {
                self.entries[e].callers.insert(no, (class, sound, self.now));
            }
            SubmitResult::Answered(_) => self.refused(class, sound),
        }
        self.flush_entry(e);
    }

    fn entry_tick(&mut self, e: usize) {
        self.entries[e].board.tick(at(self.now));
        self.flush_entry(e);
        if self.now >= self.entries[e].beaten + HEARTBEAT {
            self.entries[e].beaten = self.now;
            let links: Vec<u64> = self.entries[e].links.keys().copied().collect();
            for link in links {
                self.entry_says(e, link as usize);
            }
        }
        self.after(TICK, Event::EntryTick(e));
    }

    fn flush_entry(&mut self, e: usize) {
        for action in self.entries[e].board.take_actions() {
            match action {
                Action::Start(link, start) => {
                    self.seen.starts += 1;
                    self.entries[e]
                        .out
                        .entry(link)
                        .or_default()
                        .starts
                        .push(start);
                }
                Action::Stop(link, run) => {
                    self.entries[e].out.entry(link).or_default().stops.push(run);
                }
                Action::Close(link) => {
                    let name = format!("agent-{link}");
                    self.unlink(e, link);
                    self.entries[e].board.agent_unreachable(at(self.now), &name);
                    self.after(CONNECT, Event::Linked(e, link as usize));
                }
                Action::Link(change) => self.change_link(e, change),
                Action::Answer(no, outcome) => self.answered(e, no, &outcome),
            }
        }
        let entry = &mut self.entries[e];
        if let Some(wants) = entry.board.waiting_work() {
            let now = at(self.now);
            for link in entry.asking.links_to_ask(now, wants.priority, &entry.links) {
                entry.out.entry(link).or_default();
            }
        }
        let due: Vec<u64> = self.entries[e].out.keys().copied().collect();
        for link in due {
            self.entry_says(e, link as usize);
        }
    }

    fn answered(&mut self, e: usize, no: JobNo, outcome: &Outcome) {
        let Some((class, sound, came)) = self.entries[e].callers.remove(&no) else {
            return;
        };
        let (tasks, ms, _) = CLASSES[class];
        match outcome {
            Outcome::Complete => {
                self.seen.tasks_done += u64::from(tasks);
                let target = ms * MS * 16 / 10 + 60 * MS;
                let good = sound && self.now - came <= target;
                self.seen.jobs[class].good += u64::from(good);
                self.seen.after_loss.good += u64::from(good && self.is_after_loss(came));
            }
            Outcome::NotRun(..) => self.refused(class, sound),
            Outcome::Failed => self.seen.sound_failed += u64::from(sound),
            Outcome::GaveUp => {}
        }
    }

    fn refused(&mut self, class: usize, sound: bool) {
        self.seen.jobs[class].refused += u64::from(sound);
    }

    fn entry_says(&mut self, e: usize, a: usize) {
        let entry = &mut self.entries[e];
        let link = a as u64;
        let mut line = entry.out.remove(&link).unwrap_or_default();
        let (seen_ms, heard) = entry.seen.get(&link).copied().unwrap_or_default();
        line.seen_ms = seen_ms;
        line.waiting = entry.board.waiting_work();
        entry
            .asking
            .message_sent(link, line.waiting.map(|wants| wants.priority));
        let there = |ms: u64| (ms + seen_ms).saturating_sub(heard / MS);
        for start in &mut line.starts {
            start.deadline_ms = there(start.deadline_ms);
            start.urgency_ms = there(start.urgency_ms);
        }
        self.seen.lines += 1;
        self.after(WAY, Event::ToAgent(e, a, line));
    }

    fn agent_hears(&mut self, e: usize, a: usize, line: EntryMessage) {
        if self.agents[a].is_lost || !self.entries[e].links.contains_key(&(a as u64)) {
            return;
        }
        let (now, of) = (at(self.now), self.names[e].clone());
        let agent = &mut self.agents[a];
        let fresh = agent.slots.message_received(now, &of, line.seen_ms);
        for run in &line.stops {
            agent.slots.withdraw(now, &of, run);
        }
        let is_heartbeat = line.starts.is_empty() && line.stops.is_empty();
        for start in line.starts {
            agent.taken[e] += 1;
            agent.slots.start_requested(now, &of, fresh, start);
        }
        agent
            .slots
            .update_waiting_work(now, &of, line.seen_ms, line.waiting);
        if is_heartbeat {
            self.agent_says(e, a);
        }
        self.flush_agent(a);
    }

    fn agent_says(&mut self, e: usize, a: usize) {
        let line = self.agent_line(e, a);
        self.seen.lines += 1;
        self.after(WAY, Event::ToEntry(e, a, Box::new(line)));
    }

    fn agent_line(&mut self, e: usize, a: usize) -> AgentMessage {
        let agent = &mut self.agents[a];
        let mut line = agent.slots.next_message(&self.names[e], at(self.now));
        line.starts_read = agent.taken[e];
        line.backend = Some(agent.slots.advertised_backend());
        if self.load.claims == Claims::Everyone {
            line.free = agent.slots.free();
            line.lent = Room::default();
        }
        line
    }

    fn entry_hears(&mut self, e: usize, a: usize, line: &AgentMessage) {
        if !self.entries[e].links.contains_key(&(a as u64)) {
            return;
        }
        let entry = &mut self.entries[e];
        entry.seen.insert(a as u64, (line.now_ms, self.now));
        entry.board.handle_message(at(self.now), a as u64, line);
        if !line.lent.is_empty() {
            entry.out.entry(a as u64).or_default();
        }
        self.flush_entry(e);
    }

    fn flush_agent(&mut self, a: usize) {
        for order in self.agents[a].slots.take_orders() {
            self.after(ORDER, Event::Order(a, order));
        }
        for e in 0..self.load.entries {
            if !self.entries[e].links.contains_key(&(a as u64)) {
                continue;
            }
            let news = self.agents[a].slots.has_unsent(&self.names[e]);
            let told = self.load.claims == Claims::Everyone
                && self.entries[e].board.waiting_work().is_some();
            if news || told {
                self.agent_says(e, a);
            }
        }
    }

    /// A run crashes the backend server that it is on, with all that it has.
    fn crash(&mut self, a: usize, run: &Run) {
        let agent = &mut self.agents[a];
        if !agent.running.contains_key(run) {
            return;
        }
        agent.running.clear();
        agent.ended.clear();
        agent.last_end = 0;
        agent.down_until = self.now + DOWN;
        let task = (run.job.to_string(), run.task);
        *self.seen.crashed.entry(task).or_default() += 1;
        self.after(DOWN, Event::Back(a));
    }

    fn order(&mut self, a: usize, order: Order) {
        if self.agents[a].is_lost {
            return;
        }
        if self.now < self.agents[a].down_until {
            if let Order::Start { run, .. } = order {
                self.after(ORDER, Event::Answer(a, run, StartAnswer::Refused));
            }
            return;
        }
        match order {
            Order::Start { run, .. } => {
                if !self.is_lost() {
                    self.begin(a, run);
                } else if !self.is_lost() {
                    self.after(SENT_AGAIN, Event::Begin(a, run));
                } else {
                    let unknown = Event::Answer(a, run, StartAnswer::Unknown);
                    self.after(UNANSWERED, unknown);
                }
            }
            Order::Stop { run, .. } => {
                if self.agents[a].running.remove(&run).is_some() {
                    self.agents[a].end(run.clone(), RunOutcome::Gone);
                }
                self.after(ORDER, Event::Stopped(a, run));
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.load.unanswered
    }

    fn begin(&mut self, a: usize, run: Run) {
        if self.now < self.agents[a].down_until {
            return;
        }
        let work = self.work(&run);
        if self.load.crashes(&run) {
            let pause = self.rng.random_range(MS..CRASHES_WITHIN).min(work - 1);
            self.after(pause, Event::Crash(a, run.clone()));
        }
        self.agents[a].running.insert(run.clone(), (self.now, work));
        self.after(work, Event::Ended(a, run.clone()));
        self.after(ORDER, Event::Answer(a, run, StartAnswer::Accepted));
    }

    /// Run times scatter by a third around their class's mean, which the id's last digit names.
    fn work(&mut self, run: &Run) -> Us {
        let class = run.job.bytes().next_back().unwrap_or(b'0') - b'0';
        let (_, ms, _) = CLASSES[usize::from(class)];
        (ms as f64 * MS as f64 * self.rng.random_range(0.7..1.3)) as Us
    }

    fn list(&mut self, a: usize) {
        let now = at(self.now);
        let agent = &mut self.agents[a];
        if self.now < agent.down_until {
            if self.now + DOWN >= agent.down_until + REFUSED {
                let to = agent.slots.recipient();
                agent.slots.connection_refused(now, &to);
                self.flush_agent(a);
            }
            return;
        }
        let acknowledged = agent.slots.acknowledged_end();
        agent.ended.retain(|(number, ..)| *number > acknowledged);
        let progress = |(run, (began, work)): (&Run, &(Us, Us))| {
            (run.clone(), ((self.now - began) * 100 / work).min(99) as u8)
        };
        let listing = Listing {
            born_ms: None,
            clock_ms: self.now / MS,
            running: agent.running.iter().map(progress).collect(),
            ended: agent
                .ended
                .iter()
                .map(|(_, run, how)| (run.clone(), *how))
                .collect(),
            last_end: agent.last_end,
        };
        agent.slots.listing_received(now, now, listing);
        agent.slots.renew_lease(now);
        self.flush_agent(a);
    }
}

/// A life of a backend server announces itself and answers.
fn meet(slots: &mut Slots, now: Us, backend: Backend) {
    let heartbeat = Heartbeat { backend, number: 1 };
    let check = slots
        .heartbeat_received(at(now), heartbeat)
        .expect("a new life");
    let there = CheckResult::Answered(Listing {
        clock_ms: now / MS,
        ..Listing::default()
    });
    assert!(slots.check_answered(at(now), at(now), &check, there));
}

impl Agent {
    fn end(&mut self, run: Run, how: RunOutcome) {
        self.last_end += 1;
        self.ended.push((self.last_end, run, how));
    }
}
