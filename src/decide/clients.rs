//! Which connections of clients are closed, and which requests are refused, when places or memory run out.
//!
//! It answers clients that open many connections, or begin many requests, and don't finish them
//! (`docs/design/clients.md`). A connection that waits for its client makes way for a new one, the longest wait first, and
//! the largest request that is still arriving makes way for smaller ones. Ordinary requests are small and whole, so that
//! neither rule meets them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time;

/// Numbers the connections of one listener.
pub type ConnectionNo = u64;

/// What the clients of a listener may take of a process together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most open connections.
    pub connections: usize,
    /// Most memory for requests that arrive or are served, and for answers that aren't sent yet, in bytes.
    pub bytes: usize,
}

/// What a machine gives a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors for sockets.
    pub sockets: usize,
}

impl Limits {
    /// Returns the limits for the clients of a process. `most` is the largest number of connections, and
    /// `connection_bytes` the memory of one beside what its request holds.
    ///
    /// A quarter of the descriptors stays for links, the platform and monitoring. Connections take up to half of the
    /// memory and requests an eighth, since a request is held again for a moment where its buffer grows or is decoded; the
    /// rest stays for the program itself.
    pub fn for_machine(machine: Machine, most: usize, connection_bytes: usize) -> Limits {
        let by_descriptors = machine.sockets / 4 * 3;
        let by_memory = machine.memory / 2 / connection_bytes;
        Limits {
            connections: most.min(by_descriptors).min(by_memory).max(1),
            bytes: machine.memory / 8,
        }
    }
}

/// A request was refused: the memory for requests is taken, and no larger one could make way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoMemory;

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Since when it waits for its client to send or to read; none while its request is served.
    waits_since: Option<time::Duration>,
    /// Memory that it holds, in bytes.
    bytes: usize,
    /// Whether it has to make way, and ends soon.
    is_closing: bool,
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct Clients {
    limits: Limits,
    connections: HashMap<ConnectionNo, Connection>,
    /// The connections that wait for their clients, the longest wait first.
    waiting: BTreeSet<(time::Duration, ConnectionNo)>,
    /// Those of them that hold memory; the one that holds most comes last, and of equal ones the oldest.
    holding: BTreeSet<(usize, Reverse<ConnectionNo>)>,
    /// Memory that all connections hold, in bytes.
    held: usize,
    /// Number of connections that have to make way and haven't ended.
    closing: usize,
    next: ConnectionNo,
}

