//! The claims of a cell: those of earlier owners read once, this owner's written as they come.

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

/// Pauses between attempts to read the claims, growing from the first to the second.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Reads the claims of earlier owners, then writes those of this one for as long as it owns.
pub async fn write(cell: Weak<Cell>, rx: mpsc::UnboundedReceiver<action::Claim>) {
    let Some(strong) = cell.upgrade() else {
        return;
    };
    let old = inherit(&strong).await;
    let scope = claims::Scope {
        table: strong.scope().table.clone(),
        cell: strong.scope().cell,
        epoch: strong.scope().epoch,
        revision: strong.scope().revision,
    };
    drop(strong);
    let events = claim_events(&cell);
    claims::run(scope, old.into(), rx, Arc::new(events)).await;
}

fn claim_events(cell: &Weak<Cell>) -> claims::Events {
    let (written, refused, deposed) = (cell.clone(), cell.clone(), cell.clone());
    claims::Events {
        written: Box::new(move |claims, begun| {
            let Some(cell) = written.upgrade() else {
                return;
            };
            (cell.scope().proved)(begun);
            cell.with(|owner, now| {
                owner.note_ownership_proof(begun);
                owner.claims_written(now, claims);
            });
        }),
        refused: Box::new(move |keys, code| {
            if let Some(cell) = refused.upgrade() {
                cell.with(|owner, now| owner.claims_refused(now, keys, code));
            }
        }),
        ownership_lost: Box::new(move || {
            if let Some(cell) = deposed.upgrade() {
                (cell.scope().deposed)();
            }
        }),
    }
}

/// Reads the claims of earlier owners; returns the rows, oldest first.
async fn inherit(cell: &Cell) -> Vec<claims::WrittenGroup> {
    let mut backoff = backoff::open(MIN_PAUSE, MAX_PAUSE);
    loop {
        match read(cell).await {
            Ok((claims, old)) => {
                cell.with(|owner, now| owner.set_earlier_claims(now, claims));
                return old;
            }
            Err(e) => log::warn!("claims of cell {} can't be read: {e}", cell.scope().cell),
        }
        tokio::time::sleep(backoff.pause()).await;
    }
}

async fn read(
    cell: &Cell,
) -> anyhow::Result<(Vec<inherit::StoredClaim>, Vec<claims::WrittenGroup>)> {
    let found = (cell.scope().table.scan)(rows::claims(cell.scope().cell)).await;
    let found = found.map_err(|e| anyhow!("{e:?}"))?;
    let mut all = Vec::new();
    let mut old = Vec::new();
    for row in found {
        let group: Vec<inherit::StoredClaim> = serde_json::from_str(&row.value)?;
        let at_ms = group.iter().map(|claim| claim.at_ms).max().unwrap_or(0);
        old.push((row.key, time::Duration::from_millis(at_ms)));
        all.extend(group);
    }
    Ok((all, old))
}
