//! A cell that this entry owns: feeds the owner's decisions with events and does what they ask.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::JoinHandle;

use crate::class;
use crate::clock;
use crate::decide::action::{self, Action};
use crate::decide::notice;
use crate::decide::order::Order;
use crate::decide::owner;
use crate::entry::agent_link::{AgentLink, LinkSender};
use crate::entry::scope::Scope;
use crate::entry::spans;
use crate::id;
use crate::submission;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::peer;
use crate::wire::platform;
use crate::wire::rows;

/// Longest that acknowledgements wait for an order to ride with.
const MAX_LAZY: time::Duration = time::Duration::from_secs(3);

/// Who waits for a job's ending.
pub enum Waiter {
    /// A caller of this entry.
    Here(oneshot::Sender<Arc<submission::Ending>>),
    /// Another entry, under its own number.
    Peer(link::Sender<peer::Returned>, u64),
}

/// A running cell.
pub struct Cell {
    scope: Scope,
    spans: spans::Owner,
    owner: Mutex<owner::Owner>,
    links: Mutex<HashMap<id::AgentId, AgentLink>>,
    waiters: Mutex<HashMap<action::WaiterId, Waiter>>,
    next_waiter: AtomicU64,
    claims: mpsc::UnboundedSender<action::Claim>,
    members_changed: Arc<Notify>,
    members_seen: Mutex<Option<platform::Revision>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    stopped: AtomicBool,
}

/// Opens a cell whose epoch was just written to the table. Returns it with the claims that it asks to
/// be written.
pub fn open(scope: Scope) -> (Arc<Cell>, mpsc::UnboundedReceiver<action::Claim>) {
    let now = time::Instant::now();
    let wall = clock::since_epoch();
    let mut owner = owner::Owner::open(scope.epoch, scope.policy, scope.config.clone(), now, wall);
    let ahead = scope.doubt.saturating_duration_since(now);
    let behind = now.saturating_duration_since(scope.doubt);
    owner.set_takeover(scope.begun, (wall + ahead).saturating_sub(behind));
    let (tx, rx) = mpsc::unbounded_channel();
    let spans = spans::Owner {
        entry: scope.entry.clone(),
        cell: scope.cell,
        epoch: scope.epoch,
        since: now,
    };
    let cell = Arc::new(Cell {
        scope,
        spans,
        owner: Mutex::new(owner),
        links: Mutex::default(),
        waiters: Mutex::default(),
        next_waiter: AtomicU64::new(1),
        claims: tx,
        members_changed: Arc::default(),
        members_seen: Mutex::default(),
        tasks: Mutex::default(),
        stopped: AtomicBool::new(false),
    });
    (cell, rx)
}

impl Cell {
    /// The epoch of this entry's ownership.
    pub fn epoch(&self) -> id::Epoch {
        self.scope.epoch
    }

    /// Takes a submission.
    pub fn submit(&self, submission: Arc<submission::Submission>, waiter: Waiter) {
        let number = self.enlist(waiter);
        self.with(|owner, now| owner.submit(now, submission, number));
        self.turn_away_if_stopped();
    }

    /// Withdraws a job.
    pub fn cancel(&self, key: &id::JobKey, waiter: Waiter) {
        let number = self.enlist(waiter);
        self.with(|owner, now| owner.cancel(now, key, number));
        self.turn_away_if_stopped();
    }

    /// Puts a newer configuration into force.
    pub fn configure(&self, config: Arc<class::Versioned>) {
        self.with(|owner, _| owner.configure(config));
    }

    /// Notes that the ownership was seen in the table.
    pub fn table_seen(&self, begun: time::Instant) {
        self.with(|owner, _| owner.note_ownership_proof(begun));
    }

    /// Notes the revision of the row that every join and leave changes.
    pub fn members_row(&self, revision: platform::Revision) {
        let mut seen = self.members_seen.lock().expect("the revision is whole");
        if seen.replace(revision) != Some(revision) {
            self.members_changed.notify_one();
        }
    }

    /// Reads the owner's state, for status and metrics.
    pub fn read<T>(&self, f: impl FnOnce(&owner::Owner) -> T) -> T {
        f(&self.lock())
    }

    /// Runs a task until the cell is stopped.
    pub fn keep(&self, task: JoinHandle<()>) {
        let mut tasks = self.tasks.lock().expect("the cell's tasks are whole");
        tasks.push(task);
    }

    /// Is told where the members may have changed.
    pub fn members_changed(&self) -> Arc<Notify> {
        self.members_changed.clone()
    }

    /// Brings the links in line with the members; `link` starts the loop that keeps one.
    pub fn tend_members(
        &self,
        members: &HashMap<id::AgentId, rows::Agent>,
        link: impl Fn(&id::AgentId, &rows::Agent) -> JoinHandle<()>,
    ) {
        let mut links = self.links.lock().expect("the links are whole");
        let mut gone = Vec::new();
        links.retain(|id, link| {
            let stays = members.get(id).is_some_and(|row| *row == link.row);
            if !stays {
                link.tending.abort();
                gone.push(id.clone());
            }
            stays
        });
        for (id, row) in members {
            if links.contains_key(id) {
                continue;
            }
            let tending = link(id, row);
            links.insert(id.clone(), AgentLink::open(row.clone(), tending));
        }
        drop(links);
        let left: Vec<_> = gone
            .into_iter()
            .filter(|id| !members.contains_key(id))
            .collect();
        self.with(|owner, now| {
            for id in &left {
                owner.give_up_agent(now, id);
            }
        });
    }

