//! What runs for a cell for as long as this entry owns it: its members, claims and time bounds.

use std::sync::{Arc, Weak};
use std::time;

use crate::controller::membership;
use crate::decide::owner;
use crate::entry::cell::{self, Cell};
use crate::entry::claiming;
use crate::entry::linking;
use crate::entry::scope::Scope;

/// How often what is due is done.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Spawns a cell whose epoch was just written to the table.
pub fn spawn(scope: Scope) -> Arc<Cell> {
    let (cell, claims) = cell::open(scope);
    let weak = Arc::downgrade(&cell);
    cell.keep(tokio::spawn(membership::run(
        cell.scope().table.clone(),
        cell.scope().cell,
        cell.members_changed(),
        Arc::new(membership_events(&cell)),
    )));
    cell.keep(tokio::spawn(claiming::write(weak.clone(), claims)));
    cell.keep(tokio::spawn(tick(weak)));
    cell
}

fn membership_events(cell: &Arc<Cell>) -> membership::Events {
    let (first, current) = (Arc::downgrade(cell), Arc::downgrade(cell));
    membership::Events {
        first_read: Box::new(move |members| {
            let Some(cell) = first.upgrade() else {
                return;
            };
            let lives = membership::current_incarnations(members);
            let lost = membership::lost_incarnations(members);
            cell.with(|owner, now| owner.set_members(now, lives, &lost));
        }),
        current: Box::new(move |members| {
            if let Some(cell) = current.upgrade() {
                let weak = Arc::downgrade(&cell);
                cell.tend_members(members, |id, row| {
                    tokio::spawn(linking::tend(weak.clone(), id.clone(), row.clone()))
                });
            }
        }),
    }
}

async fn tick(cell: Weak<Cell>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        let Some(cell) = cell.upgrade() else {
            return;
        };
        cell.with(owner::Owner::tick);
        cell.tend_links();
    }
}
