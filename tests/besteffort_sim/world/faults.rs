//! The faults of a play, and what each does to the world.

use lovagemill::decide::besteffort::lease;
use lovagemill::decide::besteffort::message::Run;
use rand::Rng;

use crate::server::{Ms, Server};
use crate::world::{ms, Event, Job, World, AGENTS, DRAIN, END, ENTRIES, PATIENCE};

/// What may go wrong, at an entry, an agent, a backend server or a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    FreezeEntry,
    FreezeAgent,
    KillEntry,
    KillAgent,
    /// Lines are held back both ways.
    Cut,
    CutToAgent,
    CutToEntry,
    CrashServer,
    /// As a crash, and mostly with the same id in the next life.
    ReturnServer,
    /// It says that it leaves, works on for some seconds and then is as one that has crashed.
    LeaveServer,
    /// Its room shrinks, to nothing too, or grows.
    ResizeServer,
    Reset,
    /// An entry reads that an agent isn't listed any more, or is again.
    Relist,
    /// Connections of callers to an entry are reset together.
    ResetCallers,
}

/// Room of a small backend server, in thousandths of a core.
pub(super) const SMALL: i64 = 3_000;

const ALL: [Kind; 9] = [
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::KillEntry,
    Kind::KillAgent,
    Kind::Cut,
    Kind::CutToAgent,
    Kind::CutToEntry,
    Kind::CrashServer,
    Kind::Reset,
];

const RETURNS: [Kind; 12] = [
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::KillEntry,
    Kind::KillAgent,
    Kind::Cut,
    Kind::CutToAgent,
    Kind::CutToEntry,
    Kind::Reset,
    Kind::ReturnServer,
    Kind::ReturnServer,
    Kind::ReturnServer,
    Kind::ReturnServer,
];

const RELISTS: [Kind; 13] = [
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::KillEntry,
    Kind::KillAgent,
    Kind::Cut,
    Kind::CutToAgent,
    Kind::CutToEntry,
    Kind::CrashServer,
    Kind::ReturnServer,
    Kind::Reset,
    Kind::Relist,
    Kind::Relist,
    Kind::Relist,
];

const CALLERS_LEAVE: [Kind; 7] = [
    Kind::ResetCallers,
    Kind::ResetCallers,
    Kind::ResetCallers,
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::Cut,
    Kind::Reset,
];

const RESIZES: [Kind; 10] = [
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::KillEntry,
    Kind::KillAgent,
    Kind::Cut,
    Kind::CrashServer,
    Kind::ReturnServer,
    Kind::ResizeServer,
    Kind::ResizeServer,
    Kind::ResizeServer,
];

/// How often faults come: one in so many chances.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A process fault or a link fault comes about every so many milliseconds; never if 0.
    pub(super) every: Ms,
    /// Orders without an answer, in a hundred.
    pub(super) unanswered: u32,
    /// Longest that a fault lasts.
    longest: Ms,
    /// Which faults come; one that stands there twice comes twice as often.
    kinds: &'static [Kind],
    /// When the last one may begin.
    pub(super) until: Ms,
    /// What becomes of orders that a backend server holds back as it crashes.
    pub(super) held_back: HeldBack,
    /// Whether some tasks crash each backend server that starts them.
    pub(super) crashing_tasks: bool,
    /// Whether backend servers are small and guard no room themselves.
    pub(super) small: bool,
    /// Whether entries link to one agent, and to others only as their work needs it.
    pub(super) picks: bool,
    /// Whether a start without an answer is sent once more.
    pub(super) resends: bool,
    /// Whether entries write to agents some time after they have decided, all that there is by then in one message.
    pub(super) busy_entries: bool,
    /// Whether agents skip the first check of their time bounds after a standstill.
    pub(super) skips_late_checks: bool,
}

