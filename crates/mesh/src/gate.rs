//! The admission gate in front of the local target: its slots, its queue and its connections.

mod admission;
mod cold;
mod crashes;
mod health;
mod load_metrics;
mod notices;
mod open_call;
mod responses;
mod slot_guard;
mod watched_call;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_core::{Reason, Refusal, RouteId, Service, TimeUs, VmId, lock};
use fulmartrestle_policy::{
    AttemptEnd, CallLoss, CrashTable, DemandReport, Origin, ProbeResult, ProcessorWork, StopTimes,
};
use fulmartrestle_transport::{ByteBody, ReplayBody, content_length};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Method, Request, Uri};
use hyper::body::Body;
use tokio::sync::{Notify, Semaphore, watch};

use crate::call_messages::{CallOutcome, CallRequestHead, CallResponseHead, GateReport};
use crate::clock::BootClock;
use crate::event_log::{EventLog, LogLine};
use crate::local_target::{Announcement, AnnouncementResult, ExpectedTarget, TargetRun};
use crate::metrics::Metrics;
use crate::node_start::NodeStart;
use crate::platform::{TargetMetadata, WireProtocol};
use crate::stop_watch::{StopReceiver, wait_until_too_late};
use crate::target_connection_pool::{TargetConnectionPool, TargetError};
use crate::upload_end::UploadEnd;

use admission::{AdmittedCall, GateState, usable_slots};
use open_call::OpenCall;
use watched_call::WatchedCall;

/// Retry-After when the target is gone, in milliseconds. By then other targets are known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 300;

/// Retry-After when the target itself refused a call, in milliseconds.
const TARGET_REFUSED_RETRY_AFTER_MS: u64 = 200;

/// Refusal of calls that can't be completed before a node ends.
const STOPPING: Refusal = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));

/// Interval between checks whether a closed gate is idle, in milliseconds.
const IDLE_POLL_MS: u64 = 20;

/// What a gate shares with the other parts of its node.
pub struct GateOptions {
    /// The node's source of time.
    pub clock: BootClock,
    /// ID of this run of the node.
    pub node_id: VmId,
    /// Address of the local target.
    pub address: SocketAddr,
    /// Headers and status codes of the platform.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Destination of the structured log lines.
    pub event_log: EventLog,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Requests that crashed targets.
    pub crashes: Arc<Mutex<CrashTable>>,
    /// Wakes the sender of status messages.
    pub status_due: Arc<Notify>,
    /// Whether the whole deployment is starting for the first time.
    pub first_start: bool,
}

/// A call that may be sent to the target.
struct PreparedCall {
    admitted: AdmittedCall,
    request: Request<ByteBody>,
    /// The end of a body that is still arriving.
    upload_end: Option<UploadEnd>,
}

/// The admission gate of one node.
pub struct Gate {
    clock: BootClock,
    node_id: VmId,
    address: SocketAddr,
    wire_protocol: Arc<dyn WireProtocol>,
    event_log: EventLog,
    metrics: Arc<Metrics>,
    crashes: Arc<Mutex<CrashTable>>,
    status_due: Arc<Notify>,
    state: Mutex<GateState>,
    pool: TargetConnectionPool,
    /// Held by the suspected request that runs.
    suspect_turn: Arc<Semaphore>,
    is_probing: AtomicBool,
    /// Wakes lost calls when an end of the target was counted.
    end_counted: Notify,
    /// Notified when a run announces itself that must be verified.
    run_unverified: Notify,
    /// Calls of other nodes whose responses have not been sent.
    open_calls: Arc<AtomicUsize>,
    /// The stop of this node once it begins.
    stop: watch::Sender<Option<StopTimes>>,
}

