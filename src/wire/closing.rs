//! Server connections that are closed when their server stops.
//!
//! A server library runs each connection on a task of its own, which outlives the listener. In a
//! process that keeps running, as with an embedded entry or in a demo, requests on such a
//! connection would be answered from the outdated state of a component that has stopped. So each
//! connection also waits for the stop, and then fails like a connection to a process that has
//! ended.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Closes all connections that it has wrapped; clones share these connections.
#[derive(Clone, Debug)]
pub struct Switch(watch::Sender<bool>);

/// Creates a switch without connections.
pub fn open() -> Switch {
    Switch(watch::channel(false).0)
}

impl Switch {
    /// Closes the connections wrapped so far; those wrapped later fail at once.
    pub fn close(&self) {
        self.0.send_replace(true);
    }

    /// Wraps a stream in a connection that fails once the switch is closed.
    pub fn wrap(&self, stream: TcpStream) -> Connection {
        let mut rx = self.0.subscribe();
        let closed = async move {
            // An error means that the server was dropped, which closes its connections as well.
            let _ = rx.wait_for(|closed| *closed).await;
        };
        Connection {
            stream,
            closed: Box::pin(closed),
            is_closed: false,
        }
    }
}

/// A server's TCP stream; reads and writes return `ConnectionAborted` once its switch is closed.
pub struct Connection {
    stream: TcpStream,
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_closed: bool,
}

impl Connection {
    fn fail_if_closed(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
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
        if let Err(e) = self.fail_if_closed(cx) {
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
        if let Err(e) = self.fail_if_closed(cx) {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.fail_if_closed(cx) {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    /// Without this, `hyper` copies answers into one buffer, to which it adds without end while a client sends requests
    /// and reads no answers.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
