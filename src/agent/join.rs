//! Joins an agent to its cell and takes it out again. To join, the agent writes its row before it
//! reads the cell's epoch; `try_join` says why.

use std::sync::Arc;
use std::time;

use anyhow::{anyhow, bail};
use backon::BackoffBuilder;
use compact_str::CompactString;

use crate::agent::runner::Runner;
use crate::clock;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::id;
use crate::wire::platform::{self, Commit, Transaction};
use crate::wire::rows;

/// Joins the cell. Retries with exponential backoff until the table has confirmed the row and
/// returned the epoch. `addr` is where owners connect (host and port).
pub async fn join(
    cell: id::Cell,
    addr: CompactString,
    runner: Arc<Runner>,
    table: platform::Table,
) {
    let mut backoff = backoff();
    loop {
        match try_join(cell, &addr, &runner, &table).await {
            Ok(epoch) => {
                runner.join(epoch);
                log::info!("agent joined cell {cell} at epoch {epoch}");
                return;
            }
            Err(e) => log::warn!("agent can't join cell {cell} yet: {e}"),
        }
        tokio::time::sleep(backoff.next().unwrap_or(time::Duration::from_secs(2))).await;
    }
}

fn backoff() -> backon::ExponentialBackoff {
    backon::ExponentialBuilder::default()
        .with_min_delay(time::Duration::from_millis(50))
        .with_max_delay(time::Duration::from_secs(2))
        .without_max_times()
        .with_jitter()
        .build()
}

/// Writes the agent's row, then reads and returns the epoch of the cell's owner; 0 if the cell
/// never had an owner.
///
/// This order prevents a superseded owner from starting tasks on an incarnation that its successor
/// has not fenced: either the successor finds the row when it reads the members, or this read finds
/// the successor's epoch.
async fn try_join(
    cell: id::Cell,
    addr: &CompactString,
    runner: &Runner,
    table: &platform::Table,
) -> anyhow::Result<id::Epoch> {
    write_row(cell, addr, runner, table).await?;
    let row = (table.get)(rows::cell(cell)).await;
    let row = row.map_err(|e| anyhow!("the cell's row can't be read: {e:?}"))?;
    let Some(row) = row else {
        return Ok(0);
    };
    let owner: rows::Owner = serde_json::from_str(&row.value)?;
    Ok(owner.epoch)
}

/// Writes the row of this incarnation, which lists the earlier incarnations that were lost, and the
/// cell's members row, so that the owner reads the members again. Does nothing if this incarnation
/// has already written its row.
async fn write_row(
    cell: id::Cell,
    addr: &CompactString,
    runner: &Runner,
    table: &platform::Table,
) -> anyhow::Result<()> {
    let key = rows::agent(cell, runner.id());
    let before = (table.get)(key.clone()).await;
    let before = before.map_err(|e| anyhow!("the agent's row can't be read: {e:?}"))?;
    let revision = before.as_ref().map_or(0, |row| row.revision);
    let mut row = rows::Agent {
        incarnation: runner.incarnation(),
        addr: addr.clone(),
        lost: Vec::new(),
        left: false,
    };
    if let Some(before) = before {
        let before: rows::Agent = serde_json::from_str(&before.value)?;
        if before.incarnation == runner.incarnation() {
            // An earlier attempt wrote the row, but its answer was lost.
            return Ok(());
        }
        row.lost = if before.left {
            retain_recent(before.lost)
        } else {
            lost_incarnations(before, false)
        };
    }
    let value = serde_json::to_string(&row)?;
    let mut tx = Transaction::put_if(&key, revision, value);
    tx.writes.push(members_write(cell, runner));
    match (table.commit)(tx).await {
        Ok(Commit::Done(_)) => Ok(()),
        Ok(Commit::Conflict(_)) => bail!("another incarnation of this agent wrote its row"),
        Err(e) => Err(anyhow!("the agent's row can't be written: {e:?}")),
    }
}

/// Returns the write to the row that the cell's owner watches for changes of its members.
fn members_write(cell: id::Cell, runner: &Runner) -> platform::Write {
    platform::Write {
        key: rows::members(cell),
        value: Some(format!("\"{}\"", runner.id())),
    }
}

/// Returns the recent ones of the lost incarnations in the row `before`, followed by the incarnation
/// that wrote this row, with the present time as the time of its loss. `claimed` says whether the
/// claims of all tasks that it started were written.
fn lost_incarnations(before: rows::Agent, claimed: bool) -> Vec<inherit::LostIncarnation> {
    let mut lost = retain_recent(before.lost);
    lost.push(inherit::LostIncarnation {
        incarnation: before.incarnation,
        at_ms: clock::since_epoch().as_millis() as u64,
        claimed,
    });
    lost
}

/// Returns `lost` without the incarnations that were lost more than twice [`ledger::RETENTION`]
/// ago.
fn retain_recent(mut lost: Vec<inherit::LostIncarnation>) -> Vec<inherit::LostIncarnation> {
    let now_ms = clock::since_epoch().as_millis() as u64;
    let retention_ms = 2 * ledger::RETENTION.as_millis() as u64;
    lost.retain(|l| l.at_ms + retention_ms > now_ms);
    lost
}

/// Takes the agent out of its cell. If this incarnation started tasks, or earlier ones were lost
/// recently, the row stays and lists them as lost.
///
/// This guards against an owner that takes the cell over after the agent has left. If a job is
/// submitted again, that owner finds its claim but no agent with records of its tasks, and would
/// start them a second time. From the row it learns that they may have run. `claimed` says whether
/// the claims of all tasks that this incarnation started were written before it left.
///
/// Does nothing if the row is missing or was written by another incarnation. Ignores errors of the
/// table.
pub async fn leave(cell: id::Cell, runner: &Runner, table: &platform::Table, claimed: bool) {
    let key = rows::agent(cell, runner.id());
    let Ok(Some(row)) = (table.get)(key.clone()).await else {
        return;
    };
    let Ok(mut agent) = serde_json::from_str::<rows::Agent>(&row.value) else {
        return;
    };
    if agent.incarnation != runner.incarnation() {
        return;
    }
    agent.lost = if runner.has_started_tasks() {
        lost_incarnations(agent.clone(), claimed)
    } else {
        retain_recent(agent.lost)
    };
    agent.left = true;
    let value = serde_json::to_string(&agent).ok();
    let mut tx = Transaction::put_if(&key, row.revision, String::new());
    tx.writes[0].value = value.filter(|_| !agent.lost.is_empty());
    tx.writes.push(members_write(cell, runner));
    let _ = (table.commit)(tx).await;
}
