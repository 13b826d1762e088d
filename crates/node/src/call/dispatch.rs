//! Sending of one call: target selection, attempts within the retry allowance, and the final result.

use fulmartrestle_core::{Outcome, Reason, Refusal, TimeUs, VmId, lock};
use fulmartrestle_policy::{
    AttemptResult, BasisPoints, CallResult, CompletedCall, FailedAttempt, IngressRequest, RetryAllowance, RetryContext,
    RetryDecision, TargetRequirements, decide_retry,
};

use super::CallSpec;
use crate::body::ByteBody;
use crate::keys::anonymous_tenant;
use crate::peer::{PeerError, PeerResponse};
use crate::replay_body::ReplayBody;
use crate::state::NodeState;
use crate::wire::{GateResult, HeaderPair, ResponseHead};

/// `Retry-After` when no target is available, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;

/// A target's response, with the body not received yet.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// Body stream.
    pub body: ByteBody,
}

/// The outcome of one attempt.
struct AttemptOutcome {
    response: Result<TargetResponse, AttemptResult>,
    unspent_retries: u32,
}

/// Sends an admitted call, and retries it where that is allowed and can help.
///
/// # Errors
///
/// Returns the final refusal. Its outcome is "not run" only when no attempt reached a target.
pub async fn dispatch(
    state: &NodeState,
    spec: &CallSpec,
    body: &mut ReplayBody,
    allowance: &mut RetryAllowance,
) -> Result<TargetResponse, Refusal> {
    let mut tried = Vec::new();
    let mut may_have_run = false;
    loop {
        let now = state.clock.now();
        let untried_target = choose_target(state, spec, &tried, now);
        // After an attempt that may have run, a target that was already tried is better than none: its node
        // has replaced the failed connection.
        let target =
            if may_have_run { untried_target.or_else(|| choose_target(state, spec, &[], now)) } else { untried_target };
        let result = match (target, body.next_attempt()) {
            (Some(target), Some(attempt_body)) => {
                tried.push(target);
                match run_attempt(state, spec, target, attempt_body, allowance).await {
                    Ok(response) => return Ok(response),
                    Err(result) => result,
                }
            }
            (None, _) => AttemptResult::NoTarget,
            (Some(_), None) => return Err(final_refusal(may_have_run, Refusal::unknown(Reason::TargetFailed))),
        };
        let context = RetryContext {
            service: &spec.service,
            fingerprint: spec.fingerprint,
            tried: &tried,
            attempt: FailedAttempt { target, result },
            earlier_may_have_run: may_have_run,
            at_most_once: spec.at_most_once || !spec.retryable,
            deadline: spec.deadline,
            min_service_us: 0,
        };
        let now = state.clock.now();
        let decision = {
            let mut budgets = lock(&state.budgets);
            let mut crashes = lock(&state.crashes);
            decide_retry(&context, allowance, &mut budgets, &mut crashes, now)
        };
        state.record_decision(spec.context.request_id, || {
            let target = target.map_or_else(|| "none".to_owned(), |target| target.to_string());
            format!("{}: attempt {} at {target} failed: {result:?}; {decision:?}", spec.service, tried.len())
        });
        match decision {
            RetryDecision::Retry => state.counters.retries.add(1),
            RetryDecision::GiveUp(refusal) => return Err(refusal),
        }
        may_have_run |= has_unknown_outcome(result);
    }
}

/// Checks a call against the admission levels of its chain, before any work is done for it. Returns the share of
/// such calls that is currently admitted.
///
/// # Errors
///
/// Returns a refusal with a retry delay when a service of the chain would refuse the call.
pub fn check_admission(state: &NodeState, spec: &CallSpec) -> Result<BasisPoints, Refusal> {
    let anonymous = anonymous_tenant();
    let request = IngressRequest {
        chain: &spec.chain,
        class: spec.context.class,
        tenant: spec.context.tenant.as_ref().unwrap_or(&anonymous),
        weight: spec.context.weight,
    };
    let draw = state.random_u32();
    let admitted = lock(&state.ingress_admission).admit(request, state.clock.now(), draw);
    admitted.inspect_err(|refusal| {
        state.record_decision(spec.context.request_id, || {
            format!("{}: refused by ingress admission: {refusal}", spec.service)
        });
    })
}

fn choose_target(state: &NodeState, spec: &CallSpec, tried: &[VmId], now: TimeUs) -> Option<VmId> {
    let requirements = TargetRequirements { service: &spec.service, own_zone: &state.zone, exclude: tried };
    let target = lock(&state.targets).choose_target(&requirements, &mut *lock(&state.rng), now);
    state.record_decision(spec.context.request_id, || {
        let target = target.map_or_else(|| "none".to_owned(), |target| target.to_string());
        format!("{}: chosen target: {target}", spec.service)
    });
    target
}

