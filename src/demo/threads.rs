//! Threads of an entry's own, so that one entry can be paused while all else goes on.

use std::future::Future;
use std::sync::{Arc, Barrier};
use std::time;

use anyhow::anyhow;
use tokio::runtime;

/// Worker threads of one entry.
const WORKERS: usize = 2;

/// A runtime that only one entry's tasks run on.
pub struct Threads {
    runtime: Option<runtime::Runtime>,
}

/// Opens the threads.
///
/// # Errors
///
/// Returns an error where threads can't be had.
pub fn open() -> anyhow::Result<Threads> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    Ok(Threads {
        runtime: Some(runtime),
    })
}

impl Threads {
    /// Runs a future, and everything that it spawns, on these threads.
    ///
    /// # Errors
    ///
    /// Returns an error where the future panics.
    pub async fn run<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> anyhow::Result<T> {
        let runtime = self
            .runtime
            .as_ref()
            .expect("the threads run until they are dropped");
        runtime.spawn(future).await.map_err(|e| anyhow!("{e}"))
    }

    /// Blocks every thread for a while: no task runs, no timer fires, no socket is read, and
    /// nothing on them knows of it afterwards, just as if the process had been stopped.
    pub fn pause(&self, pause: time::Duration) {
        let runtime = self
            .runtime
            .as_ref()
            .expect("the threads run until they are dropped");
        // Each blocked thread waits for the others, so that none takes two of the tasks.
        let all = Arc::new(Barrier::new(WORKERS));
        for _ in 0..WORKERS {
            let all = all.clone();
            runtime.spawn(async move {
                all.wait();
                std::thread::sleep(pause);
            });
        }
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
