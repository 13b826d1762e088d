//! Requests that must run at most once: re-sends join the running call or get its first answer.

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

use super::caller::{admit_request, send};
use crate::body::full_body;
use crate::call::{CallSpec, TargetResponse};
use crate::clock::wall_ms;
use crate::replay_body::ReplayBody;
use crate::state::NodeState;
use crate::wire::HeaderPair;

/// Re-sends that wait for one running call.
const MAX_WAITERS: usize = 64;

/// Longest answer of a request that runs at most once, in bytes. It is collected before it is
/// passed on, so that a re-send can get it too.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Bytes that held answers may take: an eighth of the node's memory.
const MAX_CACHED_RESPONSE_BYTES: usize = 4 << 20;

/// When to come back while the log is out of reach, in milliseconds.
const LOG_UNAVAILABLE_RETRY_AFTER_MS: u64 = 2_000;

/// How a request ended that runs at most once. It is the same for all its re-sends.
#[record]
#[derive(Eq)]
pub enum AtMostOnceOutcome {
    /// It was answered.
    Answered(BufferedResponse),
    /// It was refused.
    Refused(Refusal),
}

/// Running calls and held answers.
pub struct AtMostOnceRequests {
    rows: Mutex<RequestRows>,
}

struct RequestRows {
    joins: InFlightCalls,
    answers: ResponseCache,
    waiting: HashMap<WaiterId, oneshot::Sender<AtMostOnceOutcome>>,
    next_waiter: u64,
}

/// What a request found.
enum Entered {
    /// The first answer is held.
    Held(BufferedResponse),
    /// The request waits for a running call, which it started if `starts` is set.
    Waits { outcome: oneshot::Receiver<AtMostOnceOutcome>, starts: bool },
    /// Too many re-sends wait already.
    Full,
}

impl Default for AtMostOnceRequests {
    fn default() -> Self {
        let settings =
            ResponseCacheSettings { max_bytes: MAX_CACHED_RESPONSE_BYTES, ..ResponseCacheSettings::default() };
        let rows = RequestRows {
            joins: InFlightCalls::new(MAX_WAITERS),
            answers: ResponseCache::new(settings),
            waiting: HashMap::new(),
            next_waiter: 0,
        };
        Self { rows: Mutex::new(rows) }
    }
}

/// A request's identity over its re-sends.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity {
    /// Hash of tenant, route and idempotency key.
    pub key: ClaimKey,
    /// Age of the idempotency key, in milliseconds.
    pub age_ms: u64,
}

impl RequestIdentity {
    /// Returns the identity of a request. A key that is a time-ordered UUID (version 7) tells its age;
    /// any other is taken for new.
    pub fn new(spec: &CallSpec, idempotency_key: &str) -> Self {
        let tenant = spec.context.tenant.clone().unwrap_or_else(crate::keys::anonymous_tenant);
        let key = ClaimKey::new(&tenant, &spec.context.route, idempotency_key);
        let made_at = uuid::Uuid::parse_str(idempotency_key).ok().and_then(|uuid| uuid.get_timestamp());
        let made_at_ms = made_at.map(|time| time.to_unix()).map(|(s, ns)| s * 1_000 + u64::from(ns) / 1_000_000);
        let age_ms = made_at_ms.map_or(0, |made_at_ms| wall_ms().saturating_sub(made_at_ms));
        Self { key, age_ms }
    }
}

