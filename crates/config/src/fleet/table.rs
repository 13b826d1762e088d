//! Sorted tables of rows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A row of a table.
pub trait Row: Clone {
    /// Identifies the row within its table.
    type Key: Ord;

    /// Returns the row's key.
    fn key(&self) -> &Self::Key;
}

/// Rows sorted by key. Clones share the rows until one of them changes, so that a new version of the configuration
/// copies only the tables that it changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    from = "Vec<R>",
    into = "Vec<R>",
    bound(serialize = "R: Row + Serialize", deserialize = "R: Row + Deserialize<'de>")
)]
pub struct Table<R: Row> {
    rows: Arc<Vec<R>>,
}

impl<R: Row> Default for Table<R> {
    fn default() -> Self {
        Self { rows: Arc::default() }
    }
}

impl<R: Row> Table<R> {
    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> &[R] {
        &self.rows
    }

    /// Returns the row with `key`, if there is one.
    pub fn get(&self, key: &R::Key) -> Option<&R> {
        self.find(key).ok().map(|index| &self.rows[index])
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether both tables share their rows, which implies that they are equal.
    pub(crate) fn shares_rows(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.rows, &other.rows)
    }

    /// Inserts a row, or replaces the row with the same key.
    pub fn put(&mut self, row: R) {
        let found = self.find(row.key());
        let rows = Arc::make_mut(&mut self.rows);
        match found {
            Ok(index) => rows[index] = row,
            Err(index) => rows.insert(index, row),
        }
    }

    /// Removes and returns the row with `key`, if there is one.
    pub fn remove(&mut self, key: &R::Key) -> Option<R> {
        let index = self.find(key).ok()?;
        Some(Arc::make_mut(&mut self.rows).remove(index))
    }

    /// Applies `change` to all rows that match. `change` must not modify their keys.
    pub(crate) fn update_where(&mut self, matches: impl Fn(&R) -> bool, change: impl Fn(&mut R)) {
        if self.rows.iter().any(&matches) {
            Arc::make_mut(&mut self.rows).iter_mut().filter(|row| matches(row)).for_each(change);
        }
    }

    fn find(&self, key: &R::Key) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key().cmp(key))
    }
}

impl<R: Row> From<Vec<R>> for Table<R> {
    /// Sorts the rows. Of several rows with the same key the first is kept.
    fn from(mut rows: Vec<R>) -> Self {
        rows.sort_by(|left, right| left.key().cmp(right.key()));
        rows.dedup_by(|later, earlier| later.key() == earlier.key());
        Self { rows: Arc::new(rows) }
    }
}

impl<R: Row> From<Table<R>> for Vec<R> {
    fn from(table: Table<R>) -> Self {
        Arc::unwrap_or_clone(table.rows)
    }
}