    /// Stops owning: links close, and everybody who waits is sent to look for the new owner.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for task in self
            .tasks
            .lock()
            .expect("the cell's tasks are whole")
            .drain(..)
        {
            task.abort();
        }
        for (_, link) in self.links.lock().expect("the links are whole").drain() {
            link.tending.abort();
        }
        self.turn_away_if_stopped();
    }

    fn turn_away_if_stopped(&self) {
        if !self.stopped.load(Ordering::SeqCst) {
            return;
        }
        let waiters = std::mem::take(&mut *self.waiters.lock().expect("the waiters are whole"));
        for (_, waiter) in waiters {
            match waiter {
                // Dropping the sender is the sign.
                Waiter::Here(_) => {}
                Waiter::Peer(tx, seq) => {
                    let _ = tx.send(peer::Returned::NotOwner(seq));
                }
            }
        }
    }

    fn enlist(&self, waiter: Waiter) -> action::WaiterId {
        let number = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        self.waiters
            .lock()
            .expect("the waiters are whole")
            .insert(number, waiter);
        number
    }

    /// Feeds an event to the owner and does what it asks, in order.
    pub fn with(&self, event: impl FnOnce(&mut owner::Owner, time::Instant)) {
        let mut owner = self.lock();
        let now = time::Instant::now();
        event(&mut owner, now);
        for action in owner.take_actions() {
            self.perform(now, action);
        }
    }

    fn perform(&self, now: time::Instant, action: Action) {
        match action {
            Action::Order(agent, Order::Start(mut start)) => {
                self.spans.start(now, &mut start);
                self.order(&agent, Order::Start(start));
            }
            Action::Order(agent, order) => self.order(&agent, order),
            Action::Claim(claim) => {
                let _ = self.claims.send(claim);
            }
            Action::Reply(number, ending) => self.reply(number, ending),
            Action::Record(timing) => self.spans.record(timing),
        }
    }

    fn reply(&self, number: action::WaiterId, ending: Arc<submission::Ending>) {
        let waiter = self
            .waiters
            .lock()
            .expect("the waiters are whole")
            .remove(&number);
        match waiter {
            Some(Waiter::Here(tx)) => {
                let _ = tx.send(ending);
            }
            Some(Waiter::Peer(tx, seq)) => {
                let _ = tx.send(peer::Returned::Ending(seq, ending));
            }
            None => {}
        }
    }

    /// Sends an order. One to an agent without a link is dropped: its task counts as outstanding,
    /// and the agent is asked about it once it is back.
    fn order(&self, agent: &id::AgentId, order: Order) {
        let mut links = self.links.lock().expect("the links are whole");
        let Some(link) = links.get_mut(agent) else {
            return;
        };
        if matches!(order, Order::Acknowledge(_)) {
            if link.lazy.is_empty() {
                link.lazy_since = time::Instant::now();
            }
            link.lazy.push(order);
            return;
        }
        if let Some(tx) = &link.tx {
            for lazy in link.lazy.drain(..) {
                let _ = tx.send(lazy);
            }
            let _ = tx.send(order);
        }
    }

    /// Closes links that went silent, in either direction, and sends acknowledgements that found
    /// nothing to ride with.
    pub fn tend_links(&self) {
        let now = time::Instant::now();
        let mut links = self.links.lock().expect("the links are whole");
        for link in links.values_mut() {
            let silent = now.saturating_duration_since(link.heard) > agent::SILENCE;
            if (silent || link.is_stuck(now)) && link.close() {
                log::warn!(
                    "link to agent at {} went silent; it is replaced",
                    link.row.addr
                );
            }
            let overdue = now.saturating_duration_since(link.lazy_since) > MAX_LAZY;
            if let (Some(tx), true) = (&link.tx, overdue) {
                for lazy in link.lazy.drain(..) {
                    let _ = tx.send(lazy);
                }
            }
        }
    }

    /// Takes one message of an agent.
    pub fn take(&self, id: &id::AgentId, tx: &LinkSender, up: agent::Up) {
        if let Some(link) = self.links.lock().expect("the links are whole").get_mut(id) {
            link.heard = time::Instant::now();
        }
        if up.link == tx.link {
            tx.delivery().confirm(up.received);
        }
        let mut load = Some(up.load);
        for notice in up.notices {
            match notice {
                notice::Notice::Welcome(welcome) => {
                    tx.incarnation.store(welcome.incarnation, Ordering::SeqCst);
                    self.use_link(id, tx);
                    let load = load.take().unwrap_or_default();
                    self.with(|owner, now| owner.handle_welcome(now, id, welcome, load));
                }
                notice::Notice::Stale(epoch) if epoch > self.scope.epoch => (self.scope.deposed)(),
                other => self.with(|owner, now| owner.handle_notice(now, id, other)),
            }
        }
        self.with(|owner, now| match load {
            Some(load) => owner.update_load(now, id, load),
            None => owner.dispatch(now),
        });
    }

    /// Notes that an agent's link is gone.
    pub fn link_lost(&self, id: &id::AgentId) {
        if let Some(link) = self.links.lock().expect("the links are whole").get_mut(id) {
            link.close();
        }
        self.with(|owner, now| owner.agent_link_lost(now, id));
    }

    /// Notes a connection that is being made to an agent.
    pub fn connecting(&self, id: &id::AgentId, sender: Arc<LinkSender>) {
        if let Some(link) = self.links.lock().expect("the links are whole").get_mut(id) {
            link.heard = time::Instant::now();
            link.sender = Some(sender);
        }
    }

    /// What the cell was spawned with.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    fn use_link(&self, id: &id::AgentId, tx: &LinkSender) {
        let mut links = self.links.lock().expect("the links are whole");
        if let Some(link) = links.get_mut(id) {
            link.tx = tx.take();
        }
    }

    fn lock(&self) -> MutexGuard<'_, owner::Owner> {
        self.owner.lock().expect("the owner's state is whole")
    }
}
