//! Requests of callers from outside: key, route, rate, then the call.

use std::sync::Arc;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::{KeyHash, RouteRow};
use fulmartrestle_core::{Reason, Refusal, Tenant};
use fulmartrestle_policy::{BasisPoints, RetryAllowance};
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;

use super::at_most_once::{RequestIdentity, run_at_most_once};
use super::fingerprint::fingerprint;
use super::request::{ReceivedRequest, read_body};
use crate::burn::{PendingBurnSample, record_refusal, with_burn_recorder};
use crate::call::{CallSpec, TargetResponse, check_admission, dispatch};
use crate::replay_body::ReplayBody;
use crate::state::NodeState;
use crate::wire::{HeaderPair, RequestContext};

/// Retries that one request may cause over its whole chain. With three, one lost answer at each of
/// two hops is still made good, and no request causes more than four times its first attempts.
const MAX_RETRIES_PER_REQUEST: u32 = 3;

/// When to come back to a node without a configuration, in milliseconds.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;

/// When to come back to an isolated zone, in milliseconds.
const ISOLATED_RETRY_AFTER_MS: u64 = 5_000;

/// Lowest status by which a target says that it failed.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Weight of calls on routes open to all.
const ANONYMOUS_WEIGHT: u32 = 1;

/// Who a request runs for.
struct Caller {
    tenant: Option<Tenant>,
    key_hash: Option<KeyHash>,
    weight: u32,
}

/// Answers one request of a caller.
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
    let burn =
        PendingBurnSample { route: route.route.clone(), tenant: caller.tenant.clone(), arrived: state.clock.now() };
    let result = run_request(state, route, caller, request, request_id).await;
    match result {
        Ok(answer) => Ok(recorded(state, burn, answer)),
        Err(refusal) => {
            record_refusal(state, &burn, &refusal);
            Err(refusal)
        }
    }
}

fn recorded(state: &Arc<NodeState>, burn: PendingBurnSample, answer: TargetResponse) -> TargetResponse {
    let good = answer.status < MIN_SERVER_ERROR_STATUS;
    let body = with_burn_recorder(answer.body, Arc::clone(state), burn, good, content_length(&answer.headers));
    TargetResponse { body: body.boxed_unsync(), ..answer }
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
    let fingerprint = fingerprint(&method, &path, caller.tenant.as_ref(), body.leading_bytes());
    let wait_ms = timeout_ms.map_or(route.timeout_ms, |timeout_ms| timeout_ms.min(route.timeout_ms));
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
        deadline: state.clock.now().plus_ms(wait_ms),
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
            let key = RequestIdentity::new(&spec, &idempotency_key);
            run_at_most_once(state, spec, body, key).await
        }
        None => run(state, spec, body).await,
    }
}

/// Returns the length that an answer announces, in bytes.
fn content_length(headers: &[HeaderPair]) -> Option<u64> {
    let header = headers.iter().find(|header| header.name == CONTENT_LENGTH.as_str())?;
    std::str::from_utf8(&header.value).ok()?.trim().parse().ok()
}

/// Lets a request in and sends it.
async fn run(state: &NodeState, mut spec: CallSpec, body: ReplayBody) -> Result<TargetResponse, Refusal> {
    admit_request(state, &mut spec).await?;
    send(state, &spec, body).await
}

/// Refuses what the chain would refuse and what is over the tenant's rate.
///
/// # Errors
///
/// Returns the final refusal.
pub async fn admit_request(state: &NodeState, spec: &mut CallSpec) -> Result<(), Refusal> {
    // The door comes first: a request that is shed must not cost its tenant a token.
    spec.context.ingress_share = check_admission(state, spec)?;
    match &spec.context.tenant {
        Some(tenant) => state.rate_limiter.admit(tenant).await,
        None => Ok(()),
    }
}

/// Sends a request that was let in.
///
/// # Errors
///
/// Returns the final refusal.
pub async fn send(state: &NodeState, spec: &CallSpec, mut body: ReplayBody) -> Result<TargetResponse, Refusal> {
    let mut allowance = RetryAllowance::new(MAX_RETRIES_PER_REQUEST);
    dispatch(state, spec, &mut body, &mut allowance).await
}

/// Refuses what an isolated zone must not go on with.
fn check_isolation(state: &NodeState, route: &RouteRow) -> Result<(), Refusal> {
    let isolation = state.config.isolation();
    if isolation.permits(route, &state.settings.isolation, state.clock.now()) {
        return Ok(());
    }
    let reason = if route.at_most_once { Reason::LogUnavailable } else { Reason::NotReady };
    Err(Refusal::not_run(reason, Some(ISOLATED_RETRY_AFTER_MS)))
}

/// Returns the services that a route's calls reach, the first one included.
pub fn service_chain(route: &RouteRow) -> Vec<fulmartrestle_core::Service> {
    let mut chain = vec![route.service.clone()];
    chain.extend(route.chain.iter().cloned());
    chain
}

/// Returns the route of a path.
///
/// # Errors
///
/// Returns a refusal when there is none, or no configuration yet.
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
    let found = config.tenant_for_hash(&key_hash).ok_or(unauthorized)?;
    if !route.allows(found.tenant) {
        return Err(Refusal::not_run(Reason::Forbidden, None));
    }
    let weight = config.tenants().get(found.tenant).map_or(ANONYMOUS_WEIGHT, |row| row.weight.0);
    Ok(Caller { tenant: Some(found.tenant.clone()), key_hash: Some(key_hash), weight })
}
