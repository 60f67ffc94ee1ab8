//! Starts the tasks that run while this entry owns a cell: they watch its members, write its claims
//! and check its time bounds.

use std::sync::{Arc, Weak};
use std::time;

use crate::controller::membership;
use crate::decide::owner;
use crate::entry::cell::{self, Cell};
use crate::entry::claiming;
use crate::entry::linking;
use crate::entry::scope::Scope;

/// Interval at which the owner's time bounds and the links are checked.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Opens a cell whose epoch was just written to the table, and spawns its tasks.
pub fn spawn(scope: Scope) -> Arc<Cell> {
    let (cell, claims) = cell::open(scope);
    let weak = Arc::downgrade(&cell);
    cell.add_task(tokio::spawn(membership::run(
        cell.scope().table.clone(),
        cell.scope().cell,
        cell.members_changed(),
        Arc::new(membership_events(&cell)),
    )));
    cell.add_task(tokio::spawn(claiming::read_then_write(
        weak.clone(),
        claims,
    )));
    cell.add_task(tokio::spawn(tick(weak)));
    cell
}

fn membership_events(cell: &Arc<Cell>) -> membership::Events {
    let (first, current) = (Arc::downgrade(cell), Arc::downgrade(cell));
    membership::Events {
        first_read: Box::new(move |members| {
            let Some(cell) = first.upgrade() else {
                return;
            };
            let incarnations = membership::current_incarnations(members);
            let lost = membership::lost_incarnations(members);
            cell.apply_event(|owner, now| owner.set_members(now, incarnations, &lost));
        }),
        current: Box::new(move |members| {
            if let Some(cell) = current.upgrade() {
                let weak = Arc::downgrade(&cell);
                cell.update_members(members, |id, row| {
                    tokio::spawn(linking::maintain_link(
                        weak.clone(),
                        id.clone(),
                        row.clone(),
                    ))
                });
            }
        }),
    }
}

async fn tick(cell: Weak<Cell>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        let Some(cell) = cell.upgrade() else {
            return;
        };
        cell.apply_event(owner::Owner::tick);
        cell.check_links();
    }
}
