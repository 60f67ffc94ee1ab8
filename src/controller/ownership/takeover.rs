//! Checks of the cells: which ones have no owner or an owner that is gone, and taking them over.

use crate::controller::cell_state::Suspicion;
use crate::controller::ownership::{owner_of, rows_digest, OwnedCell, Ownership, SILENT_AFTER};
use crate::decide::inherit;
use crate::decide::spread;
use crate::id;
use crate::wire::platform::{self, Commit, Condition, Revision, Transaction};
use crate::wire::rows;
use compact_str::CompactString;
use std::collections::HashMap;
use std::time;

impl Ownership {
    /// Reads the watched rows, takes cells that are free to be taken, and may take one from an
    /// entry that owns too many.
    pub(super) async fn check_cells(&self) {
        let begun = time::Instant::now();
        let found = (self.table.scan)(rows::HEAD.into()).await;
        let Ok(found) = self.note_answer(found) else {
            return;
        };
        if self.watch_state().record_read(begun, rows_digest(&found)) {
            (self.events.head_changed)(&found);
        }
        let by_key: HashMap<_, _> = found.iter().map(|row| (row.key.clone(), row)).collect();
        let mut holdings = self.holdings(&found).await;
        for cell in spread::cell_order(&self.candidate.entry, self.cells) {
            let row = by_key.get(&rows::cell(cell)).copied();
            if self.check_cell(cell, row, &holdings).await {
                holdings.add(&self.candidate.entry, cell);
            }
        }
        self.pull_cell(&holdings, &by_key).await;
    }

    /// Tells whether there are several cells, so that they can be spread over the entries.
    pub(super) fn has_several_cells(&self) -> bool {
        self.cells > 1
    }

    /// Returns which entries are alive and which cells they own; empty with one cell, since then
    /// there is nothing to spread, and if this entry has resigned, since then it takes none.
    pub(super) async fn holdings(&self, found: &[platform::Row]) -> spread::Holdings {
        if !self.has_several_cells() || self.update_state(0, |state| state.resigned) {
            return spread::Holdings::default();
        }
        let alive = self.roll.refresh().await;
        let owners: Vec<_> = (0..self.cells)
            .filter_map(|cell| Some((cell, owner_of(found, cell)?.entry)))
            .collect();
        spread::Holdings::gather(&alive, owners.iter().map(|(cell, id)| (*cell, id)))
    }

    /// Takes one cell from another entry that owns too many, at most once in
    /// [`spread::MIN_PULL_INTERVAL`].
    pub(super) async fn pull_cell(
        &self,
        holdings: &spread::Holdings,
        by_key: &HashMap<CompactString, &platform::Row>,
    ) {
        let Some(cell) = holdings.cell_to_pull(&self.candidate.entry) else {
            return;
        };
        {
            let pulled = &mut self
                .cell_moves
                .lock()
                .expect("the ownership is whole")
                .pulled_at;
            // At the first check of this entry, other entries may not have taken their cells yet.
            let since = *pulled.get_or_insert_with(time::Instant::now);
            if since.elapsed() < spread::MIN_PULL_INTERVAL {
                return;
            }
            *pulled = Some(time::Instant::now());
        }
        let Some(row) = by_key.get(&rows::cell(cell)) else {
            return;
        };
        if let Ok(owner) = serde_json::from_str::<rows::Owner>(&row.value) {
            log::info!(
                "cell {cell} is taken over from {}, which owns more cells",
                owner.entry
            );
            self.take_cell(cell, row.revision, owner.epoch).await;
        }
    }

    /// Checks one cell and takes it if it has no owner or its owner is gone; entries that own fewer
    /// cells get some time to take it first. Tells whether this entry took it.
    pub(super) async fn check_cell(
        &self,
        cell: id::Cell,
        row: Option<&platform::Row>,
        holdings: &spread::Holdings,
    ) -> bool {
        let revision = row.map_or(0, |row| row.revision);
        let owner = row.and_then(|row| serde_json::from_str::<rows::Owner>(&row.value).ok());
        let epoch = owner.as_ref().map_or(0, |owner| owner.epoch);
        let Some(owner) = owner.filter(|owner| !owner.entry.is_empty()) else {
            return self.may_take(cell, holdings) && self.take_cell(cell, revision, epoch).await;
        };
        let mine = owner.entry == self.candidate.entry;
        if mine && owner.incarnation == self.candidate.incarnation {
            // An owner that this entry released must not serve again in the same epoch. Starts that
            // it sent and that arrive late would pass the agents' fence, although the agents have
            // already reported to the new owner which tasks they know.
            let was_released = self.update_state(cell, |state| {
                state.owned.is_none() && state.last_epoch == Some(owner.epoch)
            });
            if was_released {
                return self.take_cell(cell, revision, owner.epoch).await;
            }
            let now = time::Instant::now();
            self.set_owned(OwnedCell {
                cell,
                epoch: owner.epoch,
                revision,
                // If this ownership isn't known, the answer to the write was lost or the cell was
                // forgotten, so it is unknown when this entry got it. The proof of ownership counts
                // as too old to start work before its claims.
                begun: now
                    .checked_sub(inherit::TABLE_CONTACT_WINDOW)
                    .unwrap_or(now),
                unclaimed_starts_until: now + inherit::TABLE_CONTACT_WINDOW,
            });
            return false;
        }
        self.update_state(cell, |state| state.owned = None);
        // An earlier incarnation of this entry certainly doesn't run any more.
        if mine || self.is_owner_gone(cell, owner.epoch).await {
            return self.may_take(cell, holdings)
                && self.take_cell(cell, revision, owner.epoch).await;
        }
        self.update_state(cell, |state| state.vacant_since = None);
        (self.events.owned_by_other)(cell, &owner);
        false
    }

