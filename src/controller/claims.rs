//! Writes claims to the table in groups, on condition that this entry still owns the cell.
//!
//! A claim that a start waits for is written at once, together with all other claims that are
//! pending. A claim whose start doesn't wait for it may be held back for [`GATHER_TIME`], so that
//! one write holds many. The same transactions remove old claims, so that removing them costs no
//! message. Each transaction also changes the cell's heartbeat, so that an owner that writes claims
//! need not write heartbeats as well.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::time;

use tokio::sync::mpsc;

use crate::clock;
use crate::code;
use crate::decide::action;
use crate::decide::inherit;
use crate::decide::ledger;
use crate::id;
use crate::wire::platform::{self, Commit, Condition, Transaction, Write};
use crate::wire::rows;

/// How long claims that no start waits for are gathered. It stays well under
/// [`inherit::TABLE_CONTACT_WINDOW`], since these writes are the owner's proofs of ownership.
pub const GATHER_TIME: time::Duration = time::Duration::from_millis(900);

/// Most claims in a group, which is one row of the table.
const MAX_GROUP_CLAIMS: usize = 1_000;

/// Most expired groups that one transaction removes.
const MAX_REMOVED_GROUPS: usize = 8;

/// Pause after the first failed write of a group; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// How long the table may fail before claims that starts wait for are refused.
const GIVE_UP_AFTER: time::Duration = time::Duration::from_millis(800);

/// Callbacks of the writer.
pub struct Events {
    /// These claims are in the table, by an operation that began at the time given.
    pub written: Box<dyn Fn(&[action::Claim], time::Instant) + Send + Sync>,
    /// These claims, which starts wait for, can't be written now; the code says why.
    pub refused: Box<dyn Fn(&[id::JobKey], code::Code) + Send + Sync>,
    /// Another entry owns the cell; the writer ends.
    pub ownership_lost: Box<dyn Fn() + Send + Sync>,
}

/// The cell that the writer writes claims for, and in which epoch.
pub struct Scope {
    /// The table that the claims are written to.
    pub table: platform::Table,
    /// The cell's number.
    pub cell: id::Cell,
    /// The epoch of the owner whose claims these are.
    pub epoch: id::Epoch,
    /// The revision of the cell's row that the owner wrote; every write is conditional on it.
    pub revision: platform::Revision,
}

/// A group that is in the table: the key of its row, and when it was written (since the Unix
/// epoch).
pub type WrittenGroup = (compact_str::CompactString, time::Duration);

/// Writes the claims from `rx` until the channel closes or another entry owns the cell.
/// `written_groups` are the groups of earlier owners, oldest first.
pub async fn run(
    scope: Scope,
    mut written_groups: VecDeque<WrittenGroup>,
    mut rx: mpsc::UnboundedReceiver<action::Claim>,
    events: Arc<Events>,
) {
    let mut number = 0;
    let mut group = Vec::new();
    while gather_group(&mut rx, &mut group).await {
        number += 1;
        let key = rows::claim(scope.cell, scope.epoch, number);
        if !write_group(
            &scope,
            &key,
            &mut written_groups,
            &mut group,
            &mut rx,
            &events,
        )
        .await
        {
            (events.ownership_lost)();
            return;
        }
        written_groups.push_back((key, clock::since_epoch()));
    }
}

