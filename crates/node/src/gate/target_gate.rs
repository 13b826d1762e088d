//! Admission of calls to the local target, and the exchange of admitted calls with it.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_core::{CallId, Reason, Refusal, TimeUs, VmId, lock};
use fulmartrestle_policy::{
    Admission, AdmissionGate, AdmissionGateSettings, AdmissionLevel, BasisPoints, CallLoss, Completion, CrashMark,
    CrashTable, OfferedCall, QueueEvent, RetryAllowance, RunWatch, TargetHints,
};
use fulmartrestle_transport::TimeLimitedBody;
use http::{HeaderName, HeaderValue, Method, Request, Uri};
use tokio::sync::oneshot;

use super::adaptive_timeout::AdaptiveTimeout;
use super::admission_slot::AdmissionSlot;
use super::local_target::{LocalTarget, TargetAnnouncement, TargetProtocol};
use super::target_client::{TargetClient, TargetError, can_connect};
use crate::body::{AdmissionResult, AdmissionWaiters, ByteBody, WatchedBody, empty_body, incoming_body};
use crate::call::{RunningCall, RunningCalls};
use crate::clock::Clock;
use crate::context::{CONTEXT_HEADER, ContextSigner};
use crate::keys::KeyCheck;
use crate::peer::PeerResponse;
use crate::wire::{CallHead, GateResult, ResponseHead, headers_from_pairs, headers_to_pairs};

/// `Retry-After` when the target is gone, in milliseconds. By then the other nodes know its replacement.
const TARGET_GONE_RETRY_AFTER_MS: u64 = 1_000;

/// Lowest status of a response that does not show that the target can run the request.
const FIRST_ERROR_STATUS: u16 = 500;

/// The gate in front of the local target. It admits or refuses calls, and sends the admitted ones to the target.
pub struct TargetGate {
    pub(super) clock: Clock,
    pub(super) local_vm: VmId,
    pub(super) state: Mutex<GateState>,
    running: Mutex<RunningCalls>,
    client: Mutex<Arc<TargetClient>>,
    response_timeout: AdaptiveTimeout,
    signer: ContextSigner,
    keys: Arc<dyn KeyCheck>,
    pub(super) crashes: Arc<Mutex<CrashTable>>,
    pub(super) is_probing: AtomicBool,
}

/// Mutable state of the gate: the target, its admission control, and the queued calls.
pub(super) struct GateState {
    pub target: Option<LocalTarget>,
    /// The calls of the target, and whether its run has ended.
    pub run_watch: RunWatch,
    /// The suspected request that runs.
    pub suspect: Option<CallId>,
    admission_gate: AdmissionGate,
    waiters: AdmissionWaiters,
    next_call: u64,
    stopping: bool,
    drain_requested: bool,
}

/// Result of offering a call to admission control.
enum OfferResult {
    /// The call may run immediately.
    Admitted,
    /// The call is queued. The receiver gets the decision.
    Queued(oneshot::Receiver<AdmissionResult>),
}

impl TargetGate {
    /// Creates a gate that has no target yet.
    pub fn new(
        clock: Clock,
        local_vm: VmId,
        signer: ContextSigner,
        keys: Arc<dyn KeyCheck>,
        crashes: Arc<Mutex<CrashTable>>,
    ) -> Self {
        let state = GateState {
            target: None,
            run_watch: RunWatch::default(),
            suspect: None,
            admission_gate: AdmissionGate::new(AdmissionGateSettings::default()),
            waiters: AdmissionWaiters::default(),
            next_call: 0,
            stopping: false,
            drain_requested: false,
        };
        Self {
            clock,
            local_vm,
            state: Mutex::new(state),
            running: Mutex::default(),
            client: Mutex::new(Arc::new(TargetClient::new(TargetProtocol::default()))),
            response_timeout: AdaptiveTimeout::default(),
            signer,
            keys,
            crashes,
            is_probing: AtomicBool::new(false),
        }
    }

    /// Applies an announcement of the local target. A new address resets admission control.
    pub fn apply_announcement(&self, announcement: TargetAnnouncement) {
        let now = self.clock.now();
        if lock(&self.client).protocol() != announcement.protocol {
            *lock(&self.client) = Arc::new(TargetClient::new(announcement.protocol));
        }
        let mut state = lock(&self.state);
        let hints = TargetHints {
            slots: Some(announcement.slots),
            connections: Some(announcement.connections),
            warm_up_ms: Some(u64::from(announcement.warm_up_ms)),
            reported_load: announcement.load.map(|load| BasisPoints::from_fraction(f64::from(load))),
        };
        let is_new = state.target.as_ref().is_none_or(|old| old.announcement.address != announcement.address);
        if is_new {
            state.admission_gate = AdmissionGate::new(AdmissionGateSettings::default());
        }
        if announcement.leaving || state.drain_requested || state.stopping {
            state.admission_gate.begin_drain(now);
        }
        state.admission_gate.set_hints(hints, now);
        let is_new_run = state.target.as_ref().is_some_and(|old| old.announcement.is_other_run(&announcement));
        let ended = match is_new_run {
            true => state.run_watch.record_new_run(),
            false => {
                state.run_watch.record_announcement(now);
                Vec::new()
            }
        };
        lock(&self.crashes).record_end(&ended, self.local_vm, now);
        match &mut state.target {
            Some(target) => target.renew(announcement, now),
            None => state.target = Some(LocalTarget::new(announcement, now)),
        }
    }

