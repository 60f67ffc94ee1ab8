//! Looking at the cells of others: which are vacant or held too long by the dead, and taking them.

use crate::controller::cell_state::Suspicion;
use crate::controller::ownership::{digest, owner_of, OwnedCell, Ownership, SILENT_AFTER};
use crate::decide::inherit;
use crate::decide::spread;
use crate::id;
use crate::wire::platform::{self, Commit, Condition, Revision, Transaction};
use crate::wire::rows;
use compact_str::CompactString;
use std::collections::HashMap;
use std::time;

impl Ownership {
    pub(super) async fn look_at_cells(&self) {
        let begun = time::Instant::now();
        let found = (self.table.scan)(rows::HEAD.into()).await;
        let Ok(found) = self.note(found) else {
            return;
        };
        if self.sight().read(begun, digest(&found)) {
            (self.events.head_changed)(&found);
        }
        let by_key: HashMap<_, _> = found.iter().map(|row| (row.key.clone(), row)).collect();
        let mut holdings = self.holdings(&found).await;
        for cell in spread::order(&self.candidate.entry, self.cells) {
            let row = by_key.get(&rows::cell(cell)).copied();
            if self.look_at(cell, row, &holdings).await {
                holdings.add(&self.candidate.entry, cell);
            }
        }
        self.pull(&holdings, &by_key).await;
    }

    /// Tells whether there are cells to spread.
    pub(super) fn spreads(&self) -> bool {
        self.cells > 1
    }

    /// Who is alive and holds what. With one cell there is nothing to wait for.
    pub(super) async fn holdings(&self, found: &[platform::Row]) -> spread::Holdings {
        if !self.spreads() || self.change(0, |state| state.resigned) {
            return spread::Holdings::default();
        }
        let alive = self.roll.refresh().await;
        let owners: Vec<_> = (0..self.cells)
            .filter_map(|cell| Some((cell, owner_of(found, cell)?.entry)))
            .collect();
        spread::Holdings::gather(&alive, owners.iter().map(|(cell, id)| (*cell, id)))
    }

    /// Pulls one cell where another entry holds too many.
    pub(super) async fn pull(
        &self,
        holdings: &spread::Holdings,
        by_key: &HashMap<CompactString, &platform::Row>,
    ) {
        let Some(cell) = holdings.pull(&self.candidate.entry) else {
            return;
        };
        {
            let pulled = &mut self.moves.lock().expect("the ownership is whole").pulled;
            // The first look of an entry sees others that have not looked yet.
            let since = *pulled.get_or_insert_with(time::Instant::now);
            if since.elapsed() < spread::PULL_PAUSE {
                return;
            }
            *pulled = Some(time::Instant::now());
        }
        let Some(row) = by_key.get(&rows::cell(cell)) else {
            return;
        };
        if let Ok(owner) = serde_json::from_str::<rows::Owner>(&row.value) {
            log::info!(
                "cell {cell} is pulled from {}, which holds more",
                owner.entry
            );
            self.take(cell, row.revision, owner.epoch).await;
        }
    }

    /// Looks at one cell; a vacant one is left for a while to entries that hold fewer. Tells
    /// whether it was taken.
    pub(super) async fn look_at(
        &self,
        cell: id::Cell,
        row: Option<&platform::Row>,
        holdings: &spread::Holdings,
    ) -> bool {
        let revision = row.map_or(0, |row| row.revision);
        let owner = row.and_then(|row| serde_json::from_str::<rows::Owner>(&row.value).ok());
        let epoch = owner.as_ref().map_or(0, |owner| owner.epoch);
        let Some(owner) = owner.filter(|owner| !owner.entry.is_empty()) else {
            return self.has_waited(cell, holdings) && self.take(cell, revision, epoch).await;
        };
        let mine = owner.entry == self.candidate.entry;
        if mine && owner.incarnation == self.candidate.incarnation {
            // An owner that was let go must not come back under its epoch: its starts that are
            // still on their way would pass the fence after the agents' reports.
            let was_let_go = self.change(cell, |state| {
                state.owned.is_none() && state.served == Some(owner.epoch)
            });
            if was_let_go {
                return self.take(cell, revision, owner.epoch).await;
            }
            let now = time::Instant::now();
            self.own(OwnedCell {
                cell,
                epoch: owner.epoch,
                revision,
                // A lost answer hides when the cell was won, so nothing is known of its sight.
                begun: now.checked_sub(inherit::TABLE_SIGHT).unwrap_or(now),
                unclaimed_starts_until: now + inherit::TABLE_SIGHT,
            });
            return false;
        }
        self.change(cell, |state| state.owned = None);
        // An earlier life of this entry surely runs no more.
        if mine || self.is_gone(cell, owner.epoch).await {
            return self.has_waited(cell, holdings) && self.take(cell, revision, owner.epoch).await;
        }
        self.change(cell, |state| state.vacant = None);
        (self.events.owned_by_other)(cell, &owner);
        false
    }

