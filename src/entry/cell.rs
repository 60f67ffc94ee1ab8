//! A cell that this entry owns: feeds the owner's decisions with events and does what they ask.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time;

use anyhow::anyhow;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::JoinHandle;

use crate::class;
use crate::controller::claims;
use crate::controller::membership;
use crate::count;
use crate::decide::action::{self, Action};
use crate::decide::inherit;
use crate::decide::notice;
use crate::decide::order::Order;
use crate::decide::owner;
use crate::id;
use crate::submission;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::peer;
use crate::wire::platform;
use crate::wire::rows;

/// How often what is due is done.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Longest that acknowledgements wait for an order to ride with.
const MAX_LAZY: time::Duration = time::Duration::from_secs(1);

/// Pause between attempts to connect to an agent, doubled up to the maximum.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Who waits for a job's ending.
pub enum Waiter {
    /// A caller of this entry.
    Here(oneshot::Sender<Arc<submission::Ending>>),
    /// Another entry, under its own number.
    Peer(link::Sender<peer::Returned>, u64),
}

/// What a cell is spawned with.
pub struct Scope {
    /// The cell.
    pub cell: id::Cell,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The revision of the cell's row.
    pub revision: platform::Revision,
    /// This entry.
    pub entry: id::EntryId,
    /// The platform's table.
    pub table: platform::Table,
    /// The counters.
    pub messages: count::Messages,
    /// Who goes next and where to.
    pub policy: owner::Policy,
    /// The configuration in force.
    pub config: Arc<class::Versioned>,
    /// Called where the cell turns out to have another owner.
    pub deposed: Box<dyn Fn() + Send + Sync>,
}

/// A running cell.
pub struct Cell {
    scope: Scope,
    owner: Mutex<owner::Owner>,
    links: Mutex<HashMap<id::AgentId, AgentLink>>,
    waiters: Mutex<HashMap<action::Waiter, Waiter>>,
    next_waiter: AtomicU64,
    claims: mpsc::UnboundedSender<action::Claim>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    stopped: AtomicBool,
}

/// The link to one agent, and the loop that tends it.
struct AgentLink {
    row: rows::Agent,
    tx: Option<link::Sender<Order>>,
    lazy: Vec<Order>,
    lazy_since: time::Instant,
    heard: time::Instant,
    tending: JoinHandle<()>,
}

/// Spawns a cell whose epoch was just written to the table.
pub fn spawn(scope: Scope) -> Arc<Cell> {
    let now = time::Instant::now();
    let wall = claims::since_epoch();
    let owner = owner::Owner::open(scope.epoch, scope.policy, scope.config.clone(), now, wall);
    let (tx, rx) = mpsc::unbounded_channel();
    let cell = Arc::new(Cell {
        scope,
        owner: Mutex::new(owner),
        links: Mutex::default(),
        waiters: Mutex::default(),
        next_waiter: AtomicU64::new(1),
        claims: tx,
        tasks: Mutex::default(),
        stopped: AtomicBool::new(false),
    });
    let spawned = vec![
        tokio::spawn(membership::run(
            cell.scope.table.clone(),
            cell.scope.cell,
            Arc::new(membership_events(&cell)),
        )),
        tokio::spawn(write_claims(Arc::downgrade(&cell), rx)),
        tokio::spawn(tick(Arc::downgrade(&cell))),
    ];
    *cell.tasks.lock().expect("the cell's tasks are whole") = spawned;
    cell
}

fn membership_events(cell: &Arc<Cell>) -> membership::Events {
    let (first, current) = (Arc::downgrade(cell), Arc::downgrade(cell));
    membership::Events {
        first: Box::new(move |members| {
            let Some(cell) = first.upgrade() else {
                return;
            };
            let lives = membership::lives(members);
            let lost = membership::lost(members);
            cell.with(|owner, now| owner.members(now, lives, &lost));
        }),
        current: Box::new(move |members| {
            if let Some(cell) = current.upgrade() {
                cell.tend_members(members);
            }
        }),
    }
}

async fn write_claims(cell: Weak<Cell>, rx: mpsc::UnboundedReceiver<action::Claim>) {
    let Some(strong) = cell.upgrade() else {
        return;
    };
    let old = strong.inherit_claims().await;
    let scope = claims::Scope {
        table: strong.scope.table.clone(),
        cell: strong.scope.cell,
        epoch: strong.scope.epoch,
        revision: strong.scope.revision,
    };
    drop(strong);
    let events = claim_events(&cell);
    claims::run(scope, old.into(), rx, Arc::new(events)).await;
}

