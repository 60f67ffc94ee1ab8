//! How an agent joins its cell and leaves it: its row first, the epoch after.

use std::sync::Arc;
use std::time;

use anyhow::{anyhow, bail};
use backon::BackoffBuilder;
use compact_str::CompactString;

use crate::agent::runner::Work;
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
        left: false,
    };
    if let Some(before) = before {
        let before: rows::Agent = serde_json::from_str(&before.value)?;
        if before.incarnation == work.incarnation() {
            // The answer to an earlier try was lost after its write took effect.
            return Ok(());
        }
        row.lost = if before.left {
            recent(before.lost)
        } else {
            lost_lives(before, false)
        };
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
fn lost_lives(before: rows::Agent, claimed: bool) -> Vec<inherit::LostIncarnation> {
    let mut lost = recent(before.lost);
    lost.push(inherit::LostIncarnation {
        incarnation: before.incarnation,
        at_ms: clock::since_epoch().as_millis() as u64,
        claimed,
    });
    lost
}

fn recent(mut lost: Vec<inherit::LostIncarnation>) -> Vec<inherit::LostIncarnation> {
    let now_ms = clock::since_epoch().as_millis() as u64;
    let keep_ms = 2 * ledger::RETENTION.as_millis() as u64;
    lost.retain(|life| life.at_ms + keep_ms > now_ms);
    lost
}

/// Takes the agent out of its cell, and leaves a note of what its memory held.
///
/// Guards against an owner that takes the cell over after the agent has left: it finds the claim of
/// a job that was submitted again and nobody who remembers its tasks, and would start them a second
/// time. The note tells it that they may have run. `claimed` says that the claims of all that this
/// life started were written before it left.
pub async fn leave(cell: id::Cell, work: &Work, table: &platform::Table, claimed: bool) {
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
    agent.lost = if work.has_started() {
        lost_lives(agent.clone(), claimed)
    } else {
        recent(agent.lost)
    };
    agent.left = true;
    let value = serde_json::to_string(&agent).ok();
    let mut tx = Transaction::put_if(&key, row.revision, String::new());
    tx.writes[0].value = value.filter(|_| !agent.lost.is_empty());
    tx.writes.push(members_changed(cell, work));
    let _ = (table.commit)(tx).await;
}
