//! JSON lines over TCP: one message a line, with bounds on the length of a line and the time of a write.

use std::io;
use std::time;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::decide::besteffort::message::MAX_MESSAGE_BYTES;

/// Timeout of a write. A peer that reads nothing for so long counts as gone.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader {
    inner: BufReader<OwnedReadHalf>,
    buf: Vec<u8>,
}

/// Writes messages to a connection.
#[derive(Debug)]
pub struct Writer {
    inner: OwnedWriteHalf,
    buf: Vec<u8>,
}

/// Splits a connection into a reader and a writer, and turns off the delay of small writes.
///
/// # Errors
///
/// Returns the error of the socket if the delay can't be turned off.
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
    /// Reads one message. If the future is dropped in the middle of a line, what was read is kept for the next
    /// call.
    ///
    /// # Errors
    ///
    /// Fails at the end of the connection, on a line longer than [`MAX_MESSAGE_BYTES`], and on a line that
    /// isn't valid JSON of the expected type.
    pub async fn read<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        loop {
            if self.buf.last() == Some(&b'\n') {
                let line = serde_json::from_slice(&self.buf);
                self.buf.clear();
                return line.map_err(io::Error::from);
            }
            let left = (MAX_MESSAGE_BYTES - self.buf.len().min(MAX_MESSAGE_BYTES)) as u64;
            if left == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "message line is too long",
                ));
            }
            let mut bounded = (&mut self.inner).take(left);
            if bounded.read_until(b'\n', &mut self.buf).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

impl Writer {
    /// Writes one message.
    ///
    /// # Errors
    ///
    /// Fails if the connection is gone or the peer doesn't read.
    pub async fn write<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        self.buf.clear();
        serde_json::to_writer(&mut self.buf, message)?;
        self.buf.push(b'\n');
        match timeout(WRITE_TIMEOUT, self.inner.write_all(&self.buf)).await {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