/// What becomes of orders that are carried out seconds late where the life that they left for is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldBack {
    /// The next life gets them.
    Inherited,
    /// They are gone: a backend server that comes back under its id knows nothing of before.
    Dead,
    /// The network held them back, and the next life gets those that come after its agent has spoken to it.
    /// Nothing can be done about one that comes before.
    Overtaken,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            every: 350,
            unanswered: 6,
            longest: 4_000,
            kinds: &ALL,
            until: END,
            held_back: HeldBack::Inherited,
            crashing_tasks: false,
            small: false,
            picks: false,
            resends: false,
            busy_entries: false,
            skips_late_checks: false,
        }
    }
}

impl Faults {
    pub fn none() -> Faults {
        Faults {
            every: 0,
            unanswered: 0,
            ..Faults::default()
        }
    }

    /// Backend servers that crash and agents that die, until some seconds before the end.
    pub fn lives() -> Faults {
        Faults {
            every: 120,
            kinds: &[Kind::KillAgent, Kind::CrashServer, Kind::CrashServer],
            until: END - PATIENCE,
            ..Faults::default()
        }
    }

    /// Backend servers that come back under their id, knowing nothing, beside every other fault.
    pub fn returns() -> Faults {
        Faults {
            every: 250,
            kinds: &RETURNS,
            held_back: HeldBack::Dead,
            ..Faults::default()
        }
    }

    /// The same, and late orders reach the next life.
    pub fn returns_and_late_orders() -> Faults {
        Faults {
            held_back: HeldBack::Overtaken,
            unanswered: 12,
            ..Faults::returns()
        }
    }

    /// Starts that are sent twice, on both sides of a crash of a backend server that keeps its id, beside every
    /// other fault.
    pub fn resends() -> Faults {
        Faults {
            every: 120,
            unanswered: 25,
            resends: true,
            ..Faults::returns_and_late_orders()
        }
    }

    /// Backend servers that come back under their id and agents that die, until some seconds before the
    /// end.
    pub fn returns_and_lives() -> Faults {
        Faults {
            kinds: &[Kind::KillAgent, Kind::ReturnServer, Kind::ReturnServer],
            held_back: HeldBack::Dead,
            ..Faults::lives()
        }
    }

    /// Some tasks crash each backend server that starts them; nothing else goes wrong.
    pub fn crashing_tasks() -> Faults {
        Faults {
            crashing_tasks: true,
            ..Faults::none()
        }
    }

    /// The same beside every other fault.
    pub fn crashing_tasks_and_all() -> Faults {
        Faults {
            crashing_tasks: true,
            ..Faults::returns()
        }
    }

    /// Backend servers that are small, guard no room themselves, shrink and grow, beside other faults.
    pub fn resizes() -> Faults {
        Faults {
            every: 250,
            kinds: &RESIZES,
            held_back: HeldBack::Dead,
            small: true,
            ..Faults::default()
        }
    }

    /// Entries that know few agents, and others each, beside every other fault.
    pub fn picks() -> Faults {
        Faults {
            every: 200,
            kinds: &RELISTS,
            held_back: HeldBack::Dead,
            picks: true,
            ..Faults::default()
        }
    }

    /// Entries that know few agents; nothing goes wrong.
    pub fn picks_and_nothing() -> Faults {
        Faults {
            picks: true,
            ..Faults::none()
        }
    }

    /// Entries that know few agents and die, and some tasks that crash each backend server.
    pub fn picks_and_crashing_tasks() -> Faults {
        Faults {
            every: 250,
            longest: 300,
            kinds: &[Kind::KillEntry],
            picks: true,
            ..Faults::crashing_tasks()
        }
    }

    /// Backend servers that come back under their id, and leave.
    pub fn leaves() -> Faults {
        Faults {
            every: 500,
            kinds: &[Kind::LeaveServer, Kind::ReturnServer],
            held_back: HeldBack::Dead,
            ..Faults::default()
        }
    }

