//! Time limits that don't count a standstill of this process, as when its machine has used up its share of the
//! processor. Measured by a clock that goes on meanwhile, a standstill would count as silence of another process.

use std::future::Future;
use std::time;

/// The part of a limit that a standstill of any length uses up at most.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Waits for a future until this process has run for `limit`; returns none if the future is still pending then.
///
/// Wakes up every 10 ms, so it is meant for limits of up to some hundred milliseconds.
pub async fn timeout<F: Future>(limit: time::Duration, future: F) -> Option<F::Output> {
    tokio::pin!(future);
    let mut left = limit;
    while !left.is_zero() {
        let step = left.min(STEP);
        if let Ok(output) = tokio::time::timeout(step, &mut future).await {
            return Some(output);
        }
        left -= step;
    }
    None
}
