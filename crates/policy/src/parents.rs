//! Attribution of outgoing calls of the local target to the running requests that they serve. See
//! `docs/ADMISSION.md`.
//!
//! Load pattern: a target processes many requests of several routes concurrently, and its calls carry
//! neither their request nor its rank. Most calls have the deadline of their request, which identifies it;
//! others have a shorter deadline of their own. Those are attributed by the rates at which running requests
//! of each route make calls: the number of calls that one request makes, over the time that it runs.
//!
//! A target may run hundreds of requests that make a call each few milliseconds, so the cost of one attribution must
//! not grow with their number: requests are counted by origin and by intervals of their deadlines.

mod calls_per_request;
mod deadline_counts;

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, RouteId, TimeUs};

use crate::Origin;

use calls_per_request::CallsPerRequest;
use deadline_counts::{DeadlineCounts, GroupCounts};

/// Maximum time by which the deadline of a call may be earlier than that of its request, in microseconds:
/// deadlines are sent as whole milliseconds, and two messages take their time.
const MAX_DEADLINE_EARLIER_US: u64 = 3_500;

/// Maximum time by which the deadline of a call may be later than that of its request, in microseconds;
/// clocks are read at both ends.
const MAX_DEADLINE_LATER_US: u64 = 500;

/// Weight of a request whose deadline matches that of the call, relative to one whose deadline does not.
const DEADLINE_MATCH_WEIGHT: f64 = 50.0;

/// Requests of one route that serve external requests of one route and rank. All of them make calls at the same rate.
#[derive(Debug)]
struct RequestGroup {
    route: RouteId,
    origin: Option<Origin>,
    running: u32,
}

/// Requests that run at the local target, ordered by the deadline that was sent with each.
#[derive(Debug, Default)]
pub struct RunningParents {
    groups: Vec<RequestGroup>,
    /// Index of the group of each request.
    requests: BTreeMap<(TimeUs, CallId), usize>,
    by_deadline: DeadlineCounts,
    calls_per_request: CallsPerRequest,
}

impl RunningParents {
    /// Adds a request when it is sent to the target.
    pub fn insert(&mut self, deadline: TimeUs, call: CallId, route: RouteId, origin: Option<Origin>, now: TimeUs) {
        self.calls_per_request.record_start(&route, now);
        let group = self.group_of(route, origin);
        self.groups[group].running += 1;
        self.by_deadline.add(deadline, group);
        self.requests.insert((deadline, call), group);
    }

    /// Removes a request that ended.
    pub fn remove(&mut self, deadline: TimeUs, call: CallId, now: TimeUs) {
        if let Some(group) = self.requests.remove(&(deadline, call)) {
            self.by_deadline.subtract(deadline, group);
            self.groups[group].running -= 1;
            self.calls_per_request.record_end(&self.groups[group].route, now);
        }
    }

    /// Returns the origin of the request that a call on `route` with this deadline most likely serves.
    /// `draw` is a random number from 0 to 1: calls are distributed over the running requests by their
    /// likelihood.
    pub fn infer_origin(&mut self, route: &RouteId, deadline: TimeUs, draw: f64, now: TimeUs) -> Option<Origin> {
        self.calls_per_request.record_call(route, now);
        let weights = self.weights(route, deadline);
        let mut remaining_weight = draw * weights.iter().sum::<f64>();
        let drawn = weights.iter().position(|weight| {
            remaining_weight -= weight;
            remaining_weight < 0.0
        });
        let group = drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))?;
        self.groups[group].origin.clone()
    }

    /// Returns the likelihood that a call on `route` with this deadline serves a request of each group.
    fn weights(&self, route: &RouteId, deadline: TimeUs) -> Vec<f64> {
        let first_key = (TimeUs(deadline.0.saturating_sub(MAX_DEADLINE_LATER_US)), CallId(0));
        let last_match = (deadline.plus_us(MAX_DEADLINE_EARLIER_US), CallId(u64::MAX));
        let mut matching: GroupCounts = vec![0; self.groups.len()];
        for group in self.requests.range(first_key..=last_match).map(|(_, group)| *group) {
            matching[group] += 1;
        }
        // The counts are of whole intervals; the requests in the rest of the interval of the last match are counted here.
        let (interval_end, mut later) = self.by_deadline.counts_after(last_match.0, self.groups.len());
        for group in self.requests.range(last_match..(interval_end, CallId(0))).map(|(_, group)| *group) {
            later[group] += 1;
        }
        let rates = self.calls_per_request.rates_of_calls(route);
        let weight = |(group, (matching, later)): (&RequestGroup, (u32, u32))| match matching + later {
            0 => 0.0,
            _ => (f64::from(matching) * DEADLINE_MATCH_WEIGHT + f64::from(later)) * rates.of_requests(&group.route),
        };
        self.groups.iter().zip(matching.into_iter().zip(later)).map(weight).collect()
    }

    /// Returns the index of a group. A group without requests is replaced, so that their number stays small.
    fn group_of(&mut self, route: RouteId, origin: Option<Origin>) -> usize {
        let is_same = |group: &RequestGroup| group.route == route && group.origin == origin;
        if let Some(index) = self.groups.iter().position(is_same) {
            return index;
        }
        let group = RequestGroup { route, origin, running: 0 };
        match self.groups.iter().position(|group| group.running == 0) {
            Some(index) => {
                self.groups[index] = group;
                index
            }
            None => {
                self.groups.push(group);
                self.groups.len() - 1
            }
        }
    }
}
