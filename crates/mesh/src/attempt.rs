//! Attempts of one request: selects a target, sends the request and decides whether to retry.

use std::sync::Mutex;
use std::time::Duration;

use fulmartrestle_core::{Reason, Refusal, TimeUs, VmId, lock};
use fulmartrestle_policy::{CrashVerdict, LoadBalancer, RetryBudgets, TargetNotices, TargetReport};
use fulmartrestle_transport::{ByteBody, PeerConnection, PeerError, PeerStream, ReplayBody};

use crate::call_messages::{CallOutcome, CallResponseHead, NoticedRun};
use crate::caller_handler::{AdmittedRequest, OutcomeGuard, TargetResponse};
use crate::completion_watcher::watch_completion;
use crate::contact_watch::{wait_until_lost, watch_body};
use crate::event_log::LogLine;
use crate::peer_streams::RUN_PATH;
use crate::state::MeshState;
use crate::stop_notice::stop_headers;
use crate::stop_watch::wait_until_too_late;
use crate::upload_end::UploadEnd;
use crate::zone_traffic::count_zone_call;

/// Maximum number of nodes that one request is sent to. Each refusal costs a millisecond or two, and after several
/// of them the service is unlikely to have capacity.
const MAX_NODES_PER_REQUEST: usize = 4;

/// Retry-After of a request for which no target was found, in milliseconds. By then a new target is usually
/// known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 400;

/// Refusal of requests that can't be completed before this node ends.
const STOPPING: Refusal = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));

/// Interval at which target selection is repeated while no target is known, in milliseconds.
const TARGET_POLL_INTERVAL_MS: u64 = 25;

/// Longest time that a request waits while no target is known, in milliseconds. A target whose node has just
/// started announces itself within two seconds, but waiting that long would delay the requests queued behind this
/// one.
const TARGET_WAIT_MS: u64 = 100;

/// Share of the time left within which a stream to a node must be open, and its bounds in milliseconds. The upper bound
/// leaves time for another node within the shortest latency objectives. Connecting takes a few milliseconds, because
/// the peer's system does it also while its process pauses.
const OPEN_TIME_SHARE: u64 = 4;
const MIN_OPEN_TIME_MS: u64 = 50;
const MAX_OPEN_TIME_MS: u64 = 250;

/// Pause between two checks whether a request may leave a silent node, in milliseconds. Responses to other requests
/// refill the budget meanwhile.
const LEAVE_POLL_INTERVAL_MS: u64 = 100;

/// Time left below which a request is not sent to a further node, in milliseconds. It would hardly be answered in time, and
/// a request that no target has run would end with an unknown outcome.
const MIN_FURTHER_ATTEMPT_MS: u64 = 50;

/// Crashes after which a request is not sent to another target, as in `fulmartrestle_policy::CrashTable`.
const MAX_CRASHES: u32 = 2;

/// Lost attempts after which a request is not sent to another target, because it may have ended them.
const MAX_LOST_ATTEMPTS: u32 = 2;

/// Result of one attempt.
enum AttemptOutcome {
    Answered(TargetResponse),
    NotRun {
        refusal: Refusal,
        reached_target: bool,
    },
    Unknown {
        reason: Reason,
        crashed: bool,
    },
    /// The request left a silent node that may have run it. The retry has been spent from the budget.
    Left,
}

/// State of a request across its attempts.
#[derive(Default)]
struct RequestProgress {
    tried_nodes: Vec<VmId>,
    reached_targets: u32,
    refusal: Option<Refusal>,
    /// Why the outcome of an attempt is not known; `None` while no target may have run the request.
    unknown: Option<Reason>,
    /// Crashes that this request is known to have been part of, those of earlier tries included.
    crashes: u32,
    /// Attempts of this try whose response was lost. Whether their targets have ended may be known later only.
    lost_attempts: u32,
}

