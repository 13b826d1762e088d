//! One route.

use fulmartrestle_core::{RouteId, Service};
use fulmartrestle_derive::record;

/// A service that takes a share of a route's requests.
#[record]
pub struct Backend {
    /// The service.
    pub service: Service,
    /// Its share in relation to the other backends'.
    pub weight: u32,
}

/// A route: where requests of one host and path prefix go, and what may be done for them.
#[record]
pub struct Route {
    /// The route's name.
    pub id: RouteId,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Beginning of their paths; it begins and ends with a slash.
    pub prefix: String,
    /// Whether a request whose outcome is unknown may be sent again.
    pub repeatable: bool,
    /// Services that share the requests; at least one.
    pub backends: Vec<Backend>,
    /// Targets that one request may be handed to.
    pub attempts: u32,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Urgency; zero is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Returns the backend for a request. Numbers from a sequence that covers `0..1` evenly keep the
    /// shares close to the weights after few requests already.
    pub fn select_backend(&self, position: f64) -> Option<&Service> {
        let total: f64 = self.backends.iter().map(|backend| f64::from(backend.weight)).sum();
        let mut left = position * total;
        for backend in self.backends.iter().filter(|backend| backend.weight > 0) {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.last().map(|backend| &backend.service)
    }
}
