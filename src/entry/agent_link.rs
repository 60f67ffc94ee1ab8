//! An owner's link to one agent, watched in both directions.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time;

use tokio::task::JoinHandle;

use crate::decide::delivery;
use crate::decide::order::Order;
use crate::id;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::rows;

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
    /// Opens the half that belongs to a new link.
    pub fn open(tx: link::Sender<Order>) -> LinkSender {
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