    /// Tells whether a cell has been without an owner for long enough that this entry may take it.
    pub(super) fn may_take(&self, cell: id::Cell, holdings: &spread::Holdings) -> bool {
        let now = time::Instant::now();
        let vacant_since = self.update_state(cell, |state| *state.vacant_since.get_or_insert(now));
        let taken_at = self
            .cell_moves
            .lock()
            .expect("the ownership is whole")
            .taken_at;
        holdings.may_take(&self.candidate.entry, now, vacant_since, taken_at)
    }

    /// Tells whether the owner of a cell is suspected and has to be replaced. One that refuses
    /// connections is replaced at once, and one that is silent only after its heartbeat has stayed
    /// unchanged for [`SILENT_AFTER`].
    pub(super) async fn is_owner_gone(&self, cell: id::Cell, epoch: id::Epoch) -> bool {
        let state = self.update_state(cell, |state| state.clone());
        match state.suspicion {
            Some((of, Suspicion::Refusing)) if of == epoch => return true,
            Some((of, Suspicion::Silent)) if of == epoch => {}
            Some(_) | None => return false,
        }
        let Ok(row) = (self.table.get)(rows::heartbeat(cell)).await else {
            return false;
        };
        let revision = row.map_or(0, |row| row.revision);
        match state.heartbeat_seen {
            Some((of, seen, since)) if (of, seen) == (epoch, revision) => {
                since.elapsed() >= SILENT_AFTER
            }
            _ => {
                let now = time::Instant::now();
                self.update_state(cell, |state| {
                    state.heartbeat_seen = Some((epoch, revision, now))
                });
                false
            }
        }
    }

    /// Takes a cell in the next epoch. Tells whether the table confirmed that; if not, the next
    /// check finds out.
    pub(super) async fn take_cell(
        &self,
        cell: id::Cell,
        revision: Revision,
        epoch: id::Epoch,
    ) -> bool {
        if self.update_state(cell, |state| state.resigned) {
            return false;
        }
        // Several entries may see at the same time that the cell is free. A random delay spreads
        // their attempts, so that most of them see the new owner before they try.
        tokio::time::sleep(time::Duration::from_millis(rand::random_range(0..40))).await;
        let owner = rows::Owner {
            entry: self.candidate.entry.clone(),
            incarnation: self.candidate.incarnation,
            addr: self.candidate.addr.clone(),
            epoch: epoch + 1,
        };
        let value = serde_json::to_string(&owner).unwrap_or_default();
        let mut tx = Transaction::put_if(&rows::cell(cell), revision, value);
        // The previous owner may start work before its claims are written while its last proof of
        // ownership is younger than [`inherit::TABLE_CONTACT_WINDOW`], and every proof changes its
        // heartbeat. If the heartbeat stayed unchanged for [`SILENT_AFTER`], the window counts from
        // when its revision was first seen. The condition guards against a proof between the last
        // read of the heartbeat and this write.
        let unchanged = self.unchanged_heartbeat(cell, epoch);
        tx.conditions
            .extend(unchanged.map(|(revision, _)| Condition {
                key: rows::heartbeat(cell),
                revision,
            }));
        let begun = time::Instant::now();
        match (self.table.commit)(tx).await {
            Ok(Commit::Done(revision)) => {
                let since = unchanged.map_or_else(time::Instant::now, |(_, since)| since);
                let unclaimed_starts_until = since + inherit::TABLE_CONTACT_WINDOW;
                self.cell_moves
                    .lock()
                    .expect("the ownership is whole")
                    .taken_at = Some(time::Instant::now());
                self.set_owned(OwnedCell {
                    cell,
                    epoch: epoch + 1,
                    revision,
                    begun,
                    unclaimed_starts_until,
                });
                true
            }
            // Another entry was quicker, or the answer was lost: the next check finds out.
            Ok(Commit::Conflict(_)) | Err(_) => {
                self.wake.notify_one();
                false
            }
        }
    }

    /// Returns the revision of the owner's heartbeat and since when it is unchanged, if that is at
    /// least [`SILENT_AFTER`].
    pub(super) fn unchanged_heartbeat(
        &self,
        cell: id::Cell,
        epoch: id::Epoch,
    ) -> Option<(Revision, time::Instant)> {
        let (of, revision, since) = self.update_state(cell, |state| state.heartbeat_seen)?;
        (of == epoch && since.elapsed() >= SILENT_AFTER).then_some((revision, since))
    }

    /// Notes that this entry owns a cell, and reports it unless it is known.
    pub(super) fn set_owned(&self, owned_cell: OwnedCell) {
        let owned = (owned_cell.epoch, owned_cell.revision);
        let is_new = self.update_state(owned_cell.cell, |state| {
            let is_new = state.owned != Some(owned);
            state.owned = Some(owned);
            state.last_epoch = Some(owned_cell.epoch);
            state.suspicion = None;
            state.heartbeat_seen = None;
            state.vacant_since = None;
            is_new
        });
        if is_new {
            (self.events.owned)(owned_cell);
        }
    }
}
