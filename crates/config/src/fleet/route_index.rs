//! Finds the route of a path.

use std::sync::Arc;

use super::{RouteRow, Table};

/// Places of the routes' rows in the order of their path prefixes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RouteIndex {
    order: Arc<Vec<u32>>,
}

impl RouteIndex {
    pub(super) fn new(routes: &Table<RouteRow>) -> Self {
        let rows = routes.rows();
        let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
        let mut order: Vec<u32> = (0..count).collect();
        order.sort_by(|left, right| rows[*left as usize].path_prefix.cmp(&rows[*right as usize].path_prefix));
        Self { order: Arc::new(order) }
    }

    /// Returns the route with the longest prefix of `path`. Tries the whole path, then cuts it at
    /// one slash after the other: the cost grows with the path's depth and the logarithm of the
    /// number of routes, and no second copy of the prefixes is held, as a trie would.
    pub(super) fn find<'r>(&self, routes: &'r Table<RouteRow>, path: &str) -> Option<&'r RouteRow> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut prefix = path;
        loop {
            if let Some(row) = self.exact(routes, prefix) {
                return Some(row);
            }
            let slash = prefix.rfind('/')?;
            if slash == 0 {
                return if prefix == "/" { None } else { self.exact(routes, "/") };
            }
            prefix = &prefix[..slash];
        }
    }

    fn exact<'r>(&self, routes: &'r Table<RouteRow>, prefix: &str) -> Option<&'r RouteRow> {
        let rows = routes.rows();
        let at = self.order.binary_search_by(|row| rows[*row as usize].path_prefix.as_str().cmp(prefix)).ok()?;
        Some(&rows[self.order[at] as usize])
    }
}