/// Sends a request to targets until one responds, retries are not allowed any more, or the deadline has passed. `upload_end`
/// is the end of a body that is still arriving; `outcome` is kept up to date about whether a target may have run the request.
///
/// # Errors
///
/// Returns the final refusal. Its outcome is "not run" only if no target has run the request.
pub async fn send_request(
    state: &MeshState,
    request: &AdmittedRequest,
    mut body: ReplayBody,
    upload_end: Option<&UploadEnd>,
    outcome: &mut OutcomeGuard<'_>,
) -> Result<TargetResponse, Refusal> {
    let mut progress = RequestProgress::default();
    match lock(&state.crashes).check(request.fingerprint, state.now()) {
        CrashVerdict::Clear => {}
        CrashVerdict::Marked | CrashVerdict::Suspected => progress.crashes = 1,
        CrashVerdict::Blocked { until } => {
            return Err(Refusal::not_run(Reason::Blocked, Some(until.ms_since(state.now()))));
        }
    }
    loop {
        let now = state.now();
        let is_first = progress.tried_nodes.is_empty();
        let has_time = request.deadline.ms_since(now) >= if is_first { 1 } else { MIN_FURTHER_ATTEMPT_MS };
        if !has_time || progress.tried_nodes.len() >= MAX_NODES_PER_REQUEST {
            return Err(progress.give_up());
        }
        let Some(node) = select_target(state, request, &progress).await else { return Err(progress.give_up()) };
        let passed_on = state.now();
        let (route, service) = (&request.route, &request.service);
        if !lock(&state.stop_admission).can_complete(route, service, request.deadline, passed_on) {
            return Err(progress.final_refusal(STOPPING));
        }
        progress.tried_nodes.push(node);
        outcome.set_may_have_run(true);
        let attempt = run_attempt(state, request, &progress, &mut body, upload_end).await;
        let work_started = upload_end.map_or(Some(passed_on), UploadEnd::forwarded_at);
        if let (AttemptOutcome::Unknown { reason: Reason::Deadline, .. }, Some(work_started)) = (&attempt, work_started)
        {
            let now = state.now();
            lock(&state.stop_admission).record_completion(route, service, now.us_since(work_started), now);
        }
        let reason = match attempt {
            AttemptOutcome::Answered(response) => {
                credit_retry_budgets(state, request);
                return Ok(match work_started {
                    Some(work_started) => watch_completion(state, request, work_started, response),
                    None => response,
                });
            }
            AttemptOutcome::NotRun { refusal, reached_target } => {
                if refusal.reason == Reason::Blocked {
                    return Err(progress.final_refusal(refusal));
                }
                progress.refusal = Some(refusal);
                outcome.set_may_have_run(progress.unknown.is_some());
                if !body.has_next_attempt() {
                    return Err(progress.give_up());
                }
                if !reached_target {
                    continue;
                }
                progress.reached_targets += 1;
                if !may_retry(state, request, progress.reached_targets, true) {
                    return Err(progress.give_up());
                }
                refusal.reason
            }
            AttemptOutcome::Left => {
                progress.reached_targets += 1;
                progress.unknown = Some(Reason::TargetFailed);
                Reason::TargetFailed
            }
            AttemptOutcome::Unknown { reason, crashed } => {
                progress.reached_targets += 1;
                progress.unknown = Some(reason);
                progress.crashes += u32::from(crashed);
                progress.lost_attempts += 1;
                if progress.crashes >= MAX_CRASHES {
                    return Err(Refusal::unknown(Reason::Blocked));
                }
                if progress.lost_attempts >= MAX_LOST_ATTEMPTS {
                    return Err(Refusal::unknown(reason));
                }
                let can_repeat = request.repeatable && body.has_next_attempt() && state.now() < request.deadline;
                if !can_repeat || !may_retry(state, request, progress.reached_targets, false) {
                    return Err(Refusal::unknown(reason));
                }
                reason
            }
        };
        state.metrics.increment("repeated", reason.as_str());
        let line = LogLine::new("repeated")
            .optional_text("request", request.request_id.as_deref())
            .text("fingerprint", request.fingerprint)
            .text("route", &request.route)
            .text("after", reason.as_str())
            .number("attempt", progress.tried_nodes.len() as u64);
        state.log(line);
    }
}