    /// Starts or cancels a drain requested by the configuration.
    ///
    /// If the drain is cancelled after it has completed, admission control starts from its initial state.
    pub fn set_drain_requested(&self, requested: bool) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.drain_requested == requested {
            return;
        }
        state.drain_requested = requested;
        if requested {
            log::info!("gate: draining the target, as requested by the configuration");
            state.admission_gate.begin_drain(now);
        } else if state.admission_gate.is_drained() {
            state.admission_gate = AdmissionGate::new(AdmissionGateSettings::default());
        }
    }

    /// Stops admitting calls, because the node is shutting down.
    pub fn begin_drain(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.stopping = true;
        state.admission_gate.begin_drain(now);
    }

    /// Returns whether the gate is draining and no call is running or queued.
    pub fn is_drained(&self) -> bool {
        lock(&self.state).admission_gate.is_drained() && lock(&self.running).is_empty()
    }

    /// Returns the local target as it is published to other nodes, or `None` when it is not usable.
    pub fn usable_target(&self) -> Option<LocalTarget> {
        let now = self.clock.now();
        let state = lock(&self.state);
        let mut target = state.target.clone().filter(|target| target.is_usable(now))?;
        target.announcement.leaving |= state.stopping || state.drain_requested;
        Some(target)
    }

    /// Returns the signer of the context headers, which also verifies those of child calls.
    pub fn signer(&self) -> &ContextSigner {
        &self.signer
    }

    /// Applies `change` to the row of a running call. Returns `None` when the call has ended.
    pub fn with_running_call<T>(&self, call: CallId, change: impl FnOnce(&mut RunningCall) -> T) -> Option<T> {
        lock(&self.running).get_mut(call).map(change)
    }

    /// Records that a running call starts a child call, and applies `change` to its row.
    ///
    /// Time spent in child calls is not counted as load of the local target.
    pub fn start_child_call<T>(&self, call: CallId, change: impl FnOnce(&mut RunningCall) -> T) -> Option<T> {
        let now = self.clock.now();
        lock(&self.state).admission_gate.record_child_start(call, now);
        self.with_running_call(call, change)
    }

    /// Records that a child call has ended, and applies `change` to its parent's row if the parent is still running.
    pub fn end_child_call(&self, call: CallId, change: impl FnOnce(&mut RunningCall)) {
        let now = self.clock.now();
        lock(&self.state).admission_gate.record_child_end(call, now);
        self.with_running_call(call, change);
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> usize {
        lock(&self.running).len()
    }

    /// Drops queued calls that have waited too long and starts those that may run. Called on each tick.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.process_events(&mut lock(&self.state), now);
    }

    /// Tries to connect to the target and records whether it is reachable.
    pub async fn probe_target(&self) {
        let address = lock(&self.state).target.as_ref().map(|target| target.announcement.address);
        let Some(address) = address else { return };
        let reachable = can_connect(address).await;
        self.set_reachable(reachable);
    }

    /// Runs a call on the local target, or refuses it. Dropping the future cancels the call.
    pub async fn run_call(self: &Arc<Self>, head: CallHead, body: ByteBody) -> PeerResponse {
        let allowance = head.retry_allowance;
        match self.admit(&head).await {
            Ok((call, slot)) => self.forward(call, slot, head, body).await,
            Err(refusal) => self.refusal_response(refusal, allowance, None),
        }
    }

    /// Releases the slot of a call that has ended.
    pub fn complete(self: &Arc<Self>, call: CallId, completion: Completion) {
        let now = self.clock.now();
        match completion {
            Completion::Answered => self.record_answer(call, now),
            Completion::TargetRefused => self.stop_watching(call),
            Completion::Failed => self.record_loss(call, CallLoss::Closed, now),
            Completion::TimedOut | Completion::Cancelled => self.record_loss(call, CallLoss::Unobserved, now),
        }
        lock(&self.running).remove(call);
        let mut state = lock(&self.state);
        state.admission_gate.complete(call, completion, now);
        self.process_events(&mut state, now);
    }

    /// Releases the slot of a call that its sender has abandoned.
    pub fn cancel(&self, call: CallId) {
        let now = self.clock.now();
        lock(&self.running).remove(call);
        self.record_abandoned(call, now);
        let mut state = lock(&self.state);
        state.waiters.remove(call);
        state.admission_gate.cancel(call, now);
        self.process_events(&mut state, now);
    }

    /// Waits until the call is admitted.
    ///
    /// A queued call is checked again before it runs, because its key may have been withdrawn in the meantime.
    async fn admit(self: &Arc<Self>, head: &CallHead) -> Result<(CallId, AdmissionSlot), Refusal> {
        let deadline = self.clock.now().plus_us(head.deadline_left_us);
        self.check_key(head)?;
        self.check_crash_marks(head.fingerprint)?;
        self.wait_for_earlier_try(head.fingerprint, deadline).await?;
        let now = self.clock.now();
        let (call, result) = self.offer_call(head, deadline, now)?;
        let slot = AdmissionSlot::new(Arc::clone(self), call);
        if let OfferResult::Queued(admission) = result {
            let admission = admission.await.unwrap_or(Err(Refusal::not_run(Reason::Draining, None)));
            admission?;
            self.check_key(head)?;
        }
        self.start_watching(call, head.fingerprint)?;
        self.insert_running(call, head, deadline);
        Ok((call, slot))
    }

    fn check_key(&self, head: &CallHead) -> Result<(), Refusal> {
        match head.context.key_hash.is_some_and(|hash| !self.keys.is_active(&hash)) {
            true => Err(Refusal::not_run(Reason::Unauthorized, None)),
            false => Ok(()),
        }
    }

    fn offer_call(&self, head: &CallHead, deadline: TimeUs, now: TimeUs) -> Result<(CallId, OfferResult), Refusal> {
        let mut state = lock(&self.state);
        if state.stopping {
            return Err(Refusal::not_run(Reason::Draining, None));
        }
        let target = state.target.as_ref().filter(|target| target.is_usable(now));
        let no_target = Refusal::not_run(Reason::NoTarget, Some(TARGET_GONE_RETRY_AFTER_MS));
        let target = target.ok_or(no_target)?;
        if target.announcement.service != head.service {
            return Err(no_target);
        }
        let call = CallId(state.next_call);
        state.next_call += 1;
        let tenant = head.context.tenant.clone().unwrap_or_else(crate::keys::anonymous_tenant);
        let offer = OfferedCall {
            call,
            tenant,
            weight: head.context.weight,
            class: head.context.class,
            deadline,
            ingress_share: head.context.ingress_share,
        };
        let result = match state.admission_gate.offer(offer, now) {
            Admission::Run => Ok((call, OfferResult::Admitted)),
            Admission::Refused(refusal) => Err(refusal),
            Admission::Queued => Ok((call, OfferResult::Queued(state.waiters.register(call)))),
        };
        // The offered call may have displaced queued calls of lower priority.
        self.process_events(&mut state, now);
        result
    }

    fn insert_running(&self, call: CallId, head: &CallHead, deadline: TimeUs) {
        let row = RunningCall {
            context: head.context.clone(),
            deadline,
            depth: head.depth,
            at_most_once: head.at_most_once,
            allowance: RetryAllowance::new(head.retry_allowance),
        };
        lock(&self.running).insert(call, row);
    }

    /// Sends a call to the target and returns the head of its response.
    async fn forward(
        self: &Arc<Self>,
        call: CallId,
        slot: AdmissionSlot,
        head: CallHead,
        body: ByteBody,
    ) -> PeerResponse {
        let response_timeout_us =
            if head.retryable { self.response_timeout.timeout_us(head.deadline_left_us) } else { u64::MAX };
        let timeout = Duration::from_micros(head.deadline_left_us.min(response_timeout_us));
        let started = self.clock.now();
        let request = match self.target_request(call, &head, body) {
            Ok(request) => request,
            Err(refusal) => {
                self.stop_watching(call);
                slot.finish(Completion::Cancelled);
                return self.refusal_response(refusal, head.retry_allowance, None);
            }
        };
        let client = Arc::clone(&lock(&self.client));
        let result = tokio::time::timeout(timeout, client.send(request)).await;
        match result {
            Ok(Ok(response)) => {
                self.response_timeout.record_response(self.clock.now().us_since(started));
                let left = started.plus_us(head.deadline_left_us).duration_since(self.clock.now());
                self.target_response(call, slot, response, left)
            }
            Ok(Err(error)) => self.target_error_response(call, slot, &head, &error).await,
            Err(_) => {
                // The connection may be dead, so new calls must use new connections.
                client.replace_pool();
                let unspent_retries = lock(&self.running).close_allowance(call);
                slot.finish(Completion::TimedOut);
                let is_unresponsive = response_timeout_us < head.deadline_left_us;
                let reason = if is_unresponsive { Reason::TargetFailed } else { Reason::Deadline };
                self.refusal_response(Refusal::unknown(reason), unspent_retries, None)
            }
        }
    }

    fn target_request(&self, call: CallId, head: &CallHead, body: ByteBody) -> Result<Request<ByteBody>, Refusal> {
        let bad_request = Refusal::not_run(Reason::BadRequest, None);
        let address = lock(&self.state).target.as_ref().map(|target| target.announcement.address);
        let address = address.ok_or(Refusal::not_run(Reason::NoTarget, Some(TARGET_GONE_RETRY_AFTER_MS)))?;
        let uri: Uri = format!("http://{address}{}", head.path).parse().map_err(|_| bad_request)?;
        let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| bad_request)?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers_from_pairs(&head.headers);
        let context = HeaderValue::from_str(&self.signer.sign(call)).map_err(|_| bad_request)?;
        request.headers_mut().insert(HeaderName::from_static(CONTEXT_HEADER), context);
        Ok(request)
    }

    /// Returns the response of the target, whose body must end within `left`: it may have no end.
    fn target_response(
        &self,
        call: CallId,
        slot: AdmissionSlot,
        response: hyper::Response<hyper::body::Incoming>,
        left: Duration,
    ) -> PeerResponse {
        let status = response.status().as_u16();
        if status >= FIRST_ERROR_STATUS {
            // An error response does not show that the target can run the request.
            lock(&self.state).run_watch.record_answer(call, false);
        }
        let headers = headers_to_pairs(response.headers());
        let unspent_retries = lock(&self.running).close_allowance(call);
        let body = incoming_body(response.into_body());
        let body = if hyper::body::Body::is_end_stream(&body) {
            slot.finish(Completion::Answered);
            body
        } else {
            let body = TimeLimitedBody::new(body, left).boxed();
            http_body_util::BodyExt::boxed_unsync(WatchedBody::new(body, slot))
        };
        let head = ResponseHead {
            result: GateResult::Response { status, headers },
            admission_level: Some(self.admission_level()),
            downstream_levels: Vec::new(),
            unspent_retries,
            crash: None,
        };
        PeerResponse { head, body }
    }

    async fn target_error_response(
        self: &Arc<Self>,
        call: CallId,
        slot: AdmissionSlot,
        head: &CallHead,
        error: &TargetError,
    ) -> PeerResponse {
        let unspent_retries = lock(&self.running).close_allowance(call);
        log::info!("gate: call {:016x} failed: {error}", head.context.request_id);
        match error {
            TargetError::Connect(_) => {
                self.stop_watching(call);
                slot.finish(Completion::Failed);
                self.set_reachable(false);
                self.start_probing();
                let refusal = Refusal::not_run(Reason::NoTarget, Some(TARGET_GONE_RETRY_AFTER_MS));
                self.refusal_response(refusal, unspent_retries, None)
            }
            TargetError::Invalid(_) => {
                // The target has responded, so that its run has not ended with the call.
                lock(&self.state).run_watch.record_answer(call, false);
                slot.finish(Completion::Failed);
                self.refusal_response(Refusal::unknown(Reason::BadAnswer), unspent_retries, None)
            }
            TargetError::ConnectionLost(_) => {
                slot.finish(Completion::Failed);
                let crash = self.wait_for_crash_mark(call, head.fingerprint).await;
                self.refusal_response(Refusal::unknown(Reason::TargetFailed), unspent_retries, crash)
            }
        }
    }

    fn refusal_response(&self, refusal: Refusal, unspent_retries: u32, crash: Option<CrashMark>) -> PeerResponse {
        let head = ResponseHead {
            result: GateResult::Refused(refusal),
            admission_level: Some(self.admission_level()),
            downstream_levels: Vec::new(),
            unspent_retries,
            crash,
        };
        PeerResponse { head, body: empty_body() }
    }

    fn admission_level(&self) -> AdmissionLevel {
        let now = self.clock.now();
        lock(&self.state).admission_gate.admission_level(now)
    }

    pub(super) fn set_reachable(&self, reachable: bool) {
        if let Some(target) = &mut lock(&self.state).target {
            target.reachable = reachable;
        }
    }

    /// Delivers the events of admission control to the queued calls.
    fn process_events(&self, state: &mut GateState, now: TimeUs) {
        loop {
            let events = state.admission_gate.take_events(now);
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, result) = match event {
                    QueueEvent::Start(call) => (call, Ok(())),
                    QueueEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                if !state.waiters.notify(call, result) && result.is_ok() {
                    state.admission_gate.cancel(call, now);
                }
            }
        }
    }
}
