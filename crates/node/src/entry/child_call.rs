//! Child calls of the own target.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Reason, Refusal};
use fulmartrestle_policy::{RetryAllowance, RetryReservation};

use super::caller::{find_route, service_chain};
use super::fingerprint::fingerprint;
use super::request::{ReceivedRequest, read_body};
use crate::call::{CallSpec, RunningCall, TargetResponse, dispatch};
use crate::state::NodeState;

/// Most hops of a request. The deepest chains have 12; more means a loop of calls.
const MAX_DEPTH: u8 = 16;

/// Answers a child call that came with the context of the running call `parent`.
///
/// # Errors
///
/// Returns the final refusal.
pub async fn handle_child_call(
    state: &Arc<NodeState>,
    request: ReceivedRequest,
    parent: CallId,
) -> Result<TargetResponse, Refusal> {
    let config = state.config.get();
    let route = find_route(&config, &request.path)?;
    let ended = Refusal::not_run(Reason::Unauthorized, None);
    let body = read_body(request.body, state.settings.limits.max_body_bytes as u64).await?;
    let leading = fingerprint(&request.method, &request.path, None, body.leading_bytes());
    let spec = state.gate.with_running_call(parent, |running| CallSpec {
        context: running.context.clone(),
        service: route.service.clone(),
        chain: service_chain(route),
        deadline: running.deadline,
        depth: running.depth.saturating_add(1),
        at_most_once: route.at_most_once,
        retryable: route.retryable,
        fingerprint: leading,
        method: request.method,
        path: request.path,
        headers: request.headers,
    });
    let spec = spec.ok_or(ended)?;
    if spec.depth > MAX_DEPTH {
        return Err(Refusal::not_run(Reason::BadRequest, None));
    }
    if route.at_most_once && !is_parent_at_most_once(state, parent) {
        // Its parent may be retried, so the child call could run twice.
        return Err(Refusal::not_run(Reason::Forbidden, None));
    }
    // The entry's door has checked the whole chain; a second draw here would shed admitted work.
    let mut child = ChildAllowance::reserve(state, parent);
    let mut body = body;
    dispatch(state, &spec, &mut body, &mut child.allowance).await
}

fn is_parent_at_most_once(state: &NodeState, parent: CallId) -> bool {
    state.gate.with_running_call(parent, |running| running.at_most_once).unwrap_or(false)
}

/// The part of a running call's retries that a child call holds; the rest goes back when it ends.
struct ChildAllowance<'a> {
    state: &'a NodeState,
    parent: CallId,
    reservation: Option<RetryReservation>,
    allowance: RetryAllowance,
}

impl<'a> ChildAllowance<'a> {
    /// Reserves half of what is left, rounded up, so that child calls at the same time share it.
    fn reserve(state: &'a NodeState, parent: CallId) -> Self {
        let take = |running: &mut RunningCall| {
            let half = running.allowance.remaining().div_ceil(2);
            running.allowance.reserve(half)
        };
        let reservation = state.gate.start_child_call(parent, take);
        let retries = reservation.as_ref().map_or(0, RetryReservation::retries);
        Self { state, parent, reservation, allowance: RetryAllowance::new(retries) }
    }
}

impl Drop for ChildAllowance<'_> {
    fn drop(&mut self) {
        let unspent = self.allowance.remaining();
        let reservation = self.reservation.take();
        self.state.gate.end_child_call(self.parent, |running| {
            if let Some(reservation) = reservation {
                running.allowance.return_unspent(reservation, unspent);
            }
        });
    }
}
