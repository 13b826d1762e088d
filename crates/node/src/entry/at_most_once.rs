//! Requests that must run at most once: a retry joins the running call or receives the cached response.
//!
//! In this module a retry is a request that the caller sends again with the same idempotency key.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use fulmartrestle_claims::{
    BufferedResponse, ClaimDecision, ClaimKey, InFlightCalls, JoinOutcome, NotRunReason, ResponseCache,
    ResponseCacheSettings, ResponseHeader, WaiterId,
};
use fulmartrestle_core::{Outcome, Reason, Refusal, VmId, lock};
use fulmartrestle_derive::record;
use http_body_util::{BodyExt, Limited};
use tokio::sync::oneshot;

use super::caller::{admit_request, send_admitted};
use crate::body::full_body;
use crate::call::{CallSpec, TargetResponse};
use crate::clock::wall_ms;
use crate::replay_body::ReplayBody;
use crate::state::NodeState;
use crate::wire::HeaderPair;

/// Maximum number of retries that wait for one running call.
const MAX_WAITERS: usize = 64;

/// Maximum length of a response to a request that runs at most once, in bytes. The response is buffered
/// before it is forwarded, so that it can also be returned to a retry.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Memory limit of the response cache, in bytes. It is an eighth of the node's memory.
const MAX_CACHED_RESPONSE_BYTES: usize = 4 << 20;

/// `Retry-After` while the platform log is unavailable, in milliseconds.
const LOG_UNAVAILABLE_RETRY_AFTER_MS: u64 = 2_000;

/// Outcome of a request that runs at most once. All of its retries get the same one.
#[record]
#[derive(Eq)]
pub enum AtMostOnceOutcome {
    /// The target responded.
    Answered(BufferedResponse),
    /// The request was refused.
    Refused(Refusal),
}

/// In-flight calls and cached responses of requests that run at most once.
pub struct AtMostOnceRequests {
    rows: Mutex<RequestRows>,
}

struct RequestRows {
    in_flight: InFlightCalls,
    responses: ResponseCache,
    waiters: HashMap<WaiterId, oneshot::Sender<AtMostOnceOutcome>>,
    last_waiter_id: u64,
}

/// Result of looking up a request among the in-flight calls and the cached responses.
enum JoinedRequest {
    /// The response of the first run is cached.
    Cached(BufferedResponse),
    /// The request waits for a running call. When `is_first` is set, it is the first one and must start the call.
    Waiting { outcome: oneshot::Receiver<AtMostOnceOutcome>, is_first: bool },
    /// The limit of waiting retries is reached.
    TooManyWaiters,
}

impl Default for AtMostOnceRequests {
    fn default() -> Self {
        let settings =
            ResponseCacheSettings { max_bytes: MAX_CACHED_RESPONSE_BYTES, ..ResponseCacheSettings::default() };
        let rows = RequestRows {
            in_flight: InFlightCalls::new(MAX_WAITERS),
            responses: ResponseCache::new(settings),
            waiters: HashMap::new(),
            last_waiter_id: 0,
        };
        Self { rows: Mutex::new(rows) }
    }
}

/// The identity of a request, the same for all of its retries.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity {
    /// Hash of tenant, route and idempotency key.
    pub key: ClaimKey,
    /// Age of the idempotency key, in milliseconds.
    pub age_ms: u64,
}

impl RequestIdentity {
    /// Returns the identity of a request. The age is taken from the key if it is a time-ordered UUID
    /// (version 7); any other key counts as new.
    pub fn new(spec: &CallSpec, idempotency_key: &str) -> Self {
        let tenant = spec.context.tenant.clone().unwrap_or_else(crate::keys::anonymous_tenant);
        let key = ClaimKey::new(&tenant, &spec.context.route, idempotency_key);
        let created_at = uuid::Uuid::parse_str(idempotency_key).ok().and_then(|uuid| uuid.get_timestamp());
        let created_at_ms = created_at.map(|time| time.to_unix()).map(|(s, ns)| s * 1_000 + u64::from(ns) / 1_000_000);
        let age_ms = created_at_ms.map_or(0, |created_at_ms| wall_ms().saturating_sub(created_at_ms));
        Self { key, age_ms }
    }
}

