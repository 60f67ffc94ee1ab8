//! Reads the body of a request into one buffer.
//!
//! Each part of a body that arrives keeps the read buffer alive that it was received in, so that parts of a few bytes can
//! hold thousands of times their size. They are copied as they come, and only what the copy takes is held.

use std::time;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::wire::clients::connection::{Connection, Held};

/// Smallest buffer for a body whose length isn't known, in bytes.
const MIN_BUFFER: usize = 1024;

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body, in bytes.
    pub length: usize,
    /// Longest that it may take to arrive.
    pub time: time::Duration,
}

/// Why no whole body was read. Nothing of the request has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// It is longer than allowed.
    TooLong,
    /// It broke off.
    Broken,
    /// It didn't arrive in time.
    TimedOut,
    /// The memory for requests is taken.
    NoMemory,
}

/// A whole body, and the memory that it holds.
pub struct Received {
    /// The body.
    pub bytes: Bytes,
    /// Its memory, held until this is dropped.
    pub held: Held,
}

/// Reads the whole body of a request on a connection, which waits for its client meanwhile.
///
/// # Errors
///
/// See [`Error`].
pub async fn read<B>(
    mut body: B,
    connection: &Connection,
    limits: Limits,
) -> Result<Received, Error>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    connection.wait();
    let reading = collect(&mut body, connection, limits.length);
    let result = timeout(limits.time, reading).await;
    connection.serve();
    let result = result.unwrap_or(Err(Error::TimedOut));
    if matches!(result, Err(Error::TooLong | Error::NoMemory)) {
        tokio::spawn(discard(body, limits));
    }
    result
}

/// Reads on without keeping anything, so that a client that is still sending gets the refusal: a connection that is closed
/// with unread bytes is reset.
async fn discard<B>(mut body: B, limits: Limits)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = 2 * limits.length;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let read = frame.data_ref().map_or(0, Bytes::len);
            if read > left {
                return;
            }
            left -= read;
        }
    };
    // The connection is closed where the rest doesn't come.
    let _ = timeout(limits.time, reading).await;
}

async fn collect<B>(
    body: &mut B,
    connection: &Connection,
    longest: usize,
) -> Result<Received, Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let length = body.size_hint().exact();
    let longest = match length {
        Some(length) if length > longest as u64 => return Err(Error::TooLong),
        Some(length) => length as usize,
        None => longest,
    };
    let mut held = connection.hold(0).map_err(|_| Error::NoMemory)?;
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        let needed = buf.len() + part.remaining();
        if needed > longest {
            return Err(Error::TooLong);
        }
        if needed > buf.capacity() {
            let doubled = (2 * buf.capacity()).max(MIN_BUFFER).min(longest);
            let capacity = needed.max(doubled);
            held.resize(capacity).map_err(|_| Error::NoMemory)?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&part);
    }
    Ok(Received {
        bytes: buf.into(),
        held,
    })
}
