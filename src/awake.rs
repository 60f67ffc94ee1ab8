//! Time limits that don't count the time for which this process stood still, as when its machine has used up its share
//! of the processor. What another process did meanwhile can't be judged by a clock that went on.

use std::future::Future;
use std::time;

/// The part of a limit that a standstill costs at most.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Waits for a future until `limit` has passed while this process ran; none if the future is still pending then.
///
/// Wakes up every 10 ms, which suits limits of up to some hundred milliseconds.
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