fn claim_events(cell: &Weak<Cell>) -> claims::Events {
    let (written, refused, deposed) = (cell.clone(), cell.clone(), cell.clone());
    claims::Events {
        written: Box::new(move |claims, begun| {
            let Some(cell) = written.upgrade() else {
                return;
            };
            cell.with(|owner, now| {
                owner.table_seen(begun);
                owner.claimed(now, claims);
            });
        }),
        refused: Box::new(move |keys, code| {
            if let Some(cell) = refused.upgrade() {
                cell.with(|owner, now| owner.claim_refused(now, keys, code));
            }
        }),
        deposed: Box::new(move || {
            if let Some(cell) = deposed.upgrade() {
                (cell.scope.deposed)();
            }
        }),
    }
}

async fn tick(cell: Weak<Cell>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let Some(cell) = cell.upgrade() else {
            return;
        };
        cell.with(owner::Owner::tick);
        cell.tend_links();
    }
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
        self.with(|owner, _| owner.table_seen(begun));
    }

    /// Reads the owner's state, for status and metrics.
    pub fn read<T>(&self, f: impl FnOnce(&owner::Owner) -> T) -> T {
        f(&self.lock())
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

    fn enlist(&self, waiter: Waiter) -> action::Waiter {
        let number = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        self.waiters
            .lock()
            .expect("the waiters are whole")
            .insert(number, waiter);
        number
    }

    /// Feeds an event to the owner and does what it asks, in order.
    fn with(&self, event: impl FnOnce(&mut owner::Owner, time::Instant)) {
        let mut owner = self.lock();
        event(&mut owner, time::Instant::now());
        for action in owner.actions() {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Order(agent, order) => self.order(&agent, order),
            Action::Claim(claim) => {
                let _ = self.claims.send(claim);
            }
            Action::Reply(number, ending) => self.reply(number, ending),
        }
    }

    fn reply(&self, number: action::Waiter, ending: Arc<submission::Ending>) {
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

    /// Closes links that went silent and sends acknowledgements that found nothing to ride with.
    fn tend_links(&self) {
        let now = time::Instant::now();
        let mut links = self.links.lock().expect("the links are whole");
        for link in links.values_mut() {
            let silent = now.saturating_duration_since(link.heard) > agent::SILENCE;
            if silent && link.tx.take().is_some() {
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

    /// Brings the links in line with the members.
    fn tend_members(self: &Arc<Self>, members: &HashMap<id::AgentId, rows::Agent>) {
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
            let tending = tokio::spawn(tend(Arc::downgrade(self), id.clone(), row.clone()));
            let now = time::Instant::now();
            links.insert(
                id.clone(),
                AgentLink {
                    row: row.clone(),
                    tx: None,
                    lazy: Vec::new(),
                    lazy_since: now,
                    heard: now,
                    tending,
                },
            );
        }
        drop(links);
        let left: Vec<_> = gone
            .into_iter()
            .filter(|id| !members.contains_key(id))
            .collect();
        self.with(|owner, now| {
            for id in &left {
                owner.lose(now, id);
            }
        });
    }

    /// Reads the claims of earlier owners; returns the rows, oldest first.
    async fn inherit_claims(&self) -> Vec<claims::Written> {
        loop {
            match self.read_claims().await {
                Ok((claims, old)) => {
                    self.with(|owner, now| owner.claims(now, claims));
                    return old;
                }
                Err(e) => log::warn!("claims of cell {} can't be read: {e}", self.scope.cell),
            }
            tokio::time::sleep(MIN_PAUSE + MAX_PAUSE.mul_f64(rand::random())).await;
        }
    }

    async fn read_claims(&self) -> anyhow::Result<(Vec<inherit::Claimed>, Vec<claims::Written>)> {
        let found = (self.scope.table.scan)(rows::claims(self.scope.cell)).await;
        let found = found.map_err(|e| anyhow!("{e:?}"))?;
        let mut all = Vec::new();
        let mut old = Vec::new();
        for row in found {
            let group: Vec<inherit::Claimed> = serde_json::from_str(&row.value)?;
            let at_ms = group.iter().map(|claim| claim.at_ms).max().unwrap_or(0);
            old.push((row.key, time::Duration::from_millis(at_ms)));
            all.extend(group);
        }
        Ok((all, old))
    }

    /// Takes one message of an agent.
    fn take(&self, id: &id::AgentId, tx: &LinkSender, up: agent::Up) {
        if let Some(link) = self.links.lock().expect("the links are whole").get_mut(id) {
            link.heard = time::Instant::now();
        }
        let mut load = Some(up.load);
        for notice in up.notices {
            match notice {
                notice::Notice::Welcome(welcome) => {
                    tx.incarnation.store(welcome.incarnation, Ordering::SeqCst);
                    self.use_link(id, tx);
                    let load = load.take().unwrap_or_default();
                    self.with(|owner, now| owner.welcome(now, id, welcome, load));
                }
                notice::Notice::Stale(epoch) if epoch > self.scope.epoch => (self.scope.deposed)(),
                other => self.with(|owner, now| owner.notice(now, id, other)),
            }
        }
        self.with(|owner, now| match load {
            Some(load) => owner.load(now, id, load),
            None => owner.dispatch(now),
        });
    }

    fn link_lost(&self, id: &id::AgentId) {
        if let Some(link) = self.links.lock().expect("the links are whole").get_mut(id) {
            link.tx = None;
        }
        self.with(|owner, now| owner.link_lost(now, id));
    }

    fn use_link(&self, id: &id::AgentId, tx: &LinkSender) {
        let mut links = self.links.lock().expect("the links are whole");
        if let Some(link) = links.get_mut(id) {
            link.tx = tx.slot.lock().expect("the slot is whole").take();
        }
    }

    fn lock(&self) -> MutexGuard<'_, owner::Owner> {
        self.owner.lock().expect("the owner's state is whole")
    }
}

/// The sending half of a link until the agent's welcome puts it to use.
struct LinkSender {
    slot: Mutex<Option<link::Sender<Order>>>,
    incarnation: AtomicU64,
}

/// Keeps one agent linked, for as long as its row stands.
async fn tend(cell: Weak<Cell>, id: id::AgentId, row: rows::Agent) {
    let mut pause = MIN_PAUSE;
    loop {
        let closed = Arc::new(Notify::new());
        match connect(&cell, &id, &row, &closed).await {
            Ok(()) => {
                closed.notified().await;
                pause = MIN_PAUSE;
            }
            Err(e) => log::debug!("agent {id} can't be reached: {e}"),
        }
        let Some(strong) = cell.upgrade() else {
            return;
        };
        strong.link_lost(&id);
        drop(strong);
        tokio::time::sleep(pause.mul_f64(0.5 + 0.5 * rand::random::<f64>())).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn connect(
    cell: &Weak<Cell>,
    id: &id::AgentId,
    row: &rows::Agent,
    closed: &Arc<Notify>,
) -> anyhow::Result<()> {
    let strong = cell.upgrade().ok_or_else(|| anyhow!("the cell is gone"))?;
    let hello = agent::Hello {
        entry: strong.scope.entry.clone(),
        cell: strong.scope.cell,
        epoch: strong.scope.epoch,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = Arc::new(LinkSender {
        slot: Mutex::new(Some(tx)),
        incarnation: AtomicU64::new(0),
    });
    let peer = link::Peer {
        take: taker(cell.clone(), id.clone(), sender.clone()),
        group: grouper(&strong.scope, sender.clone()),
        closed: {
            let closed = closed.clone();
            Box::new(move || closed.notify_one())
        },
    };
    if let Some(link) = strong
        .links
        .lock()
        .expect("the links are whole")
        .get_mut(id)
    {
        link.heard = time::Instant::now();
    }
    drop(strong);
    link::connect(&row.addr, hello, rx, peer).await
}

type Taker = Arc<dyn Fn(agent::Up) + Send + Sync>;

fn taker(cell: Weak<Cell>, id: id::AgentId, sender: Arc<LinkSender>) -> Taker {
    Arc::new(move |up| {
        if let Some(cell) = cell.upgrade() {
            cell.take(&id, &sender, up);
        }
    })
}

type Grouper = Arc<dyn Fn(Vec<Order>) -> agent::Down + Send + Sync>;

fn grouper(scope: &Scope, sender: Arc<LinkSender>) -> Grouper {
    let (cell, epoch, messages) = (scope.cell, scope.epoch, scope.messages.clone());
    Arc::new(move |orders| {
        messages.add(agent::kind_down(&orders), 1);
        agent::Down {
            cell,
            epoch,
            incarnation: sender.incarnation.load(Ordering::SeqCst),
            orders,
        }
    })
}
