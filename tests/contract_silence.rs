//! Links that are dead in one direction, or from their first message on.

mod support;

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use compact_str::ToCompactString;
use hyper::Method;
use lovagemill::count;
use lovagemill::decide::ledger;
use lovagemill::decide::notice::{self, Notice};
use lovagemill::decide::order::Order;
use lovagemill::entry;
use lovagemill::submission;
use lovagemill::task;
use lovagemill::wire::agent;
use lovagemill::wire::caller;
use lovagemill::wire::http;
use lovagemill::wire::link;
use lovagemill::wire::peer::{self, Passed, Returned};
use lovagemill::wire::platform::Transaction;
use lovagemill::wire::rows;
use serde_json::value::RawValue;

use support::memory::MemoryPlatform;
use support::path;

/// How often the fakes say something.
const HEARTBEAT: time::Duration = time::Duration::from_millis(200);

/// What a fake makes of its first link; its second one works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum First {
    /// Nothing that is sent to the fake arrives, while it is heard.
    Deaf,
    /// Its first message is lost, and it says nothing more.
    Mute,
}

/// The links of a fake, as it sees them.
#[derive(Default)]
struct Fake {
    links: AtomicU64,
    resolved: Mutex<Vec<task::Id>>,
    started: AtomicU64,
    current: Mutex<Option<link::Sender<Notice>>>,
}

impl Fake {
    fn tell(&self, notice: Notice) {
        if let Some(tx) = &*self.current.lock().unwrap() {
            let _ = tx.send(notice);
        }
    }

    fn obey(&self, order: Order) {
        match order {
            Order::Start(start) => {
                self.started.fetch_add(1, Ordering::SeqCst);
                self.tell(Notice::Answer(notice::Answer {
                    id: start.id,
                    outcome: task::Outcome::Done(number(7)),
                    ran_us: 1,
                }));
            }
            Order::Resolve(asked) => {
                for attempt in asked {
                    self.resolved.lock().unwrap().push(attempt.id.clone());
                    self.tell(Notice::Standing(attempt, ledger::TaskState::Withdrawn));
                }
            }
            _ => {}
        }
    }
}

fn number(n: u64) -> Box<RawValue> {
    RawValue::from_string(n.to_string()).unwrap()
}

/// Binds a fake agent and writes its row.
async fn fake_agent(memory: &MemoryPlatform, first: First) -> (link::Server, Arc<Fake>) {
    let fake: Arc<Fake> = Arc::default();
    let (greeting, taking) = (fake.clone(), fake.clone());
    let service = link::Service {
        greet: Arc::new(move |hello: agent::Hello, tx: link::Sender<Notice>| {
            let number = greeting.links.fetch_add(1, Ordering::SeqCst) + 1;
            if number > 1 || first == First::Deaf {
                let _ = tx.send(Notice::Welcome(notice::Welcome {
                    incarnation: 3,
                    failure_domain: "northam".into(),
                    rack: "rack-0".into(),
                    tasks: Vec::new(),
                }));
                tokio::spawn(beat(tx.clone(), || Notice::Heartbeat));
            }
            *greeting.current.lock().unwrap() = Some(tx);
            let received = if number > 1 { u64::MAX } else { 0 };
            Arc::new(move |notices| agent::Up {
                notices,
                load: notice::Load {
                    slots: 4,
                    ..notice::Load::default()
                },
                link: hello.link,
                received,
            })
        }),
        sent: Arc::new(|_, _| {}),
        weigh: |_| 1,
        take: Arc::new(move |down: agent::Down| {
            if taking.links.load(Ordering::SeqCst) > 1 {
                down.orders.into_iter().for_each(|order| taking.obey(order));
            }
        }),
    };
    let server = link::bind(path::any(), service).await.unwrap();
    let row = rows::Agent {
        incarnation: 3,
        addr: server.addr().to_compact_string(),
        lost: Vec::new(),
        left: false,
    };
    put(memory, &rows::agent(0, "agent-0"), &row);
    (server, fake)
}

async fn beat<T>(tx: link::Sender<T>, item: impl Fn() -> T) {
    while tx.send(item()).is_ok() {
        tokio::time::sleep(HEARTBEAT).await;
    }
}

fn put(memory: &MemoryPlatform, key: &str, value: &impl serde::Serialize) {
    let value = serde_json::to_string(value).unwrap();
    let tx = Transaction::put(key, value);
    memory.store.lock().unwrap().commit(&tx);
}