impl Gate {
    /// Returns a gate that refuses all calls until a target announces itself.
    pub fn new(options: GateOptions) -> Self {
        let GateOptions {
            clock,
            node_id,
            address,
            wire_protocol,
            event_log,
            metrics,
            crashes,
            status_due,
            first_start,
        } = options;
        let node_start = (!first_start).then(|| NodeStart { at: clock.now(), unix_ms: clock.unix_ms() });
        Self {
            clock,
            node_id,
            address,
            wire_protocol,
            event_log,
            metrics,
            crashes,
            status_due,
            state: Mutex::new(GateState::new(node_start)),
            pool: TargetConnectionPool::default(),
            suspect_turn: Arc::new(Semaphore::new(1)),
            is_probing: AtomicBool::new(false),
            end_counted: Notify::new(),
            run_unverified: Notify::new(),
            open_calls: Arc::default(),
            stop: watch::Sender::new(None),
        }
    }

    /// Applies an announcement that names `service` and this gate's address. Returns whether the other nodes should be
    /// notified at once.
    ///
    /// # Errors
    ///
    /// Returns the value that shows that the announcement is not one of the local target. It has no effect then.
    pub fn apply_announcement(&self, announcement: Announcement, service: &Service) -> Result<bool, String> {
        let expected = ExpectedTarget { service: service.clone(), address: self.address };
        if let Some(contradiction) = expected.contradicting_value(&announcement) {
            return Err(contradiction);
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let was_usable = state.target.usable(now).is_some();
        let line = LogLine::new("target_announced")
            .text("instance", &announcement.instance)
            .number("seq", announcement.seq)
            .flag("leaving", announcement.draining);
        let slots = announcement.slots;
        let known = state.target.last_announcement().cloned();
        let result = state.target.apply_announcement(announcement, now);
        match result {
            AnnouncementResult::NewRun => {
                let ended = state.run_watch.record_new_run();
                self.count_end(&ended, known.as_ref(), "new run");
            }
            AnnouncementResult::Current => state.run_watch.record_announcement(now),
            AnnouncementResult::Outdated => {}
        }
        // Before everything that could start calls which a cold target must not receive.
        state.update_cold_limit(now);
        match result {
            AnnouncementResult::NewRun => {
                self.pool.close_idle();
                state.failures.clear();
                state.set_notices(None, now);
                state.pace.discard_present();
                self.event_log.write(line.text("as", "new run"), now);
            }
            AnnouncementResult::Outdated => self.event_log.write(line.text("as", "outdated"), now),
            AnnouncementResult::Current => {}
        }
        if result != AnnouncementResult::Outdated {
            state.slots.set_limit(usable_slots(slots), now);
            state.notify_waiters(now);
        }
        let changed = was_usable != state.target.usable(now).is_some() || result == AnnouncementResult::NewRun;
        if changed && result == AnnouncementResult::Current {
            let usable = state.target.usable(now).is_some();
            self.event_log.write(LogLine::new("target_changed").flag("usable", usable), now);
        }
        if state.target.unverified_run().is_some() {
            self.run_unverified.notify_one();
        }
        drop(state);
        self.log_cold_state("announcement");
        Ok(changed)
    }

    /// Applies the notice that the local target has stopped. `started_unix_ms` is the start of the run that
    /// stopped; if the notice does not name it, it binds all runs of `instance` that have started by now.
    pub fn apply_withdrawal(&self, instance: &str, started_unix_ms: Option<i64>) {
        let now = self.clock.now();
        let is_named = started_unix_ms.is_some();
        let started_unix_ms =
            lock(&self.state).target.apply_withdrawal(instance, started_unix_ms, self.clock.unix_ms());
        let line = LogLine::new("target_withdrawn")
            .text("instance", instance)
            .number("started_unix_ms", started_unix_ms.unsigned_abs())
            .flag("names_run", is_named);
        self.event_log.write(line, now);
    }

    /// Returns the last `max_count` runs of the target that have left or are draining, the latest start first.
    pub fn left_runs(&self, max_count: usize) -> Vec<TargetRun> {
        lock(&self.state).target.left_runs(max_count)
    }

    /// Applies that runs of other nodes' targets, or of this one, have left, as another node reports.
    pub fn apply_left_runs_elsewhere(&self, runs: Vec<TargetRun>) {
        lock(&self.state).target.apply_left_runs_elsewhere(runs);
    }

    /// Applies that runs of the target have left, as the store holds it.
    pub fn apply_left_runs(&self, runs: &[TargetRun]) {
        let mut state = lock(&self.state);
        for TargetRun { instance, started_unix_ms } in runs {
            state.target.apply_left_run(instance, *started_unix_ms);
        }
    }

    /// Lets calls reach the target, because the runs that had left before this node started are known. Returns whether they
    /// were not known before.
    pub fn set_left_runs_known(&self) -> bool {
        let was_known = std::mem::replace(&mut lock(&self.state).knows_left_runs, true);
        if !was_known {
            self.status_due.notify_one();
        }
        !was_known
    }

    /// Returns whether the runs are known that had left before this node started.
    pub fn knows_left_runs(&self) -> bool {
        lock(&self.state).knows_left_runs
    }

    /// Reports the target as not ready, so that other nodes send their calls elsewhere. Calls that still arrive
    /// are accepted.
    pub fn start_draining(&self) {
        lock(&self.state).draining = true;
    }

    /// Starts the stop of this node: calls that can't end before it does are refused.
    pub fn start_stop(&self, stop: StopTimes) {
        lock(&self.state).stop_admission.start_stop(stop);
        self.stop.send_replace(Some(stop));
    }

    /// Returns the receiver of this node's stop.
    pub fn stop_receiver(&self) -> StopReceiver {
        self.stop.subscribe()
    }

    /// Refuses all further calls, because this node stops.
    pub fn close(&self) {
        lock(&self.state).closed = true;
    }

    /// Applies whether the zone of this node is evacuated. While it is, no call reaches the target: waiting calls are
    /// refused at once, and running ones are completed.
    pub fn set_evacuated(&self, evacuated: bool) {
        let was_evacuated = lock(&self.state).check_evacuation().is_err();
        match (was_evacuated, evacuated) {
            (false, true) => {
                lock(&self.state).start_evacuation();
                self.status_due.notify_one();
            }
            (true, false) => self.end_evacuation(),
            _ => {}
        }
    }

    /// Lets calls reach the target again after an evacuation. The target may have become cold meanwhile, which is set before
    /// the gate opens and known after the next announcement.
    fn end_evacuation(&self) {
        self.mark_cold_state_unknown();
        lock(&self.state).end_evacuation();
        self.status_due.notify_one();
    }

    /// Returns the state of the target as it is reported to other nodes.
    pub fn report(&self) -> GateReport {
        let now = self.clock.now();
        lock(&self.state).report(now)
    }

    /// Returns whether the target was withdrawn or has stopped announcing itself.
    pub fn has_lost_target(&self) -> bool {
        let now = self.clock.now();
        let state = lock(&self.state);
        state.target.is_lost(now)
    }

    /// Waits until a run announces itself that must be verified.
    pub async fn wait_for_unverified_run(&self) {
        self.run_unverified.notified().await;
    }

    /// Counts a call of another node as running until the guard is dropped, so that its response is sent before the node ends.
    pub fn hold_open(&self) -> OpenCall {
        OpenCall::new(&self.open_calls)
    }

    /// Returns whether no call is running or waiting.
    pub fn is_idle(&self) -> bool {
        OpenCall::count(&self.open_calls) == 0 && lock(&self.state).slots.is_idle()
    }

    /// Waits until no call is running or waiting.
    pub async fn wait_until_idle(&self) {
        while !self.is_idle() {
            tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        }
    }

    /// Starts the waiting calls that may run by now. Calls that began to wait before the target named a maximum rate do not
    /// look for their turn themselves.
    pub fn start_waiting_calls(&self) {
        {
            let mut state = lock(&self.state);
            let now = self.clock.now();
            state.pause_guard.observe(now);
            state.update_cold_limit(now);
            state.slots.start_waiting(now);
            state.notify_waiters(now);
        }
        self.log_cold_state("time");
    }

    /// Waits until this node has heard of the others again, if the process was paused.
    async fn wait_after_pause(&self) {
        let hold_until = lock(&self.state).pause_guard.observe(self.clock.now());
        if let Some(hold_until) = hold_until {
            tokio::time::sleep(self.clock.duration_until(hold_until)).await;
        }
    }

    /// Closes connections to the target that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired(self.clock.now());
    }

