//! A stand-in for the network between two processes: a TCP relay with latency, cuts and silence.

use std::net;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Most bytes that travel as one piece.
const PIECE: usize = 64 * 1024;

/// A running relay.
pub struct Wan {
    addr: net::SocketAddr,
    inner: Arc<Inner>,
    accepting: JoinHandle<()>,
}

struct Inner {
    target: OnceLock<net::SocketAddr>,
    one_way: time::Duration,
    cut: AtomicBool,
    accepted: AtomicU64,
    /// Connections numbered below this are silent for good.
    silent_below: AtomicU64,
    resets: watch::Sender<u64>,
}

/// Binds a relay that takes `one_way` in each direction; [`Wan::lead_to`] says where it leads.
pub async fn bind(one_way: time::Duration) -> anyhow::Result<Wan> {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    let inner = Arc::new(Inner {
        target: OnceLock::new(),
        one_way,
        cut: AtomicBool::new(false),
        accepted: AtomicU64::new(0),
        silent_below: AtomicU64::new(0),
        resets: watch::Sender::new(0),
    });
    let accepting = tokio::spawn(accept(listener, inner.clone()));
    Ok(Wan {
        addr,
        inner,
        accepting,
    })
}

impl Wan {
    /// Where it listens.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets where the relay leads, once; until then it takes connections and closes them.
    pub fn lead_to(&self, target: net::SocketAddr) {
        let _ = self.inner.target.set(target);
    }

    /// Makes the open connections silent for good, while new ones work.
    pub fn silence(&self) {
        let accepted = self.inner.accepted.load(Ordering::SeqCst);
        self.inner.silent_below.store(accepted, Ordering::SeqCst);
    }

    /// Closes the open connections, as the death of the process behind them would.
    pub fn reset(&self) {
        self.inner.resets.send_modify(|n| *n += 1);
    }

    /// Closes the open connections and the listener, as the death of a process does on a machine
    /// that lives on: whoever connects from now on is refused.
    pub fn refuse(&self) {
        self.accepting.abort();
        self.reset();
    }

    /// Cuts both ways: open connections go silent and new ones get nothing; or joins them again,
    /// for new connections only.
    pub fn cut(&self, cut: bool) {
        self.inner.cut.store(cut, Ordering::SeqCst);
        if cut {
            self.silence();
        }
    }
}

impl Drop for Wan {
    fn drop(&mut self) {
        self.refuse();
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let number = inner.accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(relay(near, number, inner.clone()));
    }
}

async fn relay(near: TcpStream, number: u64, inner: Arc<Inner>) {
    if inner.cut.load(Ordering::SeqCst) {
        // Held open and silent, as a cut network would, for longer than anybody waits.
        tokio::time::sleep(time::Duration::from_secs(10)).await;
        return;
    }
    let Some(target) = inner.target.get() else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut resets = inner.resets.subscribe();
    tokio::select! {
        _ = resets.changed() => {}
        _ = async {
            tokio::join!(
                pump(near_read, far_write, number, &inner),
                pump(far_read, near_write, number, &inner),
            )
        } => {}
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    inner: &Inner,
) {
    let (tx, mut rx) = mpsc::unbounded_channel::<(tokio::time::Instant, Bytes)>();
    let one_way = inner.one_way;
    let reading = async move {
        let mut buf = vec![0; PIECE];
        while let Ok(n) = from.read(&mut buf).await {
            let due = tokio::time::Instant::now() + one_way;
            if n == 0 || tx.send((due, Bytes::copy_from_slice(&buf[..n]))).is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, piece)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            if number < inner.silent_below.load(Ordering::SeqCst) {
                // The piece vanishes and neither end hears of it.
                continue;
            }
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        if number >= inner.silent_below.load(Ordering::SeqCst) {
            let _ = to.shutdown().await;
        } else {
            std::future::pending::<()>().await;
        }
    };
    tokio::join!(reading, writing);
}
