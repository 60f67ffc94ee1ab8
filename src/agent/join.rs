//! How an agent joins its cell and leaves it: its row first, the epoch after.

use std::sync::Arc;
use std::time;

use anyhow::{anyhow, bail};
use backon::BackoffBuilder;
use compact_str::CompactString;

use crate::agent::work::Work;
use crate::clock;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::id;
use crate::wire::platform::{self, Commit, Transaction};
use crate::wire::rows;

/// Joins the cell, trying again with growing pauses until the table has answered.
pub async fn join(cell: id::Cell, addr: CompactString, work: Arc<Work>, table: platform::Table) {
    let mut pauses = pauses();
    loop {
        match try_join(cell, &addr, &work, &table).await {
            Ok(epoch) => {
                work.join(epoch);
                log::info!("agent joined cell {cell} at epoch {epoch}");
                return;
            }
            Err(e) => log::warn!("agent can't join cell {cell} yet: {e}"),
        }
        tokio::time::sleep(pauses.next().unwrap_or(time::Duration::from_secs(2))).await;
    }
}

fn pauses() -> backon::ExponentialBackoff {
    backon::ExponentialBuilder::default()
        .with_min_delay(time::Duration::from_millis(50))
        .with_max_delay(time::Duration::from_secs(2))
        .without_max_times()
        .with_jitter()
        .build()
}

/// Writes the row, then reads the epoch.
///
/// Guards against an owner of the past that starts tasks on a life which its successor never
/// fenced: either the successor's read of the members finds the row, or this read finds the
/// successor's epoch.
async fn try_join(
    cell: id::Cell,
    addr: &CompactString,
    work: &Work,
    table: &platform::Table,
) -> anyhow::Result<id::Epoch> {
    write_row(cell, addr, work, table).await?;
    let row = (table.get)(rows::cell(cell)).await;
    let row = row.map_err(|e| anyhow!("the cell's row can't be read: {e:?}"))?;
    let Some(row) = row else {
        return Ok(0);
    };
    let owner: rows::Owner = serde_json::from_str(&row.value)?;
    Ok(owner.epoch)
}

async fn write_row(
    cell: id::Cell,
    addr: &CompactString,
    work: &Work,
    table: &platform::Table,
) -> anyhow::Result<()> {
    let key = rows::agent(cell, work.id());
    let before = (table.get)(key.clone()).await;
    let before = before.map_err(|e| anyhow!("the agent's row can't be read: {e:?}"))?;
    let revision = before.as_ref().map_or(0, |row| row.revision);
    let mut row = rows::Agent {
        incarnation: work.incarnation(),
        addr: addr.clone(),
        lost: Vec::new(),
    };
    if let Some(before) = before {
        let before: rows::Agent = serde_json::from_str(&before.value)?;
        if before.incarnation == work.incarnation() {
            // The answer to an earlier try was lost after its write took effect.
            return Ok(());
        }
        row.lost = lost_lives(before);
    }
    let value = serde_json::to_string(&row)?;
    let mut tx = Transaction::put_if(&key, revision, value);
    tx.writes.push(members_changed(cell, work));
    match (table.commit)(tx).await {
        Ok(Commit::Done(_)) => Ok(()),
        Ok(Commit::Conflict(_)) => bail!("another life of this agent wrote its row"),
        Err(e) => Err(anyhow!("the agent's row can't be written: {e:?}")),
    }
}

/// Changes the row by which the cell's owner sees that its members have changed.
fn members_changed(cell: id::Cell, work: &Work) -> platform::Write {
    platform::Write {
        key: rows::members(cell),
        value: Some(format!("\"{}\"", work.id())),
    }
}

/// The lives that ended, the one before included, as long as they matter.
fn lost_lives(before: rows::Agent) -> Vec<inherit::LostLife> {
    let now_ms = clock::since_epoch().as_millis() as u64;
    let keep_ms = 2 * ledger::RETENTION.as_millis() as u64;
    let mut lost = before.lost;
    lost.retain(|life| life.at_ms + keep_ms > now_ms);
    if before.addr.is_empty() {
        // It left in order and recorded its own end.
        return lost;
    }
    lost.push(inherit::LostLife {
        incarnation: before.incarnation,
        at_ms: now_ms,
    });
    lost
}

/// Records the end of a life that drained.
///
/// Guards against a second run of a task whose answer was acknowledged, and whose caller and owner
/// are lost a little later: with the row gone, a new owner would take the silence of the other
/// agents for proof that nobody ever started the task.
pub async fn leave(cell: id::Cell, work: &Work, table: &platform::Table) {
    let key = rows::agent(cell, work.id());
    let Ok(Some(row)) = (table.get)(key.clone()).await else {
        return;
    };
    let Ok(mut agent) = serde_json::from_str::<rows::Agent>(&row.value) else {
        return;
    };
    if agent.incarnation != work.incarnation() {
        return;
    }
    agent.lost = lost_lives(agent.clone());
    agent.addr = CompactString::default();
    let Ok(value) = serde_json::to_string(&agent) else {
        return;
    };
    let mut tx = Transaction::put_if(&key, row.revision, value);
    tx.writes.push(members_changed(cell, work));
    let _ = (table.commit)(tx).await;
}