/// Waits until a request that is passed on now could no longer be completed before this node ends.
async fn wait_until_request_too_late(state: &MeshState, request: &AdmittedRequest) {
    let AdmittedRequest { route, service, deadline, .. } = request;
    let latest_start = |stop| lock(&state.stop_admission).latest_start(route, service, *deadline, stop);
    wait_until_too_late(state.clock, state.gate.stop_receiver(), latest_start).await;
}

impl RequestProgress {
    /// Returns the refusal for a request that is not sent again, after the last one of a gate.
    fn give_up(&self) -> Refusal {
        let no_target = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        self.final_refusal(self.refusal.unwrap_or(no_target))
    }

    /// Returns `refusal`, or one that promises nothing if an earlier attempt may have run. A request that has not run
    /// may come again, so the refusal says when.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        let retry_after_ms = match refusal.reason {
            Reason::Deadline | Reason::Cancelled => refusal.retry_after_ms.or(Some(NO_TARGET_RETRY_AFTER_MS)),
            _ => refusal.retry_after_ms,
        };
        self.unknown.map_or(Refusal { retry_after_ms, ..refusal }, Refusal::unknown)
    }
}

async fn select_target(state: &MeshState, request: &AdmittedRequest, progress: &RequestProgress) -> Option<VmId> {
    let started = state.now();
    loop {
        let now = state.now();
        let selected = try_select_target(state, request, &progress.tried_nodes, now);
        let can_wait =
            progress.tried_nodes.is_empty() && now.ms_since(started) < TARGET_WAIT_MS && now < request.deadline;
        if selected.is_some() || !can_wait {
            return selected;
        }
        tokio::time::sleep(Duration::from_millis(TARGET_POLL_INTERVAL_MS)).await;
    }
}

fn try_select_target(state: &MeshState, request: &AdmittedRequest, tried_nodes: &[VmId], now: TimeUs) -> Option<VmId> {
    let settings = state.settings();
    let mut rng = lock(&state.rng);
    let selected = lock(&state.load_balancer).choose_target(
        &request.service,
        &settings.availability_zone,
        tried_nodes,
        &mut *rng,
        now,
    );
    if selected.is_none() {
        let line = LogLine::new("no_target")
            .optional_text("request", request.request_id.as_deref())
            .text("service", &request.service)
            .number("tried", tried_nodes.len() as u64);
        state.log(line);
    }
    selected
}

