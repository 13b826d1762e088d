//! A request that may be sent to a target.

use fulmartrestle_core::{RouteId, Service, Tenant, TimeUs};
use fulmartrestle_policy::{Origin, Rank};
use fulmartrestle_transport::HeaderPair;

use crate::call_messages::CallRequestHead;

/// Everything about a request that stays the same over its attempts.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The caller's id of the request.
    pub request_id: Option<String>,
    /// The route.
    pub route: RouteId,
    /// The service that was drawn for it.
    pub service: Service,
    /// Urgency at the gate.
    pub rank: Rank,
    /// The request from outside that this one serves, if it is known.
    pub origin: Option<Origin>,
    /// Whose key came with it.
    pub tenant: Option<Tenant>,
    /// The service beside which it began.
    pub caller: Service,
    /// Whether it may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// Targets that it may be handed to.
    pub attempts: u32,
    /// When it gets its final answer at the latest.
    pub deadline: TimeUs,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<HeaderPair>,
}

impl AdmittedRequest {
    /// Returns the head for one attempt.
    pub fn head(&self, instance: String, is_repeat: bool, now: TimeUs) -> CallRequestHead {
        CallRequestHead {
            request_id: self.request_id.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            instance,
            rank: self.rank,
            origin: self.origin.clone(),
            is_repeat,
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
