//! Tells a dead process from a silent network.

use std::time;

/// How long an attempt may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What a plain connection attempt tells of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// It listens.
    Open,
    /// Its machine answers that nothing listens there.
    Refused,
    /// Nothing answers.
    Silent,
}

/// Tries a plain connection, to tell a dead process from a silent network.
pub async fn probe(addr: &str) -> Reach {
    let connecting = tokio::net::TcpStream::connect(addr);
    match tokio::time::timeout(TIMEOUT, connecting).await {
        Ok(Ok(_)) => Reach::Open,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Reach::Refused,
        Ok(Err(_)) | Err(_) => Reach::Silent,
    }
}
