//! Index for finding the route of a path.

use std::sync::Arc;

use super::{RouteRow, Table};

/// Row indices of the routes, sorted by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RouteIndex {
    row_indices: Arc<Vec<u32>>,
}

impl RouteIndex {
    pub(super) fn new(routes: &Table<RouteRow>) -> Self {
        let rows = routes.rows();
        let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
        let mut row_indices: Vec<u32> = (0..count).collect();
        row_indices.sort_by(|left, right| rows[*left as usize].path_prefix.cmp(&rows[*right as usize].path_prefix));
        Self { row_indices: Arc::new(row_indices) }
    }

    /// Returns the route with the longest prefix of `path`. Looks up the whole path, then shortens it segment by
    /// segment. The cost grows with the depth of the path and the logarithm of the number of routes. Unlike a trie,
    /// the index needs no second copy of the prefixes.
    pub(super) fn find<'r>(&self, routes: &'r Table<RouteRow>, path: &str) -> Option<&'r RouteRow> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut prefix = path;
        loop {
            if let Some(row) = self.find_exact(routes, prefix) {
                return Some(row);
            }
            let slash = prefix.rfind('/')?;
            if slash == 0 {
                return if prefix == "/" { None } else { self.find_exact(routes, "/") };
            }
            prefix = &prefix[..slash];
        }
    }

    fn find_exact<'r>(&self, routes: &'r Table<RouteRow>, prefix: &str) -> Option<&'r RouteRow> {
        let rows = routes.rows();
        let position =
            self.row_indices.binary_search_by(|row| rows[*row as usize].path_prefix.as_str().cmp(prefix)).ok()?;
        Some(&rows[self.row_indices[position] as usize])
    }
}
