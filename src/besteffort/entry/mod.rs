//! An entry for best-effort work, between callers that submit jobs and the agents that it links to.
//!
//! [`Board`] decides what is done; this module carries out its actions. Everything runs on one thread: the
//! entry VMs have a fraction of one core.

mod link;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::CompactString;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::besteffort::entry::link::{maintain_link, Link};
use crate::clock;
use crate::decide::besteffort::asking::{self, RoomRequests};
use crate::decide::besteffort::board::{Action, Board, Counts, Membership, SubmitResult};
use crate::decide::besteffort::evacuation::{Evacuations, StoreReading};
use crate::decide::besteffort::job::{JobNo, LinkNo, Outcome, Submission};
use crate::decide::besteffort::lease::Bounds;
use crate::decide::besteffort::message::{Crash, EntryIncarnation, EntryMessage, WaitingWork};
use crate::decide::besteffort::policy::Policy;
use crate::decide::besteffort::subset::{LinkChange, ListedAgent};
use crate::decide::besteffort::told::Statement;
use crate::id;
use crate::mutex;

/// Interval at which the time bounds are checked.
const TICK: time::Duration = time::Duration::from_millis(20);

/// A tick that comes so late shows that the process was paused. A machine that has used up its share of the
/// processor pauses for less than 100 ms.
const MIN_PROCESS_PAUSE: time::Duration = time::Duration::from_millis(180);

/// A message written within this part of the heartbeat interval replaces the heartbeat. The longest silence is
/// then 150 ms, and two more heartbeats fit before an agent gives the entry up.
const RECENT_WRITE_HEARTBEATS: f64 = 0.25;

/// The identity of an entry, its bounds and its policy.
#[derive(Clone, Debug)]
pub struct Config {
    /// The entry's name and incarnation.
    pub name: EntryIncarnation,
    /// The failure domain of the entry, whose agents it prefers.
    pub failure_domain: CompactString,
    /// The time bounds on silence, leases and heartbeats.
    pub bounds: Bounds,
    /// The thresholds of its decisions.
    pub policy: Policy,
}

struct Inner {
    cfg: Config,
    board: Mutex<Board>,
    links: Mutex<BTreeMap<LinkNo, Arc<Link>>>,
    /// One sender per agent that is linked to; dropping it ends the task that maintains the link.
    link_stops: Mutex<HashMap<id::AgentId, oneshot::Sender<()>>>,
    /// The work that waits for room, and which agents know of it.
    demand: Mutex<RoomDemand>,
    /// The failure domains that get no new work.
    evacuations: Mutex<Evacuations>,
    callers: Mutex<HashMap<JobNo, Vec<oneshot::Sender<Outcome>>>>,
    next_link: Mutex<LinkNo>,
}

#[derive(Default)]
struct RoomDemand {
    waiting_work: Option<WaitingWork>,
    /// What waits by class; none unless the feature `demand` is on.
    statement: Option<Statement>,
    /// The links on which it isn't announced, since it waits for faster agents.
    links_not_asked: BTreeSet<LinkNo>,
    room_requests: RoomRequests,
}

/// A handle to a running entry.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
}

/// Starts an entry that knows no agents yet.
pub fn spawn(cfg: Config) -> Entry {
    let inner = Arc::new(Inner {
        board: Mutex::new(Board::open(
            &cfg.name.entry,
            &cfg.failure_domain,
            cfg.bounds,
            cfg.policy,
        )),
        cfg,
        links: Mutex::default(),
        link_stops: Mutex::default(),
        demand: Mutex::default(),
        evacuations: Mutex::default(),
        callers: Mutex::default(),
        next_link: Mutex::default(),
    });
    tokio::spawn(tick(inner.clone()));
    Entry { inner }
}

impl Entry {
    /// Adds an agent to the list of agents, or updates its address or labels.
    pub fn agent_listed(&self, agent: ListedAgent) {
        mutex::lock(&self.inner.board).list_agent(agent);
    }

    /// Removes an agent from the list of agents.
    pub fn agent_unlisted(&self, agent: &str) {
        mutex::lock(&self.inner.board).unlist_agent(agent);
    }

