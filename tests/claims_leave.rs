//! What an agent leaves behind when it stops in order.

mod support;

use std::collections::HashMap;
use std::time;

use lovagemill::agent;
use lovagemill::controller::membership;
use lovagemill::count;
use lovagemill::id;
use lovagemill::wire::rows;
use support::memory::Memory;

fn config() -> agent::Config {
    agent::Config {
        id: "agent-0".into(),
        link_addr: "127.0.0.1:0".parse().expect("an address"),
        announce_addr: "127.0.0.1:0".parse().expect("an address"),
        advertise: None,
        failure_domain: "poa-centro".into(),
        rack: "rack-0".into(),
        cells: 1,
        linger: time::Duration::ZERO,
    }
}

fn members(memory: &Memory) -> HashMap<id::AgentId, rows::Agent> {
    let prefix = rows::agents(0);
    let found = memory.store.lock().unwrap().scan(&prefix);
    let member = |row: lovagemill::wire::platform::Row| {
        let agent = serde_json::from_str(&row.value).expect("a row of ours");
        (row.key[prefix.len()..].into(), agent)
    };
    found.into_iter().map(member).collect()
}

/// Opens an agent and waits until its row stands, with an address.
async fn join(memory: &Memory) -> agent::Agent {
    let agent = agent::open(config(), memory.platform(), count::Messages::default()).await;
    let joined = async {
        while membership::lives(&members(memory)).is_empty() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let joined = tokio::time::timeout(support::HANG, joined).await;
    joined.expect("it doesn't hang");
    agent.expect("the agent opens")
}

/// A worker runs a task, its answer is acknowledged, and the worker is stopped in order. Then the
/// owner dies before the caller has read the answer, and the caller submits again. With the agent's
/// row gone nobody remembered the task, nobody seemed to be missing, and it was started again.
#[tokio::test]
async fn an_agent_that_left_is_still_told_of() {
    let memory = Memory::open();
    join(&memory).await.stop().await;
    assert!(membership::lives(&members(&memory)).is_empty());
    assert_eq!(membership::lost(&members(&memory)).len(), 1);

    // It comes back, and its earlier life is told of once.
    let agent = join(&memory).await;
    assert_eq!(membership::lost(&members(&memory)).len(), 1);
    drop(agent);
}