    /// Agents that stand still while starts wait there for room, beside entries that die.
    pub fn freezes_of_full_agents() -> Faults {
        Faults {
            every: 250,
            longest: 2_000,
            kinds: &[
                Kind::FreezeAgent,
                Kind::FreezeAgent,
                Kind::FreezeAgent,
                Kind::KillEntry,
            ],
            small: true,
            skips_late_checks: true,
            ..Faults::default()
        }
    }

    /// Callers that leave busy entries together, beside faults of links and agents and starts that are sent twice.
    pub fn callers_leave_busy_entries() -> Faults {
        Faults {
            every: 100,
            kinds: &CALLERS_LEAVE,
            held_back: HeldBack::Dead,
            resends: true,
            busy_entries: true,
            ..Faults::default()
        }
    }

    /// Agents that are suspended again and again for less than a lease, and entries that die.
    pub fn naps() -> Faults {
        Faults {
            every: 120,
            longest: 620,
            kinds: &[
                Kind::FreezeAgent,
                Kind::FreezeAgent,
                Kind::FreezeAgent,
                Kind::KillEntry,
            ],
            ..Faults::default()
        }
    }
}

impl World {
    /// One fault now, and the next one later.
    pub(super) fn fault(&mut self) {
        if self.now > self.faults.until {
            return;
        }
        let pause = self.rng.random_range(1..self.faults.every * 2);
        self.at(self.now + pause, Event::Fault);
        let (e, a) = (
            self.rng.random_range(0..ENTRIES),
            self.rng.random_range(0..AGENTS),
        );
        let long = self.rng.random_range(20..self.faults.longest);
        let kind = self.rng.random_range(0..self.faults.kinds.len());
        match self.faults.kinds[kind] {
            Kind::FreezeEntry => self.freeze_entry(e, long),
            Kind::FreezeAgent => self.freeze_agent(a, long),
            Kind::KillEntry => self.kill_entry(e, long),
            Kind::KillAgent => self.kill_agent(a, long / 4),
            Kind::Cut => self.hold(e, a, long, true, true),
            Kind::CutToAgent => self.hold(e, a, long, true, false),
            Kind::CutToEntry => self.hold(e, a, long, false, true),
            Kind::CrashServer => self.crash_server(a, false),
            Kind::ReturnServer => {
                let keeps_id = self.rng.random_range(0..4) > 0;
                self.crash_server(a, keeps_id);
            }
            Kind::LeaveServer => self.leave_server(a),
            Kind::ResizeServer => {
                let cpu = [0, 0, 1_000, 2_000, SMALL][self.rng.random_range(0..5)];
                self.agents[a].server.resize(self.now, cpu);
            }
            Kind::Reset => self.reset(e, a),
            Kind::Relist => self.relist(e, a),
            Kind::ResetCallers => self.reset_callers(e),
        }
    }

    fn freeze_entry(&mut self, e: usize, long: Ms) {
        let process = &mut self.entries[e].process;
        if process.asleep_until <= self.now {
            process.asleep_until = self.now + long;
            process.missed += long;
            let (now, missed) = (self.now + long, self.clock(self.entries[e].process));
            let woken = missed.max(ms(now));
            self.entries[e].board.process_resumed(woken);
        }
    }

    fn freeze_agent(&mut self, a: usize, long: Ms) {
        let process = &mut self.agents[a].process;
        if process.asleep_until <= self.now {
            process.asleep_until = self.now + long;
            process.missed += long;
        }
    }

    /// An entry dies; its callers see their connections break and submit again elsewhere.
    fn kill_entry(&mut self, e: usize, long: Ms) {
        let life = self.entries[e].process.life + 1;
        self.entries[e] = self.new_entry(e);
        self.wanted.retain(|(of, _)| *of != e);
        self.entries[e].process.life = life;
        self.entries[e].process.asleep_until = self.now + long;
        for a in 0..AGENTS {
            self.reset(e, a);
        }
        let again = self.now + lease::RESUBMIT_AFTER.as_millis() as u64;
        for index in 0..self.jobs.len() {
            let job = &mut self.jobs[index];
            if job.entry == e && !job.over && !job.away {
                job.tries += 1;
                job.away = true;
                self.at(again, Event::Submit(index));
            }
        }
        self.at(self.now + long, Event::EntryTick(e, life));
        self.read_all_crashes(e, self.now + long);
    }