/// Runs a request at most once. The call goes on when its caller goes away, so that the re-send
/// finds it.
///
/// # Errors
///
/// Returns the final refusal, the same for all re-sends that joined.
pub async fn run_at_most_once(
    state: &Arc<NodeState>,
    spec: CallSpec,
    body: ReplayBody,
    key: RequestIdentity,
) -> Result<TargetResponse, Refusal> {
    let outcome = match state.once.enter(state, key.key) {
        Entered::Held(answer) => return Ok(dispatched(answer)),
        Entered::Full => return Err(Refusal::unknown(Reason::Claimed)),
        Entered::Waits { outcome, starts } => {
            if starts {
                tokio::spawn(claim_and_run(Arc::clone(state), spec, body, key));
            }
            outcome
        }
    };
    match outcome.await {
        Ok(AtMostOnceOutcome::Answered(answer)) => Ok(dispatched(answer)),
        Ok(AtMostOnceOutcome::Refused(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::unknown(Reason::Claimed)),
    }
}

/// Returns the outcome of a call that this node runs or ran, waiting while it runs. A re-send that
/// reached another node is answered with it.
pub async fn call_outcome(state: &NodeState, key: ClaimKey) -> Option<AtMostOnceOutcome> {
    let outcome = state.once.join_existing(state, key)?;
    match outcome {
        Entered::Held(answer) => Some(AtMostOnceOutcome::Answered(answer)),
        Entered::Waits { outcome, .. } => outcome.await.ok(),
        Entered::Full => None,
    }
}

async fn claim_and_run(state: Arc<NodeState>, spec: CallSpec, body: ReplayBody, key: RequestIdentity) {
    let outcome = claim_and_send(&state, spec, body, key).await;
    state.once.finish(&state, key.key, outcome);
}

/// Lets the request in, claims its key and sends it. The claim comes last: a refusal before it costs the
/// platform's log nothing, and a re-send need not wait for a release.
async fn claim_and_send(
    state: &Arc<NodeState>,
    mut spec: CallSpec,
    body: ReplayBody,
    key: RequestIdentity,
) -> AtMostOnceOutcome {
    if let Err(refusal) = admit_request(state, &mut spec).await {
        return AtMostOnceOutcome::Refused(refusal);
    }
    let claiming = state.claims.claim(key.key, key.age_ms);
    let claim = match tokio::time::timeout_at(state.clock.instant_of(spec.deadline), claiming).await {
        Ok(Ok(claim)) => claim,
        Ok(Err(ClaimDecision::Held { winner })) => {
            return outcome_from_holder(state, &spec, winner.holder, key.key).await;
        }
        Ok(Err(verdict)) => return AtMostOnceOutcome::Refused(claim_refusal(verdict)),
        // The claim is given up: whatever the log decides, this call never runs under it.
        Err(_) => return AtMostOnceOutcome::Refused(Refusal::not_run(Reason::Deadline, None)),
    };
    state.explain(spec.context.request_id, || format!("claimed {}", key.key));
    match send(state, &spec, body).await {
        Ok(answer) => collect(answer).await,
        Err(refusal) => {
            if refusal.outcome == Outcome::NotRun {
                state.claims.release(claim);
            }
            AtMostOnceOutcome::Refused(refusal)
        }
    }
}

/// Asks the node that holds the claim for the first answer.
async fn outcome_from_holder(state: &NodeState, spec: &CallSpec, holder: VmId, key: ClaimKey) -> AtMostOnceOutcome {
    let unknown = AtMostOnceOutcome::Refused(Refusal::unknown(Reason::Claimed));
    let Some(address) = state.directory.peer_address(holder).filter(|address| state.allows(*address)) else {
        return unknown;
    };
    let asked = async { state.peers.link(address).await?.call_outcome(key).await };
    match tokio::time::timeout_at(state.clock.instant_of(spec.deadline), asked).await {
        Ok(Ok(Some(AtMostOnceOutcome::Answered(answer)))) => AtMostOnceOutcome::Answered(answer),
        // A refusal of the holder's call may be followed by another call that this node can't see.
        Ok(Ok(Some(AtMostOnceOutcome::Refused(_)) | None) | Err(_)) | Err(_) => unknown,
    }
}

fn claim_refusal(verdict: ClaimDecision) -> Refusal {
    match verdict {
        ClaimDecision::NotRun(NotRunReason::OutsideWindow) => Refusal::unknown(Reason::Claimed),
        _ => Refusal::not_run(Reason::LogUnavailable, Some(LOG_UNAVAILABLE_RETRY_AFTER_MS)),
    }
}

/// Collects a whole answer; one that breaks off leaves the outcome unknown.
async fn collect(answer: TargetResponse) -> AtMostOnceOutcome {
    match Limited::new(answer.body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => AtMostOnceOutcome::Answered(BufferedResponse {
            status: answer.status,
            headers: answer
                .headers
                .into_iter()
                .map(|pair| ResponseHeader { name: pair.name, value: pair.value })
                .collect(),
            body: body.to_bytes().to_vec(),
        }),
        Err(_) => AtMostOnceOutcome::Refused(Refusal::unknown(Reason::BadAnswer)),
    }
}

fn dispatched(answer: BufferedResponse) -> TargetResponse {
    let headers = answer.headers.into_iter().map(|header| HeaderPair { name: header.name, value: header.value });
    TargetResponse { status: answer.status, headers: headers.collect(), body: full_body(Bytes::from(answer.body)) }
}

impl AtMostOnceRequests {
    fn enter(&self, state: &NodeState, key: ClaimKey) -> Entered {
        let mut rows = lock(&self.rows);
        if let Some(answer) = rows.answers.get(&key, state.clock.now()) {
            return Entered::Held(answer.clone());
        }
        let waiter = rows.take_waiter();
        match rows.joins.join(key, waiter) {
            JoinOutcome::Full => return Entered::Full,
            JoinOutcome::Joined => return rows.wait(waiter, false),
            JoinOutcome::Started => {}
        }
        // The request that starts the call waits for it like the others.
        rows.joins.join(key, waiter);
        rows.wait(waiter, true)
    }

    fn join_existing(&self, state: &NodeState, key: ClaimKey) -> Option<Entered> {
        let mut rows = lock(&self.rows);
        if let Some(answer) = rows.answers.get(&key, state.clock.now()) {
            return Some(Entered::Held(answer.clone()));
        }
        let waiter = rows.take_waiter();
        match rows.joins.join(key, waiter) {
            JoinOutcome::Started => {
                rows.joins.finish(key);
                None
            }
            JoinOutcome::Joined => Some(rows.wait(waiter, false)),
            JoinOutcome::Full => Some(Entered::Full),
        }
    }

    fn finish(&self, state: &NodeState, key: ClaimKey, outcome: AtMostOnceOutcome) {
        let mut rows = lock(&self.rows);
        if let AtMostOnceOutcome::Answered(answer) = &outcome {
            rows.answers.insert(key, answer.clone(), state.clock.now());
        }
        for waiter in rows.joins.finish(key) {
            if let Some(waiting) = rows.waiting.remove(&waiter) {
                // A caller that went away sends again or doesn't care.
                let _ = waiting.send(outcome.clone());
            }
        }
    }
}

impl RequestRows {
    fn take_waiter(&mut self) -> WaiterId {
        self.next_waiter += 1;
        WaiterId(self.next_waiter)
    }

    fn wait(&mut self, waiter: WaiterId, starts: bool) -> Entered {
        let (sender, outcome) = oneshot::channel();
        self.waiting.insert(waiter, sender);
        Entered::Waits { outcome, starts }
    }
}
