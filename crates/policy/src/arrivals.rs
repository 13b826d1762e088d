//! How many requests of each route come to one entry, and how many of them it lets in. See `docs/ADMISSION.md`.
//!
//! Load pattern: most requests of a route are refused at the door. What they would have asked of the services
//! behind it can only be told from their number, which is known where they arrive.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, TimeUs};
use fulmartrestle_derive::record;

use crate::Rank;
use crate::demand::{MAX_ROUTES, SMOOTHING_US, SPAN_US};

/// Rates below this are not reported, in requests a second.
const LEAST_PER_S: f64 = 0.01;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// Requests of one route and urgency at one entry.
#[record]
pub struct RouteArrivals {
    /// The route.
    pub route: RouteId,
    /// Their urgency.
    pub rank: Rank,
    /// Thousandths of requests that came each second.
    pub offered_milli: u32,
    /// Thousandths of requests that were let in each second.
    pub admitted_milli: u32,
}

#[derive(Debug, Default)]
struct Row {
    asked: f64,
    admitted: f64,
    asked_per_s: f64,
    admitted_per_s: f64,
}

/// Counts the requests at one entry.
#[derive(Debug, Default)]
pub struct ArrivalMeter {
    rows: HashMap<(RouteId, Rank), Row>,
    span_started: TimeUs,
}

impl ArrivalMeter {
    /// Counts a request.
    pub fn record_request(&mut self, route: &RouteId, rank: Rank, admitted: bool) {
        let row = self.rows.entry((route.clone(), rank)).or_default();
        row.asked += 1.0;
        row.admitted += f64::from(u8::from(admitted));
    }

    /// Closes the span when it is over. Returns the rate of all requests then, in requests a second.
    pub fn close_elapsed_window(&mut self, now: TimeUs) -> Option<f64> {
        let elapsed_us = now.us_since(self.span_started) as f64;
        if elapsed_us < SPAN_US as f64 {
            return None;
        }
        self.span_started = now;
        let weight = 1.0 - (-elapsed_us / SMOOTHING_US).exp();
        let per_s = US_PER_S / elapsed_us;
        self.rows.retain(|_, row| {
            row.asked_per_s += (row.asked * per_s - row.asked_per_s) * weight;
            row.admitted_per_s += (row.admitted * per_s - row.admitted_per_s) * weight;
            (row.asked, row.admitted) = (0.0, 0.0);
            row.asked_per_s >= LEAST_PER_S
        });
        Some(self.rows.values().map(|row| row.asked_per_s).sum())
    }

    /// Returns the rates, those with most requests first, as many as fit into a message.
    pub fn report(&self) -> Vec<RouteArrivals> {
        let arrivals = |((route, rank), row): (&(RouteId, Rank), &Row)| RouteArrivals {
            route: route.clone(),
            rank: *rank,
            offered_milli: (row.asked_per_s * MILLI) as u32,
            admitted_milli: (row.admitted_per_s * MILLI) as u32,
        };
        let mut rows: Vec<_> = self.rows.iter().map(arrivals).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.offered_milli));
        rows.truncate(MAX_ROUTES);
        rows
    }
}
