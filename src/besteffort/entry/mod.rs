//! An entry for best-effort work: callers' jobs on one side, links from the agents on the other.
//!
//! What is done is decided by [`Board`]; this part carries its actions out. All runs on one thread:
//! the entry VMs have a fraction of one core.

mod link;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::CompactString;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::besteffort::entry::link::{maintain_link, Link};
use crate::clock;
use crate::decide::besteffort::asking::RoomRequests;
use crate::decide::besteffort::board::{Action, Board, Counts, Membership, SubmitResult};
use crate::decide::besteffort::evacuation::{Evacuations, StoreReading};
use crate::decide::besteffort::job::{JobNo, LinkNo, Outcome, Submission};
use crate::decide::besteffort::lease::Bounds;
use crate::decide::besteffort::message::{Crash, EntryIncarnation, EntryMessage, WaitingWork};
use crate::decide::besteffort::policy::Policy;
use crate::decide::besteffort::subset::{LinkChange, ListedAgent};
use crate::id;
use crate::mutex;

/// How often time bounds are looked at.
const TICK: time::Duration = time::Duration::from_millis(20);

/// Lateness of a tick that tells of a pause of the process. A machine that has used up its share of
/// the processor pauses for less than 100 ms.
const MIN_PROCESS_PAUSE: time::Duration = time::Duration::from_millis(180);

/// Part of a heartbeat within which a line that left makes the next heartbeat needless. The longest
/// silence is then 150 ms, and two more heartbeats fit before an agent gives the entry up.
const RECENT_WRITE_HEARTBEATS: f64 = 0.25;

/// Who an entry is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name and life.
    pub name: EntryIncarnation,
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// The time bounds that it keeps.
    pub bounds: Bounds,
    /// How it decides.
    pub policy: Policy,
}

struct Inner {
    cfg: Config,
    board: Mutex<Board>,
    links: Mutex<BTreeMap<LinkNo, Arc<Link>>>,
    /// Ends the task that keeps the link to an agent, when dropped.
    link_stops: Mutex<HashMap<id::AgentId, oneshot::Sender<()>>>,
    /// What waits for room, and which agents know it.
    demand: Mutex<RoomDemand>,
    /// Which failure domains get nothing new.
    evacuations: Mutex<Evacuations>,
    callers: Mutex<HashMap<JobNo, Vec<oneshot::Sender<Outcome>>>>,
    next_link: Mutex<LinkNo>,
}

#[derive(Default)]
struct RoomDemand {
    waiting_work: Option<WaitingWork>,
    room_requests: RoomRequests,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
}

/// Spawns an entry that knows no agents yet.
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
    /// An agent is listed, or is listed with other words than before.
    pub fn agent_listed(&self, member: ListedAgent) {
        mutex::lock(&self.inner.board).list_agent(member);
    }

    /// An agent isn't listed any more.
    pub fn agent_unlisted(&self, agent: &str) {
        mutex::lock(&self.inner.board).unlist_agent(agent);
    }

    /// An agent has told of a crash of its backend server, and not on a link to this entry.
    pub fn crash_reported(&self, agent: &str, life: id::Incarnation, crash: &Crash) {
        let now = clock::since_boot();
        mutex::lock(&self.inner.board).crash_reported(now, agent, life, crash);
        perform_actions(&self.inner);
    }

    /// Runs a job and returns how it ended. Dropping the future says that the caller has left.
    pub async fn run(&self, ask: Submission) -> Outcome {
        let admitted = mutex::lock(&self.inner.board).submit(clock::since_boot(), ask);
        let no = match admitted {
            SubmitResult::Answered(outcome) => return outcome,
            SubmitResult::Job(no) => no,
        };
        let (tx, rx) = oneshot::channel();
        mutex::lock(&self.inner.callers)
            .entry(no)
            .or_default()
            .push(tx);
        let _left = CallerGuard {
            inner: self.inner.clone(),
            no,
        };
        perform_actions(&self.inner);
        rx.await.unwrap_or(Outcome::GaveUp)
    }

    /// Withdraws a job at its caller's request; false where it isn't known here.
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

    /// Whether a job is known and hasn't ended.
    pub fn has_open_job(&self, job: &str) -> bool {
        mutex::lock(&self.inner.board).find_job(job).is_some()
    }

    /// Jobs of a class of which nothing was started.
    pub fn unstarted_jobs(&self, class: &str) -> usize {
        mutex::lock(&self.inner.board).unstarted_jobs(class)
    }

    /// Jobs that haven't ended.
    pub fn open_jobs(&self) -> usize {
        mutex::lock(&self.inner.board).open_jobs()
    }

    /// From now on takes only jobs that end by then.
    pub fn stop_by(&self, by: time::Duration) {
        mutex::lock(&self.inner.board).stop_by(by);
    }

    /// Gives up and answers whatever hasn't ended.
    pub fn give_up_all(&self) {
        mutex::lock(&self.inner.board).give_up_all(clock::since_boot());
        perform_actions(&self.inner);
    }

    /// Says which failure domains operators have evacuated. Agents hear of a change at once.
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

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        mutex::lock(&self.inner.board).counts.clone()
    }

    /// What is known of the agents, in numbers.
    pub fn membership(&self) -> Membership {
        mutex::lock(&self.inner.board).membership(clock::since_boot())
    }

    /// Whether agents are linked, and none is expected any more after the start.
    pub fn has_found_agents(&self) -> bool {
        self.linked_agents() > 0
            && mutex::lock(&self.inner.board).has_found_agents(clock::since_boot())
    }

    /// Agents that are wanted and have been out of reach for so long.
    pub fn agents_unreachable_for(&self, long: time::Duration) -> Vec<id::AgentId> {
        mutex::lock(&self.inner.board).agents_unreachable_for(clock::since_boot(), long)
    }

    /// Agents that are linked.
    pub fn linked_agents(&self) -> usize {
        mutex::lock(&self.inner.links).len()
    }
}

/// Tells the board when a caller has left before its job ended.
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

/// Has a heartbeat leave on every link at once, and the agents answer them at once: an entry with 68
/// agents then wakes up some ten times a heartbeat, not twice for each agent. Wake-ups are most of
/// what a link without work costs a thin entry (docs/MEASUREMENTS.md).
fn send_heartbeats(inner: &Inner, now: time::Duration) {
    for link in mutex::lock(&inner.links).values() {
        let written = *mutex::lock(&link.written_at);
        if now.saturating_sub(written)
            >= inner.cfg.bounds.heartbeat.mul_f64(RECENT_WRITE_HEARTBEATS)
        {
            link.wake.notify_one();
        }
    }
}

/// Does what the board has decided.
fn perform_actions(inner: &Arc<Inner>) {
    let (actions, wants) = {
        let mut board = mutex::lock(&inner.board);
        (board.take_actions(), board.waiting_work())
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
    let mut waits = mutex::lock(&inner.demand);
    waits.waiting_work = wants;
    if let Some(wants) = wants {
        for link in waits
            .room_requests
            .links_to_ask(clock::since_boot(), wants.priority, &links)
        {
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
    let mut kept = mutex::lock(&inner.link_stops);
    match change {
        LinkChange::Open(agent, addr) => {
            let (tx, rx) = oneshot::channel();
            tokio::spawn(maintain_link(inner.clone(), agent.clone(), addr, rx));
            kept.insert(agent, tx);
        }
        LinkChange::Close(agent) => {
            kept.remove(&agent);
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
