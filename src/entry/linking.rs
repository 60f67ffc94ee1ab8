//! Connects an owner to an agent, and reconnects after each loss.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time;

use anyhow::anyhow;
use tokio::sync::{mpsc, Notify};

use crate::backoff;
use crate::decide::order::Order;
use crate::entry::agent_link::Connection;
use crate::entry::cell::Cell;
use crate::entry::scope::Scope;
use crate::id;
use crate::wire::agent;
use crate::wire::link;
use crate::wire::rows;

/// Pauses between attempts to connect grow from this one up to [`MAX_PAUSE`].
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Maintains the link to one agent until the cell is gone; the cell aborts this task when the
/// agent's row changes or is removed.
pub async fn maintain_link(cell: Weak<Cell>, id: id::AgentId, row: rows::Agent) {
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
    let connection = Arc::new(Connection::open(tx));
    let hello = agent::Hello {
        entry: strong.scope().entry.clone(),
        cell: strong.scope().cell,
        epoch: strong.scope().epoch,
        link: connection.link,
    };
    let peer = link::ClientHandlers {
        on_message: message_handler(cell.clone(), id.clone(), connection.clone()),
        group: order_grouper(strong.scope(), connection.clone()),
        on_sent: {
            let messages = strong.scope().messages.clone();
            Arc::new(move |down, bytes| messages.sent(agent::kind_down(&down.orders), bytes))
        },
        estimate_bytes: agent::estimate_order_bytes,
        on_closed: {
            let closed = closed.clone();
            Box::new(move || closed.notify_one())
        },
    };
    strong.note_connecting(id, connection);
    drop(strong);
    link::connect(&row.addr, hello, rx, peer).await
}

type MessageHandler = Arc<dyn Fn(agent::Up) + Send + Sync>;

fn message_handler(
    cell: Weak<Cell>,
    id: id::AgentId,
    connection: Arc<Connection>,
) -> MessageHandler {
    Arc::new(move |up| {
        if let Some(cell) = cell.upgrade() {
            cell.handle_message(&id, &connection, up);
        }
    })
}

fn order_grouper(scope: &Scope, connection: Arc<Connection>) -> link::Group<Order, agent::Down> {
    let (cell, epoch) = (scope.cell, scope.epoch);
    Arc::new(move |orders| {
        connection.delivery().record_sent(time::Instant::now());
        agent::Down {
            link: connection.link,
            cell,
            epoch,
            incarnation: connection.incarnation.load(Ordering::SeqCst),
            orders,
        }
    })
}
