//! What an entry shows of itself: `GET /v1/status` and `GET /metrics`.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::decide::fleet;
use crate::decide::owner;
use crate::entry::core::{Core, Place};
use crate::id;
use crate::metrics;

/// The status of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The entry.
    pub entry: id::EntryId,
    /// The configuration in force here; 0 before any was read.
    pub config_version: id::Version,
    /// The versions of the other entries, as last heard.
    pub other_versions: BTreeMap<id::EntryId, id::Version>,
    /// Entries whose version is behind the newest that is known here.
    pub stragglers: Vec<id::EntryId>,
    /// Whether it stops.
    pub draining: bool,
    /// Submissions whose callers wait here.
    pub in_flight: usize,
    /// The cells, in order.
    pub cells: Vec<CellStatus>,
    /// Messages that this entry has sent, by kind.
    pub messages: BTreeMap<CompactString, u64>,
}

/// One cell as this entry sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CellStatus {
    /// The cell.
    pub cell: id::Cell,
    /// Its owner; empty where this entry knows of none.
    pub owner: id::EntryId,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// What this entry knows as the owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owned: Option<OwnedStatus>,
}

/// What only the owner of a cell knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnedStatus {
    /// Whether the takeover is over.
    pub ready: bool,
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// Slots of usable agents.
    pub slots: u32,
    /// Those that are free.
    pub free_slots: u32,
    /// The agents, each beside its backend server.
    pub agents: BTreeMap<id::AgentId, AgentStatus>,
    /// Waiting tasks by client account.
    #[serde(rename = "customers")]
    pub client_accounts: BTreeMap<id::ClientAccount, usize>,
}

/// One agent and the backend server beside it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentStatus {
    /// Its failure domain.
    pub failure_domain: CompactString,
    /// Its rack.
    pub rack: CompactString,
    /// `up`, `silent` while its link is gone, `draining` once it or its backend server stops, `away`
    /// while no backend server has announced itself, `barred` while it looks sick, `probed` while a
    /// little work tells whether it has recovered.
    pub state: CompactString,
    /// Slots of its backend server.
    pub slots: u32,
    /// Tasks that were sent to it and have no answer.
    pub sent: u32,
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
        messages: by_kind(core),
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
        Place::Nowhere => (id::EntryId::default(), 0, None),
        Place::There(owner) => (owner.entry.clone(), owner.epoch, None),
        Place::Here(cell) => (
            core.cfg.id.clone(),
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

fn by_kind(core: &Core) -> BTreeMap<CompactString, u64> {
    let kinds = core.messages.by_kind().into_iter();
    kinds.map(|(kind, n)| (kind.into(), n)).collect()
}

fn agent_status(agent: &fleet::Agent) -> AgentStatus {
    let state = match agent.state {
        fleet::State::Silent => "silent",
        fleet::State::Up if agent.load.draining => "draining",
        fleet::State::Up if agent.load.slots == 0 => "away",
        fleet::State::Up if agent.limit == 0 => "barred",
        fleet::State::Up if agent.limit < agent.load.slots => "probed",
        fleet::State::Up => "up",
    };
    AgentStatus {
        failure_domain: agent.failure_domain.clone(),
        rack: agent.rack.clone(),
        state: state.into(),
        slots: agent.load.slots,
        sent: agent.sent,
    }
}

fn owned_status(owner: &owner::Owner) -> OwnedStatus {
    let agent = |(id, agent): (&id::AgentId, &fleet::Agent)| (id.clone(), agent_status(agent));
    let waiting = |(account, tasks): (&id::ClientAccount, usize)| (account.clone(), tasks);
    OwnedStatus {
        ready: owner.is_ready(),
        open_jobs: owner.open_jobs(),
        waiting_tasks: owner.queue().len(),
        slots: owner.fleet().slots(),
        free_slots: owner.fleet().free_slots(),
        agents: owner.fleet().agents().iter().map(agent).collect(),
        client_accounts: owner.queue().client_accounts().map(waiting).collect(),
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
