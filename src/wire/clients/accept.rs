//! Accepts the connections of clients within the limits of a listener.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time;

use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};

use crate::wire::clients::connection::Connection;
use crate::wire::clients::Clients;

/// Pause after a connection can't be accepted, such as when file descriptors have run out.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Listens at `addr`. Each connection may have up to about `unread` bytes in its socket that nobody has read yet, such as
/// requests behind the one that is being served; without a limit, the system's own may be megabytes.
///
/// # Errors
///
/// Returns the operating system's error where the address can't be bound.
pub async fn bind(addr: SocketAddr, unread: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await?;
    sockopt::set_socket_recv_buffer_size(&listener, unread)?;
    Ok(listener)
}

/// Accepts connections and runs `serve` on each; never ends. The future that `serve` returns is dropped, and the
/// connection with it, where the connection has to make way for others.
pub async fn run<F, R>(listener: TcpListener, clients: Clients, serve: F)
where
    F: Fn(TcpStream, SocketAddr, Connection) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::error!(error = e.to_string().as_str(); "no connection can be accepted");
                clients.close_longest_wait();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(error = e.to_string().as_str(); "connection was gone at once");
            continue;
        }
        let connection = clients.connect().await;
        let served = serve(stream, addr, connection.clone());
        tokio::spawn(async move {
            tokio::select! {
                // An answer that is ready is written before the connection is given up.
                biased;
                () = served => {}
                () = connection.closing() => {}
            }
        });
    }
}
