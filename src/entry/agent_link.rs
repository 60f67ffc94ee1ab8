//! An owner's link to one agent: connected, watched in both directions, replaced.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time;

use anyhow::anyhow;
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;

use crate::backoff;
use crate::decide::delivery;
use crate::decide::order::Order;
use crate::entry::cell::Cell;
use crate::entry::scope::Scope;
use crate::id;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::rows;

/// Pauses between attempts to connect, growing from the first to the second.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// The link to one agent, and the loop that tends it.
pub struct AgentLink {
    /// The agent's row.
    pub row: rows::Agent,
    /// The sending half, once the agent has said welcome.
    pub tx: Option<link::Sender<Order>>,
    /// The connection that is open or being made.
    pub sender: Option<Arc<LinkSender>>,
    /// Acknowledgements that wait for an order to ride with.
    pub lazy: Vec<Order>,
    /// When the oldest of those came.
    pub lazy_since: time::Instant,
    /// When the agent was last heard.
    pub heard: time::Instant,
    /// The loop that keeps the agent linked.
    pub tending: JoinHandle<()>,
}

impl AgentLink {
    /// Opens a link that the loop given will connect.
    pub fn open(row: rows::Agent, tending: JoinHandle<()>) -> AgentLink {
        let now = time::Instant::now();
        AgentLink {
            row,
            tx: None,
            sender: None,
            lazy: Vec::new(),
            lazy_since: now,
            heard: now,
            tending,
        }
    }

    /// Tells whether what was sent on the link doesn't arrive, though the agent is heard.
    pub fn is_stuck(&self, now: time::Instant) -> bool {
        let sender = self.sender.as_ref();
        sender.is_some_and(|sender| sender.delivery().is_stuck(now, agent::SILENCE))
    }

    /// Drops the sending half, wherever it is: the link closes and is replaced. Tells whether
    /// there was one.
    ///
    /// Guards against an agent whose welcome is lost: until it comes the half waits beside the
    /// link, and a link of which it was forgotten there would stay open and unused for ever.
    pub fn close(&mut self) -> bool {
        let unused = self.sender.take().and_then(|sender| sender.take());
        self.tx.take().or(unused).is_some()
    }
}

/// The sending half of a link until the agent's welcome puts it to use.
pub struct LinkSender {
    /// The owner's number for the link.
    pub link: id::Link,
    slot: Mutex<Option<link::Sender<Order>>>,
    /// The life that said welcome.
    pub incarnation: AtomicU64,
    delivery: Mutex<delivery::Delivery>,
}

impl LinkSender {
    fn open(tx: link::Sender<Order>) -> LinkSender {
        LinkSender {
            // JSON numbers of other languages hold 53 bits.
            link: rand::random::<u64>() >> 11,
            slot: Mutex::new(Some(tx)),
            incarnation: AtomicU64::new(0),
            delivery: Mutex::default(),
        }
    }

    /// Takes the sending half, once.
    pub fn take(&self) -> Option<link::Sender<Order>> {
        self.slot.lock().expect("the slot is whole").take()
    }

    /// The messages that went out on the link.
    pub fn delivery(&self) -> MutexGuard<'_, delivery::Delivery> {
        self.delivery.lock().expect("the delivery is whole")
    }
}

/// Keeps one agent linked, for as long as its row stands.
pub async fn tend(cell: Weak<Cell>, id: id::AgentId, row: rows::Agent) {
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    loop {
        let closed = Arc::new(Notify::new());
        match connect(&cell, &id, &row, &closed).await {
            Ok(()) => {
                closed.notified().await;
                backoff.reset();
            }
            Err(e) => log::debug!("agent {id} can't be reached: {e}"),
        }
        let Some(strong) = cell.upgrade() else {
            return;
        };
        strong.link_lost(&id);
        drop(strong);
        tokio::time::sleep(backoff.pause()).await;
    }
}

async fn connect(
    cell: &Weak<Cell>,
    id: &id::AgentId,
    row: &rows::Agent,
    closed: &Arc<Notify>,
) -> anyhow::Result<()> {
    let strong = cell.upgrade().ok_or_else(|| anyhow!("the cell is gone"))?;
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = Arc::new(LinkSender::open(tx));
    let hello = agent::Hello {
        entry: strong.scope().entry.clone(),
        cell: strong.scope().cell,
        epoch: strong.scope().epoch,
        link: sender.link,
    };
    let peer = link::Peer {
        take: taker(cell.clone(), id.clone(), sender.clone()),
        group: grouper(strong.scope(), sender.clone()),
        sent: {
            let messages = strong.scope().messages.clone();
            Arc::new(move |down, bytes| messages.sent(agent::kind_down(&down.orders), bytes))
        },
        weigh: agent::weigh_order,
        closed: {
            let closed = closed.clone();
            Box::new(move || closed.notify_one())
        },
    };
    strong.connecting(id, sender);
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

fn grouper(scope: &Scope, sender: Arc<LinkSender>) -> link::Group<Order, agent::Down> {
    let (cell, epoch) = (scope.cell, scope.epoch);
    Arc::new(move |orders| {
        sender.delivery().send(time::Instant::now());
        agent::Down {
            link: sender.link,
            cell,
            epoch,
            incarnation: sender.incarnation.load(Ordering::SeqCst),
            orders,
        }
    })
}
