//! Routes and the selection of their backends.

use fulmartrestle_core::{RouteId, Service};
use fulmartrestle_derive::record;

/// A service that receives a share of a route's requests.
#[record]
pub struct Backend {
    /// The service that handles the requests.
    pub service: Service,
    /// Weight of this backend relative to the other backends of the route.
    pub weight: u32,
}

/// A route: the backends for requests of one host and path prefix, and the rules for these requests.
#[record]
pub struct Route {
    /// Name of the route.
    pub id: RouteId,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be sent again after an unknown outcome.
    pub repeatable: bool,
    /// Whether the operator says that the responses are large.
    pub large_responses: bool,
    /// Services that share the requests; at least one.
    pub backends: Vec<Backend>,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Longest time until a request is answered, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Time within which a response is useful, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Returns the backend for a request. `position` is a number from 0 to 1; positions that cover the range
    /// evenly keep the shares close to the weights after few requests.
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
