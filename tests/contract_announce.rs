//! The contract of announcements: what can't be read is refused and changes nothing; what can be
//! read is in force at once, however often it comes.

mod support;

use std::path::Path;

use hyper::Method;
use lovagemill::agent;
use lovagemill::count;
use lovagemill::wire::http;
use serde::Deserialize;
use serde_json::Value;

use support::memory::MemoryPlatform;
use support::path;

#[derive(Deserialize)]
struct Table {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    body: String,
    #[serde(default = "once")]
    repeat: usize,
    status: u16,
    code: Option<String>,
    /// Slots that the agent offers afterwards.
    slots: u32,
}

fn once() -> usize {
    1
}

async fn slots(client: &http::Client, base: &str) -> u32 {
    let call = http::Call::new(Method::GET, format!("{base}/metrics"), "");
    let page = client.call(call, support::HANG).await.unwrap().body;
    let page = String::from_utf8(page.to_vec()).unwrap();
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("lovagemill_slots "));
    line.expect("the page has the slots").parse().unwrap()
}

fn run(file: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(file)?)?;
    support::block_on(async {
        let messages = count::Messages::default();
        let platform = MemoryPlatform::open().platform();
        let cfg = path::agent_config("agent-0");
        let agent = agent::open(cfg, platform, messages).await.unwrap();
        let base = format!("http://{}", agent.announce_addr());
        let client = http::open(1 << 20);
        for case in table.case {
            let body = case.body.repeat(case.repeat);
            let call = http::Call::new(Method::POST, format!("{base}/v1/announce"), body);
            let answer = client.call(call, support::HANG).await.unwrap();
            assert_eq!(answer.status.as_u16(), case.status, "{}", case.name);
            if let Some(code) = case.code {
                let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
                assert_eq!(refusal["code"], code.as_str(), "{}", case.name);
            }
            assert_eq!(slots(&client, &base).await, case.slots, "{}", case.name);
        }
    });
    Ok(())
}

datatest_stable::harness! {
    { test = run, root = "tests/contracts", pattern = r"^announce\.toml$" },
}
