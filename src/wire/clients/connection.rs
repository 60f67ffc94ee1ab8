//! One connection of a listener's clients, and the memory that it holds.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::decide::clients::{ConnectionNo, NoMemory};
use crate::wire::clients::Clients;

/// A connection in the list of its listener; it leaves the list when all clones are dropped.
#[derive(Clone)]
pub struct Connection(Arc<Place>);

struct Place {
    no: ConnectionNo,
    clients: Clients,
    /// Notified when the connection has to make way.
    closing: Arc<Notify>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.clients.disconnect(self.no);
    }
}

/// Creates a connection that is in the list already.
pub(super) fn open(no: ConnectionNo, clients: Clients, closing: Arc<Notify>) -> Connection {
    Connection(Arc::new(Place {
        no,
        clients,
        closing,
    }))
}

impl Connection {
    /// Waits until the connection has to make way.
    pub async fn closing(&self) {
        self.0.closing.notified().await;
    }

    /// Records that the connection waits for its client, which has to send or to read.
    pub fn wait(&self) {
        self.0.clients.wait(self.0.no);
    }

    /// Records that a request of the connection is being served, so that the connection isn't closed for another one.
    pub fn serve(&self) {
        self.0.clients.serve(self.0.no);
    }

    /// Holds memory for a request. Connections that hold more are closed where that is needed.
    ///
    /// # Errors
    ///
    /// Returns an error where the memory for requests is taken; the request has to be refused.
    pub fn hold(&self, bytes: usize) -> Result<Held, NoMemory> {
        self.0.clients.hold(self.0.no, bytes)?;
        Ok(self.held(bytes))
    }

    /// Holds memory for an answer that is ready. Connections that hold memory are closed where that is needed.
    pub fn hold_answer(&self, bytes: usize) -> Held {
        self.0.clients.hold_answer(self.0.no, bytes);
        self.held(bytes)
    }

    /// Returns the holder of memory that counts for the connection already.
    fn held(&self, bytes: usize) -> Held {
        Held {
            place: self.0.clone(),
            bytes,
        }
    }
}

/// Memory of a request or an answer, in bytes; given back when it is dropped.
pub struct Held {
    place: Arc<Place>,
    bytes: usize,
}

impl Held {
    /// Holds so many bytes instead of as many as now.
    ///
    /// # Errors
    ///
    /// As [`Connection::hold`]; what is held stays.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let Place { no, clients, .. } = &*self.place;
        if bytes > self.bytes {
            clients.hold(*no, bytes - self.bytes)?;
        } else {
            clients.release(*no, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.place.clients.release(self.place.no, self.bytes);
    }
}
