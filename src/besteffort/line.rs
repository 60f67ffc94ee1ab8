//! JSON lines over TCP, read and written with bounds.

use std::io;
use std::time;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::decide::besteffort::message::MAX_MESSAGE_BYTES;

/// Longest that a write may take: a peer that doesn't read for so long counts as gone.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The reading side.
#[derive(Debug)]
pub struct Reader {
    inner: BufReader<OwnedReadHalf>,
    buf: Vec<u8>,
}

/// The writing side.
#[derive(Debug)]
pub struct Writer {
    inner: OwnedWriteHalf,
    buf: Vec<u8>,
}

/// Splits a connection into its two sides.
///
/// # Errors
///
/// Returns what the socket says where it can't be set to send at once.
pub fn open(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let reader = Reader {
        inner: BufReader::new(read),
        buf: Vec::new(),
    };
    let writer = Writer {
        inner: write,
        buf: Vec::new(),
    };
    Ok((reader, writer))
}

impl Reader {
    /// Reads one line. Cancelling it in the middle of a line keeps what was read.
    ///
    /// # Errors
    ///
    /// Fails at the end of the connection, on a line over [`MAX_MESSAGE_BYTES`] and on one that isn't what is
    /// expected.
    pub async fn read<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            if self.buf.last() == Some(&b'\n') {
                let line = serde_json::from_slice(&self.buf);
                self.buf.clear();
                return line.map_err(io::Error::from);
            }
            let left = (MAX_MESSAGE_BYTES - self.buf.len().min(MAX_MESSAGE_BYTES)) as u64;
            if left == 0 {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "line too long"));
            }
            let mut part = (&mut self.inner).take(left);
            if part.read_until(b'\n', &mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

impl Writer {
    /// Writes one line.
    ///
    /// # Errors
    ///
    /// Fails where the connection is gone or the peer doesn't read.
    pub async fn write<T: Serialize>(&mut self, line: &T) -> io::Result<()> {
        self.buf.clear();
        serde_json::to_writer(&mut self.buf, line)?;
        self.buf.push(b'\n');
        match timeout(WRITE_TIMEOUT, self.inner.write_all(&self.buf)).await {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
