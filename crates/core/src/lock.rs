//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table of plain data, even if the mutex is poisoned. Each change to such a table is a single
/// call, so that a panic of another holder leaves it consistent.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