/// Runs a request at most once.
///
/// The call runs in a task of its own and continues when the caller disconnects, so that a retry can join it.
///
/// # Errors
///
/// Returns the final refusal, the same for all retries that joined the call.
pub async fn run_at_most_once(
    state: &Arc<NodeState>,
    spec: CallSpec,
    body: ReplayBody,
    identity: RequestIdentity,
) -> Result<TargetResponse, Refusal> {
    let outcome = match state.at_most_once_requests.join_or_start(state, identity.key) {
        JoinedRequest::Cached(response) => return Ok(target_response(response)),
        JoinedRequest::TooManyWaiters => return Err(Refusal::unknown(Reason::Claimed)),
        JoinedRequest::Waiting { outcome, is_first } => {
            if is_first {
                tokio::spawn(run_and_publish_outcome(Arc::clone(state), spec, body, identity));
            }
            outcome
        }
    };
    match outcome.await {
        Ok(AtMostOnceOutcome::Answered(response)) => Ok(target_response(response)),
        Ok(AtMostOnceOutcome::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::unknown(Reason::Claimed)),
    }
}

/// Returns the outcome of a call that this node is running or has run, or `None` if there is no such call.
///
/// Waits while the call runs. Other nodes request the outcome for retries that reached them.
pub async fn call_outcome(state: &NodeState, key: ClaimKey) -> Option<AtMostOnceOutcome> {
    let outcome = state.at_most_once_requests.join_existing(state, key)?;
    match outcome {
        JoinedRequest::Cached(response) => Some(AtMostOnceOutcome::Answered(response)),
        JoinedRequest::Waiting { outcome, .. } => outcome.await.ok(),
        JoinedRequest::TooManyWaiters => None,
    }
}

/// Runs the call and passes its outcome to all waiting requests.
async fn run_and_publish_outcome(state: Arc<NodeState>, spec: CallSpec, body: ReplayBody, identity: RequestIdentity) {
    let outcome = claim_and_send(&state, spec, body, identity).await;
    state.at_most_once_requests.finish(&state, identity.key, outcome);
}

/// Admits the request, claims its key and sends it.
///
/// The claim is made after admission: an earlier refusal then causes no write to the platform log, and a retry
/// need not wait for a release.
async fn claim_and_send(
    state: &Arc<NodeState>,
    mut spec: CallSpec,
    body: ReplayBody,
    identity: RequestIdentity,
) -> AtMostOnceOutcome {
    if let Err(refusal) = admit_request(state, &mut spec).await {
        return AtMostOnceOutcome::Refused(refusal);
    }
    let claim_decision = state.claims.claim(identity.key, identity.age_ms);
    let claim = match tokio::time::timeout_at(state.clock.runtime_instant(spec.deadline), claim_decision).await {
        Ok(Ok(claim)) => claim,
        Ok(Err(ClaimDecision::Held { winner })) => {
            return outcome_from_holder(state, &spec, winner.holder, identity.key).await;
        }
        Ok(Err(decision)) => return AtMostOnceOutcome::Refused(claim_refusal(decision)),
        // The claim is abandoned: whatever the log decides, this call never runs under it.
        Err(_) => return AtMostOnceOutcome::Refused(Refusal::not_run(Reason::Deadline, None)),
    };
    state.record_decision(spec.context.request_id, || format!("claimed key {}", identity.key));
    match send_admitted(state, &spec, body).await {
        Ok(response) => buffer_response(response).await,
        Err(refusal) => {
            if refusal.outcome == Outcome::NotRun {
                state.claims.release(claim);
            }
            AtMostOnceOutcome::Refused(refusal)
        }
    }
}

/// Requests the outcome of the first run from the node that holds the claim.
async fn outcome_from_holder(state: &NodeState, spec: &CallSpec, holder: VmId, key: ClaimKey) -> AtMostOnceOutcome {
    let unknown = AtMostOnceOutcome::Refused(Refusal::unknown(Reason::Claimed));
    let Some(address) = state.directory.peer_address(holder).filter(|address| state.can_reach(*address)) else {
        return unknown;
    };
    let query = async { state.peers.client(address).await?.call_outcome(key).await };
    match tokio::time::timeout_at(state.clock.runtime_instant(spec.deadline), query).await {
        Ok(Ok(Some(AtMostOnceOutcome::Answered(response)))) => AtMostOnceOutcome::Answered(response),
        // After a refusal by the holder, a retry may run the request in another call, which this node can't see.
        Ok(Ok(Some(AtMostOnceOutcome::Refused(_)) | None) | Err(_)) | Err(_) => unknown,
    }
}

