//! Writes claims to the table in groups, each conditional on the cell still being owned.
//!
//! A claim that a start waits for leaves at once, with all others that wait; one written behind
//! its start may wait [`GATHER_TIME`] for company. Old claims are removed by the same transactions, so
//! that forgetting costs no message. Each also changes the beat's row, so that an owner that
//! writes claims needs no beats of its own.

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

/// How long claims written behind their starts are gathered. It stays well under
/// [`inherit::TABLE_SIGHT`], since these writes are the owner's sight of the table.
pub const GATHER_TIME: time::Duration = time::Duration::from_millis(900);

/// Most claims in a group.
const MAX_GROUP: usize = 1_000;

/// Most old groups removed by one transaction.
const MAX_REMOVED: usize = 8;

/// Pause after a failed write, doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: time::Duration = time::Duration::from_millis(20);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Failure of the table after which claims that starts wait for are given up.
const GIVE_UP: time::Duration = time::Duration::from_millis(800);

/// What the writer reports.
pub struct Events {
    /// These claims are in the table, by an operation that began at the time given.
    pub written: Box<dyn Fn(&[action::Claim], time::Instant) + Send + Sync>,
    /// These claims, which starts wait for, can't be written now.
    pub refused: Box<dyn Fn(&[id::JobKey], code::Code) + Send + Sync>,
    /// The cell has another owner.
    pub ownership_lost: Box<dyn Fn() + Send + Sync>,
}

/// What the writer works on.
pub struct Scope {
    /// The table.
    pub table: platform::Table,
    /// The cell.
    pub cell: id::Cell,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The revision of the cell's row that the owner wrote.
    pub revision: platform::Revision,
}

/// A group that is in the table: its row, and when it was written.
pub type WrittenGroup = (compact_str::CompactString, time::Duration);

/// Runs until the channel closes or the owner is deposed.
pub async fn run(
    scope: Scope,
    mut old: VecDeque<WrittenGroup>,
    mut rx: mpsc::UnboundedReceiver<action::Claim>,
    events: Arc<Events>,
) {
    let mut number = 0;
    let mut group = Vec::new();
    while gather(&mut rx, &mut group).await {
        number += 1;
        let key = rows::claim(scope.cell, scope.epoch, number);
        if !write(&scope, &key, &mut old, &mut group, &mut rx, &events).await {
            (events.ownership_lost)();
            return;
        }
        old.push_back((key, clock::since_epoch()));
    }
}

/// Waits for a group that is worth a write. Tells whether there is one.
async fn gather(
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    group: &mut Vec<action::Claim>,
) -> bool {
    if group.is_empty() && rx.recv_many(group, MAX_GROUP).await == 0 {
        return false;
    }
    let until = tokio::time::Instant::now() + GATHER_TIME;
    while group.len() < MAX_GROUP && !group.iter().any(|claim| claim.ahead) {
        let room = MAX_GROUP - group.len();
        match tokio::time::timeout_at(until, rx.recv_many(group, room)).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    true
}

/// Writes one group until it is in the table. Tells whether the cell is still owned.
///
/// A write whose answer was lost is simply repeated: the row's key and value are the same and the
/// condition is on the ownership, so a second effect changes nothing. Once the table is known to
/// be down, claims that starts would wait for are refused as they come; the others join the next
/// group.
async fn write(
    scope: &Scope,
    key: &compact_str::CompactString,
    old: &mut VecDeque<WrittenGroup>,
    group: &mut Vec<action::Claim>,
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    events: &Events,
) -> bool {
    let failing_since = time::Instant::now();
    let mut pause = MIN_PAUSE;
    let tx = transaction(scope, key, old, group);
    let mut late = Vec::new();
    let mut down = false;
    loop {
        let begun = time::Instant::now();
        let commit = (scope.table.commit)(tx.clone());
        match meanwhile(commit, down, rx, &mut late, events).await {
            Ok(Commit::Done(_)) => {
                (events.written)(&std::mem::replace(group, late), begun);
                return true;
            }
            Ok(Commit::Conflict(_)) => return false,
            Err(_) => {}
        }
        if !down && failing_since.elapsed() >= GIVE_UP {
            down = true;
            refuse(group, events);
        }
        let jitter = 0.5 + 0.5 * rand::random::<f64>();
        let sleep = tokio::time::sleep(pause.mul_f64(jitter));
        meanwhile(sleep, down, rx, &mut late, events).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Awaits something; takes in claims at the same time where the table is known to be down.
async fn meanwhile<T>(
    awaited: impl Future<Output = T>,
    down: bool,
    rx: &mut mpsc::UnboundedReceiver<action::Claim>,
    late: &mut Vec<action::Claim>,
    events: &Events,
) -> T {
    tokio::pin!(awaited);
    loop {
        tokio::select! {
            output = &mut awaited => return output,
            claim = rx.recv(), if down => match claim {
                Some(claim) if claim.ahead => refuse(&[claim], events),
                Some(claim) => late.push(claim),
                None => return awaited.await,
            },
        }
    }
}

/// Tells those whose starts wait for a claim that it won't come.
fn refuse(claims: &[action::Claim], events: &Events) {
    let ahead = claims.iter().filter(|claim| claim.ahead);
    let keys: Vec<_> = ahead.map(|claim| claim.key.clone()).collect();
    (events.refused)(&keys, code::Code::StoreDown);
}

fn transaction(
    scope: &Scope,
    key: &compact_str::CompactString,
    old: &mut VecDeque<WrittenGroup>,
    group: &[action::Claim],
) -> Transaction {
    let at_ms = clock::since_epoch().as_millis() as u64;
    let claims: Vec<_> = group.iter().map(inherit::Claimed::of).collect();
    let mut writes = vec![Write {
        key: key.clone(),
        value: serde_json::to_string(&claims).ok(),
    }];
    writes.push(Write {
        key: rows::beat(scope.cell),
        value: Some(format!("[{},{at_ms}]", scope.epoch)),
    });
    let expired = clock::since_epoch().saturating_sub(ledger::RETENTION);
    while old.front().is_some_and(|(_, at)| *at < expired) && writes.len() <= MAX_REMOVED + 1 {
        let (key, _) = old.pop_front().expect("the front was there");
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
