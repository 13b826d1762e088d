//! Locking tables that hold plain data.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table. A panic of another holder leaves tables usable, because each change to them is made by
/// one call, so that a poisoned lock is taken over.
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
