//! Attribution of outgoing calls of the local target to the running requests that they serve. See
//! `docs/ADMISSION.md`.
//!
//! Load pattern: a target processes many requests of several routes concurrently, and its calls carry
//! neither their request nor its rank. Most calls have the deadline of their request, which identifies it;
//! others have a shorter deadline of their own. Those are attributed by the rates at which running requests
//! of each route make calls: the number of calls that one request makes, over the time that it runs.

mod calls_per_request;

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, RouteId, TimeUs};

use crate::Origin;

use calls_per_request::CallsPerRequest;

/// Maximum time by which the deadline of a call may be earlier than that of its request, in microseconds:
/// deadlines are sent as whole milliseconds, and two messages take their time.
const MAX_DEADLINE_EARLIER_US: u64 = 3_500;

/// Maximum time by which the deadline of a call may be later than that of its request, in microseconds;
/// clocks are read at both ends.
const MAX_DEADLINE_LATER_US: u64 = 500;

/// Weight of a request whose deadline matches that of the call, relative to one whose deadline does not.
const DEADLINE_MATCH_WEIGHT: f64 = 50.0;

#[derive(Debug)]
struct RunningRequest {
    route: RouteId,
    origin: Option<Origin>,
}

/// Requests that run at the local target, ordered by the deadline that was sent with each.
#[derive(Debug, Default)]
pub struct RunningParents {
    requests: BTreeMap<(TimeUs, CallId), RunningRequest>,
    calls_per_request: CallsPerRequest,
}

impl RunningParents {
    /// Adds a request when it is sent to the target.
    pub fn insert(&mut self, deadline: TimeUs, call: CallId, route: RouteId, origin: Option<Origin>, now: TimeUs) {
        self.calls_per_request.record_start(&route, now);
        self.requests.insert((deadline, call), RunningRequest { route, origin });
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, deadline: TimeUs, call: CallId, now: TimeUs) {
        if let Some(request) = self.requests.remove(&(deadline, call)) {
            self.calls_per_request.record_end(&request.route, now);
        }
    }

    /// Returns the origin of the request that a call on `route` with this deadline most likely serves.
    /// `draw` is a random number from 0 to 1: calls are distributed over the running requests by their
    /// likelihood.
    pub fn infer_origin(&mut self, route: &RouteId, deadline: TimeUs, draw: f64, now: TimeUs) -> Option<Origin> {
        self.calls_per_request.record_call(route, now);
        let first_key = (TimeUs(deadline.0.saturating_sub(MAX_DEADLINE_LATER_US)), CallId(0));
        let matches_until = deadline.plus_us(MAX_DEADLINE_EARLIER_US);
        let weight = |(request_deadline, request): (TimeUs, &RunningRequest)| {
            let rate = self.calls_per_request.rate(&request.route, route);
            if request_deadline <= matches_until { rate * DEADLINE_MATCH_WEIGHT } else { rate }
        };
        let candidates =
            || self.requests.range(first_key..).map(|((request_deadline, _), request)| (*request_deadline, request));
        let total: f64 = candidates().map(weight).sum();
        let mut remaining_weight = draw * total;
        let drawn = candidates().find(|candidate| {
            remaining_weight -= weight(*candidate);
            remaining_weight < 0.0
        });
        drawn.or_else(|| candidates().next_back()).and_then(|(_, request)| request.origin.clone())
    }
}