impl Clients {
    /// Creates a listener's list without connections.
    pub fn open(limits: Limits) -> Clients {
        Clients {
            limits,
            connections: HashMap::new(),
            waiting: BTreeSet::new(),
            holding: BTreeSet::new(),
            held: 0,
            closing: 0,
            next: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the memory that all connections hold, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection, which waits for its client's first request; none while all places are taken.
    pub fn connect(&mut self, now: time::Duration) -> Option<ConnectionNo> {
        if self.connections.len() >= self.limits.connections {
            return None;
        }
        let no = self.next;
        self.next += 1;
        let connection = Connection {
            waits_since: Some(now),
            bytes: 0,
            is_closing: false,
        };
        self.connections.insert(no, connection);
        self.list(no, connection);
        Some(no)
    }

    /// Removes a connection that has ended, with all memory that it held.
    pub fn disconnect(&mut self, no: ConnectionNo) {
        if let Some(connection) = self.connections.remove(&no) {
            self.unlist(no, connection);
            self.held -= connection.bytes;
            self.closing -= usize::from(connection.is_closing);
        }
    }

    /// Chooses the connection to close so that another one finds a place; none where a place is free or becomes so, and
    /// where all requests are being served.
    pub fn choose_for_place(&mut self) -> Option<ConnectionNo> {
        let staying = self.connections.len() - self.closing;
        if staying < self.limits.connections {
            return None;
        }
        self.choose_longest_wait()
    }

    /// Chooses the connection that has waited longest for its client, to be closed; none where all requests are being
    /// served.
    pub fn choose_longest_wait(&mut self) -> Option<ConnectionNo> {
        let (_, no) = *self.waiting.first()?;
        self.choose(no);
        Some(no)
    }

    /// Records that a connection waits for its client, to send the next request or the rest of one, or to read an answer.
    pub fn wait(&mut self, no: ConnectionNo, now: time::Duration) {
        self.change(no, |connection| connection.waits_since = Some(now));
    }

    /// Records that a connection's request is being served, so that the connection isn't closed.
    pub fn serve(&mut self, no: ConnectionNo) {
        self.change(no, |connection| connection.waits_since = None);
    }

    /// Lets a connection hold more memory, at most as much as stays free then, so that requests which can't make way since
    /// they are being served never keep smaller ones out. Returns the connections to close for it; their memory counts as
    /// free.
    ///
    /// # Errors
    ///
    /// Refuses where the connection would hold more than each that could make way.
    pub fn hold(&mut self, no: ConnectionNo, more: usize) -> Result<Vec<ConnectionNo>, NoMemory> {
        let connection = self.connections.get(&no).filter(|c| !c.is_closing);
        let wanted = connection.ok_or(NoMemory)?.bytes + more;
        let (chosen, missing) = self.choose_for_memory(no, more + wanted, wanted);
        if missing > 0 {
            return Err(NoMemory);
        }
        self.take_over(no, more, &chosen);
        Ok(chosen)
    }

    /// Lets a connection hold an answer, which is there already and has to be sent. Returns the connections to close,
    /// as [`hold`](Clients::hold) does; the sum may stay over the limit.
    pub fn hold_answer(&mut self, no: ConnectionNo, bytes: usize) -> Vec<ConnectionNo> {
        let (chosen, _) = self.choose_for_memory(no, bytes, 1);
        self.take_over(no, bytes, &chosen);
        chosen
    }

    /// Chooses connections that hold at least `smallest` bytes each, until `free` bytes are free for `no`. Returns them
    /// with the bytes that are still missing.
    fn choose_for_memory(
        &self,
        no: ConnectionNo,
        free: usize,
        smallest: usize,
    ) -> (Vec<ConnectionNo>, usize) {
        let mut missing = (self.held + free).saturating_sub(self.limits.bytes);
        let mut chosen = Vec::new();
        for (bytes, Reverse(other)) in self.holding.iter().rev().copied() {
            if missing == 0 || bytes < smallest {
                break;
            }
            if other != no {
                missing = missing.saturating_sub(bytes);
                chosen.push(other);
            }
        }
        (chosen, missing)
    }

    /// Gives a connection `more` bytes, and takes those of the chosen ones.
    fn take_over(&mut self, no: ConnectionNo, more: usize, chosen: &[ConnectionNo]) {
        for other in chosen {
            self.change(*other, |connection| connection.bytes = 0);
            self.choose(*other);
        }
        self.change(no, |connection| connection.bytes += more);
    }

    /// Takes back memory that a connection no longer holds, in bytes.
    pub fn release(&mut self, no: ConnectionNo, bytes: usize) {
        self.change(no, |connection| {
            connection.bytes = connection.bytes.saturating_sub(bytes);
        });
    }

    /// Records that a connection has to make way; it isn't chosen again.
    fn choose(&mut self, no: ConnectionNo) {
        self.closing += 1;
        self.change(no, |connection| connection.is_closing = true);
    }

    /// Changes a connection, and with it the order in which connections make way and the sum of what they hold.
    fn change(&mut self, no: ConnectionNo, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(&no) else {
            return;
        };
        let before = *connection;
        change(connection);
        let after = *connection;
        self.held = self.held - before.bytes + after.bytes;
        self.unlist(no, before);
        self.list(no, after);
    }

    fn list(&mut self, no: ConnectionNo, connection: Connection) {
        let waits_since = connection.waits_since.filter(|_| !connection.is_closing);
        if let Some(since) = waits_since {
            self.waiting.insert((since, no));
            if connection.bytes > 0 {
                self.holding.insert((connection.bytes, Reverse(no)));
            }
        }
    }

    fn unlist(&mut self, no: ConnectionNo, connection: Connection) {
        if let Some(since) = connection.waits_since {
            self.waiting.remove(&(since, no));
            self.holding.remove(&(connection.bytes, Reverse(no)));
        }
    }
}