    /// An agent dies; the backend server works on under its lease.
    fn kill_agent(&mut self, a: usize, long: Ms) {
        let life = self.agents[a].process.life + 1;
        for e in 0..ENTRIES {
            if self.links.get(&(e, a)).is_some_and(|link| link.entry_open) {
                self.entry_lost(e, a);
            }
            if let Some(link) = self.links.get_mut(&(e, a)) {
                link.agent_open = false;
            }
        }
        let next = Server::open(a, self.new_clock(), self.guards.rules());
        let server = std::mem::replace(&mut self.agents[a].server, next);
        self.agents[a] = self.new_agent(server);
        self.agents[a].process.life = life;
        self.agents[a].process.asleep_until = self.now + long;
        self.agents[a].born = self.now + long;
        self.wake_agent(a);
    }

    /// A backend server crashes and is there again at once; its agent hears of it with the next
    /// heartbeat.
    fn crash_server(&mut self, a: usize, keeps_id: bool) {
        let clock = self.new_clock();
        self.agents[a].server.crash(self.now, clock, keeps_id);
    }

    /// A run crashes the backend server that it is on, which is back after some seconds.
    pub(super) fn crash_by(&mut self, a: usize, life: u64, run: &Run) {
        let server = &mut self.agents[a].server;
        server.settle(self.now);
        if server.life() != life || !server.runs(run) {
            return;
        }
        let task = (run.job.to_string(), run.task);
        *self.crashed.entry(task).or_default() += 1;
        let keeps_id = self.rng.random_range(0..2) > 0;
        let back = self.now + self.rng.random_range(1_000..4_000);
        self.crash_server(a, keeps_id);
        self.agents[a].server.stay_down(back);
    }

    fn leave_server(&mut self, a: usize) {
        let server = &mut self.agents[a].server;
        if server.leaving {
            return;
        }
        server.leaving = true;
        let life = server.life();
        let long = self.rng.random_range(DRAIN..2 * DRAIN);
        self.at(self.now + long, Event::End(a, life));
    }

    pub(super) fn end_server(&mut self, a: usize, life: u64) {
        if self.agents[a].server.life() == life {
            let keeps_id = self.rng.random_range(0..4) > 0;
            self.crash_server(a, keeps_id);
        }
    }

    /// Half of an entry's callers lose their connections, and submit their jobs again.
    fn reset_callers(&mut self, e: usize) {
        let waits = |job: &Job| job.entry == e && !job.over && !job.away;
        let waiting = self.jobs.iter().enumerate().filter(|(_, job)| waits(job));
        let waiting: Vec<(usize, u64)> = waiting.map(|(index, job)| (index, job.tries)).collect();
        for (index, tries) in waiting {
            if self.rng.random_bool(0.5) {
                self.caller_gone(index, tries);
            }
        }
    }

    fn hold(&mut self, e: usize, a: usize, long: Ms, to_agent: bool, to_entry: bool) {
        if let Some(link) = self.links.get_mut(&(e, a)) {
            if to_agent {
                link.held.0 = self.now + long;
            }
            if to_entry {
                link.held.1 = self.now + long;
            }
        }
    }

    fn reset(&mut self, e: usize, a: usize) {
        let open = self.links.get(&(e, a)).is_some_and(|link| link.entry_open);
        if open {
            self.entry_lost(e, a);
        }
        if let Some(link) = self.links.get_mut(&(e, a)) {
            link.number = 0;
            link.agent_open = false;
        }
        self.at(self.now + 100, Event::Connect(e, a));
    }
}
