//! Links that lose all messages in one direction, or everything from their first message on.

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
use lovagemill::wire::peer::{self, DownItem, UpItem};
use lovagemill::wire::platform::Transaction;
use lovagemill::wire::rows;
use serde_json::value::RawValue;

use support::memory::MemoryPlatform;
use support::path;

/// Interval of the heartbeats that the fake agents and owners send.
const HEARTBEAT: time::Duration = time::Duration::from_millis(200);

/// The fault of a fake agent's first link; its later links work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FirstLinkFault {
    /// Nothing that is sent to the fake agent arrives, but its own messages do.
    NothingReceived,
    /// The fake agent's welcome is lost, and it sends nothing more.
    NothingSent,
}

/// What a fake agent has seen on its links.
#[derive(Default)]
struct FakeAgent {
    links_opened: AtomicU64,
    resolved: Mutex<Vec<task::Id>>,
    started: AtomicU64,
    current_tx: Mutex<Option<link::Sender<Notice>>>,
}

impl FakeAgent {
    fn send(&self, notice: Notice) {
        if let Some(tx) = &*self.current_tx.lock().unwrap() {
            let _ = tx.send(notice);
        }
    }

    fn handle_order(&self, order: Order) {
        match order {
            Order::Start(start) => {
                self.started.fetch_add(1, Ordering::SeqCst);
                self.send(Notice::Answer(notice::Answer {
                    id: start.id,
                    outcome: task::Outcome::Done(number(7)),
                    ran_us: 1,
                }));
            }
            Order::Resolve(asked) => {
                for attempt in asked {
                    self.resolved.lock().unwrap().push(attempt.id.clone());
                    self.send(Notice::Standing(attempt, ledger::TaskState::Withdrawn));
                }
            }
            _ => {}
        }
    }
}

fn number(n: u64) -> Box<RawValue> {
    RawValue::from_string(n.to_string()).unwrap()
}

/// Binds a fake agent with four slots and writes its row.
async fn fake_agent(
    memory: &MemoryPlatform,
    fault: FirstLinkFault,
) -> (link::Server, Arc<FakeAgent>) {
    let fake: Arc<FakeAgent> = Arc::default();
    let (on_open_fake, on_message_fake) = (fake.clone(), fake.clone());
    let service = link::ServerHandlers {
        on_open: Arc::new(move |hello: agent::Hello, tx: link::Sender<Notice>| {
            let number = on_open_fake.links_opened.fetch_add(1, Ordering::SeqCst) + 1;
            if number > 1 || fault == FirstLinkFault::NothingReceived {
                let _ = tx.send(Notice::Welcome(notice::Welcome {
                    incarnation: 3,
                    failure_domain: "northam".into(),
                    rack: "rack-0".into(),
                    tasks: Vec::new(),
                }));
                tokio::spawn(send_heartbeats(tx.clone(), || Notice::Heartbeat));
            }
            *on_open_fake.current_tx.lock().unwrap() = Some(tx);
            // `u64::MAX` confirms all messages that were sent so far, and 0 none.
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
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: |_| 1,
        on_message: Arc::new(move |down: agent::Down| {
            if on_message_fake.links_opened.load(Ordering::SeqCst) > 1 {
                down.orders
                    .into_iter()
                    .for_each(|order| on_message_fake.handle_order(order));
            }
        }),
    };
    let server = link::bind(path::any_port(), service).await.unwrap();
    let row = rows::Agent {
        incarnation: 3,
        addr: server.addr().to_compact_string(),
        lost: Vec::new(),
        left: false,
    };
    put(memory, &rows::agent(0, "agent-0"), &row);
    (server, fake)
}

async fn send_heartbeats<T>(tx: link::Sender<T>, item: impl Fn() -> T) {
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

/// Guards against a job that hangs although its agent is shown as up. The connection is lost only
/// from owner to agent: the agent's heartbeats arrive, but no start does. An owner that counted
/// such a link as alive waited for ever.
#[test]
fn starts_that_do_not_arrive_are_resolved_on_a_new_link() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let (_server, fake) = fake_agent(&memory, FirstLinkFault::NothingReceived).await;
        let entry = open_entry(&memory).await;
        support::until("slots", || entry.usable_slots() == 4).await;
        assert_eq!(submit(entry.http_addr()).await, 200);
        assert_eq!(fake.links_opened.load(Ordering::SeqCst), 2);
        assert_eq!(fake.resolved.lock().unwrap().len(), 1, "resolved once");
        assert_eq!(fake.started.load(Ordering::SeqCst), 1);
    });
}

/// Guards against a backend server that is never used although its agent runs. The link goes silent
/// between the owner's hello and the agent's welcome. Until the welcome the owner holds the
/// connection's sending half outside of the link, where nothing closed it.
#[test]
fn link_whose_welcome_is_lost_is_replaced() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let (_server, fake) = fake_agent(&memory, FirstLinkFault::NothingSent).await;
        let entry = open_entry(&memory).await;
        support::until("slots", || entry.usable_slots() == 4).await;
        assert_eq!(fake.links_opened.load(Ordering::SeqCst), 2);
        assert_eq!(submit(entry.http_addr()).await, 200);
    });
}

/// Guards against callers of one entry that get no answers while those of another entry do.
/// The link loses all messages from the entry to the owner: the owner's heartbeats arrive, but no
/// submission that is passed on does. The entry waited for their endings.
#[test]
fn submissions_that_do_not_arrive_are_passed_on_again() {
    support::block_on(async {
        let memory = MemoryPlatform::open();
        let links: Arc<AtomicU64> = Arc::default();
        let passed: Arc<AtomicU64> = Arc::default();
        let current_tx: Arc<Mutex<Option<link::Sender<UpItem>>>> = Arc::default();
        let (on_open_tx, on_open_links) = (current_tx.clone(), links.clone());
        let (on_message_tx, on_message_links, on_message_passed) =
            (current_tx, links.clone(), passed.clone());
        let service = link::ServerHandlers {
            on_open: Arc::new(move |hello: peer::Hello, tx: link::Sender<UpItem>| {
                let number = on_open_links.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(send_heartbeats(tx.clone(), || UpItem::Heartbeat));
                *on_open_tx.lock().unwrap() = Some(tx);
                Arc::new(move |items| peer::Up {
                    entry: "owner".into(),
                    link: hello.link,
                    // `u64::MAX` confirms all messages that were sent so far, and 0 none.
                    received: if number > 1 { u64::MAX } else { 0 },
                    config: 1,
                    head: None,
                    items,
                })
            }),
            on_sent: Arc::new(|_, _| {}),
            estimate_bytes: |_| 1,
            on_message: Arc::new(move |down: peer::Down| {
                for item in down.items {
                    let DownItem::Submit(seq, _) = item else {
                        continue;
                    };
                    on_message_passed.fetch_add(1, Ordering::SeqCst);
                    if on_message_links.load(Ordering::SeqCst) > 1 {
                        let ending = Arc::new(submission::Ending::Complete(vec![number(7)]));
                        let tx = on_message_tx.lock().unwrap().clone().unwrap();
                        let _ = tx.send(UpItem::Ending(seq, ending));
                    }
                }
            }),
        };
        let owner = link::bind(path::any_port(), service).await.unwrap();
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
