//! Requests from external callers: routing, authentication, admission and rate limiting, then the call.

use std::sync::Arc;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::{KeyHash, RouteRow};
use fulmartrestle_core::{Reason, Refusal, Tenant};
use fulmartrestle_policy::{BasisPoints, RetryAllowance, request_fingerprint};
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;

use super::at_most_once::{RequestIdentity, run_at_most_once};
use super::request::{ReceivedRequest, read_body};
use crate::burn::{PendingBurnSample, record_refusal, with_burn_recorder};
use crate::call::{CallSpec, TargetResponse, check_admission, dispatch};
use crate::replay_body::ReplayBody;
use crate::state::NodeState;
use crate::wire::{HeaderPair, RequestContext};

/// Maximum number of retries that one request may cause over its whole chain.
///
/// Three retries still recover from one lost response at each of two hops, and no request causes more than four
/// times its first attempts.
const MAX_RETRIES_PER_REQUEST: u32 = 3;

/// `Retry-After` of a node that has no configuration yet, in milliseconds.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;

/// `Retry-After` of an isolated zone, in milliseconds.
const ISOLATED_RETRY_AFTER_MS: u64 = 5_000;

/// Lowest HTTP status that counts as a failure of the target.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Weight of calls without a tenant, on routes open to all.
const ANONYMOUS_WEIGHT: u32 = 1;

/// The authenticated identity of a caller. Tenant and key hash are absent on routes open to all.
struct Caller {
    tenant: Option<Tenant>,
    key_hash: Option<KeyHash>,
    weight: u32,
}

/// Routes, authenticates and runs one request, and records its outcome for the burn report.
///
/// # Errors
///
/// Returns the final refusal.
pub async fn handle_caller_request(
    state: &Arc<NodeState>,
    request: ReceivedRequest,
    key_hash: Option<KeyHash>,
    request_id: u64,
) -> Result<TargetResponse, Refusal> {
    let config = state.config.get();
    let route = find_route(&config, &request.path)?;
    let caller = authenticate(&config, route, key_hash)?;
    let sample =
        PendingBurnSample { route: route.route.clone(), tenant: caller.tenant.clone(), arrived_at: state.clock.now() };
    let result = run_request(state, route, caller, request, request_id).await;
    match result {
        Ok(response) => Ok(record_response(state, sample, response)),
        Err(refusal) => {
            record_refusal(state, &sample, &refusal);
            Err(refusal)
        }
    }
}

fn record_response(state: &Arc<NodeState>, sample: PendingBurnSample, response: TargetResponse) -> TargetResponse {
    let is_success = response.status < MIN_SERVER_ERROR_STATUS;
    let body =
        with_burn_recorder(response.body, Arc::clone(state), sample, is_success, content_length(&response.headers));
    TargetResponse { body: body.boxed_unsync(), ..response }
}

async fn run_request(
    state: &Arc<NodeState>,
    route: &RouteRow,
    caller: Caller,
    request: ReceivedRequest,
    request_id: u64,
) -> Result<TargetResponse, Refusal> {
    let ReceivedRequest { method, path, headers, timeout_ms, idempotency_key, body } = request;
    check_isolation(state, route)?;
    if route.at_most_once && idempotency_key.is_none() {
        return Err(Refusal::not_run(Reason::BadRequest, None));
    }
    let body = read_body(body, state.settings.limits.max_body_bytes as u64).await?;
    let fingerprint = request_fingerprint(&method, &path, caller.tenant.as_ref(), body.leading_bytes());
    let effective_timeout_ms = timeout_ms.map_or(route.timeout_ms, |timeout_ms| timeout_ms.min(route.timeout_ms));
    let context = RequestContext {
        request_id,
        route: route.route.clone(),
        tenant: caller.tenant,
        key_hash: caller.key_hash,
        weight: caller.weight,
        class: route.class,
        ingress_share: BasisPoints::FULL,
    };
    let spec = CallSpec {
        context,
        service: route.service.clone(),
        chain: service_chain(route),
        deadline: state.clock.now().plus_ms(effective_timeout_ms),
        depth: 0,
        at_most_once: route.at_most_once,
        retryable: route.retryable,
        fingerprint,
        method,
        path,
        headers,
    };
    match idempotency_key.filter(|_| spec.at_most_once) {
        Some(idempotency_key) => {
            let identity = RequestIdentity::new(&spec, &idempotency_key);
            run_at_most_once(state, spec, body, identity).await
        }
        None => admit_and_send(state, spec, body).await,
    }
}