    /// Tells whether a cell has been without an owner for long enough.
    pub(super) fn has_waited(&self, cell: id::Cell, holdings: &spread::Holdings) -> bool {
        let now = time::Instant::now();
        let vacant = self.change(cell, |state| *state.vacant.get_or_insert(now));
        let taken = self.moves.lock().expect("the ownership is whole").taken;
        holdings.may_take(&self.candidate.entry, now, vacant, taken)
    }

    /// Tells whether a suspected owner is to be replaced.
    pub(super) async fn is_gone(&self, cell: id::Cell, epoch: id::Epoch) -> bool {
        let state = self.change(cell, |state| state.clone());
        match state.suspicion {
            Some((of, Suspicion::Refusing)) if of == epoch => return true,
            Some((of, Suspicion::Silent)) if of == epoch => {}
            Some(_) | None => return false,
        }
        let Ok(row) = (self.table.get)(rows::beat(cell)).await else {
            return false;
        };
        let revision = row.map_or(0, |row| row.revision);
        match state.beat_seen {
            Some((of, seen, since)) if (of, seen) == (epoch, revision) => {
                since.elapsed() >= SILENT_AFTER
            }
            _ => {
                let now = time::Instant::now();
                self.change(cell, |state| state.beat_seen = Some((epoch, revision, now)));
                false
            }
        }
    }

    /// Takes a cell, and tells whether it surely did.
    pub(super) async fn take(&self, cell: id::Cell, revision: Revision, epoch: id::Epoch) -> bool {
        if self.change(cell, |state| state.resigned) {
            return false;
        }
        // Candidates that saw the same are spread a little, so that most never try in vain.
        tokio::time::sleep(time::Duration::from_millis(rand::random_range(0..40))).await;
        let owner = rows::Owner {
            entry: self.candidate.entry.clone(),
            incarnation: self.candidate.incarnation,
            addr: self.candidate.addr.clone(),
            epoch: epoch + 1,
        };
        let value = serde_json::to_string(&owner).unwrap_or_default();
        let mut tx = Transaction::put_if(&rows::cell(cell), revision, value);
        // The owner before may start work ahead of its claims while its last proof of ownership is
        // younger than [`inherit::TABLE_SIGHT`], and every proof changes its beat. Where the beat
        // was watched and stood still, that time counts from when the watch began. The condition
        // guards against a proof that comes between the last look at the beat and this write.
        let watched = self.watched(cell, epoch);
        tx.conditions.extend(watched.map(|(revision, _)| Condition {
            key: rows::beat(cell),
            revision,
        }));
        let begun = time::Instant::now();
        match (self.table.commit)(tx).await {
            Ok(Commit::Done(revision)) => {
                let since = watched.map_or_else(time::Instant::now, |(_, since)| since);
                let unclaimed_starts_until = since + inherit::TABLE_SIGHT;
                self.moves.lock().expect("the ownership is whole").taken =
                    Some(time::Instant::now());
                self.own(OwnedCell {
                    cell,
                    epoch: epoch + 1,
                    revision,
                    begun,
                    unclaimed_starts_until,
                });
                true
            }
            // Somebody else was quicker, or the answer was lost: the next look tells.
            Ok(Commit::Conflict(_)) | Err(_) => {
                self.wake.notify_one();
                false
            }
        }
    }

    /// The beat that was watched and stood still, by its revision, and since when.
    pub(super) fn watched(
        &self,
        cell: id::Cell,
        epoch: id::Epoch,
    ) -> Option<(Revision, time::Instant)> {
        let (of, revision, since) = self.change(cell, |state| state.beat_seen)?;
        (of == epoch && since.elapsed() >= SILENT_AFTER).then_some((revision, since))
    }

    pub(super) fn own(&self, won: OwnedCell) {
        let owned = (won.epoch, won.revision);
        let news = self.change(won.cell, |state| {
            let news = state.owned != Some(owned);
            state.owned = Some(owned);
            state.served = Some(won.epoch);
            state.suspicion = None;
            state.beat_seen = None;
            state.vacant = None;
            news
        });
        if news {
            (self.events.owned)(won);
        }
    }
}
