//! The status and the metrics of an entry, for `GET /v1/status` and `GET /metrics`.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::decide::fleet;
use crate::decide::owner;
use crate::entry::core::{CellOwner, Core};
use crate::id;
use crate::metrics;

/// The status of an entry, as `GET /v1/status` answers it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The id of the entry.
    pub entry: id::EntryId,
    /// The configuration version in force at this entry; 0 before any was read.
    pub config_version: id::Version,
    /// The configuration versions of the other entries, as last heard.
    pub other_versions: BTreeMap<id::EntryId, id::Version>,
    /// Entries whose configuration version is older than the newest that this entry knows.
    pub stragglers: Vec<id::EntryId>,
    /// Whether the entry is draining.
    pub draining: bool,
    /// The number of submissions whose callers wait at this entry.
    pub in_flight: usize,
    /// All cells, by number.
    pub cells: Vec<CellStatus>,
    /// The number of messages that this entry has sent, by kind.
    pub messages: BTreeMap<CompactString, u64>,
}

/// A cell and its owner, as far as this entry knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CellStatus {
    /// The number of the cell.
    pub cell: id::Cell,
    /// The id of the owner; empty if this entry knows of none.
    pub owner: id::EntryId,
    /// The owner's epoch; 0 if no owner is known.
    pub epoch: id::Epoch,
    /// The details that this entry knows if it owns the cell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owned: Option<OwnedStatus>,
}

/// The details of a cell that only its owner knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OwnedStatus {
    /// Whether the takeover is over, so that the owner handles submissions at once instead of
    /// deferring them.
    pub ready: bool,
    /// The number of jobs that have not ended.
    pub open_jobs: usize,
    /// The number of tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// The number of slots of usable agents.
    pub slots: u32,
    /// The number of free slots of usable agents.
    pub free_slots: u32,
    /// The agents, each beside its backend server.
    pub agents: BTreeMap<id::AgentId, AgentStatus>,
    /// The number of waiting tasks of each client account.
    #[serde(rename = "customers")]
    pub client_accounts: BTreeMap<id::ClientAccount, usize>,
}

/// One agent and the backend server beside it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentStatus {
    /// The failure domain of the agent.
    pub failure_domain: CompactString,
    /// The rack of the agent.
    pub rack: CompactString,
    /// `silent` while the agent's link is lost, `draining` once the agent or its backend server
    /// stops, `away` while no backend server has announced itself, `barred` while it gets no tasks
    /// because it seems unhealthy, `probed` while it gets a few tasks that show whether it has
    /// recovered, else `up`.
    pub state: CompactString,
    /// The number of slots of the backend server.
    pub slots: u32,
    /// The number of tasks that were sent to the agent and have no answer yet.
    pub sent: u32,
}

/// Makes the status for `GET /v1/status`.
pub fn status(core: &Core) -> Status {
    let cell_owners = core.cell_owners().into_iter().enumerate();
    let versions = core.peers.versions();
    Status {
        entry: core.cfg.id.clone(),
        config_version: core.config.version(),
        stragglers: stragglers(core, &versions),
        other_versions: versions,
        draining: core.is_draining(),
        in_flight: core.in_flight(),
        cells: cell_owners
            .map(|(cell, owner)| cell_status(core, cell as id::Cell, &owner))
            .collect(),
        messages: messages_by_kind(core),
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

fn cell_status(core: &Core, cell: id::Cell, owner: &CellOwner) -> CellStatus {
    let (owner, epoch, owned) = match owner {
        CellOwner::Unknown => (id::EntryId::default(), 0, None),
        CellOwner::Remote(remote) => (remote.entry.clone(), remote.epoch, None),
        CellOwner::Local(local) => (
            core.cfg.id.clone(),
            local.epoch(),
            Some(local.read(owned_status)),
        ),
    };
    CellStatus {
        cell,
        owner,
        epoch,
        owned,
    }
}

fn messages_by_kind(core: &Core) -> BTreeMap<CompactString, u64> {
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

/// Makes the page of metrics for `GET /metrics`.
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
    core.clients.add_to(&mut page);
    let mut owned = Vec::new();
    for (cell, owner) in core.cell_owners().into_iter().enumerate() {
        if let CellOwner::Local(local) = owner {
            owned.push((cell.to_string(), local.read(owned_status)));
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
