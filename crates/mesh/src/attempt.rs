//! Attempts of one request: choosing a target, sending, and whether to go on after a failure.

use std::time::Duration;

use fulmartrestle_core::{Reason, Refusal, TimeUs, VmId, lock};
use fulmartrestle_transport::{ByteBody, PeerError, ReplayBody};

use crate::entry::{AdmittedRequest, Answered};
use crate::journal::Line;
use crate::peer::RUN_PATH;
use crate::running::{RunAnswer, RunHead, RunReply};
use crate::state::MeshState;

/// Gates that are asked for one request. Each refusal costs a millisecond or two, and after some of
/// them a service has no room.
const MAX_GATES: usize = 4;

/// When to come back after no target was found, in milliseconds: by then a new one is known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 400;

/// Pause before targets are looked for again while none is known, in milliseconds.
const NO_TARGET_PAUSE_MS: u64 = 25;

/// Time for which a request waits for a target while none is known, in milliseconds. A target whose node
/// has just started announces itself within two seconds, but others wait behind the request.
const NO_TARGET_WAIT_MS: u64 = 100;

/// What one attempt came to.
enum Attempt {
    Answered(Answered),
    NotRun { refusal: Refusal, reached_target: bool },
    Unknown(Reason),
}

/// Where a request stands after some attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<VmId>,
    reached_targets: u32,
    refusal: Option<Refusal>,
}

/// Sends a request until it is answered, given up, or its time is over.
///
/// # Errors
///
/// Returns the final refusal. It says "not run" only when no target has run the request.
pub async fn send_request(
    state: &MeshState,
    request: &AdmittedRequest,
    mut body: ReplayBody,
) -> Result<Answered, Refusal> {
    let mut progress = Progress::default();
    loop {
        let now = state.now();
        if now >= request.give_up || progress.tried.len() >= MAX_GATES {
            return Err(progress.not_run());
        }
        let Some(node) = choose(state, request, &progress).await else { return Err(progress.not_run()) };
        let Some(body) = body.next_attempt() else { return Err(Refusal::unknown(Reason::TargetFailed)) };
        progress.tried.push(node);
        let attempt = attempt(state, request, &progress.tried, body).await;
        let reason = match attempt {
            Attempt::Answered(answered) => {
                earn(state, request);
                return Ok(answered);
            }
            Attempt::NotRun { refusal, reached_target } => {
                progress.refusal = Some(refusal);
                if !reached_target {
                    continue;
                }
                progress.reached_targets += 1;
                if !may_go_on(state, request, &progress, true) {
                    return Err(progress.not_run());
                }
                refusal.reason
            }
            Attempt::Unknown(reason) => {
                progress.reached_targets += 1;
                let in_time = state.now() < request.give_up;
                if !in_time || !request.repeatable || !may_go_on(state, request, &progress, false) {
                    return Err(Refusal::unknown(reason));
                }
                reason
            }
        };
        state.metrics.count("repeated", reason.as_str());
        let line = Line::new("repeated")
            .maybe("request", request.request_id.as_deref())
            .text("route", &request.route)
            .text("after", reason.as_str())
            .number("attempt", progress.tried.len() as u64);
        state.log(line);
    }
}

impl Progress {
    /// Returns the refusal of a request that no target has run.
    fn not_run(&self) -> Refusal {
        self.refusal.unwrap_or(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)))
    }
}

async fn choose(state: &MeshState, request: &AdmittedRequest, progress: &Progress) -> Option<VmId> {
    let first = state.now();
    loop {
        let now = state.now();
        let chosen = choose_now(state, request, &progress.tried, now);
        let may_wait = progress.tried.is_empty() && now.ms_since(first) < NO_TARGET_WAIT_MS && now < request.give_up;
        if chosen.is_some() || !may_wait {
            return chosen;
        }
        tokio::time::sleep(Duration::from_millis(NO_TARGET_PAUSE_MS)).await;
    }
}

