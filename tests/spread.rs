//! Cells spread evenly over the live entries, and every key reaches its owner among several.

use std::collections::BTreeMap;
use std::time;

use lovagemill::decide::owner;
use lovagemill::decide::spread::{self, Holdings};
use lovagemill::demo;
use lovagemill::demo::deployment;
use lovagemill::id;

/// Entries that take cells one after another as [`spread`] decides.
struct Cluster {
    alive: Vec<id::EntryId>,
    owners: BTreeMap<id::Cell, id::EntryId>,
    cells: u16,
}

impl Cluster {
    fn open(entries: usize, cells: u16) -> Cluster {
        Cluster {
            alive: (0..entries).map(|i| format!("entry-{i}").into()).collect(),
            owners: BTreeMap::new(),
            cells,
        }
    }

    fn holdings(&self) -> Holdings {
        let owners = self.owners.iter().map(|(cell, owner)| (*cell, owner));
        Holdings::gather(&self.alive, owners)
    }

    /// Advances the time in steps of [`spread::VACANT_WAIT_STEP`]; in each, every entry takes the
    /// vacant cells that it may take. Returns the number of steps until no cell is vacant.
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

    /// Lets every entry pull once. Returns how many cells moved.
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

/// Entries start at the same time. If the first one took every vacant cell, users would see one
/// busy entry and idle others. Each must leave cells to entries that hold fewer.
#[test]
fn entries_that_start_together_share_the_cells() {
    for (entries, cells) in [(1, 16), (3, 4), (3, 16), (16, 16), (16, 24), (5, 3)] {
        let mut cluster = Cluster::open(entries, cells);
        cluster.fill();
        cluster.assert_even();
    }
}

/// An entry dies, and the others all hold the same number of cells. If each waited for another to
/// take the vacant cells, users would see those refuse work for seconds.
#[test]
fn a_dead_owners_cells_are_taken_at_once_by_entries_that_hold_equally_many() {
    let mut cluster = Cluster::open(4, 16);
    cluster.fill();
    let dead = cluster.alive.remove(0);
    cluster.owners.retain(|_, owner| *owner != dead);
    assert!(cluster.holdings().vacancy_wait(&cluster.alive[0]).is_zero());
    assert!(cluster.fill() <= 2);
    cluster.assert_even();
}

/// All cells were taken while an entry restarted, so it holds none. Without pulls users would see
/// it stay idle. It must pull cells one by one until no entry holds two more than it, and then no
/// cell may move.
#[test]
fn a_new_entry_gets_its_share_and_then_no_cell_moves() {
    let mut cluster = Cluster::open(2, 16);
    cluster.fill();
    cluster.alive.push("entry-late".into());
    let mut rounds = 0;
    while cluster.pull() > 0 {
        rounds += 1;
        assert!(rounds <= 16, "cells move for ever: {:?}", cluster.counts());
    }
    cluster.assert_even();
    assert_eq!(rounds, 5, "one cell moves in each round");
}

/// A dead entry is still named as owner in rows. If live entries waited for it or pulled from it,
/// users would see cells move back and forth. Its cells must not count.
#[test]
fn live_entries_neither_wait_for_dead_ones_nor_pull_from_them() {
    let (me, dead): (id::EntryId, id::EntryId) = ("entry-1".into(), "entry-dead".into());
    let owners = [(0, &dead), (1, &dead), (2, &dead), (3, &me)];
    let holdings = Holdings::gather([&me], owners);
    assert_eq!(holdings.cell_to_pull(&me), None);
    assert_eq!(holdings.vacancy_wait(&me), time::Duration::ZERO);
}

/// A run with several cells and entries violates no guarantee: submissions reach the owner of their
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