    /// Records a crash of an agent's backend server that the agent has reported, but not on a link to this
    /// entry.
    pub fn crash_reported(&self, agent: &str, incarnation: id::Incarnation, crash: &Crash) {
        let now = clock::since_boot();
        mutex::lock(&self.inner.board).crash_reported(now, agent, incarnation, crash);
        perform_actions(&self.inner);
    }

    /// Runs a job and returns its outcome. Dropping the future means that the caller has left, and cancels the
    /// job.
    pub async fn run(&self, submission: Submission) -> Outcome {
        let admitted = mutex::lock(&self.inner.board).submit(clock::since_boot(), submission);
        let no = match admitted {
            SubmitResult::Answered(outcome) => return outcome,
            SubmitResult::Job(no) => no,
        };
        let (tx, rx) = oneshot::channel();
        mutex::lock(&self.inner.callers)
            .entry(no)
            .or_default()
            .push(tx);
        let _guard = CallerGuard {
            inner: self.inner.clone(),
            no,
        };
        perform_actions(&self.inner);
        rx.await.unwrap_or(Outcome::GaveUp)
    }

    /// Cancels a job at its caller's request; returns false if the job isn't open here.
    pub fn cancel(&self, job: &str) -> bool {
        let found = mutex::lock(&self.inner.board).find_job(job);
        let Some(no) = found else {
            return false;
        };
        mutex::lock(&self.inner.callers).remove(&no);
        mutex::lock(&self.inner.board).caller_left(clock::since_boot(), no);
        perform_actions(&self.inner);
        true
    }

    /// Whether a job was submitted here and hasn't ended.
    pub fn has_open_job(&self, job: &str) -> bool {
        mutex::lock(&self.inner.board).find_job(job).is_some()
    }

    /// Returns the number of jobs of a class of which no task was started.
    pub fn unstarted_jobs(&self, class: &str) -> usize {
        mutex::lock(&self.inner.board).unstarted_jobs(class)
    }

    /// Returns the number of jobs that haven't ended.
    pub fn open_jobs(&self) -> usize {
        mutex::lock(&self.inner.board).open_jobs()
    }

    /// From now on accepts only jobs that are expected to end before `by`.
    pub fn stop_by(&self, by: time::Duration) {
        mutex::lock(&self.inner.board).stop_by(by);
    }

    /// Gives up all jobs that haven't ended, and answers their callers.
    pub fn give_up_all(&self) {
        mutex::lock(&self.inner.board).give_up_all(clock::since_boot());
        perform_actions(&self.inner);
    }

    /// Updates the evacuated failure domains from a reading of the store. All agents are told of a change at
    /// once.
    pub fn update_evacuations(&self, reading: &StoreReading) {
        let mut evacuations = mutex::lock(&self.inner.evacuations);
        if !evacuations.update(reading) {
            return;
        }
        let domains: Vec<&str> = evacuations
            .domains()
            .iter()
            .map(CompactString::as_str)
            .collect();
        log::info!(domains = domains.join(",").as_str(), version = reading.version;
            "evacuated failure domains");
        drop(evacuations);
        for link in mutex::lock(&self.inner.links).values() {
            link.wake.notify_one();
        }
    }

    /// Returns what the entry has counted since its start.
    pub fn counts(&self) -> Counts {
        mutex::lock(&self.inner.board).counts.clone()
    }

    /// Returns the numbers of agents by state, for the metrics page.
    pub fn membership(&self) -> Membership {
        mutex::lock(&self.inner.board).membership(clock::since_boot())
    }

    /// Whether an agent is linked and no more agents are expected to connect after the entry's start.
    pub fn has_found_agents(&self) -> bool {
        self.linked_agents() > 0
            && mutex::lock(&self.inner.board).has_found_agents(clock::since_boot())
    }

    /// Returns the agents that should be linked but have been unreachable for at least `min_duration`.
    pub fn agents_unreachable_for(&self, min_duration: time::Duration) -> Vec<id::AgentId> {
        mutex::lock(&self.inner.board).agents_unreachable_for(clock::since_boot(), min_duration)
    }

    /// Returns the number of links that are up.
    pub fn linked_agents(&self) -> usize {
        mutex::lock(&self.inner.links).len()
    }
}

