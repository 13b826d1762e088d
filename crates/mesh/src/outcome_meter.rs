//! Outcomes of requests by route and second, for the timeline of a bad hour. See `docs/OPERATIONS.md`.

use std::collections::{BTreeMap, HashMap};

use fulmartrestle_core::{RouteId, TimeUs};

/// Length of the windows in which outcomes are counted, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A target's response was returned.
    Answered,
    /// The request failed or was refused, for the named reason.
    Unserved(&'static str),
}

/// The route of a request, as far as its outcome depends on it.
#[derive(Clone, Copy, Debug)]
pub struct RequestRoute<'r> {
    /// Route that the request matched.
    pub id: &'r RouteId,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Latency objective in milliseconds; `None` if the route has none.
    pub objective_ms: Option<u64>,
    /// Whether a target made the request while it served another one.
    pub is_child_call: bool,
}

/// Outcomes of one route's requests in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteOutcomes {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the requests are calls of targets.
    pub is_child_call: bool,
    /// Requests that were answered within the route's latency objective.
    pub in_time: u64,
    /// Requests that were answered later.
    pub late: u64,
    /// Sum of the times until the responses, in milliseconds.
    pub answered_ms: u64,
    /// Other requests, by reason.
    pub unserved: BTreeMap<&'static str, u64>,
}

impl RouteOutcomes {
    /// Returns the requests that were not served as `reason=count` pairs, separated by spaces.
    pub fn unserved_text(&self) -> String {
        let pairs: Vec<String> = self.unserved.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
        pairs.join(" ")
    }
}

/// Counts the outcomes of the requests that entered at one node.
#[derive(Debug, Default)]
pub struct OutcomeMeter {
    routes: HashMap<RouteId, RouteOutcomes>,
    window_started: Option<TimeUs>,
}

impl OutcomeMeter {
    /// Counts a request that ended `took_us` microseconds after it arrived.
    pub fn record(&mut self, route: RequestRoute<'_>, end: RequestEnd, took_us: u64) {
        if !self.routes.contains_key(route.id) {
            self.routes.insert(route.id.clone(), RouteOutcomes::default());
        }
        let Some(outcomes) = self.routes.get_mut(route.id) else { return };
        (outcomes.priority, outcomes.is_child_call) = (route.priority, route.is_child_call);
        match end {
            RequestEnd::Unserved(reason) => *outcomes.unserved.entry(reason).or_default() += 1,
            RequestEnd::Answered => {
                let is_late = route.objective_ms.is_some_and(|objective_ms| took_us > objective_ms * 1_000);
                *(if is_late { &mut outcomes.late } else { &mut outcomes.in_time }) += 1;
                outcomes.answered_ms += took_us / 1_000;
            }
        }
    }

    /// Returns the outcomes of the window that has elapsed and its length in milliseconds, ordered by route; `None` while
    /// the window lasts.
    pub fn close_elapsed_window(&mut self, now: TimeUs) -> Option<(Vec<(RouteId, RouteOutcomes)>, u64)> {
        let elapsed_us = now.us_since(*self.window_started.get_or_insert(now));
        if elapsed_us < WINDOW_US {
            return None;
        }
        self.window_started = Some(now);
        let mut routes: Vec<_> = std::mem::take(&mut self.routes).into_iter().collect();
        routes.sort_by(|(left, _), (right, _)| left.cmp(right));
        Some((routes, elapsed_us / 1_000))
    }
}
