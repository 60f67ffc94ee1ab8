//! What several test files share: a platform in memory, a scripted HTTP server, the whole path.

#![allow(dead_code)]

pub mod besteffort;
pub mod memory;
pub mod path;
pub mod script;

use std::future::Future;
use std::time;

/// Ends a test that hangs; no verdict depends on how long something takes.
pub const HANG: time::Duration = time::Duration::from_secs(30);

/// Runs the cases of a table file in order on one runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async { tokio::time::timeout(HANG, future).await.expect("no hang") })
}

/// Runs a test as the small programs run: on one thread, so that nothing which is spawned begins
/// before the test waits for something.
pub fn block_on_one_thread<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(async { tokio::time::timeout(HANG, future).await.expect("no hang") })
}

/// Waits until something holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + HANG;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "never: {what}");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}
