//! Distinguishes a process that has ended from a network that doesn't deliver.

use std::time;

/// Maximum time for one connection attempt.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The result of a TCP connection attempt to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// The process accepts connections.
    Open,
    /// The machine refused the connection: no process listens at the address.
    Refused,
    /// No answer came in time, or the attempt failed in another way; the process may be alive.
    Silent,
}

/// Opens a TCP connection to `addr` (host and port) and closes it again.
pub async fn probe(addr: &str) -> Reach {
    let connecting = tokio::net::TcpStream::connect(addr);
    match tokio::time::timeout(TIMEOUT, connecting).await {
        Ok(Ok(_)) => Reach::Open,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Reach::Refused,
        Ok(Err(_)) | Err(_) => Reach::Silent,
    }
}
