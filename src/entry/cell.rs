//! A cell that this entry owns: passes events to the owner's decisions and performs the actions
//! that they return.

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
use crate::entry::agent_link::{AgentLink, Connection};
use crate::entry::scope::Scope;
use crate::entry::spans;
use crate::id;
use crate::submission;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::peer;
use crate::wire::platform;
use crate::wire::rows;

/// Longest that acknowledgements wait to be sent together with an order.
const MAX_ACK_DELAY: time::Duration = time::Duration::from_secs(3);

/// Where a job's ending is sent.
pub enum Waiter {
    /// To a caller of this entry.
    Caller(oneshot::Sender<Arc<submission::Ending>>),
    /// To the entry that passed the job on, with that entry's sequence number for it.
    Peer(link::Sender<peer::UpItem>, u64),
}

/// A cell that runs at this entry until it is stopped.
pub struct Cell {
    scope: Scope,
    spans: spans::Owner,
    owner: Mutex<owner::Owner>,
    links: Mutex<HashMap<id::AgentId, AgentLink>>,
    waiters: Mutex<HashMap<action::WaiterId, Waiter>>,
    next_waiter: AtomicU64,
    claims: mpsc::UnboundedSender<action::Claim>,
    members_changed: Arc<Notify>,
    members_revision: Mutex<Option<platform::Revision>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    stopped: AtomicBool,
}