async fn open_entry(memory: &MemoryPlatform) -> entry::Entry {
    path::configure(memory);
    let cfg = path::entry_config("entry-0");
    let messages = count::Messages::default();
    entry::open(cfg, memory.platform(), messages).await.unwrap()
}

/// Submits a job of one task and returns the status of its answer.
async fn submit(addr: net::SocketAddr) -> u16 {
    let body = r#"{"customer":"merredin","class":"check","tasks":[{"input":1}]}"#;
    let call = http::Call::new(Method::POST, format!("http://{addr}/v1/jobs"), body)
        .header(caller::IDEMPOTENCY_KEY, "a");
    let answer = http::open(1024).call(call, support::HANG).await.unwrap();
    answer.status.as_u16()
}

/// A job hangs although its worker shows as up.
/// Something between owner and agent has lost the connection in the owner's direction only: the
/// agent's heartbeats come, every start vanishes. The owner saw a living link and waited for ever.
#[test]
fn starts_that_vanish_are_noticed_and_asked_for_on_a_new_link() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let (_server, fake) = fake_agent(&memory, First::Deaf).await;
        let entry = open_entry(&memory).await;
        support::until("slots", || entry.usable_slots() == 4).await;
        assert_eq!(submit(entry.http_addr()).await, 200);
        assert_eq!(fake.links.load(Ordering::SeqCst), 2);
        assert_eq!(fake.resolved.lock().unwrap().len(), 1, "asked by key");
        assert_eq!(fake.started.load(Ordering::SeqCst), 1);
    });
}

/// A worker is never used although its agent runs.
/// The link went silent between the owner's hello and the agent's welcome. The owner kept the
/// connection's sending half beside the link until the welcome, so nothing ever closed it.
#[test]
fn link_whose_welcome_is_lost_is_replaced() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let (_server, fake) = fake_agent(&memory, First::Mute).await;
        let entry = open_entry(&memory).await;
        support::until("slots", || entry.usable_slots() == 4).await;
        assert_eq!(fake.links.load(Ordering::SeqCst), 2);
        assert_eq!(submit(entry.http_addr()).await, 200);
    });
}

/// Callers of one entry get no answers, those of another do.
/// The link between the entry and the owner is dead in the entry's direction: the owner's
/// heartbeats come, submissions that are passed on vanish. The entry waited for their endings.
#[test]
fn submissions_that_vanish_are_passed_on_again() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let links: Arc<AtomicU64> = Arc::default();
        let passed: Arc<AtomicU64> = Arc::default();
        let current: Arc<Mutex<Option<link::Sender<Returned>>>> = Arc::default();
        let (greeting, counting) = (current.clone(), links.clone());
        let (taking, seeing, passing) = (current, links.clone(), passed.clone());
        let service = link::Service {
            greet: Arc::new(move |hello: peer::Hello, tx: link::Sender<Returned>| {
                let number = counting.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(beat(tx.clone(), || Returned::Heartbeat));
                *greeting.lock().unwrap() = Some(tx);
                Arc::new(move |items| peer::Up {
                    entry: "owner".into(),
                    link: hello.link,
                    received: if number > 1 { u64::MAX } else { 0 },
                    config: 1,
                    head: None,
                    items,
                })
            }),
            sent: Arc::new(|_, _| {}),
            weigh: |_| 1,
            take: Arc::new(move |down: peer::Down| {
                for item in down.items {
                    let Passed::Submit(seq, _) = item else {
                        continue;
                    };
                    passing.fetch_add(1, Ordering::SeqCst);
                    if seeing.load(Ordering::SeqCst) > 1 {
                        let ending = Arc::new(submission::Ending::Complete(vec![number(7)]));
                        let tx = taking.lock().unwrap().clone().unwrap();
                        let _ = tx.send(Returned::Ending(seq, ending));
                    }
                }
            }),
        };
        let owner = link::bind(path::any(), service).await.unwrap();
        let row = rows::Owner {
            entry: "owner".into(),
            incarnation: 1,
            addr: owner.addr().to_compact_string(),
            epoch: 1,
        };
        put(&memory, &rows::cell(0), &row);
        let entry = open_entry(&memory).await;
        support::until("the owner is known", || entry.is_ready()).await;
        support::until("a link", || links.load(Ordering::SeqCst) == 1).await;
        assert_eq!(submit(entry.http_addr()).await, 200);
        assert_eq!(links.load(Ordering::SeqCst), 2);
        assert_eq!(passed.load(Ordering::SeqCst), 2);
    });
}
