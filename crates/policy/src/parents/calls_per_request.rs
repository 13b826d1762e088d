//! Estimated number of calls that one request of each route makes.
//!
//! Load pattern: a surge at a service downstream. Calls take several times as long, and so do the requests that make them,
//! while requests of other routes run on beside them. Rates of calls by the number of running requests change then, and the
//! calls that are missing in one place are attributed to the routes that were running; the number of calls that a request
//! makes stays the same.

use fulmartrestle_core::{RouteId, TimeUs};
use rustc_hash::FxHashMap;

/// Length of the windows in which requests and calls are counted, in microseconds. A shorter one separates the calls of a
/// request from its start and end; a longer one holds more requests, and their numbers vary less.
const WINDOW_US: u64 = 400_000;

/// Time constant with which windows are forgotten, in microseconds. The number of calls changes with releases only.
const MEMORY_US: f64 = 40_000_000.0;

/// Time constant of the mean running times, in microseconds; they change with the load.
const RUNNING_TIME_MEMORY_US: f64 = 3_000_000.0;

/// Maximum number of distinguished parent routes; further ones are rare at one target.
const MAX_PARENT_ROUTES: usize = 8;

/// Windows that are assumed in advance in which each route alone made one call a request. Until the measured ones outweigh
/// them, calls are divided among all running routes.
const ASSUMED_WINDOWS: f64 = 1.0;

/// Sweeps over all routes in one solution of the least squares problem. It continues from the previous solution, which
/// differs little.
const SWEEPS: usize = 24;

/// Minimum number of calls a request. With a minimum, a route that begins to make calls is not ruled out.
const MIN_CALLS: f64 = 1e-4;

const US_PER_S: f64 = 1e6;

type ByRoute = [f64; MAX_PARENT_ROUTES];

/// Calls on one route: the right side of the normal equations, and their solution.
#[derive(Debug)]
struct RouteCalls {
    in_window: f64,
    products: ByRoute,
    per_request: ByRoute,
}

impl Default for RouteCalls {
    fn default() -> Self {
        Self { in_window: 0.0, products: [0.0; MAX_PARENT_ROUTES], per_request: [1.0; MAX_PARENT_ROUTES] }
    }
}

/// Non-negative least squares over windows: the calls of a window are explained by the requests of each route that started
/// or ended in it, where each start and each end counts half.
#[derive(Debug, Default)]
pub(super) struct CallsPerRequest {
    route_indexes: FxHashMap<RouteId, usize>,
    window_started: TimeUs,
    requests_in_window: ByRoute,
    squares: [ByRoute; MAX_PARENT_ROUTES],
    calls: FxHashMap<RouteId, RouteCalls>,
    running: ByRoute,
    running_us: ByRoute,
    ends: ByRoute,
    updated_at: TimeUs,
}

impl CallsPerRequest {
    /// Counts a request that starts.
    pub fn record_start(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        if !self.route_indexes.contains_key(route) && self.route_indexes.len() < MAX_PARENT_ROUTES {
            self.route_indexes.insert(route.clone(), self.route_indexes.len());
        }
        if let Some(index) = self.route_indexes.get(route) {
            self.running[*index] += 1.0;
            self.requests_in_window[*index] += 0.5;
        }
    }

    /// Counts a request that ends.
    pub fn record_end(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        if let Some(index) = self.route_indexes.get(route) {
            self.running[*index] -= 1.0;
            self.ends[*index] += 1.0;
            self.requests_in_window[*index] += 0.5;
        }
    }

    /// Counts a call of the target.
    pub fn record_call(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        match self.calls.get_mut(route) {
            Some(calls) => calls.in_window += 1.0,
            None => {
                self.calls.insert(route.clone(), RouteCalls { in_window: 1.0, ..RouteCalls::default() });
            }
        }
    }

    /// Returns the rates at which running requests make calls on `route`.
    pub fn rates_of_calls(&self, route: &RouteId) -> CallRates<'_> {
        CallRates { estimates: self, calls: self.calls.get(route) }
    }

    /// Returns the mean running time of a route's requests, in seconds.
    fn mean_running_s(&self, index: usize) -> f64 {
        (self.running_us[index] / (self.ends[index] + 1.0) / US_PER_S).max(1e-3)
    }

    fn advance(&mut self, now: TimeUs) {
        let elapsed_us = now.us_since(self.updated_at) as f64;
        if self.updated_at > TimeUs(0) {
            let kept = (-elapsed_us / RUNNING_TIME_MEMORY_US).exp();
            for index in 0..MAX_PARENT_ROUTES {
                self.running_us[index] = self.running_us[index] * kept + self.running[index] * elapsed_us;
                self.ends[index] *= kept;
            }
        }
        self.updated_at = self.updated_at.max(now);
        let window_us = now.us_since(self.window_started);
        if window_us >= WINDOW_US {
            self.window_started = now;
            // A window without calls for longer than usual holds no information about the rate of calls.
            self.close_window(window_us < 2 * WINDOW_US, (-(window_us as f64) / MEMORY_US).exp());
        }
    }

    fn close_window(&mut self, is_complete: bool, kept: f64) {
        let requests = std::mem::take(&mut self.requests_in_window);
        if !is_complete {
            self.calls.values_mut().for_each(|calls| calls.in_window = 0.0);
            return;
        }
        for (row, in_row) in self.squares.iter_mut().zip(requests) {
            for (square, in_column) in row.iter_mut().zip(requests) {
                *square = *square * kept + in_row * in_column;
            }
        }
        for calls in self.calls.values_mut() {
            for (product, in_row) in calls.products.iter_mut().zip(requests) {
                *product = *product * kept + in_row * calls.in_window;
            }
            calls.in_window = 0.0;
            calls.solve(&self.squares, self.route_indexes.len());
        }
    }
}

/// Rates at which running requests make calls on one route.
pub(super) struct CallRates<'e> {
    estimates: &'e CallsPerRequest,
    calls: Option<&'e RouteCalls>,
}

impl CallRates<'_> {
    /// Returns the rate at which one running request of `parent` makes calls, in calls per second.
    pub fn of_requests(&self, parent: &RouteId) -> f64 {
        let index = self.estimates.route_indexes.get(parent);
        let rate =
            |(index, calls): (&usize, &RouteCalls)| calls.per_request[*index] / self.estimates.mean_running_s(*index);
        index.zip(self.calls).map_or(MIN_CALLS, rate)
    }
}

impl RouteCalls {
    /// Solves the normal equations by coordinate descent, without negative numbers of calls.
    fn solve(&mut self, squares: &[ByRoute; MAX_PARENT_ROUTES], routes: usize) {
        for _ in 0..SWEEPS {
            for (index, row) in squares.iter().enumerate().take(routes) {
                let explained: f64 = row.iter().zip(self.per_request).map(|(square, calls)| square * calls).sum();
                let by_others = explained - row[index] * self.per_request[index];
                let calls = (self.products[index] - by_others + ASSUMED_WINDOWS) / (row[index] + ASSUMED_WINDOWS);
                self.per_request[index] = calls.max(MIN_CALLS);
            }
        }
    }
}
