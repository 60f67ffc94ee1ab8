//! A proxy between clients and an entry, which resets connections as a network does.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;

extern "C" {
    fn connect(socket: i32, address: *const u16, size: u32) -> i32;
}

/// The two sides of a connection through the proxy.
type Pair = (TcpStream, TcpStream);

/// A running proxy; clones share its connections.
#[derive(Clone, Default)]
pub struct Proxy(Arc<Mutex<Vec<Pair>>>);

impl Proxy {
    /// Forwards connections from `addr` to `to` until the program ends.
    pub fn open(addr: SocketAddr, to: SocketAddr) -> io::Result<Proxy> {
        let proxy = Proxy::default();
        let listener = TcpListener::bind(addr)?;
        let forwarding = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let _ = forwarding.forward(client, to);
            }
        });
        Ok(proxy)
    }

    fn forward(&self, client: TcpStream, to: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(to)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (from_client, to_server) = (client.try_clone()?, server.try_clone()?);
        let (from_server, to_client) = (server.try_clone()?, client.try_clone()?);
        thread::spawn(move || copy(from_client, to_server));
        thread::spawn(move || copy(from_server, to_client));
        self.0.lock().unwrap().push((client, server));
        Ok(())
    }

    /// Returns how many connections were opened so far.
    pub fn connections(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Resets both sides of these connections, which are numbered from 0 in the order of their opening.
    pub fn reset(&self, numbers: &[usize]) {
        let pairs = self.0.lock().unwrap();
        let pairs: Vec<&Pair> = numbers
            .iter()
            .filter_map(|number| pairs.get(*number))
            .collect();
        for (_, server) in &pairs {
            abort(server);
        }
        for (client, _) in &pairs {
            abort(client);
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buf) {
        if length == 0 || to.write_all(&buf[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// Aborts a connection, though other handles to its socket are open: its other end gets a reset.
fn abort(stream: &TcpStream) {
    // An address of the family AF_UNSPEC.
    let address = [0_u16; 8];
    // SAFETY: the address is as long as its size says, and the socket is open for as long as `stream` lives.
    unsafe {
        connect(stream.as_raw_fd(), address.as_ptr(), 16);
    }
}
