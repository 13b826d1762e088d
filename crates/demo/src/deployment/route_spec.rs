//! Route of a deployment.

use fulmartrestle_core::{Class, RouteId, Service};
use fulmartrestle_derive::local;

/// A route and its share of the load.
#[local]
pub struct RouteSpec {
    /// Name of the route.
    pub route: RouteId,
    /// Path prefix of the route's requests.
    pub path: String,
    /// Service that handles the route's requests.
    pub service: Service,
    /// Priority class.
    pub class: Class,
    /// Whether requests run at most once and need an idempotency key.
    pub at_most_once: bool,
    /// Weight in the usual distribution of requests over routes.
    pub weight: u32,
    /// Weight after a peak shift.
    pub shifted_weight: u32,
}

impl RouteSpec {
    /// Returns a route to `service`, with the service's name as its name and path. Requests of class
    /// `Protected` run at most once.
    pub(super) fn new(service: &str, class: Class, weight: u32, shifted_weight: u32) -> Self {
        Self {
            route: super::parse_name(service),
            path: format!("/{service}"),
            service: super::parse_name(service),
            class,
            at_most_once: class == Class::Protected,
            weight,
            shifted_weight,
        }
    }
}
