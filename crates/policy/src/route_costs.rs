//! Cost of one request of each route at each service. See `docs/ADMISSION.md`.
//!
//! Load pattern: calls can't always be attributed to the route that they serve, and a few are attributed to
//! a wrong one. Costs change slowly, so they are averaged over many seconds of admitted requests and the
//! calls that result from them; a few wrongly attributed calls then don't raise the cost of a route of
//! which few requests are admitted at present.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service};

/// Time constant of the mean costs, in seconds: long compared to changes of the admitted shares, short
/// compared to the interval between releases that change what a request does.
const MAX_TIME_CONSTANT_S: f64 = 10.0;

/// Time constant of a new cost, as a share of its age. The first moments lack calls that have not arrived
/// yet.
const NEW_COST_AGE_SHARE: f64 = 0.4;

/// Minimum time constant of a new cost, in seconds, the time over which the rates are smoothed.
const MIN_TIME_CONSTANT_S: f64 = 0.6;

/// Number of admitted requests below which a cost is unknown.
const MIN_REQUESTS: f64 = 1.0;

#[derive(Debug, Default)]
struct Cost {
    age_s: f64,
    slot_seconds: f64,
    requests: f64,
}

/// Mean slot seconds that one request takes at each service of its chain.
#[derive(Debug, Default)]
pub struct RouteCosts {
    costs: HashMap<(Service, RouteId), Cost>,
}

impl RouteCosts {
    /// Updates the cost with `elapsed_s` seconds in which `admitted_per_s` requests of a route were
    /// admitted per second and had a demand of `slots` on a service.
    pub fn record_demand(
        &mut self,
        service: &Service,
        route: &RouteId,
        slots: f64,
        admitted_per_s: f64,
        elapsed_s: f64,
    ) {
        let cost = self.costs.entry((service.clone(), route.clone())).or_default();
        cost.age_s += elapsed_s;
        let time_constant_s = (cost.age_s * NEW_COST_AGE_SHARE).clamp(MIN_TIME_CONSTANT_S, MAX_TIME_CONSTANT_S);
        let decay = (-elapsed_s / time_constant_s).exp();
        cost.slot_seconds = cost.slot_seconds * decay + slots * elapsed_s;
        cost.requests = cost.requests * decay + admitted_per_s * elapsed_s;
    }

    /// Returns the cost of one request of a route at a service, in slot seconds; zero while it is unknown.
    pub fn cost(&self, service: &Service, route: &RouteId) -> f64 {
        let cost = self.costs.get(&(service.clone(), route.clone()));
        cost.filter(|cost| cost.requests >= MIN_REQUESTS).map_or(0.0, |cost| cost.slot_seconds / cost.requests)
    }
}