fn choose_now(state: &MeshState, request: &AdmittedRequest, tried: &[VmId], now: TimeUs) -> Option<VmId> {
    let settings = state.settings();
    let mut rng = lock(&state.rng);
    let chosen =
        lock(&state.placement).choose_target(&request.service, &settings.availability_zone, tried, &mut *rng, now);
    if chosen.is_none() {
        let line = Line::new("no_target")
            .maybe("request", request.request_id.as_deref())
            .text("service", &request.service)
            .number("tried", tried.len() as u64);
        state.log(line);
    }
    chosen
}

async fn attempt(state: &MeshState, request: &AdmittedRequest, tried: &[VmId], body: ByteBody) -> Attempt {
    let Some(&node) = tried.last() else { return Attempt::Unknown(Reason::NoTarget) };
    let is_repeat = tried.len() > 1;
    let started = state.now();
    let instance = {
        let mut placement = lock(&state.placement);
        placement.record_sent_call(node);
        placement.target_report(node).map(|target| target.instance.clone()).unwrap_or_default()
    };
    let head = |now| request.head(instance.clone(), is_repeat, now);
    let sending = send(state, node, head, body);
    let sent = tokio::time::timeout(state.clock.until(request.give_up), sending).await;
    let now = state.now();
    state.metrics.observe_us("attempt", request.service.as_str(), now.us_since(started));
    match sent {
        Err(_) => Attempt::Unknown(Reason::Deadline),
        Ok(Err(error)) => {
            lock(&state.placement).record_failure(node, now);
            let line = Line::new("peer_failed")
                .maybe("request", request.request_id.as_deref())
                .text("node", node)
                .text("detail", &error)
                .flag("sent", !error.is_not_sent());
            state.log(line);
            match error.is_not_sent() {
                true => {
                    let refusal = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
                    Attempt::NotRun { refusal, reached_target: false }
                }
                false => Attempt::Unknown(Reason::TargetFailed),
            }
        }
        Ok(Ok((answer, body))) => judge(state, node, answer, body),
    }
}

fn judge(state: &MeshState, node: VmId, answer: RunAnswer, body: ByteBody) -> Attempt {
    let now = state.now();
    let mut placement = lock(&state.placement);
    placement.record_answer(node, now);
    if let Some(zone) = placement.zone(node).cloned() {
        placement.record_report(node, &zone, answer.report, now);
    }
    match answer.reply {
        RunReply::Answered { status, headers } => Attempt::Answered(Answered { status, headers, body }),
        RunReply::NotRun { refusal, reached_target } => {
            placement.record_refusal(node, now);
            Attempt::NotRun { refusal, reached_target }
        }
        RunReply::Unknown { reason } => Attempt::Unknown(reason),
    }
}

/// Sends an attempt to the target's node, which may be this one.
async fn send(
    state: &MeshState,
    node: VmId,
    head: impl Fn(TimeUs) -> RunHead,
    body: ByteBody,
) -> Result<(RunAnswer, ByteBody), PeerError> {
    if node == state.own {
        return Ok(state.gate.run(head(state.now()), body).await);
    }
    let address = lock(&state.peers).address_of(node);
    let address = address.ok_or_else(|| PeerError::NotSent("the node is not known any more".to_owned()))?;
    let link = state.links.connection(address).await?;
    link.exchange(RUN_PATH, &head(state.now()), body).await
}

fn may_go_on(state: &MeshState, request: &AdmittedRequest, progress: &Progress, not_run: bool) -> bool {
    if progress.reached_targets >= request.attempts {
        return false;
    }
    let budgets = if not_run { &state.resend_budgets } else { &state.rerun_budgets };
    lock(budgets).spend_one(&request.service, state.now())
}

/// Answers earn repetitions, so that these die out when a service fails.
fn earn(state: &MeshState, request: &AdmittedRequest) {
    let now = state.now();
    lock(&state.resend_budgets).record_success(&request.service, now);
    lock(&state.rerun_budgets).record_success(&request.service, now);
}
