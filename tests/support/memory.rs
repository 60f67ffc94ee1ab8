//! A platform that keeps rows and objects in memory, and whose operations fail as a test says.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use compact_str::CompactString;
use lovagemill::standin::store;
use lovagemill::wire::platform::{self, Error};

/// How an operation fails, if it does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The operation succeeds.
    None,
    /// The operation has no effect, and the caller learns so.
    Down,
    /// The operation has no effect, and the caller doesn't learn whether it had.
    RequestLost,
    /// The operation takes effect, and the caller doesn't learn whether it did.
    AnswerLost,
}

/// The kind of an operation, by which a test chooses its fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A read of the table or the object store.
    Read,
    /// A write to the table or the object store.
    Write,
}

type Faults = Box<dyn FnMut(Operation) -> Fault + Send>;

/// The platform's state. Clones share it, as processes share a platform.
#[derive(Clone)]
pub struct MemoryPlatform {
    /// The table's rows.
    pub store: Arc<Mutex<store::Store>>,
    /// The object store's objects by name.
    pub objects: Arc<Mutex<HashMap<CompactString, Bytes>>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl MemoryPlatform {
    /// Opens an empty platform.
    pub fn open() -> MemoryPlatform {
        MemoryPlatform {
            store: Arc::default(),
            objects: Arc::default(),
            reads: Arc::default(),
            writes: Arc::default(),
        }
    }

    /// Returns the number of reads and of writes so far, including failed ones.
    pub fn operations(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        (load(&self.reads), load(&self.writes))
    }

    /// Returns one process's access, without faults.
    pub fn platform(&self) -> platform::Platform {
        self.platform_with_faults(Box::new(|_| Fault::None))
    }

    /// Returns one process's access, with faults of its own.
    pub fn platform_with_faults(&self, faults: Faults) -> platform::Platform {
        let access = Access {
            memory: self.clone(),
            faults: Arc::new(Mutex::new(faults)),
        };
        platform::Platform {
            table: access.table(),
            objects: access.objects(),
        }
    }
}

#[derive(Clone)]
struct Access {
    memory: MemoryPlatform,
    faults: Arc<Mutex<Faults>>,
}

impl Access {
    fn table(&self) -> platform::Table {
        let (get, scan, commit) = (self.clone(), self.clone(), self.clone());
        platform::Table {
            get: Arc::new(move |key| {
                let access = get.clone();
                access.run(Operation::Read, move |m| with_rows(m, |s| s.get(&key)))
            }),
            scan: Arc::new(move |prefix| {
                let access = scan.clone();
                access.run(Operation::Read, move |m| with_rows(m, |s| s.scan(&prefix)))
            }),
            commit: Arc::new(move |tx| {
                let access = commit.clone();
                access.run(Operation::Write, move |m| with_rows(m, |s| s.commit(&tx)))
            }),
        }
    }

    fn objects(&self) -> platform::Objects {
        let (put, get, remove) = (self.clone(), self.clone(), self.clone());
        platform::Objects {
            put: Arc::new(move |name, body| {
                let access = put.clone();
                access.run(Operation::Write, move |m| {
                    m.objects.lock().unwrap().insert(name, body);
                })
            }),
            get: Arc::new(move |name| {
                let access = get.clone();
                access.run(Operation::Read, move |m| {
                    m.objects.lock().unwrap().get(&name).cloned()
                })
            }),
            remove: Arc::new(move |name| {
                let access = remove.clone();
                access.run(Operation::Write, move |m| {
                    m.objects.lock().unwrap().remove(&name);
                })
            }),
        }
    }

    fn run<T: Send + 'static>(
        &self,
        operation: Operation,
        apply: impl FnOnce(&MemoryPlatform) -> T + Send + 'static,
    ) -> platform::Pending<Result<T, Error>> {
        let access = self.clone();
        Box::pin(async move {
            let counter = match operation {
                Operation::Read => &access.memory.reads,
                Operation::Write => &access.memory.writes,
            };
            counter.fetch_add(1, Ordering::SeqCst);
            let fault = (access.faults.lock().unwrap())(operation);
            tokio::task::yield_now().await;
            match fault {
                Fault::None => Ok(apply(&access.memory)),
                Fault::Down => Err(Error::NotDone),
                Fault::RequestLost => Err(Error::Unknown),
                Fault::AnswerLost => {
                    apply(&access.memory);
                    Err(Error::Unknown)
                }
            }
        })
    }
}

/// Runs `apply` on the rows.
fn with_rows<T>(memory: &MemoryPlatform, apply: impl FnOnce(&mut store::Store) -> T) -> T {
    apply(&mut memory.store.lock().unwrap())
}
