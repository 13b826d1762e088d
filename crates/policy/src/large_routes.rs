//! Routes whose responses are forwarded while they arrive. See `docs/DESIGN.md`, "Pipelined requests".
//!
//! Load pattern: callers send further requests behind one for a large response. If that response breaks off, its connection
//! must be closed, and what was sent behind it gets no answer although it has run.

use fulmartrestle_core::{RouteId, TimeUs};
use rustc_hash::FxHashMap;

/// Time for which a route counts as one of large responses after the last one, in milliseconds.
const VALID_MS: u64 = 60_000;

/// Remembers which routes have had large responses.
#[derive(Debug, Default)]
pub struct LargeRoutes {
    last_seen: FxHashMap<RouteId, TimeUs>,
}

impl LargeRoutes {
    /// Records a response that is forwarded while it arrives.
    pub fn record_large_response(&mut self, route: &RouteId, now: TimeUs) {
        match self.last_seen.get_mut(route) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.last_seen.retain(|_, last_seen| now.ms_since(*last_seen) < VALID_MS);
                self.last_seen.insert(route.clone(), now);
            }
        }
    }

    /// Returns whether the route has had a large response recently.
    pub fn is_large(&self, route: &RouteId, now: TimeUs) -> bool {
        self.last_seen.get(route).is_some_and(|last_seen| now.ms_since(*last_seen) < VALID_MS)
    }
}
