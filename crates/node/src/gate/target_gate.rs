//! Runs calls on the own target, within what the gate admits.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_core::{CallId, Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::{
    Admission, AdmissionGate, AdmissionGateSettings, AdmissionLevel, BasisPoints, Completion, CrashTable, CrashVerdict,
    OfferedCall, QueueEvent, RetryAllowance, TargetHints,
};
use http::{HeaderName, HeaderValue, Method, Request, Uri};
use tokio::sync::oneshot;

use super::adaptive_timeout::AdaptiveTimeout;
use super::admission_slot::AdmissionSlot;
use super::local_target::{LocalTarget, TargetAnnouncement, TargetProtocol};
use super::target_client::{TargetClient, TargetError, probe};
use crate::body::{AdmissionResult, AdmissionWaiters, ByteBody, WatchedBody, empty_body, incoming_body};
use crate::call::{RunningCall, RunningCalls};
use crate::clock::Clock;
use crate::context::{CONTEXT_HEADER, ContextSigner};
use crate::keys::KeyCheck;
use crate::peer::PeerResponse;
use crate::wire::{CallHead, Reply, ResponseHead, headers_from_pairs, headers_to_pairs};

/// When a caller should come back after a target went away: by then its replacement is known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 1_000;

/// The gate of one node.
pub struct TargetGate {
    clock: Clock,
    table: Mutex<GateState>,
    running: Mutex<RunningCalls>,
    client: Mutex<Arc<TargetClient>>,
    silence: AdaptiveTimeout,
    signer: ContextSigner,
    keys: Arc<dyn KeyCheck>,
    crashes: Arc<Mutex<CrashTable>>,
}

/// The gate's decisions and the calls that wait for them.
struct GateState {
    target: Option<LocalTarget>,
    gate: AdmissionGate,
    turns: AdmissionWaiters,
    next_call: u64,
    stopping: bool,
    drain_requested: bool,
}

/// How an offer to the gate went.
enum Entered {
    /// The call may run now.
    Run,
    /// The call waits for its turn.
    Wait(oneshot::Receiver<AdmissionResult>),
}

impl TargetGate {
    /// Returns a gate without a target.
    pub fn new(clock: Clock, signer: ContextSigner, keys: Arc<dyn KeyCheck>, crashes: Arc<Mutex<CrashTable>>) -> Self {
        let table = GateState {
            target: None,
            gate: AdmissionGate::new(AdmissionGateSettings::default()),
            turns: AdmissionWaiters::default(),
            next_call: 0,
            stopping: false,
            drain_requested: false,
        };
        Self {
            clock,
            table: Mutex::new(table),
            running: Mutex::default(),
            client: Mutex::new(Arc::new(TargetClient::new(TargetProtocol::default()))),
            silence: AdaptiveTimeout::default(),
            signer,
            keys,
            crashes,
        }
    }

    /// Takes an announcement of the own target.
    pub fn apply_announcement(&self, announcement: TargetAnnouncement) {
        let now = self.clock.now();
        if lock(&self.client).protocol() != announcement.protocol {
            *lock(&self.client) = Arc::new(TargetClient::new(announcement.protocol));
        }
        let mut table = lock(&self.table);
        let hints = TargetHints {
            slots: Some(announcement.slots),
            connections: Some(announcement.connections),
            warm_up_ms: Some(u64::from(announcement.warm_up_ms)),
            reported_load: announcement.load.map(|load| BasisPoints::from_fraction(f64::from(load))),
        };
        let is_new = table.target.as_ref().is_none_or(|old| old.announcement.address != announcement.address);
        if is_new {
            table.gate = AdmissionGate::new(AdmissionGateSettings::default());
        }
        if announcement.leaving || table.drain_requested || table.stopping {
            table.gate.begin_drain(now);
        }
        table.gate.set_hints(hints, now);
        match &mut table.target {
            Some(target) => target.renew(announcement, now),
            None => table.target = Some(LocalTarget::new(announcement, now)),
        }
    }

