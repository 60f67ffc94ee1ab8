//! An owner's link to one agent, whose silence is detected in both directions.

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

/// The link to one agent, and the task that maintains it.
pub struct AgentLink {
    /// The agent's row in the table, which holds its address.
    pub row: rows::Agent,
    /// The sending half, once the agent's welcome has come.
    pub tx: Option<link::Sender<Order>>,
    /// The connection that is open or being made.
    pub connection: Option<Arc<Connection>>,
    /// Acknowledgements that wait to be sent together with an order.
    pub delayed_acks: Vec<Order>,
    /// When the oldest of the delayed acknowledgements was added.
    pub oldest_ack_at: time::Instant,
    /// When the last message of the agent came, or its last connection was begun.
    pub last_heard: time::Instant,
    /// The task that connects to the agent again after each loss.
    pub link_task: JoinHandle<()>,
}

impl AgentLink {
    /// Opens a link that the task given will connect.
    pub fn open(row: rows::Agent, link_task: JoinHandle<()>) -> AgentLink {
        let now = time::Instant::now();
        AgentLink {
            row,
            tx: None,
            connection: None,
            delayed_acks: Vec::new(),
            oldest_ack_at: now,
            last_heard: now,
            link_task,
        }
    }

    /// Tells whether messages that were sent on the link don't arrive, even if the agent is heard.
    pub fn is_stuck(&self, now: time::Instant) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.delivery().is_stuck(now, agent::SILENCE))
    }

    /// Drops the sending half, used or not, so that the link closes and is replaced. Tells whether
    /// there was one.
    ///
    /// Until the agent's welcome comes, the [`Connection`] holds the sending half. That half is
    /// dropped too: if it stayed after the welcome was lost, the link would be open and unused for
    /// ever.
    pub fn close(&mut self) -> bool {
        let unused = self
            .connection
            .take()
            .and_then(|connection| connection.take_tx());
        self.tx.take().or(unused).is_some()
    }
}

/// The owner's side of one connection; holds the sending half until the agent's welcome comes.
pub struct Connection {
    /// The number that the owner gave to the connection.
    pub link: id::Link,
    unused_tx: Mutex<Option<link::Sender<Order>>>,
    /// The agent's incarnation, from its welcome; 0 before it.
    pub incarnation: AtomicU64,
    delivery: Mutex<delivery::Delivery>,
}

impl Connection {
    /// Opens the owner's side of a new connection, under a random number.
    pub fn open(tx: link::Sender<Order>) -> Connection {
        Connection {
            // Numbers in the JSON of other languages hold only 53 bits.
            link: rand::random::<u64>() >> 11,
            unused_tx: Mutex::new(Some(tx)),
            incarnation: AtomicU64::new(0),
            delivery: Mutex::default(),
        }
    }

    /// Takes the sending half out; only the first call returns it.
    pub fn take_tx(&self) -> Option<link::Sender<Order>> {
        self.unused_tx.lock().expect("not poisoned").take()
    }

    /// Which messages were sent on the connection and confirmed by the agent.
    pub fn delivery(&self) -> MutexGuard<'_, delivery::Delivery> {
        self.delivery.lock().expect("not poisoned")
    }
}
