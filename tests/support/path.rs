//! The whole path in one process over a platform in memory: one entry, one agent, one backend.

use std::net;
use std::sync::Arc;
use std::time;

use compact_str::ToCompactString;
use lovagemill::agent;
use lovagemill::class;
use lovagemill::count;
use lovagemill::decide::owner;
use lovagemill::entry;
use lovagemill::standin::backend;
use lovagemill::standin::truth::Truth;
use lovagemill::task;
use lovagemill::wire::platform::Transaction;
use lovagemill::wire::rows;

use super::memory::MemoryPlatform;

/// The running parts.
pub struct Path {
    /// The entry.
    pub entry: entry::Entry,
    /// The agent.
    pub agent: agent::Agent,
    /// The backend server.
    pub backend: backend::Backend,
    /// What the backend server saw.
    pub truth: Truth,
}

/// Any port of the loopback.
pub fn any() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// A document with one class.
pub fn document(target_ms: i64) -> class::Document {
    class::Document {
        classes: vec![class::Class {
            name: "check".into(),
            target_ms,
            max_tasks: 4,
        }],
        quotas: vec![class::Quota {
            client_account: "york".into(),
            waiting_tasks: 2,
        }],
    }
}

/// Writes the first configuration.
pub fn configure(memory: &MemoryPlatform) {
    let first = class::Versioned {
        version: 1,
        document: document(20_000),
    };
    let value = serde_json::to_string(&first).unwrap();
    let tx = Transaction::put_if(rows::CONFIG, 0, value);
    memory.store.lock().unwrap().commit(&tx);
}

/// The settings of an entry.
pub fn entry_config(id: &str) -> entry::Config {
    entry::Config {
        id: id.into(),
        http_addr: any(),
        peer_addr: any(),
        advertise: None,
        cells: 1,
        policy: owner::Policy::default(),
        drain: time::Duration::from_secs(1),
    }
}

/// The settings of an agent.
pub fn agent_config(id: &str) -> agent::Config {
    agent::Config {
        id: id.into(),
        link_addr: any(),
        announce_addr: any(),
        advertise: None,
        failure_domain: "poa-centro".into(),
        rack: "rack-0".into(),
        cells: 1,
        linger: time::Duration::ZERO,
    }
}

/// Opens an agent with a backend server of four slots beside it.
pub async fn open_agent(
    memory: &MemoryPlatform,
    truth: &Truth,
) -> (agent::Agent, backend::Backend) {
    let messages = count::Messages::default();
    let cfg = agent_config("agent-0");
    let agent = agent::open(cfg, memory.platform(), messages).await.unwrap();
    let cfg = backend::Config {
        id: "backend-0".into(),
        addr: any(),
        agent: agent.announce_addr().to_compact_string(),
        slots: 4,
        connections: 4,
        capacity: task::Needs::default(),
    };
    let backend = backend::bind(cfg, truth.clone()).await.unwrap();
    (agent, backend)
}

/// Opens the parts and waits until work would be taken.
pub async fn open(memory: &MemoryPlatform) -> Arc<Path> {
    configure(memory);
    let truth = Truth::default();
    let (agent, backend) = open_agent(memory, &truth).await;
    let messages = count::Messages::default();
    let cfg = entry_config("entry-0");
    let entry = entry::open(cfg, memory.platform(), messages).await.unwrap();
    let path = Arc::new(Path {
        entry,
        agent,
        backend,
        truth,
    });
    let ready = path.clone();
    super::until("the path gets ready", move || {
        ready.entry.is_ready() && ready.entry.usable_slots() == 4
    })
    .await;
    path
}