fn claim_refusal(decision: ClaimDecision) -> Refusal {
    match decision {
        ClaimDecision::NotRun(NotRunReason::OutsideWindow) => Refusal::unknown(Reason::Claimed),
        _ => Refusal::not_run(Reason::LogUnavailable, Some(LOG_UNAVAILABLE_RETRY_AFTER_MS)),
    }
}

/// Buffers a response. The outcome is unknown if the body is too long or is aborted.
async fn buffer_response(response: TargetResponse) -> AtMostOnceOutcome {
    match Limited::new(response.body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => AtMostOnceOutcome::Answered(BufferedResponse {
            status: response.status,
            headers: response
                .headers
                .into_iter()
                .map(|pair| ResponseHeader { name: pair.name, value: pair.value })
                .collect(),
            body: body.to_bytes().to_vec(),
        }),
        Err(_) => AtMostOnceOutcome::Refused(Refusal::unknown(Reason::BadAnswer)),
    }
}

/// Converts a cached response for sending.
fn target_response(response: BufferedResponse) -> TargetResponse {
    let headers = response.headers.into_iter().map(|header| HeaderPair { name: header.name, value: header.value });
    TargetResponse { status: response.status, headers: headers.collect(), body: full_body(Bytes::from(response.body)) }
}

impl AtMostOnceRequests {
    /// Returns the cached response, joins the running call, or registers the request as the first of a new call.
    fn join_or_start(&self, state: &NodeState, key: ClaimKey) -> JoinedRequest {
        let mut rows = lock(&self.rows);
        if let Some(response) = rows.responses.get(&key, state.clock.now()) {
            return JoinedRequest::Cached(response.clone());
        }
        let waiter = rows.allocate_waiter();
        match rows.in_flight.join(key, waiter) {
            JoinOutcome::Full => return JoinedRequest::TooManyWaiters,
            JoinOutcome::Joined => return rows.add_waiter(waiter, false),
            JoinOutcome::Started => {}
        }
        // The request that starts the call also waits for its outcome.
        rows.in_flight.join(key, waiter);
        rows.add_waiter(waiter, true)
    }

    /// Returns the cached response or joins the running call; `None` if there is neither.
    fn join_existing(&self, state: &NodeState, key: ClaimKey) -> Option<JoinedRequest> {
        let mut rows = lock(&self.rows);
        if let Some(response) = rows.responses.get(&key, state.clock.now()) {
            return Some(JoinedRequest::Cached(response.clone()));
        }
        let waiter = rows.allocate_waiter();
        match rows.in_flight.join(key, waiter) {
            JoinOutcome::Started => {
                rows.in_flight.finish(key);
                None
            }
            JoinOutcome::Joined => Some(rows.add_waiter(waiter, false)),
            JoinOutcome::Full => Some(JoinedRequest::TooManyWaiters),
        }
    }

    /// Caches the response and passes the outcome to all requests that wait for the call.
    fn finish(&self, state: &NodeState, key: ClaimKey, outcome: AtMostOnceOutcome) {
        let mut rows = lock(&self.rows);
        if let AtMostOnceOutcome::Answered(response) = &outcome {
            rows.responses.insert(key, response.clone(), state.clock.now());
        }
        for waiter in rows.in_flight.finish(key) {
            if let Some(sender) = rows.waiters.remove(&waiter) {
                // A caller that has disconnected either retries or no longer needs the outcome.
                let _ = sender.send(outcome.clone());
            }
        }
    }
}

impl RequestRows {
    fn allocate_waiter(&mut self) -> WaiterId {
        self.last_waiter_id += 1;
        WaiterId(self.last_waiter_id)
    }

    fn add_waiter(&mut self, waiter: WaiterId, is_first: bool) -> JoinedRequest {
        let (sender, outcome) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        JoinedRequest::Waiting { outcome, is_first }
    }
}