    /// Notes whether the configuration wants the target to leave. A target that may stay after all
    /// starts with a fresh gate.
    pub fn set_drain_requested(&self, leave: bool) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        if table.drain_requested == leave {
            return;
        }
        table.drain_requested = leave;
        if leave {
            log::info!("gate: the target was told to leave");
            table.gate.begin_drain(now);
        } else if table.gate.is_drained() {
            table.gate = AdmissionGate::new(AdmissionGateSettings::default());
        }
    }

    /// Takes no new calls from now on, because the node is stopping.
    pub fn begin_drain(&self) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        table.stopping = true;
        table.gate.begin_drain(now);
    }

    /// Tells whether the gate drains and nothing runs or waits any more.
    pub fn is_drained(&self) -> bool {
        lock(&self.table).gate.is_drained() && lock(&self.running).is_empty()
    }

    /// Returns the own target's row as other nodes should see it; `None` when it is not usable.
    pub fn usable_target(&self) -> Option<LocalTarget> {
        let now = self.clock.now();
        let table = lock(&self.table);
        let mut target = table.target.clone().filter(|target| target.is_usable(now))?;
        target.announcement.leaving |= table.stopping || table.drain_requested;
        Some(target)
    }

    /// Returns the context signer, which the sidecar checks child calls with.
    pub fn signer(&self) -> &ContextSigner {
        &self.signer
    }

    /// Runs `change` on a running call's row, or returns `None` when the call has ended.
    pub fn with_running_call<T>(&self, call: CallId, change: impl FnOnce(&mut RunningCall) -> T) -> Option<T> {
        lock(&self.running).get_mut(call).map(change)
    }

    /// Notes that a running call sends a child call, and runs `change` on its row. Time spent in child
    /// calls says nothing about the own target's load.
    pub fn start_child_call<T>(&self, call: CallId, change: impl FnOnce(&mut RunningCall) -> T) -> Option<T> {
        let now = self.clock.now();
        lock(&self.table).gate.record_child_start(call, now);
        self.with_running_call(call, change)
    }

    /// Notes that a child call ended, and runs `change` on its parent's row if that still runs.
    pub fn end_child_call(&self, call: CallId, change: impl FnOnce(&mut RunningCall)) {
        let now = self.clock.now();
        lock(&self.table).gate.record_child_end(call, now);
        self.with_running_call(call, change);
    }

    /// Returns the number of calls that run.
    pub fn in_flight(&self) -> usize {
        lock(&self.running).len()
    }

    /// Drops what waited too long and starts what may run. Called on each tick.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.pump(&mut lock(&self.table), now);
    }

    /// Makes a new connection to a target that could not be reached, and notes the result.
    pub async fn probe_target(&self) {
        let address = lock(&self.table).target.as_ref().map(|target| target.announcement.address);
        let Some(address) = address else { return };
        let reachable = probe(address).await;
        self.set_reachable(reachable);
    }

    /// Runs one call, or refuses it. Dropping the future cancels the call.
    pub async fn run(self: &Arc<Self>, head: CallHead, body: ByteBody) -> PeerResponse {
        let allowance = head.retry_allowance;
        match self.admit(&head).await {
            Ok((call, slot)) => self.forward(call, slot, head, body).await,
            Err(refusal) => self.refused(refusal, allowance, false),
        }
    }

    /// Gives back the place of a call that ended.
    pub fn complete(&self, call: CallId, completion: Completion) {
        let now = self.clock.now();
        lock(&self.running).remove(call);
        let mut table = lock(&self.table);
        table.gate.complete(call, completion, now);
        self.pump(&mut table, now);
    }

    /// Gives back the place of a call that its sender gave up.
    pub fn cancel(&self, call: CallId) {
        let now = self.clock.now();
        lock(&self.running).remove(call);
        let mut table = lock(&self.table);
        table.turns.remove(call);
        table.gate.cancel(call, now);
        self.pump(&mut table, now);
    }

    /// Waits for a place. A call that waited is checked again, because its key may have been
    /// withdrawn meanwhile.
    async fn admit(self: &Arc<Self>, head: &CallHead) -> Result<(CallId, AdmissionSlot), Refusal> {
        self.check_head(head)?;
        let now = self.clock.now();
        let deadline = now.plus_us(head.deadline_left_us);
        let (call, entered) = self.enter(head, deadline, now)?;
        let slot = AdmissionSlot::new(Arc::clone(self), call);
        if let Entered::Wait(turn) = entered {
            let turn = turn.await.unwrap_or(Err(Refusal::not_run(Reason::Draining, None)));
            turn?;
            self.check_head(head)?;
        }
        self.insert_running(call, head, deadline);
        Ok((call, slot))
    }

    fn check_head(&self, head: &CallHead) -> Result<(), Refusal> {
        if head.context.key_hash.is_some_and(|hash| !self.keys.is_active(&hash)) {
            return Err(Refusal::not_run(Reason::Unauthorized, None));
        }
        let now = self.clock.now();
        match lock(&self.crashes).check(head.fingerprint, now) {
            CrashVerdict::Blocked { until } => Err(Refusal::not_run(Reason::Blocked, Some(until.ms_since(now)))),
            CrashVerdict::Clear | CrashVerdict::Marked => Ok(()),
        }
    }

    fn enter(&self, head: &CallHead, deadline: TimeUs, now: TimeUs) -> Result<(CallId, Entered), Refusal> {
        let mut table = lock(&self.table);
        if table.stopping {
            return Err(Refusal::not_run(Reason::Draining, None));
        }
        let target = table.target.as_ref().filter(|target| target.is_usable(now));
        let no_target = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        let target = target.ok_or(no_target)?;
        if target.announcement.service != head.service {
            return Err(no_target);
        }
        let call = CallId(table.next_call);
        table.next_call += 1;
        let tenant = head.context.tenant.clone().unwrap_or_else(crate::keys::anonymous_tenant);
        let offer = OfferedCall {
            call,
            tenant,
            weight: head.context.weight,
            class: head.context.class,
            deadline,
            ingress_share: head.context.ingress_share,
        };
        let entered = match table.gate.offer(offer, now) {
            Admission::Run => Ok((call, Entered::Run)),
            Admission::Refused(refusal) => Err(refusal),
            Admission::Queued => Ok((call, Entered::Wait(table.turns.register(call)))),
        };
        // The offer may have taken the place of less important calls.
        self.pump(&mut table, now);
        entered
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

    /// Hands a call to the target and returns the head of its answer.
    async fn forward(&self, call: CallId, slot: AdmissionSlot, head: CallHead, body: ByteBody) -> PeerResponse {
        let silence_us = if head.retryable { self.silence.limit_us(head.deadline_left_us) } else { u64::MAX };
        let wait = Duration::from_micros(head.deadline_left_us.min(silence_us));
        let started = self.clock.now();
        let request = match self.target_request(call, &head, body) {
            Ok(request) => request,
            Err(refusal) => {
                slot.finish(Completion::Cancelled);
                return self.refused(refusal, head.retry_allowance, false);
            }
        };
        let client = Arc::clone(&lock(&self.client));
        let answered = tokio::time::timeout(wait, client.send(request)).await;
        match answered {
            Ok(Ok(response)) => {
                self.silence.answered(self.clock.now().us_since(started));
                self.answered(call, slot, response)
            }
            Ok(Err(error)) => self.target_failed(call, slot, &head, &error),
            Err(_) => {
                // The connection may have gone silent; new calls get new connections.
                client.replace_pool();
                let unspent = lock(&self.running).close_allowance(call);
                slot.finish(Completion::TimedOut);
                let is_silent = silence_us < head.deadline_left_us;
                let reason = if is_silent { Reason::TargetFailed } else { Reason::Deadline };
                self.refused(Refusal::unknown(reason), unspent, false)
            }
        }
    }

    fn target_request(&self, call: CallId, head: &CallHead, body: ByteBody) -> Result<Request<ByteBody>, Refusal> {
        let bad_request = Refusal::not_run(Reason::BadRequest, None);
        let address = lock(&self.table).target.as_ref().map(|target| target.announcement.address);
        let address = address.ok_or(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)))?;
        let uri: Uri = format!("http://{address}{}", head.path).parse().map_err(|_| bad_request)?;
        let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| bad_request)?;
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers_from_pairs(&head.headers);
        let context = HeaderValue::from_str(&self.signer.seal(call)).map_err(|_| bad_request)?;
        request.headers_mut().insert(HeaderName::from_static(CONTEXT_HEADER), context);
        Ok(request)
    }

    fn answered(
        &self,
        call: CallId,
        slot: AdmissionSlot,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> PeerResponse {
        let status = response.status().as_u16();
        let headers = headers_to_pairs(response.headers());
        let unspent_retries = lock(&self.running).close_allowance(call);
        let body = incoming_body(response.into_body());
        let body = if hyper::body::Body::is_end_stream(&body) {
            slot.finish(Completion::Answered);
            body
        } else {
            http_body_util::BodyExt::boxed_unsync(WatchedBody::new(body, slot))
        };
        let head = ResponseHead {
            reply: Reply::Answer { status, headers },
            level: Some(self.level()),
            reports: Vec::new(),
            unspent_retries,
            target_lost: false,
        };
        PeerResponse { head, body }
    }

    fn target_failed(&self, call: CallId, slot: AdmissionSlot, head: &CallHead, error: &TargetError) -> PeerResponse {
        let unspent = lock(&self.running).close_allowance(call);
        slot.finish(Completion::Failed);
        log::info!("gate: call {:016x} failed: {error}", head.context.request_id);
        match error {
            TargetError::Connect(_) => {
                self.set_reachable(false);
                let refusal = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
                self.refused(refusal, unspent, false)
            }
            TargetError::Lost(_) => self.refused(Refusal::unknown(Reason::TargetFailed), unspent, true),
        }
    }

    fn refused(&self, refusal: Refusal, unspent_retries: u32, target_lost: bool) -> PeerResponse {
        let head = ResponseHead {
            reply: Reply::Refused(refusal),
            level: Some(self.level()),
            reports: Vec::new(),
            unspent_retries,
            target_lost,
        };
        PeerResponse { head, body: empty_body() }
    }

    fn level(&self) -> AdmissionLevel {
        let now = self.clock.now();
        lock(&self.table).gate.admission_level(now)
    }

    fn set_reachable(&self, reachable: bool) {
        if let Some(target) = &mut lock(&self.table).target {
            target.reachable = reachable;
        }
    }

    /// Passes the gate's events on to the calls that wait for them.
    fn pump(&self, table: &mut GateState, now: TimeUs) {
        loop {
            let events = table.gate.take_events(now);
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, turn) = match event {
                    QueueEvent::Start(call) => (call, Ok(())),
                    QueueEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                if !table.turns.notify(call, turn) && turn.is_ok() {
                    table.gate.cancel(call, now);
                }
            }
        }
    }
}
