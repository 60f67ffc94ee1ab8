//! A platform of closures over rows in memory, with injected faults.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use compact_str::CompactString;
use lovagemill::standin::store;
use lovagemill::wire::platform::{self, Error};

/// What befalls an operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It has no effect.
    Down,
    /// It has no effect, and nobody can tell.
    RequestLost,
    /// It takes effect and its answer is lost.
    AnswerLost,
}

/// An operation, as faults see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// A read of table or object store.
    Read,
    /// A write to table or object store.
    Write,
}

type Faults = Box<dyn FnMut(Operation) -> Fault + Send>;

/// The platform's state; clones share it, so that several processes meet on it.
#[derive(Clone)]
pub struct MemoryPlatform {
    /// The rows.
    pub store: Arc<Mutex<store::Store>>,
    /// The objects.
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

    /// Operations asked for so far, failed ones included.
    pub fn operations(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::SeqCst);
        (load(&self.reads), load(&self.writes))
    }

    /// One process's access, without faults.
    pub fn platform(&self) -> platform::Platform {
        self.platform_with_faults(Box::new(|_| Fault::None))
    }

    /// One process's access, with faults of its own.
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
                access.run(Operation::Read, move |m| rows(m, |s| s.get(&key)))
            }),
            scan: Arc::new(move |prefix| {
                let access = scan.clone();
                access.run(Operation::Read, move |m| rows(m, |s| s.scan(&prefix)))
            }),
            commit: Arc::new(move |tx| {
                let access = commit.clone();
                access.run(Operation::Write, move |m| rows(m, |s| s.commit(&tx)))
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

fn rows<T>(memory: &MemoryPlatform, apply: impl FnOnce(&mut store::Store) -> T) -> T {
    apply(&mut memory.store.lock().unwrap())
}