/// Returns the value of the `Content-Length` header, in bytes.
fn content_length(headers: &[HeaderPair]) -> Option<u64> {
    let header = headers.iter().find(|header| header.name == CONTENT_LENGTH.as_str())?;
    std::str::from_utf8(&header.value).ok()?.trim().parse().ok()
}

/// Admits a request and sends it.
async fn admit_and_send(state: &NodeState, mut spec: CallSpec, body: ReplayBody) -> Result<TargetResponse, Refusal> {
    admit_request(state, &mut spec).await?;
    send_admitted(state, &spec, body).await
}

/// Checks a request against the admission levels of its chain and the rate of its tenant.
///
/// # Errors
///
/// Returns the refusal when a service of the chain is overloaded or the tenant is over its rate.
pub async fn admit_request(state: &NodeState, spec: &mut CallSpec) -> Result<(), Refusal> {
    // Admission is checked first, so that a shed request doesn't consume one of its tenant's tokens.
    spec.context.ingress_share = check_admission(state, spec)?;
    match &spec.context.tenant {
        Some(tenant) => state.rate_limiter.admit(tenant).await,
        None => Ok(()),
    }
}

/// Sends an admitted request.
///
/// # Errors
///
/// Returns the final refusal.
pub async fn send_admitted(
    state: &NodeState,
    spec: &CallSpec,
    mut body: ReplayBody,
) -> Result<TargetResponse, Refusal> {
    let mut allowance = RetryAllowance::new(MAX_RETRIES_PER_REQUEST);
    dispatch(state, spec, &mut body, &mut allowance).await
}

/// Refuses requests that an isolated zone must not serve.
fn check_isolation(state: &NodeState, route: &RouteRow) -> Result<(), Refusal> {
    let isolation = state.config.isolation();
    if isolation.permits(route, &state.settings.isolation, state.clock.now()) {
        return Ok(());
    }
    let reason = if route.at_most_once { Reason::LogUnavailable } else { Reason::NotReady };
    Err(Refusal::not_run(reason, Some(ISOLATED_RETRY_AFTER_MS)))
}

/// Returns the services that calls of a route reach, starting with the route's own service.
pub fn service_chain(route: &RouteRow) -> Vec<fulmartrestle_core::Service> {
    let mut chain = vec![route.service.clone()];
    chain.extend(route.chain.iter().cloned());
    chain
}

/// Returns the route that matches a path.
///
/// # Errors
///
/// Returns a refusal when no route matches, or when the node has no configuration yet.
pub fn find_route<'c>(config: &'c FleetConfig, path: &str) -> Result<&'c RouteRow, Refusal> {
    if config.version().0 == 0 {
        return Err(Refusal::not_run(Reason::NotReady, Some(NOT_READY_RETRY_AFTER_MS)));
    }
    config.route_for(path).ok_or(Refusal::not_run(Reason::NoRoute, None))
}

fn authenticate(config: &FleetConfig, route: &RouteRow, key_hash: Option<KeyHash>) -> Result<Caller, Refusal> {
    if route.open_to_all {
        return Ok(Caller { tenant: None, key_hash: None, weight: ANONYMOUS_WEIGHT });
    }
    let unauthorized = Refusal::not_run(Reason::Unauthorized, None);
    let key_hash = key_hash.ok_or(unauthorized)?;
    let tenant_key = config.tenant_for_hash(&key_hash).ok_or(unauthorized)?;
    if !route.allows(tenant_key.tenant) {
        return Err(Refusal::not_run(Reason::Forbidden, None));
    }
    let weight = config.tenants().get(tenant_key.tenant).map_or(ANONYMOUS_WEIGHT, |row| row.weight.0);
    Ok(Caller { tenant: Some(tenant_key.tenant.clone()), key_hash: Some(key_hash), weight })
}
