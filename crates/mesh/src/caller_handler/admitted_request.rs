//! A request that passed admission and may be sent to a target.

use fulmartrestle_core::{Fingerprint, RouteId, Service, Tenant, TimeUs};
use fulmartrestle_policy::{Origin, Rank};
use fulmartrestle_transport::ForwardedHeaders;

use crate::call_messages::{CallRequestHead, NoticedRun};

/// The properties of a request that stay the same across its attempts.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The caller's ID of the request.
    pub request_id: Option<String>,
    /// Identifies further tries of the same request, whose IDs differ.
    pub fingerprint: Fingerprint,
    /// The route that the request matched.
    pub route: RouteId,
    /// The service that was selected among the route's backends.
    pub service: Service,
    /// Priority in the gate's queue.
    pub rank: Rank,
    /// The external request that this one belongs to, if known.
    pub origin: Option<Origin>,
    /// The tenant that the request's key belongs to.
    pub tenant: Option<Tenant>,
    /// The service of the node that received the request from its caller.
    pub caller: Service,
    /// Whether the request may be sent again after an unknown outcome.
    pub repeatable: bool,
    /// Maximum number of targets that the request may be sent to.
    pub attempts: u32,
    /// Latest time of the final response.
    pub deadline: TimeUs,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URI.
    pub path: String,
    /// Headers that are forwarded to the target.
    pub headers: ForwardedHeaders,
    /// Whether a target made the request while it served another one.
    pub is_child_call: bool,
}

impl AdmittedRequest {
    /// Returns the head of one attempt, with the time left until the deadline. `noticed` is what is known of the run of
    /// `instance`.
    pub fn head(&self, instance: String, noticed: Option<NoticedRun>, is_retry: bool, now: TimeUs) -> CallRequestHead {
        CallRequestHead {
            request_id: self.request_id.clone(),
            fingerprint: self.fingerprint,
            route: self.route.clone(),
            service: self.service.clone(),
            instance,
            noticed,
            rank: self.rank,
            origin: self.origin.clone(),
            is_retry,
            tenant: self.tenant.clone(),
            caller: self.caller.clone(),
            deadline_left_us: self.deadline.us_since(now),
            repeatable: self.repeatable,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
        }
    }
}
