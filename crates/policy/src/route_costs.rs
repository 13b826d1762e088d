//! Cost of one request of each route at each service. See `docs/ADMISSION.md`.
//!
//! Load pattern: calls can't always be attributed to the route that they serve, and a few are attributed to
//! a wrong one. Costs change slowly, so they are averaged over many seconds of admitted requests and the
//! calls that result from them; a few wrongly attributed calls then don't raise the cost of a route of
//! which few requests are admitted at present.

use fulmartrestle_core::{RouteId, Service};
use fulmartrestle_derive::local;
use rustc_hash::FxHashMap;

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

/// Number of requests from which on the cost of a route of which few requests are admitted counts, and the share of its
/// usual cost up to which it does. It contains calls of other routes that were attributed to this one, so a far lower cost
/// shows that the usual one was attributed wrongly, and a higher one shows nothing.
const MIN_RESTRICTED_REQUESTS: f64 = 20.0;
const MAX_RESTRICTED_COST_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
struct Cost {
    age_s: f64,
    slot_seconds: f64,
    requests: f64,
}

/// Costs of one route at one service.
#[derive(Debug, Default)]
struct MeasuredCosts {
    /// Measured while enough of the route's requests are admitted.
    usual: Cost,
    /// Measured since few of them are admitted.
    restricted: Cost,
}

/// Mean slot seconds that one request takes at each service of its chain.
#[derive(Debug, Default)]
pub struct RouteCosts {
    costs: FxHashMap<(Service, RouteId), MeasuredCosts>,
}

/// Demand of a route's admitted requests on a service.
#[local]
#[derive(Copy)]
pub struct AdmittedDemand {
    /// Demand in slots.
    pub slots: f64,
    /// Admitted requests per second.
    pub admitted_per_s: f64,
    /// Whether so few of the route's requests are admitted that calls of other routes weigh in its demand.
    pub is_restricted: bool,
}

impl Cost {
    fn record(&mut self, demand: AdmittedDemand, elapsed_s: f64) {
        self.age_s += elapsed_s;
        let time_constant_s = (self.age_s * NEW_COST_AGE_SHARE).clamp(MIN_TIME_CONSTANT_S, MAX_TIME_CONSTANT_S);
        let decay = (-elapsed_s / time_constant_s).exp();
        self.slot_seconds = self.slot_seconds * decay + demand.slots * elapsed_s;
        self.requests = self.requests * decay + demand.admitted_per_s * elapsed_s;
    }

    /// Returns the slot seconds of one request if there were at least `min_requests`.
    fn of_request(&self, min_requests: f64) -> Option<f64> {
        (self.requests >= min_requests).then(|| self.slot_seconds / self.requests)
    }
}

/// Mean time for which the calls at a service hold their slots, over the same time as the costs.
#[derive(Debug, Default)]
pub struct HoldTime {
    age_s: f64,
    mean_s: f64,
}

impl HoldTime {
    /// Adds `elapsed_s` seconds in which calls held their slots for `hold_s` seconds.
    pub fn record(&mut self, hold_s: f64, elapsed_s: f64) {
        self.age_s += elapsed_s;
        let time_constant_s = (self.age_s * NEW_COST_AGE_SHARE).clamp(MIN_TIME_CONSTANT_S, MAX_TIME_CONSTANT_S);
        let weight = if self.mean_s == 0.0 { 1.0 } else { 1.0 - (-elapsed_s / time_constant_s).exp() };
        self.mean_s += (hold_s - self.mean_s) * weight;
    }

    /// Returns the present time of `hold_s` seconds as a share of the mean, at most 1.
    pub fn shortening(&self, hold_s: f64) -> f64 {
        if self.mean_s > 0.0 { (hold_s / self.mean_s).min(1.0) } else { 1.0 }
    }
}

impl MeasuredCosts {
    /// Returns whether the cost measured while few requests are admitted shows that the usual one is wrong.
    fn is_refuted_by(&self, restricted: &Cost) -> bool {
        let usual = self.usual.of_request(MIN_REQUESTS);
        let restricted = restricted.of_request(MIN_RESTRICTED_REQUESTS);
        usual.zip(restricted).is_some_and(|(usual, restricted)| restricted < usual * MAX_RESTRICTED_COST_SHARE)
    }
}

impl RouteCosts {
    /// Updates the cost with `elapsed_s` seconds of demand.
    pub fn record_demand(&mut self, service: &Service, route: &RouteId, demand: AdmittedDemand, elapsed_s: f64) {
        let costs = self.costs.entry((service.clone(), route.clone())).or_default();
        match demand.is_restricted {
            true => costs.restricted.record(demand, elapsed_s),
            false => {
                let restricted = std::mem::take(&mut costs.restricted);
                if costs.is_refuted_by(&restricted) {
                    costs.usual = restricted;
                }
                costs.usual.record(demand, elapsed_s);
            }
        }
    }

    /// Returns the cost of one request of a route at a service, in slot seconds; zero while it is unknown.
    pub fn cost(&self, service: &Service, route: &RouteId) -> f64 {
        let Some(costs) = self.costs.get(&(service.clone(), route.clone())) else { return 0.0 };
        let is_refuted = costs.is_refuted_by(&costs.restricted);
        let cost = if is_refuted { &costs.restricted } else { &costs.usual };
        cost.of_request(MIN_REQUESTS).unwrap_or_default()
    }
}
