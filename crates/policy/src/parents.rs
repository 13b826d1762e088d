//! Which running request a call of the own target serves. See `docs/ADMISSION.md`.
//!
//! Load pattern: a target works on many requests at once, and its calls name neither their request nor
//! its urgency. Most calls expire with their request, so that the deadlines tell. Others have a shorter
//! deadline of their own; they can only belong to a request that outlives them, and are spread over those
//! whose route is known to make such calls.

use std::collections::{BTreeMap, HashSet};

use fulmartrestle_core::{CallId, RouteId, TimeUs};

use crate::Origin;

/// Largest difference between the deadline of a call and that of its request, in microseconds: deadlines
/// travel as whole milliseconds, and two messages take their time.
const TOLERANCE_US: u64 = 3_500;

#[derive(Debug)]
struct Row {
    route: RouteId,
    origin: Option<Origin>,
}

/// Requests that the own target runs, by the deadline that it was given with each.
#[derive(Debug, Default)]
pub struct RunningParents {
    rows: BTreeMap<(TimeUs, CallId), Row>,
    /// Routes whose requests were seen to make calls on other routes.
    makes_calls: HashSet<(RouteId, RouteId)>,
}

impl RunningParents {
    /// Adds a request when the target is handed it.
    pub fn insert(&mut self, deadline: TimeUs, call: CallId, route: RouteId, origin: Option<Origin>) {
        self.rows.insert((deadline, call), Row { route, origin });
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, deadline: TimeUs, call: CallId) {
        self.rows.remove(&(deadline, call));
    }

    /// Returns the request from outside that a call on `route` with this deadline serves. `draw` is a
    /// random number from 0 to 1, which spreads calls whose deadline does not tell.
    pub fn origin_of_call(&mut self, route: &RouteId, deadline: TimeUs, draw: f64) -> Option<Origin> {
        let gap_us = |at: TimeUs| at.us_since(deadline).max(deadline.us_since(at));
        let from = (TimeUs(deadline.0.saturating_sub(TOLERANCE_US)), CallId(0));
        let to = (deadline.plus_us(TOLERANCE_US), CallId(u64::MAX));
        let close = self.rows.range(from..=to).min_by_key(|((at, _), _)| gap_us(*at));
        if let Some((_, row)) = close {
            let origin = row.origin.clone();
            let made = (row.route.clone(), route.clone());
            if !self.makes_calls.contains(&made) {
                self.makes_calls.insert(made);
            }
            return origin;
        }
        let outlive: Vec<&Row> = self.rows.range(from..).map(|(_, row)| row).collect();
        let known = |row: &&&Row| self.makes_calls.contains(&(row.route.clone(), route.clone()));
        let likely: Vec<&Row> = outlive.iter().filter(known).copied().collect();
        let candidates = if likely.is_empty() { outlive } else { likely };
        let place = (draw * candidates.len() as f64) as usize;
        candidates.get(place).and_then(|row| row.origin.clone())
    }
}