/// Cancels a job when the future of its last waiting caller is dropped before the job has ended.
struct CallerGuard {
    inner: Arc<Inner>,
    no: JobNo,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        {
            let mut callers = mutex::lock(&self.inner.callers);
            let Some(waiting) = callers.get_mut(&self.no) else {
                return;
            };
            waiting.retain(|tx| !tx.is_closed());
            if !waiting.is_empty() {
                return;
            }
            callers.remove(&self.no);
        }
        mutex::lock(&self.inner.board).caller_left(clock::since_boot(), self.no);
        perform_actions(&self.inner);
    }
}

async fn tick(inner: Arc<Inner>) {
    let mut last = clock::since_boot();
    let mut last_heartbeat = last;
    loop {
        sleep(TICK).await;
        let now = clock::since_boot();
        let pause = now.saturating_sub(last);
        if pause > MIN_PROCESS_PAUSE {
            log::warn!(ms = pause.as_millis() as u64; "this process stood still");
            mutex::lock(&inner.board).process_resumed(now);
        }
        last = now;
        mutex::lock(&inner.board).tick(now);
        perform_actions(&inner);
        if now - last_heartbeat >= inner.cfg.bounds.heartbeat {
            last_heartbeat = now;
            send_heartbeats(&inner, now);
        }
    }
}

/// Sends a heartbeat on all links at the same time, so that the agents answer at the same time: an entry with
/// 68 agents then wakes up about ten times per heartbeat instead of twice for each agent. Wake-ups are most of
/// the cost of an idle link to an entry with little processor time (docs/MEASUREMENTS.md).
fn send_heartbeats(inner: &Inner, now: time::Duration) {
    for link in mutex::lock(&inner.links).values() {
        let written_at = *mutex::lock(&link.written_at);
        if now.saturating_sub(written_at)
            >= inner.cfg.bounds.heartbeat.mul_f64(RECENT_WRITE_HEARTBEATS)
        {
            link.wake.notify_one();
        }
    }
}

/// Carries out the actions that the board has decided.
fn perform_actions(inner: &Arc<Inner>) {
    let (actions, work, statement, links_not_asked) = {
        let mut board = mutex::lock(&inner.board);
        let now = clock::since_boot();
        let statement = board.statement(now);
        let links_not_asked = board.links_not_asked(now);
        (
            board.take_actions(),
            board.waiting_work(),
            statement,
            links_not_asked,
        )
    };
    let links = mutex::lock(&inner.links);
    for action in actions {
        match action {
            Action::Start(link, start) => {
                enqueue(&links, link, |message| message.starts.push(start))
            }
            Action::Stop(link, run) => enqueue(&links, link, |message| message.stops.push(run)),
            Action::Close(link) => {
                if let Some(link) = links.get(&link) {
                    link.close.notify_one();
                }
            }
            Action::Link(change) => apply_link_change(inner, change),
            Action::Answer(no, outcome) => answer_callers(inner, no, &outcome),
        }
    }
    let mut demand = mutex::lock(&inner.demand);
    demand.waiting_work = work;
    demand.statement = statement;
    demand.links_not_asked = links_not_asked;
    if let Some(work) = work {
        for link in demand.room_requests.links_to_ask(
            clock::since_boot(),
            asking::asked_priority(&work),
            &links,
        ) {
            if let Some(link) = links.get(&link) {
                link.wake.notify_one();
            }
        }
    }
}

fn enqueue(links: &BTreeMap<LinkNo, Arc<Link>>, link: LinkNo, add: impl FnOnce(&mut EntryMessage)) {
    if let Some(link) = links.get(&link) {
        add(&mut mutex::lock(&link.outgoing));
        link.wake.notify_one();
    }
}

fn apply_link_change(inner: &Arc<Inner>, change: LinkChange) {
    let mut link_stops = mutex::lock(&inner.link_stops);
    match change {
        LinkChange::Open(agent, addr) => {
            let (tx, rx) = oneshot::channel();
            tokio::spawn(maintain_link(inner.clone(), agent.clone(), addr, rx));
            link_stops.insert(agent, tx);
        }
        LinkChange::Close(agent) => {
            link_stops.remove(&agent);
        }
    }
}

fn answer_callers(inner: &Inner, no: JobNo, outcome: &Outcome) {
    let waiting = mutex::lock(&inner.callers).remove(&no).unwrap_or_default();
    for tx in waiting {
        if tx.send(outcome.clone()).is_err() {
            log::debug!(job_no = no; "caller left as its answer was ready");
        }
    }
}
