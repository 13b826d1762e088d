//! Bytes of requests and responses.

use fulmartrestle_core::{RouteId, Service};
use rustc_hash::FxHashMap;

/// Weight of a new call in the running means. Sizes differ from call to call, and a change of the mean may take minutes.
const CALL_WEIGHT: f64 = 0.01;

/// Bytes of a call before any was measured: a small request and response with their headers.
const DEFAULT_BYTES: f64 = 4_000.0;

/// Largest number of routes whose means are kept.
const MAX_ROUTES: usize = 1_024;

/// Slow means of the bytes of a call, by route and by service.
#[derive(Debug, Default)]
pub struct TransferMeter {
    routes: FxHashMap<RouteId, f64>,
    services: FxHashMap<Service, f64>,
}

impl TransferMeter {
    /// Records the bytes of a call. The mean of a service is taken over the means of the routes of its calls, so that one
    /// large response hardly changes it.
    pub fn record(&mut self, route: &RouteId, service: &Service, bytes: u64) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let route_mean = self.routes.entry(route.clone()).or_insert(bytes as f64);
        *route_mean += (bytes as f64 - *route_mean) * CALL_WEIGHT;
        let service_mean = self.services.entry(service.clone()).or_insert(*route_mean);
        *service_mean += (*route_mean - *service_mean) * CALL_WEIGHT;
    }

    /// Returns the mean bytes of a call of a service.
    pub fn bytes_per_call(&self, service: &Service) -> f64 {
        self.services.get(service).copied().unwrap_or(DEFAULT_BYTES)
    }
}
