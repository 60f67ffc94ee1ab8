//! Cells spread over the entries that are alive, and every key finds its owner among several.

use std::collections::BTreeMap;
use std::time;

use lovagemill::decide::owner;
use lovagemill::decide::spread::{self, Holdings};
use lovagemill::demo;
use lovagemill::demo::deployment;
use lovagemill::id;

/// Entries that look in turns, as [`spread`] has them decide.
struct World {
    alive: Vec<id::EntryId>,
    owners: BTreeMap<id::Cell, id::EntryId>,
    cells: u16,
}

impl World {
    fn open(entries: usize, cells: u16) -> World {
        World {
            alive: (0..entries).map(|i| format!("entry-{i}").into()).collect(),
            owners: BTreeMap::new(),
            cells,
        }
    }

    fn holdings(&self) -> Holdings {
        let owners = self.owners.iter().map(|(cell, owner)| (*cell, owner));
        Holdings::gather(&self.alive, owners)
    }

    /// Time goes by in steps; in each, every entry takes the vacant cells that it need not leave to
    /// others. Returns the steps until no cell is vacant.
    fn fill(&mut self) -> u32 {
        let vacant = time::Instant::now();
        let mut taken = BTreeMap::new();
        for step in 0..50 {
            let now = vacant + spread::VACANT_WAIT_STEP * step;
            for me in self.alive.clone() {
                for cell in spread::cell_order(&me, self.cells) {
                    let last = taken.get(&me).copied();
                    let may = self.holdings().may_take(&me, now, vacant, last);
                    if may && !self.owners.contains_key(&cell) {
                        self.owners.insert(cell, me.clone());
                        taken.insert(me.clone(), now);
                    }
                }
            }
            if self.owners.len() == usize::from(self.cells) {
                return step;
            }
        }
        panic!("cells stay vacant: {:?}", self.owners);
    }

    /// Every entry pulls once. Returns how many cells moved.
    fn pull(&mut self) -> usize {
        let mut moved = 0;
        for me in self.alive.clone() {
            if let Some(cell) = self.holdings().cell_to_pull(&me) {
                self.owners.insert(cell, me);
                moved += 1;
            }
        }
        moved
    }

    fn counts(&self) -> Vec<usize> {
        let holdings = self.holdings();
        self.alive
            .iter()
            .map(|id| holdings.cell_count(id))
            .collect()
    }

    fn assert_even(&self) {
        let counts = self.counts();
        let (least, most) = (counts.iter().min(), counts.iter().max());
        assert!(most.unwrap() - least.unwrap() <= 1, "{counts:?}");
    }
}

/// Users would see one entry busy and the others idle: entries start together, and the one that
/// looks first takes every vacant cell. Each must leave cells to those that hold fewer.
#[test]
fn entries_that_start_together_share_the_cells() {
    for (entries, cells) in [(1, 16), (3, 4), (3, 16), (16, 16), (16, 24), (5, 3)] {
        let mut world = World::open(entries, cells);
        world.fill();
        world.assert_even();
    }
}

/// Users would see a cell refuse work for seconds: its owner dies while every other entry holds as
/// many cells as the next, and each waits for another to take it.
#[test]
fn a_dead_owners_cells_are_taken_at_once_where_all_hold_alike() {
    let mut world = World::open(4, 16);
    world.fill();
    let dead = world.alive.remove(0);
    world.owners.retain(|_, owner| *owner != dead);
    assert!(world.holdings().vacancy_wait(&world.alive[0]).is_zero());
    assert!(world.fill() <= 2);
    world.assert_even();
}

/// Users would see an entry idle for good after its restart: all cells were taken while it was
/// away. It pulls cells one by one until nobody holds two more than it, and then all is still.
#[test]
fn a_newcomer_gets_its_share_and_then_nothing_moves() {
    let mut world = World::open(2, 16);
    world.fill();
    world.alive.push("entry-late".into());
    let mut pulls = 0;
    while world.pull() > 0 {
        pulls += 1;
        assert!(pulls <= 16, "cells move for ever: {:?}", world.counts());
    }
    world.assert_even();
    assert_eq!(pulls, 5, "one cell a pull");
}

/// Users would see cells move to and fro: a dead entry still owns rows, and those alive pull from
/// it or wait for it. One that isn't alive counts for nothing.
#[test]
fn the_dead_are_neither_waited_for_nor_pulled_from() {
    let (me, dead): (id::EntryId, id::EntryId) = ("entry-1".into(), "entry-dead".into());
    let owners = [(0, &dead), (1, &dead), (2, &dead), (3, &me)];
    let holdings = Holdings::gather([&me], owners);
    assert_eq!(holdings.cell_to_pull(&me), None);
    assert_eq!(holdings.vacancy_wait(&me), time::Duration::ZERO);
}

/// A run over several cells and entries breaks no promise: submissions find the owner of their
/// cell from any entry, and more than one entry owns cells.
#[tokio::test(flavor = "multi_thread")]
async fn several_cells_serve_as_one_system() {
    let mut deployment = deployment::trilha();
    deployment.cells = 3;
    deployment.workers = 18;
    let cfg = demo::Config {
        deployment,
        duration: time::Duration::from_secs(2),
        seed: 11,
        dominant_load: 0.1,
        small_load: 0.1,
        policy: owner::Policy::default(),
        aged_keys: true,
        faults: Vec::new(),
        progress: false,
    };
    let report = demo::run(cfg).await.expect("the parts get ready");
    assert_eq!(report.violations(), 0, "{report:?}");
    assert_eq!(report.jobs_failed, 0, "{report:?}");
    assert!(report.jobs_complete > 0, "{report:?}");
    assert!(report.messages["forward"] > 0, "{report:?}");
}