/// Runs one attempt and records its outcome in the shared tables. Dropping the future cancels the attempt.
async fn run_attempt(
    state: &NodeState,
    spec: &CallSpec,
    target: VmId,
    body: ByteBody,
    allowance: &mut RetryAllowance,
) -> Result<TargetResponse, AttemptResult> {
    let started = state.clock.now();
    let reservation = allowance.reserve(allowance.remaining() / 2);
    lock(&state.targets).record_call_start(target, started);
    let mut guard = AttemptGuard { state, target, started, finished: false };
    let head = spec.head(started, reservation.retries());
    let exchange = send_to_node(state, target, head, body);
    let result = tokio::time::timeout_at(state.clock.runtime_instant(spec.deadline), exchange).await;
    let attempt = match result {
        Ok(Ok(response)) => handle_response(state, spec, target, response),
        Ok(Err(error)) => handle_peer_error(state, spec, target, &error, reservation.retries()),
        Err(_) => AttemptOutcome { response: Err(AttemptResult::TimedOut), unspent_retries: 0 },
    };
    allowance.return_unspent(reservation, attempt.unspent_retries);
    guard.finish(call_result(&attempt.response));
    if attempt.response.is_ok() {
        let now = state.clock.now();
        lock(&state.budgets).record_success(&spec.service, now);
        lock(&state.crashes).record_response(spec.fingerprint);
    }
    attempt.response
}

/// Sends an attempt to the target's node, which may be this node.
async fn send_to_node(
    state: &NodeState,
    target: VmId,
    head: crate::wire::CallHead,
    body: ByteBody,
) -> Result<PeerResponse, PeerError> {
    if target == state.local_vm {
        return Ok(state.gate.run_call(head, body).await);
    }
    let address = state.directory.peer_address(target);
    let address = address.ok_or_else(|| PeerError::NotSent("no longer a member".to_owned()))?;
    if !state.can_reach(address) {
        return Err(PeerError::Connect("link blocked by fault injection".to_owned()));
    }
    let peer = state.peers.client(address).await?;
    peer.call(&head, body).await
}

fn handle_response(state: &NodeState, spec: &CallSpec, target: VmId, response: PeerResponse) -> AttemptOutcome {
    let ResponseHead { result, admission_level, downstream_levels, unspent_retries, crash } = response.head;
    let now = state.clock.now();
    {
        let mut admission = lock(&state.ingress_admission);
        if let Some(level) = admission_level {
            admission.record_level(&spec.service, target, level, now);
        }
        for report in &downstream_levels {
            admission.record_level_report(target, report, now);
        }
    }
    let response = match result {
        GateResult::Response { status, headers } => Ok(TargetResponse { status, headers, body: response.body }),
        GateResult::Refused(refusal)
            if refusal.outcome == Outcome::Unknown && refusal.reason == Reason::TargetFailed =>
        {
            if let Some(mark) = crash {
                lock(&state.crashes).merge_mark(mark, now);
            }
            Err(AttemptResult::ConnectionLost)
        }
        GateResult::Refused(refusal) => Err(AttemptResult::Refused(refusal)),
    };
    AttemptOutcome { response, unspent_retries }
}

fn handle_peer_error(
    state: &NodeState,
    spec: &CallSpec,
    target: VmId,
    error: &PeerError,
    reserved_retries: u32,
) -> AttemptOutcome {
    let now = state.clock.now();
    log::debug!("call: {:016x} to {target} failed: {error}", spec.context.request_id);
    if error.is_not_sent() {
        lock(&state.targets).record_connection_failure(target, now);
        let refusal = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        return AttemptOutcome { response: Err(AttemptResult::Refused(refusal)), unspent_retries: reserved_retries };
    }
    lock(&state.targets).record_silent_connection(target, now);
    AttemptOutcome { response: Err(AttemptResult::ConnectionLost), unspent_retries: 0 }
}

fn call_result(response: &Result<TargetResponse, AttemptResult>) -> CallResult {
    match response {
        Ok(_) => CallResult::Answered,
        Err(AttemptResult::Refused(_) | AttemptResult::NoTarget) => CallResult::Refused,
        Err(AttemptResult::ConnectionLost | AttemptResult::BadAnswer) => CallResult::ConnectionLost,
        Err(AttemptResult::TimedOut) => CallResult::TimedOut,
    }
}

fn has_unknown_outcome(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Refused(refusal) => refusal.outcome == Outcome::Unknown,
        AttemptResult::NoTarget => false,
        AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
    }
}

fn final_refusal(may_have_run: bool, refusal: Refusal) -> Refusal {
    if may_have_run { refusal } else { Refusal::not_run(refusal.reason, refusal.retry_after_ms) }
}

/// Records the end of an attempt in the target table, also when its future is dropped.
struct AttemptGuard<'a> {
    state: &'a NodeState,
    target: VmId,
    started: TimeUs,
    finished: bool,
}

impl AttemptGuard<'_> {
    fn finish(&mut self, result: CallResult) {
        self.finished = true;
        let now = self.state.clock.now();
        let completed = CompletedCall { latency_us: now.us_since(self.started), result };
        lock(&self.state.targets).record_call_end(self.target, completed, now);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.finish(CallResult::Cancelled);
        }
    }
}
