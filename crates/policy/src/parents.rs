//! Which running request a call of the own target serves. See `docs/ADMISSION.md`.
//!
//! Load pattern: a target works on many requests of several routes at once, and its calls name neither
//! their request nor its urgency. Calls mostly expire with their request, so that deadlines tell; others
//! have a shorter deadline of their own. For those the rates tell at which running requests of each route
//! make calls, which are estimated from how many of each route run whenever a call comes.

mod call_rates;

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, RouteId, TimeUs};

use crate::Origin;

use call_rates::CallRates;

/// Most that the deadline of a call may be behind that of its request, in microseconds: deadlines travel
/// as whole milliseconds, and two messages take their time.
const MAX_BEHIND_US: u64 = 3_500;

/// Most that it may be ahead, in microseconds; clocks are read at both ends.
const MAX_AHEAD_US: u64 = 500;

/// How much likelier a request is the one that is served when its deadline is that of the call.
const DEADLINE_FACTOR: f64 = 50.0;

#[derive(Debug)]
struct Row {
    route: RouteId,
    origin: Option<Origin>,
}

/// Requests that the own target runs, by the deadline that it was given with each.
#[derive(Debug, Default)]
pub struct RunningParents {
    rows: BTreeMap<(TimeUs, CallId), Row>,
    rates: CallRates,
}

impl RunningParents {
    /// Adds a request when the target is handed it.
    pub fn insert(&mut self, deadline: TimeUs, call: CallId, route: RouteId, origin: Option<Origin>, now: TimeUs) {
        self.rates.started(&route, now);
        self.rows.insert((deadline, call), Row { route, origin });
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, deadline: TimeUs, call: CallId, now: TimeUs) {
        if let Some(row) = self.rows.remove(&(deadline, call)) {
            self.rates.ended(&row.route, now);
        }
    }

    /// Returns the request from outside that a call on `route` with this deadline serves. `draw` is a
    /// random number from 0 to 1: calls are spread over the requests by how likely each is.
    pub fn infer_origin(&mut self, route: &RouteId, deadline: TimeUs, draw: f64, now: TimeUs) -> Option<Origin> {
        self.rates.call(route, now);
        let from = (TimeUs(deadline.0.saturating_sub(MAX_AHEAD_US)), CallId(0));
        let close_until = deadline.plus_us(MAX_BEHIND_US);
        let weight = |(at, row): (TimeUs, &Row)| {
            let rate = self.rates.rate(&row.route, route);
            if at <= close_until { rate * DEADLINE_FACTOR } else { rate }
        };
        let candidates = || self.rows.range(from..).map(|((at, _), row)| (*at, row));
        let total: f64 = candidates().map(weight).sum();
        let mut left = draw * total;
        let chosen = candidates().find(|candidate| {
            left -= weight(*candidate);
            left < 0.0
        });
        chosen.or_else(|| candidates().next_back()).and_then(|(_, row)| row.origin.clone())
    }
}
