//! Rates of offered and admitted requests of each route at one ingress node. See `docs/ADMISSION.md`.
//!
//! Load pattern: most requests of a route are refused at ingress. Their demand on the services behind it
//! can only be estimated from their number, which is known where they arrive.

use fulmartrestle_core::{RouteId, TimeUs};
use fulmartrestle_derive::record;
use rustc_hash::FxHashMap;

use crate::Rank;
use crate::demand::{MAX_ROUTES, SMOOTHING_US, WINDOW_US};

/// Rate in requests per second below which a route is not reported.
const MIN_REPORTED_PER_S: f64 = 0.01;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Request rates of one route and rank at one ingress node.
#[record]
pub struct RouteArrivals {
    /// Route of the requests.
    pub route: RouteId,
    /// Rank of the requests.
    pub rank: Rank,
    /// Offered requests per second, in thousandths.
    pub offered_milli: u32,
    /// Admitted requests per second, in thousandths.
    pub admitted_milli: u32,
}

#[derive(Debug, Default)]
struct RouteCounter {
    offered: f64,
    admitted: f64,
    offered_per_s: f64,
    admitted_per_s: f64,
}

/// Measures the request rates at one ingress node.
#[derive(Debug, Default)]
pub struct ArrivalMeter {
    counters: FxHashMap<(RouteId, Rank), RouteCounter>,
    window_started: TimeUs,
}

impl ArrivalMeter {
    /// Counts a request and whether it was admitted.
    pub fn record_request(&mut self, route: &RouteId, rank: Rank, admitted: bool) {
        let counter = self.counters.entry((route.clone(), rank)).or_default();
        counter.offered += 1.0;
        counter.admitted += f64::from(u8::from(admitted));
    }

    /// Closes the window when it has elapsed and then returns the rate of all requests, in requests per
    /// second.
    pub fn close_elapsed_window(&mut self, now: TimeUs) -> Option<f64> {
        let elapsed_us = now.us_since(self.window_started) as f64;
        if elapsed_us < WINDOW_US as f64 {
            return None;
        }
        self.window_started = now;
        let weight = 1.0 - (-elapsed_us / SMOOTHING_US).exp();
        let per_s = US_PER_S / elapsed_us;
        self.counters.retain(|_, counter| {
            counter.offered_per_s += (counter.offered * per_s - counter.offered_per_s) * weight;
            counter.admitted_per_s += (counter.admitted * per_s - counter.admitted_per_s) * weight;
            (counter.offered, counter.admitted) = (0.0, 0.0);
            counter.offered_per_s >= MIN_REPORTED_PER_S
        });
        Some(self.counters.values().map(|counter| counter.offered_per_s).sum())
    }

    /// Returns the rates, highest first, as many as fit into a message.
    pub fn report(&self) -> Vec<RouteArrivals> {
        let to_arrivals = |((route, rank), counter): (&(RouteId, Rank), &RouteCounter)| RouteArrivals {
            route: route.clone(),
            rank: *rank,
            offered_milli: (counter.offered_per_s * MILLI) as u32,
            admitted_milli: (counter.admitted_per_s * MILLI) as u32,
        };
        let mut arrivals: Vec<_> = self.counters.iter().map(to_arrivals).collect();
        arrivals.sort_by_key(|route| std::cmp::Reverse(route.offered_milli));
        arrivals.truncate(MAX_ROUTES);
        arrivals
    }
}
