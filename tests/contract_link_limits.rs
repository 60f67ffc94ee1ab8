//! How links end: whoever lets go, both sides learn of it, and a reader that falls behind loses
//! its link instead of its process's memory.

mod support;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};

use lovagemill::wire::link;
use tokio::sync::mpsc;

use support::path;

/// A server whose only link is kept here.
struct Host {
    server: link::Server,
    tx: Arc<Mutex<Option<link::Sender<u64>>>>,
    left: mpsc::UnboundedReceiver<()>,
}

async fn host() -> Host {
    let tx: Arc<Mutex<Option<link::Sender<u64>>>> = Arc::default();
    let keeping = tx.clone();
    let (leaving, left) = mpsc::unbounded_channel();
    let service = link::ServerHandlers {
        on_open: Arc::new(move |(): (), tx| {
            *keeping.lock().unwrap() = Some(tx);
            let leaving = leaving.clone();
            Arc::new(move |items: Vec<u64>| {
                let _ = leaving.send(());
                items
            })
        }),
        on_message: Arc::new(|_: Vec<u64>| {}),
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: |_| 1,
    };
    let server = link::bind(path::any_port(), service).await.unwrap();
    Host { server, tx, left }
}

struct Guest {
    tx: link::Sender<u64>,
    closed: Arc<AtomicBool>,
}

async fn guest(host: &Host, take: impl Fn(Vec<u64>) + Send + Sync + 'static) -> Guest {
    let closed: Arc<AtomicBool> = Arc::default();
    let closing = closed.clone();
    let (tx, rx) = mpsc::unbounded_channel();
    let peer = link::ClientHandlers {
        on_message: Arc::new(take),
        group: Arc::new(|items: Vec<u64>| items),
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: |_| 1,
        on_closed: Box::new(move || closing.store(true, Ordering::SeqCst)),
    };
    let addr = host.server.addr().to_string();
    link::connect(&addr, (), rx, peer).await.unwrap();
    Guest { tx, closed }
}

impl Host {
    fn is_closed(&self) -> bool {
        let tx = self.tx.lock().unwrap();
        tx.as_ref().is_some_and(link::Sender::is_closed)
    }
}

#[test]
fn client_that_drops_its_sender_closes_both_ends() {
    support::block_on(async {
        let host = host().await;
        let guest = guest(&host, |_| {}).await;
        drop(guest.tx);
        support::until("closed", || guest.closed.load(Ordering::SeqCst)).await;
        support::until("the server's end", || host.is_closed()).await;
    });
}

#[test]
fn server_that_drops_its_sender_closes_the_link() {
    support::block_on(async {
        let host = host().await;
        let guest = guest(&host, |_| {}).await;
        host.tx.lock().unwrap().take();
        support::until("closed", || guest.closed.load(Ordering::SeqCst)).await;
    });
}

#[test]
fn server_that_stops_closes_the_link() {
    support::block_on(async {
        let host = host().await;
        let guest = guest(&host, |_| {}).await;
        host.server.stop();
        support::until("closed", || guest.closed.load(Ordering::SeqCst)).await;
        support::until("the server's end", || host.is_closed()).await;
    });
}

/// An entry's memory grows without an end while one of its threads is stuck.
/// The reader of a link holds still and the other side goes on sending. The client keeps a bounded
/// number of messages; the link closes where there are more, and is asked by key once it is back.
#[test]
fn reader_that_falls_behind_loses_its_link() {
    support::block_on(async {
        let mut host = host().await;
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let taken: Arc<AtomicU64> = Arc::default();
        let (waiting, counting) = (gate.clone(), taken.clone());
        let guest = guest(&host, move |_| {
            let open = waiting.0.lock().unwrap();
            drop(waiting.1.wait_while(open, |open| !*open).unwrap());
            counting.fetch_add(1, Ordering::SeqCst);
        })
        .await;
        let tx = host.tx.lock().unwrap().clone().unwrap();
        // A little more than fits, each in a message of its own.
        for number in 0..link::MAX_UNREAD as u64 + 4_096 {
            if tx.send(number).is_err() {
                break;
            }
            tokio::select! {
                _ = host.left.recv() => {}
                () = tx.closed() => break,
            }
        }
        *gate.0.lock().unwrap() = true;
        gate.1.notify_all();
        support::until("closed", || guest.closed.load(Ordering::SeqCst)).await;
        assert!(taken.load(Ordering::SeqCst) <= link::MAX_UNREAD as u64 + 1);
    });
}

/// Callers with large jobs get no answers, however long they wait.
/// Several submissions of a fair size wait for one link and leave as one message over the limit.
/// The link closes, its successor gets the same message, and so on for ever.
#[test]
fn large_items_that_wait_together_leave_in_several_messages() {
    const LARGE: usize = 4 * 1024 * 1024;
    const COUNT: usize = 10;
    support::block_on(async {
        let taken: Arc<Mutex<Vec<usize>>> = Arc::default();
        let taking = taken.clone();
        let service = link::ServerHandlers {
            on_open: Arc::new(|(): (), tx: link::Sender<()>| {
                // The link stays open for as long as somebody holds its sending half.
                Arc::new(move |_: Vec<()>| drop(tx.clone()))
            }),
            on_message: Arc::new(move |items: Vec<String>| {
                taking.lock().unwrap().push(items.len())
            }),
            on_sent: Arc::new(|(), _| {}),
            estimate_bytes: |()| 1,
        };
        let server = link::bind(path::any_port(), service).await.unwrap();
        let closed: Arc<AtomicBool> = Arc::default();
        let closing = closed.clone();
        let (tx, rx) = mpsc::unbounded_channel();
        for _ in 0..COUNT {
            tx.send("x".repeat(LARGE)).unwrap();
        }
        let peer = link::ClientHandlers {
            on_message: Arc::new(|(): ()| {}),
            group: Arc::new(|items: Vec<String>| items),
            on_sent: Arc::new(|_, _| {}),
            estimate_bytes: String::len,
            on_closed: Box::new(move || closing.store(true, Ordering::SeqCst)),
        };
        let addr = server.addr().to_string();
        link::connect(&addr, (), rx, peer).await.unwrap();
        let count = || taken.lock().unwrap().iter().sum::<usize>();
        support::until("all arrive", || {
            count() == COUNT || closed.load(Ordering::SeqCst)
        })
        .await;
        assert_eq!(count(), COUNT);
        assert!(!closed.load(Ordering::SeqCst));
    });
}