/// Waits until a group is due to be written: it is full, a start waits for one of its claims, or
/// [`GATHER_TIME`] is over. Returns false once the channel is closed and no claim is left.
async fn gather_group(
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    group: &mut Vec<action::Claim>,
) -> bool {
    if group.is_empty() && rx.recv_many(group, MAX_GROUP_CLAIMS).await == 0 {
        return false;
    }
    let until = tokio::time::Instant::now() + GATHER_TIME;
    while group.len() < MAX_GROUP_CLAIMS && !group.iter().any(|claim| claim.blocks_starts) {
        let room = MAX_GROUP_CLAIMS - group.len();
        match tokio::time::timeout_at(until, rx.recv_many(group, room)).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    true
}

/// Writes one group, and repeats that until it is in the table. Returns false if another entry owns
/// the cell.
///
/// A write whose answer was lost is repeated unchanged: the row's key and value are the same and
/// the condition is on the ownership, so a second write changes nothing. Once the table is known to
/// be down, new claims that starts wait for are refused when they arrive; the others are written
/// with the next group.
async fn write_group(
    scope: &Scope,
    key: &compact_str::CompactString,
    written_groups: &mut VecDeque<WrittenGroup>,
    group: &mut Vec<action::Claim>,
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    events: &Events,
) -> bool {
    let failing_since = time::Instant::now();
    let mut pause = MIN_PAUSE;
    let tx = build_transaction(scope, key, written_groups, group);
    let mut late_claims = Vec::new();
    let mut down = false;
    loop {
        let begun = time::Instant::now();
        let commit = (scope.table.commit)(tx.clone());
        match accept_claims_while(commit, down, rx, &mut late_claims, events).await {
            Ok(Commit::Done(_)) => {
                (events.written)(&std::mem::replace(group, late_claims), begun);
                return true;
            }
            Ok(Commit::Conflict(_)) => return false,
            Err(_) => {}
        }
        if !down && failing_since.elapsed() >= GIVE_UP_AFTER {
            down = true;
            refuse_awaited(group, events);
        }
        let jitter = 0.5 + 0.5 * rand::random::<f64>();
        let sleep = tokio::time::sleep(pause.mul_f64(jitter));
        accept_claims_while(sleep, down, rx, &mut late_claims, events).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Awaits a future. If the table is known to be down, receives claims at the same time: refuses
/// those that starts wait for and adds the others to `late_claims`.
async fn accept_claims_while<T>(
    awaited: impl Future<Output = T>,
    down: bool,
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    late_claims: &mut Vec<action::Claim>,
    events: &Events,
) -> T {
    tokio::pin!(awaited);
    loop {
        tokio::select! {
            output = &mut awaited => return output,
            claim = rx.recv(), if down => match claim {
                Some(claim) if claim.blocks_starts => refuse_awaited(&[claim], events),
                Some(claim) => late_claims.push(claim),
                None => return awaited.await,
            },
        }
    }
}

/// Reports as refused all claims that starts wait for.
fn refuse_awaited(claims: &[action::Claim], events: &Events) {
    let blocking = claims.iter().filter(|claim| claim.blocks_starts);
    let keys: Vec<_> = blocking.map(|claim| claim.key.clone()).collect();
    (events.refused)(&keys, code::Code::StoreDown);
}

/// Builds the transaction that writes a group and a heartbeat and removes expired groups, on
/// condition that the cell's row is unchanged.
fn build_transaction(
    scope: &Scope,
    key: &compact_str::CompactString,
    written_groups: &mut VecDeque<WrittenGroup>,
    group: &[action::Claim],
) -> Transaction {
    let at_ms = clock::since_epoch().as_millis() as u64;
    let claims: Vec<_> = group.iter().map(inherit::StoredClaim::of).collect();
    let mut writes = vec![Write {
        key: key.clone(),
        value: serde_json::to_string(&claims).ok(),
    }];
    writes.push(Write {
        key: rows::heartbeat(scope.cell),
        value: Some(format!("[{},{at_ms}]", scope.epoch)),
    });
    let expired = clock::since_epoch().saturating_sub(ledger::RETENTION);
    while written_groups.front().is_some_and(|(_, at)| *at < expired)
        && writes.len() <= MAX_REMOVED_GROUPS + 1
    {
        let (key, _) = written_groups.pop_front().expect("the front was there");
        writes.push(Write { key, value: None });
    }
    Transaction {
        conditions: vec![Condition {
            key: rows::cell(scope.cell),
            revision: scope.revision,
        }],
        writes,
    }
}
