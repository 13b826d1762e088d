//! Sends one call: chooses a target, makes attempts within the allowance, returns one final result.

use fulmartrestle_core::{CallId, Reason, Refusal, TimeUs, VmId, lock};
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
use crate::wire::{HeaderPair, Reply, ResponseHead};

/// When to come back after no target was found, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 500;

/// A whole answer's head with its body still on the way.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: ByteBody,
}

/// What one attempt came to.
struct Attempt {
    answer: Result<TargetResponse, AttemptResult>,
    unspent_retries: u32,
}

/// Sends a call that passed the door, and makes further attempts where that is allowed and can help.
///
/// # Errors
///
/// Returns the final refusal. It says "not run" only when no attempt was handed to a target.
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
        let untried = choose(state, spec, &tried, now);
        // After an attempt whose connection failed, a target that was tried is better than none: its node has
        // replaced the connection.
        let target = if may_have_run { untried.or_else(|| choose(state, spec, &[], now)) } else { untried };
        let result = match (target, body.next_attempt()) {
            (Some(target), Some(attempt_body)) => {
                tried.push(target);
                match attempt(state, spec, target, attempt_body, allowance).await {
                    Ok(dispatched) => return Ok(dispatched),
                    Err(result) => result,
                }
            }
            (None, _) => AttemptResult::NoTarget,
            (Some(_), None) => return Err(give_up(may_have_run, Refusal::unknown(Reason::TargetFailed))),
        };
        let question = RetryContext {
            service: &spec.service,
            fingerprint: spec.fingerprint,
            tried: &tried,
            attempt: FailedAttempt { target, result },
            earlier_may_have_run: may_have_run,
            at_most_once: spec.at_most_once || !spec.retryable,
            deadline: spec.deadline,
            least_service_us: 0,
        };
        let now = state.clock.now();
        let decision = {
            let mut budgets = lock(&state.budgets);
            let mut crashes = lock(&state.crashes);
            decide_retry(&question, allowance, &mut budgets, &mut crashes, now)
        };
        state.explain(spec.context.request_id, || {
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

/// Refuses what a service of the chain would refuse, before any work is done. Returns the share of such
/// requests that is let in.
///
/// # Errors
///
/// Returns the refusal with when to come back.
pub fn check_admission(state: &NodeState, spec: &CallSpec) -> Result<BasisPoints, Refusal> {
    let open = anonymous_tenant();
    let check = IngressRequest {
        chain: &spec.chain,
        class: spec.context.class,
        tenant: spec.context.tenant.as_ref().unwrap_or(&open),
        weight: spec.context.weight,
    };
    let draw = state.random_u32();
    let checked = lock(&state.door).admit(check, state.clock.now(), draw);
    checked.inspect_err(|refusal| {
        state.explain(spec.context.request_id, || format!("{}: refused at the door: {refusal}", spec.service));
    })
}

fn choose(state: &NodeState, spec: &CallSpec, tried: &[VmId], now: TimeUs) -> Option<VmId> {
    let request = TargetRequirements { service: &spec.service, own_zone: &state.zone, exclude: tried };
    let chosen = lock(&state.targets).choose_target(&request, &mut *lock(&state.rng), now);
    state.explain(spec.context.request_id, || {
        let target = chosen.map_or_else(|| "none".to_owned(), |target| target.to_string());
        format!("{}: chose target {target}", spec.service)
    });
    chosen
}

/// Makes one attempt and tells the tables how it ended. Dropping the future cancels it.
async fn attempt(
    state: &NodeState,
    spec: &CallSpec,
    target: VmId,
    body: ByteBody,
    allowance: &mut RetryAllowance,
) -> Result<TargetResponse, AttemptResult> {
    let started = state.clock.now();
    let reservation = allowance.reserve(allowance.remaining() / 2);
    lock(&state.targets).record_call_start(target, started);
    let mut guard = AttemptGuard { state, target, started, ended: false };
    let head = spec.head(started, reservation.retries());
    let sending = send(state, target, head, body);
    let sent = tokio::time::timeout_at(state.clock.instant_of(spec.deadline), sending).await;
    let attempt = match sent {
        Ok(Ok(answer)) => handle_response(state, spec, target, answer),
        Ok(Err(error)) => handle_peer_error(state, spec, target, &error, reservation.retries()),
        Err(_) => Attempt { answer: Err(AttemptResult::TimedOut), unspent_retries: 0 },
    };
    allowance.return_unspent(reservation, attempt.unspent_retries);
    guard.end(call_result(&attempt.answer));
    if attempt.answer.is_ok() {
        let now = state.clock.now();
        lock(&state.budgets).record_success(&spec.service, now);
        lock(&state.crashes).record_answer(spec.fingerprint);
    }
    attempt.answer
}

/// Sends an attempt to the target's node, which may be this one.
async fn send(
    state: &NodeState,
    target: VmId,
    head: crate::wire::CallHead,
    body: ByteBody,
) -> Result<PeerResponse, PeerError> {
    if target == state.own {
        return Ok(state.gate.run(head, body).await);
    }
    let address = state.directory.peer_address(target);
    let address = address.ok_or_else(|| PeerError::NotSent("no longer a member".to_owned()))?;
    if !state.allows(address) {
        return Err(PeerError::Connect("cut off".to_owned()));
    }
    let link = state.peers.link(address).await?;
    link.call(&head, body).await
}

fn handle_response(state: &NodeState, spec: &CallSpec, target: VmId, answer: PeerResponse) -> Attempt {
    let ResponseHead { reply, level, reports, unspent_retries, target_lost } = answer.head;
    let now = state.clock.now();
    {
        let mut door = lock(&state.door);
        if let Some(level) = level {
            door.record_level(&spec.service, target, level, now);
        }
        for report in &reports {
            door.record_level_report(target, report, now);
        }
    }
    let answer = match reply {
        Reply::Answer { status, headers } => Ok(TargetResponse { status, headers, body: answer.body }),
        Reply::Refused(_) if target_lost => {
            let attempt = CallId(state.random_u64());
            lock(&state.crashes).record_connection_loss(spec.fingerprint, target, attempt, now);
            Err(AttemptResult::ConnectionLost)
        }
        Reply::Refused(refusal) => Err(AttemptResult::Refused(refusal)),
    };
    Attempt { answer, unspent_retries }
}

fn handle_peer_error(state: &NodeState, spec: &CallSpec, target: VmId, error: &PeerError, reserved: u32) -> Attempt {
    let now = state.clock.now();
    log::debug!("call: {:016x} to {target} failed: {error}", spec.context.request_id);
    if error.is_not_sent() {
        lock(&state.targets).record_connection_failure(target, now);
        let refusal = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        return Attempt { answer: Err(AttemptResult::Refused(refusal)), unspent_retries: reserved };
    }
    lock(&state.targets).record_silent_connection(target, now);
    Attempt { answer: Err(AttemptResult::ConnectionLost), unspent_retries: 0 }
}

fn call_result(answer: &Result<TargetResponse, AttemptResult>) -> CallResult {
    match answer {
        Ok(_) => CallResult::Answered,
        Err(AttemptResult::Refused(_) | AttemptResult::NoTarget) => CallResult::Refused,
        Err(AttemptResult::ConnectionLost | AttemptResult::BadAnswer) => CallResult::ConnectionLost,
        Err(AttemptResult::TimedOut) => CallResult::TimedOut,
    }
}

fn has_unknown_outcome(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Refused(refusal) => refusal.outcome == fulmartrestle_core::Outcome::Unknown,
        AttemptResult::NoTarget => false,
        AttemptResult::ConnectionLost | AttemptResult::TimedOut | AttemptResult::BadAnswer => true,
    }
}

fn give_up(may_have_run: bool, refusal: Refusal) -> Refusal {
    if may_have_run { refusal } else { Refusal::not_run(refusal.reason, refusal.retry_after_ms) }
}

/// Tells the target table how an attempt ended, also when its future is dropped.
struct AttemptGuard<'a> {
    state: &'a NodeState,
    target: VmId,
    started: TimeUs,
    ended: bool,
}

impl AttemptGuard<'_> {
    fn end(&mut self, result: CallResult) {
        self.ended = true;
        let now = self.state.clock.now();
        let end = CompletedCall { latency_us: now.us_since(self.started), result };
        lock(&self.state.targets).record_call_end(self.target, end, now);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(CallResult::Cancelled);
        }
    }
}
