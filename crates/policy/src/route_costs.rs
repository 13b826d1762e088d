//! What one request of each route costs at each service. See `docs/ADMISSION.md`.
//!
//! Load pattern: calls can't always be told apart by the route that they serve, and a few are taken for
//! another's. Costs change slowly, so that they are learned over many seconds of what was let in and what
//! arrived below; a few calls that are taken for a route of which little is let in just now don't make it
//! look expensive.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service};

/// Time constant of what is remembered, in seconds: long beside the changes of the door, short beside
/// releases that change what a request does.
const MEMORY_S: f64 = 10.0;

/// Share of its age over which a young cost is remembered. Its first moments lack calls that were still on
/// their way.
const YOUNG_SHARE: f64 = 0.4;

/// Shortest memory of a young cost, in seconds: as long as the rates are smoothed.
const LEAST_MEMORY_S: f64 = 0.6;

/// Requests that must have been let in before a cost is known.
const LEAST_REQUESTS: f64 = 1.0;

#[derive(Debug, Default)]
struct Cost {
    age_s: f64,
    slot_s: f64,
    requests: f64,
}

/// Slot seconds that one request takes of each service of its chain.
#[derive(Debug, Default)]
pub struct RouteCosts {
    rows: HashMap<(Service, RouteId), Cost>,
}

impl RouteCosts {
    /// Learns from `elapsed_s` seconds in which `admitted_per_s` requests of a route were let in each second
    /// and asked for `slots` of a service.
    pub fn record_usage(
        &mut self,
        service: &Service,
        route: &RouteId,
        slots: f64,
        admitted_per_s: f64,
        elapsed_s: f64,
    ) {
        let cost = self.rows.entry((service.clone(), route.clone())).or_default();
        cost.age_s += elapsed_s;
        let memory_s = (cost.age_s * YOUNG_SHARE).clamp(LEAST_MEMORY_S, MEMORY_S);
        let kept = (-elapsed_s / memory_s).exp();
        cost.slot_s = cost.slot_s * kept + slots * elapsed_s;
        cost.requests = cost.requests * kept + admitted_per_s * elapsed_s;
    }

    /// Returns what one request of a route takes of a service, in slot seconds; zero while it is unknown.
    pub fn cost(&self, service: &Service, route: &RouteId) -> f64 {
        let cost = self.rows.get(&(service.clone(), route.clone()));
        cost.filter(|cost| cost.requests >= LEAST_REQUESTS).map_or(0.0, |cost| cost.slot_s / cost.requests)
    }
}
