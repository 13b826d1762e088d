//! Counts how a request ended, also if its caller left.

use fulmartrestle_core::{Reason, Refusal, RouteId, TimeUs, lock};

use super::TargetResponse;
use crate::Route;
use crate::outcome_meter::{RequestEnd, RequestRoute};
use crate::state::MeshState;

/// Retry-After of requests that have not run when this node ends, in milliseconds. By then callers have been routed to other
/// nodes.
const LAST_ANSWER_RETRY_AFTER_MS: u64 = 300;

/// Reasons of requests that ended without a refusal.
const CALLER_LEFT: &str = "caller_left";
const TARGET_ERROR: &str = "target_error";

/// What is known of the request's route.
struct GuardedRoute {
    id: RouteId,
    priority: u8,
    objective_ms: Option<u64>,
    is_child_call: bool,
}

/// Counts the outcome of one request. Dropping it before the end means that the caller has left.
pub struct OutcomeGuard<'s> {
    state: &'s MeshState,
    arrived: TimeUs,
    route: Option<GuardedRoute>,
    may_have_run: bool,
}

impl<'s> OutcomeGuard<'s> {
    /// Starts a request that arrived at `arrived`.
    pub fn new(state: &'s MeshState, arrived: TimeUs) -> Self {
        Self { state, arrived, route: None, may_have_run: false }
    }

    /// Sets the route of the request. Requests without a route are not counted.
    pub fn set_route(&mut self, route: &Route, has_key: bool) {
        let (id, is_child_call) = (route.id.clone(), super::is_child_call(route, has_key));
        self.route =
            Some(GuardedRoute { id, priority: route.priority, objective_ms: route.objective_ms, is_child_call });
    }

    /// Sets whether a target may be running the request, or may have run it.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Returns the answer to a request whose outcome can't be waited for, because this node ends.
    pub fn last_answer(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::unknown(Reason::Draining),
            false => Refusal::not_run(Reason::Draining, Some(LAST_ANSWER_RETRY_AFTER_MS)),
        }
    }

    /// Counts the result of the request.
    pub fn end(mut self, result: &Result<TargetResponse, Refusal>) {
        self.count(match result {
            Ok(response) if response.status < 500 => RequestEnd::Answered,
            Ok(_) => RequestEnd::Unserved(TARGET_ERROR),
            Err(refusal) => RequestEnd::Unserved(refusal.reason.as_str()),
        });
    }

    fn count(&mut self, end: RequestEnd) {
        let Some(route) = self.route.take() else { return };
        let GuardedRoute { id, priority, objective_ms, is_child_call } = &route;
        let route =
            RequestRoute { id, priority: *priority, objective_ms: *objective_ms, is_child_call: *is_child_call };
        if route.is_child_call && end != RequestEnd::Answered {
            self.state.gate.record_failed_call();
        }
        let took_us = self.state.now().us_since(self.arrived);
        lock(&self.state.outcomes).record(route, end, took_us);
    }
}

impl Drop for OutcomeGuard<'_> {
    fn drop(&mut self) {
        self.count(RequestEnd::Unserved(CALLER_LEFT));
    }
}