async fn run_attempt(
    state: &MeshState,
    request: &AdmittedRequest,
    progress: &RequestProgress,
    body: &mut ReplayBody,
    upload_end: Option<&UploadEnd>,
) -> AttemptOutcome {
    let Some(&node) = progress.tried_nodes.last() else {
        return AttemptOutcome::Unknown { reason: Reason::NoTarget, crashed: false };
    };
    let is_retry = progress.tried_nodes.len() > 1;
    let started = state.now();
    count_zone_call(state, node);
    let (instance, noticed) = {
        let mut load_balancer = lock(&state.load_balancer);
        load_balancer.record_sent_call(node);
        match load_balancer.target_report(node) {
            Some(target) => (target.instance.clone(), noticed_run(&load_balancer, node, target)),
            None => (String::new(), None),
        }
    };
    let exchange = match open_exchange(state, request, node).await {
        Ok(exchange) => exchange,
        Err(error) => return record_peer_error(state, request, node, &error),
    };
    let Some(attempt_body) = body.next_attempt() else {
        return AttemptOutcome::NotRun { refusal: progress.give_up(), reached_target: false };
    };
    let sent_at = state.now();
    let head = request.head(instance, noticed, is_retry, sent_at);
    let can_leave = request.repeatable && body.has_next_attempt() && progress.tried_nodes.len() < MAX_NODES_PER_REQUEST;
    let withheld = async {
        match upload_end {
            Some(upload_end) => upload_end.wait_until_withheld(wait_until_request_too_late(state, request)).await,
            None => std::future::pending().await,
        }
    };
    let ended = match exchange {
        NodeExchange::Local => tokio::select! {
            biased;
            () = withheld => Err(EarlyEnd::Withheld),
            result = state.gate.run(head, attempt_body, None) => Ok(Ok(result)),
            () = tokio::time::sleep(state.clock.duration_until(request.deadline)) => Err(EarlyEnd::Deadline),
        },
        NodeExchange::Peer(connection, stream) => {
            let leaving = async {
                wait_until_lost(state, node, &connection, sent_at).await;
                // A request that must not be sent again waits on, since the node may be running it.
                while !can_leave || !may_leave(state, request, progress) {
                    tokio::time::sleep(Duration::from_millis(LEAVE_POLL_INTERVAL_MS)).await;
                    wait_until_lost(state, node, &connection, sent_at).await;
                }
            };
            tokio::select! {
                biased;
                () = withheld => Err(EarlyEnd::Withheld),
                result = stream.exchange(&head, attempt_body) => Ok(result),
                () = tokio::time::sleep(state.clock.duration_until(request.deadline)) => Err(EarlyEnd::Deadline),
                () = leaving => Err(EarlyEnd::Left),
            }
        }
    };
    let now = state.now();
    state.metrics.observe_us("attempt", request.service.as_str(), now.us_since(started));
    match ended {
        Err(EarlyEnd::Withheld) => {
            let line = LogLine::new("upload_withheld")
                .optional_text("request", request.request_id.as_deref())
                .text("route", &request.route)
                .text("node", node)
                .number("passed_on_ms", now.ms_since(sent_at))
                .number("left_ms", request.deadline.ms_since(now));
            state.log(line);
            AttemptOutcome::NotRun { refusal: STOPPING, reached_target: false }
        }
        Err(EarlyEnd::Deadline) => AttemptOutcome::Unknown { reason: Reason::Deadline, crashed: false },
        Err(EarlyEnd::Left) => {
            state.metrics.increment("left", request.service.as_str());
            let line = LogLine::new("silent_node_left")
                .optional_text("request", request.request_id.as_deref())
                .text("node", node)
                .number("waited_ms", now.ms_since(sent_at))
                .number("left_ms", request.deadline.ms_since(now));
            state.log(line);
            AttemptOutcome::Left
        }
        Ok(Err(error)) => record_peer_error(state, request, node, &error),
        Ok(Ok((response_head, body))) => record_response(state, node, response_head, body),
    }
}

/// Why the exchange of an attempt ended before a response or an error.
enum EarlyEnd {
    Deadline,
    /// The end of the body was withheld, because this node stops.
    Withheld,
    Left,
}

/// Where an attempt runs; nothing of it has been sent yet.
enum NodeExchange {
    Local,
    Peer(PeerConnection, PeerStream),
}

/// Opens a stream to the node of the selected target, which may be this node. A node that is not reached within a
/// part of the time left has certainly received nothing.
async fn open_exchange(state: &MeshState, request: &AdmittedRequest, node: VmId) -> Result<NodeExchange, PeerError> {
    if node == state.node_id {
        return Ok(NodeExchange::Local);
    }
    let address = lock(&state.peers).address_of(node);
    let address = address.ok_or_else(|| PeerError::NotSent("the node is no longer known".to_owned()))?;
    let left_ms = request.deadline.ms_since(state.now());
    let limit_ms = (left_ms / OPEN_TIME_SHARE).clamp(MIN_OPEN_TIME_MS, MAX_OPEN_TIME_MS).min(left_ms);
    let opening = async {
        let connection = state.peer_connections.connection(address).await?;
        let headers = stop_headers(*state.gate.stop_receiver().borrow(), state.now());
        let stream = connection.open(RUN_PATH, headers).await?;
        Ok(NodeExchange::Peer(connection, stream))
    };
    let opened = tokio::time::timeout(Duration::from_millis(limit_ms), opening).await;
    opened.unwrap_or_else(|_| Err(PeerError::NotSent(format!("no stream was open after {limit_ms} ms"))))
}

