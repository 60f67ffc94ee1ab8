//! Tells an owner which agents are members of its cell, by the rows that the agents write.
//!
//! Every agent that joins or leaves also changes one row of the cell, which is watched. The agents'
//! rows are read again when that row has changed.

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

/// Shortest and longest pause between reads while the table fails; it grows with jitter.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Callbacks of the loop.
pub struct Events {
    /// The first read after the epoch was raised: the rows of all agents, with those that have left
    /// and with the incarnations that were lost.
    pub first_read: Box<dyn Fn(&HashMap<id::AgentId, rows::Agent>) + Send + Sync>,
    /// Every read, the first included: the rows of the agents that are members now.
    pub current: Box<dyn Fn(&HashMap<id::AgentId, rows::Agent>) + Send + Sync>,
}

/// Reads the members of a cell at once, and again whenever `changed` is notified; never returns.
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

/// Reads the rows of a cell's agents, and removes the expired ones.
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
        if is_expired(&agent) {
            let mut tx = Transaction::put_if(&row.key, row.revision, String::new());
            tx.writes[0].value = None;
            // If this fails, the next reader tries again.
            let _ = (table.commit)(tx).await;
        } else {
            members.insert(id, agent);
        }
    }
    Ok(members)
}

/// Tells whether a row can be removed: its agent has left, and its lost incarnations ended so long
/// ago that no submission can depend on them any more.
fn is_expired(agent: &rows::Agent) -> bool {
    let now = clock::since_epoch();
    let is_old = |lost: &inherit::LostIncarnation| {
        time::Duration::from_millis(lost.at_ms) + 2 * ledger::RETENTION < now
    };
    agent.left && agent.lost.iter().all(is_old)
}

/// Returns the agents' current incarnations, from each of which a new owner needs a report.
pub fn current_incarnations(
    members: &HashMap<id::AgentId, rows::Agent>,
) -> Vec<inherit::AgentIncarnation> {
    let current = |(agent, row): (&id::AgentId, &rows::Agent)| inherit::AgentIncarnation {
        agent: agent.clone(),
        incarnation: row.incarnation,
    };
    members
        .iter()
        .filter(|(_, row)| !row.left)
        .map(current)
        .collect()
}

/// Returns the agents' incarnations that were lost.
pub fn lost_incarnations(
    members: &HashMap<id::AgentId, rows::Agent>,
) -> Vec<inherit::LostIncarnation> {
    members.values().flat_map(|row| row.lost.clone()).collect()
}
