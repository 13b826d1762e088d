//! Child calls from the local target.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Reason, Refusal};
use fulmartrestle_policy::{RetryAllowance, RetryReservation, request_fingerprint};

use super::caller::{find_route, service_chain};
use super::request::{ReceivedRequest, read_body};
use crate::call::{CallSpec, RunningCall, TargetResponse, dispatch};
use crate::state::NodeState;

/// Maximum number of hops of a request. The deepest chains have 12; more hops indicate a call loop.
const MAX_CALL_DEPTH: u8 = 16;

/// Sends a child call that carries the context of the running call `parent`.
///
/// # Errors
///
/// Returns the final refusal: the parent has ended, the chain is too deep, the call could run twice, or no
/// target ran it.
pub async fn handle_child_call(
    state: &Arc<NodeState>,
    request: ReceivedRequest,
    parent: CallId,
) -> Result<TargetResponse, Refusal> {
    let config = state.config.get();
    let route = find_route(&config, &request.path)?;
    let not_running = Refusal::not_run(Reason::Unauthorized, None);
    let body = read_body(request.body, state.settings.limits.max_body_bytes as u64).await?;
    let request_fingerprint = request_fingerprint(&request.method, &request.path, None, body.leading_bytes());
    let spec = state.gate.with_running_call(parent, |running| CallSpec {
        context: running.context.clone(),
        service: route.service.clone(),
        chain: service_chain(route),
        deadline: running.deadline,
        depth: running.depth.saturating_add(1),
        at_most_once: route.at_most_once,
        retryable: route.retryable,
        fingerprint: request_fingerprint,
        method: request.method,
        path: request.path,
        headers: request.headers,
    });
    let spec = spec.ok_or(not_running)?;
    if spec.depth > MAX_CALL_DEPTH {
        return Err(Refusal::not_run(Reason::BadRequest, None));
    }
    if route.at_most_once && !is_parent_at_most_once(state, parent) {
        // The parent may be retried, so the child call could run twice.
        return Err(Refusal::not_run(Reason::Forbidden, None));
    }
    // The entry node has checked admission for the whole chain. A second random draw here would shed
    // admitted work.
    let mut child = ChildAllowance::reserve(state, parent);
    let mut body = body;
    dispatch(state, &spec, &mut body, &mut child.allowance).await
}

fn is_parent_at_most_once(state: &NodeState, parent: CallId) -> bool {
    state.gate.with_running_call(parent, |running| running.at_most_once).unwrap_or(false)
}

/// Retries reserved from a running call for one of its child calls.
///
/// Unspent retries are returned to the parent when the child call ends.
struct ChildAllowance<'a> {
    state: &'a NodeState,
    parent: CallId,
    reservation: Option<RetryReservation>,
    allowance: RetryAllowance,
}

impl<'a> ChildAllowance<'a> {
    /// Reserves half of the parent's remaining retries, rounded up, so that concurrent child calls share them.
    fn reserve(state: &'a NodeState, parent: CallId) -> Self {
        let reserve_half = |running: &mut RunningCall| {
            let half = running.allowance.remaining().div_ceil(2);
            running.allowance.reserve(half)
        };
        let reservation = state.gate.start_child_call(parent, reserve_half);
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