    /// Runs one call on the target, or refuses it. Dropping the future cancels the call. `sender_stop` receives the stop of the
    /// node that sent the call; `None` for calls of this node.
    pub async fn run(
        self: &Arc<Self>,
        head: CallRequestHead,
        body: ByteBody,
        sender_stop: Option<StopReceiver>,
    ) -> (CallResponseHead, ByteBody) {
        let deadline = self.clock.now().plus_us(head.deadline_left_us);
        let too_late = || self.wait_until_too_late(&head, deadline, sender_stop.clone());
        let prepared = tokio::select! {
            biased;
            prepared = self.prepare(&head, body, deadline, sender_stop.as_ref()) => prepared,
            () = too_late() => Err(STOPPING),
        };
        let PreparedCall { admitted, request, upload_end } = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => return self.refuse(&head, refusal, false),
        };
        let call = admitted.slot.call();
        let started = self.clock.now();
        let origin = head.origin.clone();
        let left_ms = deadline.ms_since(started);
        lock(&self.state).parents.insert(deadline, call, head.route.clone(), origin, started);
        let may_send =
            || self.can_complete(&head, deadline, sender_stop.as_ref(), self.clock.now()) && self.confirm_start(call);
        let watched = WatchedCall::start(Arc::clone(self), call, head.fingerprint, admitted.turn.is_some());
        let sending = self.pool.send(self.address, request, head.repeatable, left_ms, started, may_send);
        let sending = tokio::time::timeout(self.clock.duration_until(deadline), sending);
        let sent = match &upload_end {
            None => sending.await,
            Some(upload_end) => tokio::select! {
                biased;
                () = upload_end.wait_until_withheld(too_late()) => {
                    watched.cancel();
                    self.log_target_event(&head, "upload_withheld", "the node stops");
                    return self.refuse(&head, STOPPING, false);
                }
                sent = sending => sent,
            },
        };
        let work_started = upload_end.as_ref().map_or(Some(started), UploadEnd::forwarded_at);
        let record_completion = || {
            if let Some(work_started) = work_started {
                let now = self.clock.now();
                let took_us = now.us_since(work_started);
                lock(&self.state).stop_admission.record_completion(&head.route, &head.service, took_us, now);
            }
        };
        match sent {
            Err(_) => {
                record_completion();
                let mut watched = watched;
                watched.record_loss(CallLoss::Unobserved);
                self.report_unknown(&head, Reason::Deadline, false)
            }
            Ok(Err(TargetError::NotSent(detail))) => {
                watched.cancel();
                self.target_unreachable(&head, &detail)
            }
            Ok(Err(TargetError::Refused(detail))) => {
                watched.cancel();
                self.record_probe(ProbeResult::Refused, self.pool.has_idle());
                self.start_probing();
                self.target_unreachable(&head, &detail)
            }
            Ok(Err(TargetError::TooLate)) => {
                watched.cancel();
                self.refuse(&head, Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS)), false)
            }
            Ok(Err(error @ TargetError::NotConnected(_))) => {
                watched.cancel();
                self.target_not_connected(&head, &error.to_string())
            }
            Ok(Err(TargetError::Invalid(detail))) => {
                self.pool.mark_suspect(self.clock.now());
                self.log_target_event(&head, "target_answer_unusable", &detail);
                self.record_attempt(AttemptEnd::Failed);
                let crashed = watched.lose(CallLoss::Unobserved).await;
                self.report_unknown(&head, Reason::BadAnswer, crashed)
            }
            Ok(Err(TargetError::Lost(detail))) => {
                self.log_target_event(&head, "target_lost", &detail);
                self.record_attempt(AttemptEnd::Failed);
                let crashed = watched.lose(CallLoss::Closed).await;
                self.report_unknown(&head, Reason::TargetFailed, crashed)
            }
            Ok(Ok((connection, response))) => {
                let reply = self.handle_response(&head, admitted, watched, connection, response, deadline).await;
                self.record_attempt(attempt_end(&reply.0.outcome));
                if let CallOutcome::Answered { .. } = reply.0.outcome {
                    // The time of a response that is forwarded while it arrives is known at its end.
                    if reply.1.size_hint().exact().is_some() {
                        record_completion();
                    }
                    lock(&self.state).demand.record_hold_time(&head.route, self.clock.now().us_since(started));
                }
                reply
            }
        }
    }

    /// Admits a call and reads its body, of which a long one may still be arriving.
    async fn prepare(
        self: &Arc<Self>,
        head: &CallRequestHead,
        body: ByteBody,
        deadline: TimeUs,
        sender_stop: Option<&StopReceiver>,
    ) -> Result<PreparedCall, Refusal> {
        let admitted = self.admit(head, deadline).await?;
        // The caller's node aborted the request before any of it reached the target.
        let aborted = Refusal::not_run(Reason::Cancelled, None);
        let body = ReplayBody::read(body, u64::MAX).await.map_err(|_| aborted)?;
        let (mut body, upload_end) = self.hold_upload_end(head, body, deadline, sender_stop);
        let body = body.next_attempt().ok_or(aborted)?;
        self.wait_until_sendable(admitted.slot.call(), deadline).await?;
        // While the body was read or the process was paused, the zone may have been evacuated or the target have left.
        self.wait_after_pause().await;
        let now = self.clock.now();
        lock(&self.state).check_target(&head.service, &admitted, now)?;
        if !self.can_complete(head, deadline, sender_stop, now) {
            return Err(STOPPING);
        }
        let request = self.build_request(head, &admitted.instance, body, deadline)?;
        Ok(PreparedCall { admitted, request, upload_end })
    }

    /// Holds the end of a body that is forwarded to the target while it arrives, see [`UploadEnd`].
    fn hold_upload_end(
        self: &Arc<Self>,
        head: &CallRequestHead,
        body: ReplayBody,
        deadline: TimeUs,
        sender_stop: Option<&StopReceiver>,
    ) -> (ReplayBody, Option<UploadEnd>) {
        if !body.is_streamed() {
            return (body, None);
        }
        let announced_bytes = content_length(&head.headers);
        let (gate, head, sender_stop) = (Arc::clone(self), head.clone(), sender_stop.cloned());
        let may_end = move |now| gate.can_complete(&head, deadline, sender_stop.as_ref(), now);
        let (body, upload_end) = UploadEnd::hold(body, announced_bytes, self.clock, may_end);
        (body, Some(upload_end))
    }

    /// Returns whether a call that reaches the target at `now` can be completed before this node or its sender ends.
    fn can_complete(
        &self,
        head: &CallRequestHead,
        deadline: TimeUs,
        sender_stop: Option<&StopReceiver>,
        now: TimeUs,
    ) -> bool {
        let sender_stop = sender_stop.and_then(|stop| *stop.borrow());
        let stops = self.stop.borrow().into_iter().chain(sender_stop);
        let state = lock(&self.state);
        stops
            .filter_map(|stop| state.stop_admission.latest_start(&head.route, &head.service, deadline, stop))
            .all(|latest_start| now <= latest_start)
    }

    /// Waits until a call that reaches the target now could no longer be completed before this node or its sender ends.
    async fn wait_until_too_late(&self, head: &CallRequestHead, deadline: TimeUs, sender_stop: Option<StopReceiver>) {
        let latest_start =
            |stop| lock(&self.state).stop_admission.latest_start(&head.route, &head.service, deadline, stop);
        let sender_ends = async {
            match sender_stop {
                Some(sender_stop) => wait_until_too_late(self.clock, sender_stop, latest_start).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait_until_too_late(self.clock, self.stop_receiver(), latest_start) => {}
            () = sender_ends => {}
        }
    }

    /// Records the end of a response that was forwarded while it arrived, to a call that was sent at `started`.
    fn record_streamed(&self, route: &RouteId, service: &Service, started: TimeUs) {
        let now = self.clock.now();
        lock(&self.state).stop_admission.record_streamed(route, service, now.us_since(started), now);
    }

    fn record_attempt(&self, end: AttemptEnd) {
        lock(&self.state).failures.record_attempt(end, self.clock.now());
    }

    /// Records that a call of the target was not served, so that it will probably answer its own request with an error.
    pub fn record_failed_call(&self) {
        lock(&self.state).failures.record_failed_call(self.clock.now());
    }

    /// Returns the external request that a call of the target most likely belongs to. `draw` is a random number
    /// from 0 to 1.
    pub fn infer_call_origin(&self, route: &RouteId, deadline: TimeUs, draw: f64) -> Option<Origin> {
        lock(&self.state).parents.infer_origin(route, deadline, draw, self.clock.now())
    }

    /// Returns the demand for the target, or `None` before one has announced itself.
    pub fn demand(&self) -> Option<DemandReport> {
        let state = lock(&self.state);
        let service = &state.target.last_announcement()?.service;
        let load = state.slots.load();
        let mut report = state.demand.report(service, load.usable, load.hold_us);
        if let Some(cold_slots_milli) = load.cold_slots_milli.filter(|_| load.hold_us > 0) {
            // Short calls at the rate of a cold target fill less than one slot.
            report.capacity_milli = report.capacity_milli.min(cold_slots_milli);
        }
        Some(report)
    }

    /// Returns the part of the present demand that the processor of this node can carry; `None` while it is not limited.
    pub fn sustainable_share(&self) -> Option<f64> {
        lock(&self.state).demand.sustainable_share()
    }

    /// Closes the window in which demand is measured, if it has elapsed. `work` is what this node has done since its
    /// start. Returns the load if the window had elapsed.
    pub fn close_demand_window(&self, work: ProcessorWork) -> Option<f64> {
        let now = self.clock.now();
        let closed = {
            let mut state = lock(&self.state);
            state.demand.set_processor_work(work);
            let load = state.slots.load();
            state.demand.close_elapsed_window(load.usable, load.running, load.waiting, now)
        };
        if closed { self.demand().map(|demand| demand.load()) } else { None }
    }

    fn build_request(
        &self,
        head: &CallRequestHead,
        instance: &str,
        body: ByteBody,
        deadline: TimeUs,
    ) -> Result<Request<ByteBody>, Refusal> {
        let bad_request = || Refusal::not_run(Reason::BadRequest, None);
        let is_measured = body.size_hint().exact().is_some();
        let mut request = Request::new(body);
        *request.method_mut() = Method::from_bytes(head.method.as_bytes()).map_err(|_| bad_request())?;
        *request.uri_mut() = head.path.parse::<Uri>().map_err(|_| bad_request())?;
        *request.headers_mut() = head.headers.clone().into_map();
        // For methods that usually have no body, `hyper` sends one of unknown length only if a header says so.
        match is_measured {
            true => drop(request.headers_mut().remove(CONTENT_LENGTH)),
            false if request.headers().contains_key(CONTENT_LENGTH) => {}
            false => drop(request.headers_mut().insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        }
        let deadline_ms = deadline.ms_since(self.clock.now());
        if deadline_ms == 0 {
            return Err(Refusal::not_run(Reason::Deadline, None));
        }
        let metadata = TargetMetadata { deadline_ms, instance, tenant: head.tenant.as_ref(), caller: &head.caller };
        self.wire_protocol.insert_target_metadata(request.headers_mut(), &metadata);
        Ok(request)
    }
}

fn attempt_end(outcome: &CallOutcome) -> AttemptEnd {
    match outcome {
        CallOutcome::Answered { status: 504, .. } | CallOutcome::Unknown { reason: Reason::Deadline, .. } => {
            AttemptEnd::Late
        }
        CallOutcome::Answered { status: 500.., .. } => AttemptEnd::Error,
        CallOutcome::Answered { .. } => AttemptEnd::Answered,
        CallOutcome::NotRun { .. } | CallOutcome::Unknown { .. } => AttemptEnd::Failed,
    }
}
