//! Locks whose state outlives a panic.
//!
//! What the best-effort parts guard is changed in one step, so that a panic between two steps leaves
//! it whole. Going on with it serves the other callers; giving up would end the process.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, also one that a panic has left.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
