//! What an entry shows of itself: `GET /v1/status` and `GET /metrics`.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::decide::fleet;
use crate::decide::owner;
use crate::entry::core::{Core, Place};
use crate::id;
use crate::metrics;

/// The status of an entry.
#[derive(Debug, Serialize)]
pub struct Status {
    entry: id::EntryId,
    config_version: id::Version,
    /// The versions of the other entries, as last heard.
    other_versions: BTreeMap<id::EntryId, id::Version>,
    /// Entries whose version is behind the newest that is known here.
    stragglers: Vec<id::EntryId>,
    draining: bool,
    in_flight: usize,
    cells: Vec<CellStatus>,
    messages: BTreeMap<&'static str, u64>,
}

/// One cell as this entry sees it.
#[derive(Debug, Serialize)]
struct CellStatus {
    cell: id::Cell,
    owner: String,
    epoch: id::Epoch,
    #[serde(skip_serializing_if = "Option::is_none")]
    owned: Option<OwnedStatus>,
}

/// What only the owner of a cell knows.
#[derive(Debug, Serialize)]
struct OwnedStatus {
    ready: bool,
    open_jobs: usize,
    waiting_tasks: usize,
    slots: u32,
    free_slots: u32,
    agents: BTreeMap<id::AgentId, fleet::Agent>,
    customers: BTreeMap<id::Customer, usize>,
}

/// `GET /v1/status`.
pub fn status(core: &Core) -> Status {
    let places = core.places().into_iter().enumerate();
    let versions = core.peers.versions();
    Status {
        entry: core.cfg.id.clone(),
        config_version: core.config.version(),
        stragglers: stragglers(core, &versions),
        other_versions: versions,
        draining: core.is_draining(),
        in_flight: core.in_flight(),
        cells: places
            .map(|(cell, place)| cell_status(core, cell as id::Cell, &place))
            .collect(),
        messages: core.messages.by_kind(),
    }
}

fn stragglers(core: &Core, others: &BTreeMap<id::EntryId, id::Version>) -> Vec<id::EntryId> {
    let newest = core.config.newest_known();
    let own = (&core.cfg.id, &core.config.version());
    let all = others.iter().chain([own]);
    all.filter(|(_, version)| **version < newest)
        .map(|(entry, _)| entry.clone())
        .collect()
}

fn cell_status(core: &Core, cell: id::Cell, place: &Place) -> CellStatus {
    let (owner, epoch, owned) = match place {
        Place::Nowhere => (String::new(), 0, None),
        Place::There(owner) => (owner.entry.to_string(), owner.epoch, None),
        Place::Here(cell) => (
            core.cfg.id.to_string(),
            cell.epoch(),
            Some(cell.read(owned_status)),
        ),
    };
    CellStatus {
        cell,
        owner,
        epoch,
        owned,
    }
}

fn owned_status(owner: &owner::Owner) -> OwnedStatus {
    let waiting = |(customer, tasks): (&id::Customer, usize)| (customer.clone(), tasks);
    OwnedStatus {
        ready: owner.is_ready(),
        open_jobs: owner.open_jobs(),
        waiting_tasks: owner.queue().len(),
        slots: owner.fleet().slots(),
        free_slots: owner.fleet().free_slots(),
        agents: owner.fleet().agents().clone(),
        customers: owner.queue().customers().map(waiting).collect(),
    }
}

/// `GET /metrics`.
pub fn metrics(core: &Core) -> String {
    let mut page = metrics::Page::open();
    page.messages(&core.messages);
    page.gauge(
        "config_version",
        "Configuration version in force",
        core.config.version() as i64,
    );
    page.gauge(
        "in_flight",
        "Submissions whose callers wait here",
        core.in_flight() as i64,
    );
    page.gauge(
        "draining",
        "1 while the entry stops",
        i64::from(core.is_draining()),
    );
    let mut owned = Vec::new();
    for (cell, place) in core.places().into_iter().enumerate() {
        if let Place::Here(here) = place {
            owned.push((cell.to_string(), here.read(owned_status)));
        }
    }
    let mut by_cell = |name: &str, help: &str, value: fn(&OwnedStatus) -> i64| {
        let values = owned
            .iter()
            .map(|(cell, status)| (cell.clone(), value(status)));
        page.gauges(name, help, "cell", values);
    };
    by_cell("waiting_tasks", "Tasks that wait for a slot", |s| {
        s.waiting_tasks as i64
    });
    by_cell("open_jobs", "Jobs that have not ended", |s| {
        s.open_jobs as i64
    });
    by_cell("slots", "Slots of usable agents", |s| s.slots.into());
    by_cell("free_slots", "Free slots of usable agents", |s| {
        s.free_slots.into()
    });
    page.text()
}
