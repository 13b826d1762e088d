//! One route of a deployment.

use fulmartrestle_core::{Class, RouteId, Service};
use fulmartrestle_derive::local;

/// A route, with its part in the load.
#[local]
pub struct RouteSpec {
    /// The route.
    pub route: RouteId,
    /// Path prefix that callers use.
    pub path: String,
    /// The service behind it.
    pub service: Service,
    /// Its importance.
    pub class: Class,
    /// Whether a request runs at most once and needs an idempotency key.
    pub at_most_once: bool,
    /// Weight of the route in the load.
    pub weight: u32,
    /// Weight of the route after traffic has moved.
    pub shifted_weight: u32,
}

impl RouteSpec {
    /// Returns the route of `service`, whose path is the service's name.
    pub(super) fn new(service: &str, class: Class, weight: u32, shifted_weight: u32) -> Self {
        Self {
            route: super::id(service),
            path: format!("/{service}"),
            service: super::id(service),
            class,
            at_most_once: class == Class::Protected,
            weight,
            shifted_weight,
        }
    }
}
