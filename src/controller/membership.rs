//! Keeps an owner's links to the agents of its cell, by the rows that the agents write.
//!
//! The rows are read when the row that every join and leave changes has changed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time;

use anyhow::anyhow;
use tokio::sync::Notify;

use crate::backoff;
use crate::clock;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::id;
use crate::wire::platform::{self, Transaction};
use crate::wire::rows;

/// Pauses while the table fails, growing from the first to the second with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// What the loop reports.
pub struct Events {
    /// The members, and the lives lost before, as first read after the epoch was raised.
    pub first_read: Box<dyn Fn(&HashMap<id::AgentId, rows::Agent>) + Send + Sync>,
    /// The members as they stand now.
    pub current: Box<dyn Fn(&HashMap<id::AgentId, rows::Agent>) + Send + Sync>,
}

/// Reads the members of a cell at once, and again whenever `changed` tells that they have changed.
pub async fn run(
    table: platform::Table,
    cell: id::Cell,
    changed: Arc<Notify>,
    events: Arc<Events>,
) {
    let mut first = true;
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    loop {
        match read(&table, cell).await {
            Ok(mut members) => {
                if first {
                    (events.first_read)(&members);
                    first = false;
                }
                members.retain(|_, row| !row.left);
                (events.current)(&members);
                backoff.reset();
                changed.notified().await;
            }
            Err(e) => {
                log::warn!("the members of cell {cell} can't be read: {e}");
                tokio::time::sleep(backoff.pause()).await;
            }
        }
    }
}

async fn read(
    table: &platform::Table,
    cell: id::Cell,
) -> anyhow::Result<HashMap<id::AgentId, rows::Agent>> {
    let prefix = rows::agents(cell);
    let found = (table.scan)(prefix.clone())
        .await
        .map_err(|e| anyhow!("{e:?}"))?;
    let mut members = HashMap::new();
    for row in found {
        let id = row.key[prefix.len()..].into();
        let agent: rows::Agent = serde_json::from_str(&row.value)?;
        if is_over(&agent) {
            let mut tx = Transaction::put_if(&row.key, row.revision, String::new());
            tx.writes[0].value = None;
            // Whoever reads next tries again.
            let _ = (table.commit)(tx).await;
        } else {
            members.insert(id, agent);
        }
    }
    Ok(members)
}

/// Tells whether a row speaks only of lives that no submission can ask for any more.
fn is_over(agent: &rows::Agent) -> bool {
    let now = clock::since_epoch();
    let is_old = |life: &inherit::LostLife| {
        time::Duration::from_millis(life.at_ms) + 2 * ledger::RETENTION < now
    };
    agent.left && agent.lost.iter().all(is_old)
}

/// The lives that an owner has to hear of.
pub fn current_incarnations(members: &HashMap<id::AgentId, rows::Agent>) -> Vec<inherit::Life> {
    let life = |(agent, row): (&id::AgentId, &rows::Agent)| inherit::Life {
        agent: agent.clone(),
        incarnation: row.incarnation,
    };
    members
        .iter()
        .filter(|(_, row)| !row.left)
        .map(life)
        .collect()
}

/// The lives that were lost before.
pub fn lost_incarnations(members: &HashMap<id::AgentId, rows::Agent>) -> Vec<inherit::LostLife> {
    members.values().flat_map(|row| row.lost.clone()).collect()
}
