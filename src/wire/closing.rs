//! Connections of a server that end with it.
//!
//! A server library runs each connection on a task of its own, which outlives the listener. In a
//! process that goes on, as with an embedded entry or in a demo, such a connection would be
//! answered by a part that has stopped, with what it knew then. So each connection also waits for
//! the stop, and breaks as that of a process that has ended.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Ends all connections that were opened with it; clones end the same ones.
#[derive(Clone, Debug)]
pub struct Switch(watch::Sender<bool>);

/// Opens a switch that has not been used.
pub fn open() -> Switch {
    Switch(watch::channel(false).0)
}

impl Switch {
    /// Ends the connections, now and for good.
    pub fn close(&self) {
        self.0.send_replace(true);
    }

    /// A connection that breaks when the switch is closed.
    pub fn wrap(&self, stream: TcpStream) -> Connection {
        let mut rx = self.0.subscribe();
        let closed = async move {
            // An error says that the server has been dropped, which ends its connections as well.
            let _ = rx.wait_for(|closed| *closed).await;
        };
        Connection {
            stream,
            closed: Box::pin(closed),
            is_closed: false,
        }
    }
}

/// A connection of a server.
pub struct Connection {
    stream: TcpStream,
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_closed: bool,
}

impl Connection {
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.is_closed = self.is_closed || self.closed.as_mut().poll(cx).is_ready();
        if self.is_closed {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Err(e) = self.check(cx) {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.check(cx) {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