/// Opens a cell whose epoch was just written to the table. Returns it with the receiver of the
/// claims that are to be written to the table.
pub fn open(scope: Scope) -> (Arc<Cell>, mpsc::UnboundedReceiver<action::Claim>) {
    let now = time::Instant::now();
    let wall = clock::since_epoch();
    let mut owner = owner::Owner::open(scope.epoch, scope.policy, scope.config.clone(), now, wall);
    // The owner takes the end of this time as wall-clock time; it may lie ahead of now or behind.
    let ahead = scope.unclaimed_starts_until.saturating_duration_since(now);
    let behind = now.saturating_duration_since(scope.unclaimed_starts_until);
    owner.set_takeover(scope.proof_begun, (wall + ahead).saturating_sub(behind));
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
        members_revision: Mutex::default(),
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

    /// Passes a submission to the owner; `waiter` gets its ending.
    pub fn submit(&self, submission: Arc<submission::Submission>, waiter: Waiter) {
        let waiter_id = self.add_waiter(waiter);
        self.apply_event(|owner, now| owner.submit(now, submission, waiter_id));
        self.release_waiters_if_stopped();
    }

    /// Withdraws a job; `waiter` gets the ending.
    pub fn cancel(&self, key: &id::JobKey, waiter: Waiter) {
        let waiter_id = self.add_waiter(waiter);
        self.apply_event(|owner, now| owner.cancel(now, key, waiter_id));
        self.release_waiters_if_stopped();
    }

    /// Puts a newer configuration into force.
    pub fn configure(&self, config: Arc<class::Versioned>) {
        self.apply_event(|owner, _| owner.configure(config));
    }

    /// Notes that a table operation which began at the time given proved the ownership.
    pub fn note_ownership_proof(&self, begun: time::Instant) {
        self.apply_event(|owner, _| owner.note_ownership_proof(begun));
    }

    /// Notes the revision of the row that each join and leave of an agent changes; if it is new,
    /// the membership task is notified to read the members again.
    pub fn note_members_revision(&self, revision: platform::Revision) {
        let mut known = self.members_revision.lock().expect("not poisoned");
        if known.replace(revision) != Some(revision) {
            self.members_changed.notify_one();
        }
    }

    /// Reads the owner's state, for status and metrics, under its lock.
    pub fn read<T>(&self, f: impl FnOnce(&owner::Owner) -> T) -> T {
        f(&self.lock())
    }

    /// Registers a task that is aborted when the cell is stopped.
    pub fn add_task(&self, task: JoinHandle<()>) {
        let mut tasks = self.tasks.lock().expect("not poisoned");
        tasks.push(task);
    }

    /// The signal that the cell's members may have changed.
    pub fn members_changed(&self) -> Arc<Notify> {
        self.members_changed.clone()
    }

    /// Closes the links to agents that have left or whose row has changed, and opens those to new
    /// members; `spawn_link` starts the loop that maintains one. The owner gives up agents that
    /// left.
    pub fn update_members(
        &self,
        members: &HashMap<id::AgentId, rows::Agent>,
        spawn_link: impl Fn(&id::AgentId, &rows::Agent) -> JoinHandle<()>,
    ) {
        let mut links = self.links.lock().expect("not poisoned");
        let mut gone = Vec::new();
        links.retain(|id, link| {
            let stays = members.get(id).is_some_and(|row| *row == link.row);
            if !stays {
                link.link_task.abort();
                gone.push(id.clone());
            }
            stays
        });
        for (id, row) in members {
            if links.contains_key(id) {
                continue;
            }
            let link_task = spawn_link(id, row);
            links.insert(id.clone(), AgentLink::open(row.clone(), link_task));
        }
        drop(links);
        let left: Vec<_> = gone
            .into_iter()
            .filter(|id| !members.contains_key(id))
            .collect();
        self.apply_event(|owner, now| {
            for id in &left {
                owner.give_up_agent(now, id);
            }
        });
    }

    /// Stops the cell's tasks, closes its links and ends the waits, so that each submission
    /// searches for the new owner.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
        for (_, link) in self.links.lock().expect("not poisoned").drain() {
            link.link_task.abort();
        }
        self.release_waiters_if_stopped();
    }

    fn release_waiters_if_stopped(&self) {
        if !self.stopped.load(Ordering::SeqCst) {
            return;
        }
        let waiters = std::mem::take(&mut *self.waiters.lock().expect("not poisoned"));
        for (_, waiter) in waiters {
            match waiter {
                // The dropped sender makes the submission search for the owner again.
                Waiter::Caller(_) => {}
                Waiter::Peer(tx, seq) => {
                    let _ = tx.send(peer::UpItem::NotOwner(seq));
                }
            }
        }
    }

    fn add_waiter(&self, waiter: Waiter) -> action::WaiterId {
        let waiter_id = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        self.waiters
            .lock()
            .expect("not poisoned")
            .insert(waiter_id, waiter);
        waiter_id
    }

    /// Applies an event to the owner and performs the actions that follow, in order, under its
    /// lock.
    pub fn apply_event(&self, event: impl FnOnce(&mut owner::Owner, time::Instant)) {
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
                self.spans.set_start_parent(now, &mut start);
                self.send_order(&agent, Order::Start(start));
            }
            Action::Order(agent, order) => self.send_order(&agent, order),
            Action::Claim(claim) => {
                let _ = self.claims.send(claim);
            }
            Action::Reply(waiter_id, ending) => self.reply(waiter_id, ending),
            Action::Record(timing) => self.spans.record(timing),
        }
    }

    fn reply(&self, waiter_id: action::WaiterId, ending: Arc<submission::Ending>) {
        let waiter = self
            .waiters
            .lock()
            .expect("not poisoned")
            .remove(&waiter_id);
        match waiter {
            Some(Waiter::Caller(tx)) => {
                let _ = tx.send(ending);
            }
            Some(Waiter::Peer(tx, seq)) => {
                let _ = tx.send(peer::UpItem::Ending(seq, ending));
            }
            None => {}
        }
    }

    /// Sends an order with the acknowledgements delayed before it. An acknowledgement is delayed
    /// until the next order, or until [`Cell::check_links`] sends it after [`MAX_ACK_DELAY`].
    ///
    /// An order to an agent without a link is dropped: its task counts as outstanding, and the
    /// owner asks the agent about it on the next link.
    fn send_order(&self, agent: &id::AgentId, order: Order) {
        let mut links = self.links.lock().expect("not poisoned");
        let Some(link) = links.get_mut(agent) else {
            return;
        };
        if matches!(order, Order::Acknowledge(_)) {
            if link.delayed_acks.is_empty() {
                link.oldest_ack_at = time::Instant::now();
            }
            link.delayed_acks.push(order);
            return;
        }
        if let Some(tx) = &link.tx {
            for ack in link.delayed_acks.drain(..) {
                let _ = tx.send(ack);
            }
            let _ = tx.send(order);
        }
    }

    /// Closes links that went silent in either direction, and sends acknowledgements that have
    /// waited longer than [`MAX_ACK_DELAY`].
    pub fn check_links(&self) {
        let now = time::Instant::now();
        let mut links = self.links.lock().expect("not poisoned");
        for link in links.values_mut() {
            let silent = now.saturating_duration_since(link.last_heard) > agent::SILENCE;
            if (silent || link.is_stuck(now)) && link.close() {
                log::warn!(
                    "link to agent at {} went silent; it is replaced",
                    link.row.addr
                );
            }
            let overdue = now.saturating_duration_since(link.oldest_ack_at) > MAX_ACK_DELAY;
            if let (Some(tx), true) = (&link.tx, overdue) {
                for ack in link.delayed_acks.drain(..) {
                    let _ = tx.send(ack);
                }
            }
        }
    }

    /// Handles one message of an agent that came on the connection given.
    pub fn handle_message(&self, id: &id::AgentId, connection: &Connection, up: agent::Up) {
        if let Some(link) = self.links.lock().expect("not poisoned").get_mut(id) {
            link.last_heard = time::Instant::now();
        }
        if up.link == connection.link {
            connection.delivery().confirm(up.received);
        }
        let mut load = Some(up.load);
        for notice in up.notices {
            match notice {
                notice::Notice::Welcome(welcome) => {
                    connection
                        .incarnation
                        .store(welcome.incarnation, Ordering::SeqCst);
                    self.activate_link(id, connection);
                    let load = load.take().unwrap_or_default();
                    self.apply_event(|owner, now| owner.handle_welcome(now, id, welcome, load));
                }
                notice::Notice::Stale(epoch) if epoch > self.scope.epoch => {
                    (self.scope.ownership_lost)()
                }
                other => self.apply_event(|owner, now| owner.handle_notice(now, id, other)),
            }
        }
        self.apply_event(|owner, now| match load {
            Some(load) => owner.update_load(now, id, load),
            None => owner.dispatch(now),
        });
    }

    /// Closes an agent's link and tells the owner that it was lost.
    pub fn link_lost(&self, id: &id::AgentId) {
        if let Some(link) = self.links.lock().expect("not poisoned").get_mut(id) {
            link.close();
        }
        self.apply_event(|owner, now| owner.agent_link_lost(now, id));
    }

    /// Notes a connection to an agent that is being made; the agent counts as heard now.
    pub fn note_connecting(&self, id: &id::AgentId, connection: Arc<Connection>) {
        if let Some(link) = self.links.lock().expect("not poisoned").get_mut(id) {
            link.last_heard = time::Instant::now();
            link.connection = Some(connection);
        }
    }

    /// The values and callbacks that the entry spawned the cell with.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    fn activate_link(&self, id: &id::AgentId, connection: &Connection) {
        let mut links = self.links.lock().expect("not poisoned");
        if let Some(link) = links.get_mut(id) {
            link.tx = connection.take_tx();
        }
    }

    fn lock(&self) -> MutexGuard<'_, owner::Owner> {
        self.owner.lock().expect("not poisoned")
    }
}
