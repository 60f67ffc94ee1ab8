//! The claims of a cell: reads those of earlier owners once, then writes those of this owner.

use std::sync::{Arc, Weak};
use std::time;

use anyhow::anyhow;
use tokio::sync::mpsc;

use crate::backoff;
use crate::controller::claims;
use crate::decide::action;
use crate::decide::inherit;
use crate::entry::cell::Cell;
use crate::wire::rows;

/// Pauses between attempts to read the claims grow from this one up to [`MAX_PAUSE`].
const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Reads the claims of earlier owners, then writes those of this one until its ownership ends.
pub async fn read_then_write(cell: Weak<Cell>, rx: mpsc::UnboundedReceiver<action::Claim>) {
    let Some(strong) = cell.upgrade() else {
        return;
    };
    let earlier = read_earlier(&strong).await;
    let scope = claims::Scope {
        table: strong.scope().table.clone(),
        cell: strong.scope().cell,
        epoch: strong.scope().epoch,
        revision: strong.scope().revision,
    };
    drop(strong);
    let events = claim_events(&cell);
    claims::run(scope, earlier.into(), rx, Arc::new(events)).await;
}

fn claim_events(cell: &Weak<Cell>) -> claims::Events {
    let (written, refused, ownership_lost) = (cell.clone(), cell.clone(), cell.clone());
    claims::Events {
        written: Box::new(move |claims, begun| {
            let Some(cell) = written.upgrade() else {
                return;
            };
            (cell.scope().ownership_proved)(begun);
            cell.apply_event(|owner, now| {
                owner.note_ownership_proof(begun);
                owner.claims_written(now, claims);
            });
        }),
        refused: Box::new(move |keys, code| {
            if let Some(cell) = refused.upgrade() {
                cell.apply_event(|owner, now| owner.claims_refused(now, keys, code));
            }
        }),
        ownership_lost: Box::new(move || {
            if let Some(cell) = ownership_lost.upgrade() {
                (cell.scope().ownership_lost)();
            }
        }),
    }
}

/// Reads the claims of earlier owners, with retries until it succeeds, and passes them to the
/// owner. Returns their rows, each with the time of its newest claim, oldest first.
async fn read_earlier(cell: &Cell) -> Vec<claims::WrittenGroup> {
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    loop {
        match read_stored(cell).await {
            Ok((claims, earlier)) => {
                cell.apply_event(|owner, now| owner.set_earlier_claims(now, claims));
                return earlier;
            }
            Err(e) => log::warn!("claims of cell {} can't be read: {e}", cell.scope().cell),
        }
        tokio::time::sleep(backoff.pause()).await;
    }
}

async fn read_stored(
    cell: &Cell,
) -> anyhow::Result<(Vec<inherit::StoredClaim>, Vec<claims::WrittenGroup>)> {
    let stored = (cell.scope().table.scan)(rows::claims(cell.scope().cell)).await;
    let stored = stored.map_err(|e| anyhow!("{e:?}"))?;
    let mut all = Vec::new();
    let mut earlier = Vec::new();
    for row in stored {
        let group: Vec<inherit::StoredClaim> = serde_json::from_str(&row.value)?;
        let at_ms = group.iter().map(|claim| claim.at_ms).max().unwrap_or(0);
        earlier.push((row.key, time::Duration::from_millis(at_ms)));
        all.extend(group);
    }
    Ok((all, earlier))
}