/// Returns whether a request may leave its silent node: another node is heard, and the budget allows it. Spends the
/// retry.
fn may_leave(state: &MeshState, request: &AdmittedRequest, progress: &RequestProgress) -> bool {
    let has_other = lock(&state.load_balancer).has_heard_target(&request.service, &progress.tried_nodes, state.now());
    has_other && may_retry(state, request, progress.reached_targets + 1, false)
}

fn record_peer_error(state: &MeshState, request: &AdmittedRequest, node: VmId, error: &PeerError) -> AttemptOutcome {
    // A caller that leaves in the middle of its request is no reason to avoid the node.
    if !matches!(error, PeerError::BodyAborted(_)) {
        lock(&state.load_balancer).record_failure(node, state.now());
    }
    let line = LogLine::new("peer_failed")
        .optional_text("request", request.request_id.as_deref())
        .text("node", node)
        .text("detail", error)
        .flag("sent", !error.is_not_sent());
    state.log(line);
    match error.is_not_sent() {
        true => {
            let refusal = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
            AttemptOutcome::NotRun { refusal, reached_target: false }
        }
        false => AttemptOutcome::Unknown { reason: Reason::TargetFailed, crashed: false },
    }
}

/// Returns what is known of the run of a node's target, if it has said anything.
fn noticed_run(load_balancer: &LoadBalancer, node: VmId, target: &TargetReport) -> Option<NoticedRun> {
    let notices = load_balancer.notices(node).filter(|notices| *notices != TargetNotices::default())?;
    Some(NoticedRun { started_unix_ms: target.started_unix_ms, notices })
}

fn record_response(state: &MeshState, node: VmId, response_head: CallResponseHead, body: ByteBody) -> AttemptOutcome {
    let now = state.now();
    let mut load_balancer = lock(&state.load_balancer);
    load_balancer.record_response(node, now);
    if node != state.node_id {
        load_balancer.record_sign(node, now);
    }
    if let Some(zone) = load_balancer.zone(node).cloned() {
        load_balancer.record_report(node, &zone, response_head.report, now);
    }
    match response_head.outcome {
        CallOutcome::Answered { status, headers } => {
            let body = if node == state.node_id { body } else { watch_body(state, node, body) };
            AttemptOutcome::Answered(TargetResponse { status, headers, body })
        }
        CallOutcome::NotRun { refusal, reached_target } => {
            load_balancer.record_refusal(node, now);
            AttemptOutcome::NotRun { refusal, reached_target }
        }
        CallOutcome::Unknown { reason, crashed } => AttemptOutcome::Unknown { reason, crashed },
    }
}

/// Spends one retry of a request that has reached `reached_targets`, and returns whether one was left.
fn may_retry(state: &MeshState, request: &AdmittedRequest, reached_targets: u32, not_run: bool) -> bool {
    if reached_targets >= request.attempts {
        return false;
    }
    let budgets = if not_run { &state.resend_budgets } else { rerun_budgets(state, request) };
    lock(budgets).spend_one(&request.service, state.now())
}

/// Credits the retry budgets after a response. Without responses the budgets drain, so retries stop when a
/// service fails.
fn credit_retry_budgets(state: &MeshState, request: &AdmittedRequest) {
    let now = state.now();
    lock(&state.resend_budgets).record_success(&request.service, now);
    lock(rerun_budgets(state, request)).record_success(&request.service, now);
}

/// Returns the budgets for repeating a request that may have run. Those of calls have the larger share, because a
/// repeated call repeats less work than a repeated request.
fn rerun_budgets<'s>(state: &'s MeshState, request: &AdmittedRequest) -> &'s Mutex<RetryBudgets> {
    if request.is_child_call { &state.call_rerun_budgets } else { &state.request_rerun_budgets }
}
