//! The gate in front of the own target: its slots, its connections, and who may not come in.

mod held_body;
mod place;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_core::{CallId, Reason, Refusal, RouteId, Service, TimeUs};
use fulmartrestle_policy::{
    Admission, DemandMeter, DemandReport, GateEvent, Origin, RunningParents, SlotQueue, SlotRequest, TargetReport,
};
use fulmartrestle_transport::{ByteBody, ReplayBody, empty_body, headers_from_pairs, headers_to_pairs};
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use crate::border::{Handover, TargetVerdict, WireProtocol};
use crate::clock::BootClock;
use crate::journal::{Journal, Line};
use crate::metrics::Metrics;
use crate::own_target::{Accepted, Announcement, OwnTarget};
use crate::running::{GateLoad, RunAnswer, RunHead, RunReply};
use crate::state::lock;
use crate::target_pool::{TargetConnection, TargetError, TargetPool};

use held_body::HeldBody;
use place::Place;

/// Header in which a target says how long it keeps idle connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Share of a target's slots that is used. Targets slow down when they are nearly full, and a new
/// connection or a health check takes a slot for a moment.
const SLOT_SHARE: f64 = 0.95;

/// Slots before the target has announced any.
const UNKNOWN_SLOTS: usize = 1;

/// Time before the deadline at which a waiting call is refused, in microseconds, so that the refusal
/// is back before the caller's node gives up.
const REFUSE_EARLY_US: u64 = 15_000;

/// When to come back after a target went away, in milliseconds: by then others are known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 300;

/// When to come back after a target refused by itself, in milliseconds.
const TARGET_REFUSED_RETRY_AFTER_MS: u64 = 200;

/// The gate of one node.
pub struct Gate {
    clock: BootClock,
    address: SocketAddr,
    wire: Arc<dyn WireProtocol>,
    journal: Journal,
    metrics: Arc<Metrics>,
    table: Mutex<GateTable>,
    pool: TargetPool,
}

struct GateTable {
    target: OwnTarget,
    slots: SlotQueue,
    waiting: HashMap<CallId, oneshot::Sender<Result<(), Refusal>>>,
    next_call: u64,
    closing: bool,
    closed: bool,
    parents: RunningParents,
    demand: DemandMeter,
}

/// How an offer to the slots went.
struct Entered {
    place: Place,
    /// Tells what becomes of a call that waits; absent for one that may run now.
    turn: Option<oneshot::Receiver<Result<(), Refusal>>>,
}

/// The target that a call was admitted to.
struct Admitted {
    place: Place,
    instance: String,
}

impl Gate {
    /// Returns a gate without a target.
    pub fn new(
        clock: BootClock,
        address: SocketAddr,
        wire: Arc<dyn WireProtocol>,
        journal: Journal,
        metrics: Arc<Metrics>,
    ) -> Self {
        let table = GateTable {
            target: OwnTarget::default(),
            slots: SlotQueue::new(UNKNOWN_SLOTS),
            waiting: HashMap::new(),
            next_call: 0,
            closing: false,
            closed: false,
            parents: RunningParents::default(),
            demand: DemandMeter::default(),
        };
        Self { clock, address, wire, journal, metrics, table: Mutex::new(table), pool: TargetPool::default() }
    }

    /// Takes an announcement of the own target. Returns whether other nodes should hear of it at once.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let was_usable = table.target.usable(now).is_some();
        let line = Line::new("target_announced")
            .text("instance", &announcement.instance)
            .number("seq", announcement.seq)
            .flag("leaving", announcement.leaving);
        let slots = announcement.slots;
        let accepted = table.target.announce(announcement, now);
        match accepted {
            Accepted::NewRun => {
                self.pool.clear();
                self.journal.write(line.text("as", "new run"), now);
            }
            Accepted::Outdated => self.journal.write(line.text("as", "outdated"), now),
            Accepted::Current => {}
        }
        if accepted != Accepted::Outdated {
            table.slots.set_limit(usable_slots(slots), now);
            self.settle(&mut table, now);
        }
        let changed = was_usable != table.target.usable(now).is_some() || accepted == Accepted::NewRun;
        if changed && accepted == Accepted::Current {
            let usable = table.target.usable(now).is_some();
            self.journal.write(Line::new("target_changed").flag("usable", usable), now);
        }
        changed
    }

    /// Takes the own target's word that it is gone.
    pub fn withdraw(&self, instance: &str, born_unix_ms: Option<i64>) {
        let now = self.clock.now();
        lock(&self.table).target.withdraw(instance, born_unix_ms);
        self.journal.write(Line::new("target_withdrawn").text("instance", instance), now);
    }

    /// Asks other nodes to turn away, because this node stops; calls on their way are still taken.
    pub fn announce_close(&self) {
        lock(&self.table).closing = true;
    }

    /// Takes no calls from now on, because this node stops.
    pub fn close(&self) {
        lock(&self.table).closed = true;
    }

    /// Returns the target as other nodes should see it.
    pub fn report(&self) -> GateLoad {
        let now = self.clock.now();
        report(&lock(&self.table), now)
    }

    /// Returns the service of the target that is known.
    pub fn service(&self) -> Option<Service> {
        lock(&self.table).target.known().map(|known| known.service.clone())
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.table).slots.is_idle()
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        self.pool.expire(self.clock.now());
    }

    /// Runs one call on the target, or refuses it. Dropping the future cancels the call.
    pub async fn run(self: &Arc<Self>, head: RunHead, body: ByteBody) -> (RunAnswer, ByteBody) {
        let deadline = self.clock.now().plus_us(head.deadline_left_us);
        let admitted = match self.admit(&head, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.not_run(&head, refusal, false),
        };
        let body = match ReplayBody::read(body, u64::MAX).await.ok().and_then(|mut body| body.next_attempt()) {
            Some(body) => body,
            // The caller's node broke off before the target was handed anything.
            None => return self.not_run(&head, Refusal::not_run(Reason::Cancelled, None), false),
        };
        let request = match self.request(&head, &admitted.instance, body, deadline) {
            Ok(request) => request,
            Err(refusal) => return self.not_run(&head, refusal, false),
        };
        let started = self.clock.now();
        let origin = head.origin.clone();
        lock(&self.table).parents.insert(deadline, admitted.place.call(), head.route.clone(), origin, started);
        let sending = self.pool.send(self.address, request, head.repeatable, started);
        match tokio::time::timeout(self.clock.until(deadline), sending).await {
            Err(_) => self.unknown(&head, Reason::Deadline),
            Ok(Err(TargetError::NotSent(detail))) => self.unreachable(&head, &detail),
            Ok(Err(TargetError::Lost(detail))) => {
                self.log_target(&head, "target_lost", &detail);
                self.unknown(&head, Reason::TargetFailed)
            }
            Ok(Ok((connection, response))) => {
                let answer = self.answered(&head, admitted.place, connection, response, deadline).await;
                if matches!(answer.0.reply, RunReply::Answered { .. }) {
                    lock(&self.table).demand.held(&head.route, self.clock.now().us_since(started));
                }
                answer
            }
        }
    }

    /// Returns the request from outside that a call of the target serves. `draw` is a random number from
    /// 0 to 1.
    pub fn origin_of_call(&self, route: &RouteId, deadline: TimeUs, draw: f64) -> Option<Origin> {
        lock(&self.table).parents.origin_of_call(route, deadline, draw, self.clock.now())
    }

    /// Returns what is asked of the target.
    pub fn demand(&self) -> Option<DemandReport> {
        let table = lock(&self.table);
        let service = &table.target.known()?.service;
        Some(table.demand.report(service, table.slots.load().limit))
    }

    /// Closes the span in which demand is counted. Returns the load when a span was closed.
    pub fn tick(&self) -> Option<f64> {
        let now = self.clock.now();
        let load = {
            let mut table = lock(&self.table);
            let load = table.slots.load();
            table.demand.tick(load.limit, load.running, load.waiting, now)
        };
        if load { self.demand().map(|demand| demand.load()) } else { None }
    }

    /// Frees the slot of a call that ended.
    fn ended(&self, call: CallId, deadline: TimeUs, answered: bool) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        table.parents.remove(deadline, call, now);
        table.waiting.remove(&call);
        table.slots.ended(call, answered, now);
        self.settle(&mut table, now);
    }

    async fn admit(self: &Arc<Self>, head: &RunHead, deadline: TimeUs) -> Result<Admitted, Refusal> {
        let Entered { place, turn } = self.enter(head, deadline)?;
        if let Some(turn) = turn {
            let latest = TimeUs(deadline.0.saturating_sub(REFUSE_EARLY_US));
            let too_late = Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS));
            let closed = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));
            let waited = tokio::time::timeout(self.clock.until(latest), turn).await;
            waited.map_err(|_| too_late)?.unwrap_or(Err(closed))?;
        }
        // The target may have left while the call waited.
        let now = self.clock.now();
        let table = lock(&self.table);
        let target = table.target.usable(now).filter(|target| target.service == head.service);
        let target = target.ok_or(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)))?;
        Ok(Admitted { place, instance: target.instance.clone() })
    }

    fn enter(self: &Arc<Self>, head: &RunHead, deadline: TimeUs) -> Result<Entered, Refusal> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        if table.closed {
            return Err(Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS)));
        }
        let target = table.target.usable(now).filter(|target| target.service == head.service);
        if target.is_none() {
            return Err(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)));
        }
        if let (Some(origin), false) = (&head.origin, head.is_repeat) {
            table.demand.arrived(&head.route, origin);
        }
        let call = CallId(table.next_call);
        table.next_call += 1;
        let admission = table.slots.offer(SlotRequest { call, rank: head.rank, deadline }, now);
        let entered = match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Run => Ok(Entered { place: Place::new(Arc::clone(self), call, deadline), turn: None }),
            Admission::Queued => {
                let (sender, receiver) = oneshot::channel();
                table.waiting.insert(call, sender);
                Ok(Entered { place: Place::new(Arc::clone(self), call, deadline), turn: Some(receiver) })
            }
        };
        // A more urgent call may have taken the place of another.
        self.settle(&mut table, now);
        entered
    }

    fn request(
        &self,
        head: &RunHead,
        instance: &str,
        body: ByteBody,
        deadline: TimeUs,
    ) -> Result<Request<ByteBody>, Refusal> {
        let bad = || Refusal::not_run(Reason::BadRequest, None);
        let mut request = Request::new(body);
        *request.method_mut() = Method::from_bytes(head.method.as_bytes()).map_err(|_| bad())?;
        *request.uri_mut() = head.path.parse::<Uri>().map_err(|_| bad())?;
        *request.headers_mut() = headers_from_pairs(&head.headers);
        let deadline_ms = deadline.ms_since(self.clock.now());
        if deadline_ms == 0 {
            return Err(Refusal::not_run(Reason::Deadline, None));
        }
        let handover = Handover { deadline_ms, instance, tenant: head.tenant.as_ref(), caller: &head.caller };
        self.wire.hand_over(request.headers_mut(), &handover);
        Ok(request)
    }

    async fn answered(
        &self,
        head: &RunHead,
        place: Place,
        connection: TargetConnection,
        response: Response<Incoming>,
        deadline: TimeUs,
    ) -> (RunAnswer, ByteBody) {
        let (parts, body) = response.into_parts();
        let encoded = parts.headers.contains_key(CONTENT_ENCODING);
        let request_id = head.request_id.as_deref();
        let verdict = match encoded {
            true => TargetVerdict::Unusable,
            false => self.wire.judge(request_id, head.repeatable, parts.status, &parts.headers),
        };
        let body = fulmartrestle_transport::incoming_body(body);
        let reading = tokio::time::timeout(self.clock.until(deadline), ReplayBody::read(body, u64::MAX));
        let body = match (verdict, reading.await) {
            (TargetVerdict::Unusable, _) => {
                self.pool.spoilt(self.clock.now());
                self.log_target(head, "target_answer_unusable", parts.status.as_str());
                return self.unknown(head, Reason::BadAnswer);
            }
            (_, Err(_)) => return self.unknown(head, Reason::Deadline),
            (_, Ok(Err(error))) => {
                self.pool.spoilt(self.clock.now());
                self.log_target(head, "target_answer_broken", &error.to_string());
                return self.unknown(head, Reason::BadAnswer);
            }
            (_, Ok(Ok(body))) => body,
        };
        match verdict {
            TargetVerdict::Answer => self.pass_on(place, connection, parts.status, &parts.headers, body),
            TargetVerdict::NotRun | TargetVerdict::OtherInstance | TargetVerdict::Unusable => {
                self.keep(connection, &parts.headers);
                self.metrics.count("target_refused", head.service.as_str());
                let reason = if verdict == TargetVerdict::NotRun { Reason::Shed } else { Reason::NoTarget };
                self.log_target(head, "target_refused", parts.status.as_str());
                self.not_run(head, Refusal::not_run(reason, Some(TARGET_REFUSED_RETRY_AFTER_MS)), true)
            }
        }
    }

    /// Hands the target's answer on. A short body is whole by now; a long one holds the slot until its end.
    fn pass_on(
        &self,
        place: Place,
        connection: TargetConnection,
        status: StatusCode,
        headers: &HeaderMap,
        mut body: ReplayBody,
    ) -> (RunAnswer, ByteBody) {
        let mut pairs = headers_to_pairs(headers);
        pairs.retain(|pair| pair.name != CONTENT_LENGTH.as_str());
        let is_whole = matches!(body, ReplayBody::Whole(_));
        if let ReplayBody::Whole(bytes) = &body {
            let value = bytes.len().to_string().into_bytes();
            pairs.push(fulmartrestle_transport::HeaderPair { name: CONTENT_LENGTH.as_str().to_owned(), value });
        }
        let body = body.next_attempt().unwrap_or_else(empty_body);
        let body = if is_whole {
            self.keep(connection, headers);
            place.finish();
            body
        } else {
            http_body_util::BodyExt::boxed_unsync(HeldBody::new(body, place, connection))
        };
        let reply = RunReply::Answered { status: status.as_u16(), headers: pairs };
        (RunAnswer { reply, report: self.report() }, body)
    }

    fn keep(&self, connection: TargetConnection, headers: &HeaderMap) {
        let closes = headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            self.pool.put_back(connection, headers.get(&KEEP_ALIVE).and_then(keep_alive_s), self.clock.now());
        }
    }

    fn unreachable(&self, head: &RunHead, detail: &str) -> (RunAnswer, ByteBody) {
        lock(&self.table).target.set_reachable(false);
        self.log_target(head, "target_unreachable", detail);
        self.not_run(head, Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)), false)
    }

    fn not_run(&self, head: &RunHead, refusal: Refusal, reached_target: bool) -> (RunAnswer, ByteBody) {
        self.metrics.count("gate_refused", refusal.reason.as_str());
        let reply = RunReply::NotRun { refusal, reached_target };
        let report = self.report();
        let line = Line::new("gate_refused")
            .maybe("request", head.request_id.as_deref())
            .text("route", &head.route)
            .text("reason", refusal.reason.as_str())
            .number("rank", head.rank.0)
            .number("left_ms", head.deadline_left_us / 1_000)
            .number("running", report.as_ref().map_or(0, |report| report.running))
            .number("waiting", report.as_ref().map_or(0, |report| report.waiting))
            .number("limit", report.as_ref().map_or(0, |report| report.limit));
        self.journal.write(line, self.clock.now());
        (RunAnswer { reply, report }, empty_body())
    }

    fn unknown(&self, head: &RunHead, reason: Reason) -> (RunAnswer, ByteBody) {
        self.metrics.count("gate_unknown", reason.as_str());
        let line = Line::new("gate_unknown")
            .maybe("request", head.request_id.as_deref())
            .text("route", &head.route)
            .text("reason", reason.as_str());
        self.journal.write(line, self.clock.now());
        (RunAnswer { reply: RunReply::Unknown { reason }, report: self.report() }, empty_body())
    }

    fn log_target(&self, head: &RunHead, event: &'static str, detail: &str) {
        let line = Line::new(event)
            .maybe("request", head.request_id.as_deref())
            .text("service", &head.service)
            .text("instance", &head.instance)
            .text("detail", detail);
        self.journal.write(line, self.clock.now());
    }

    /// Passes what became of waiting calls on to them.
    fn settle(&self, table: &mut GateTable, now: TimeUs) {
        loop {
            let events = table.slots.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, turn) = match event {
                    GateEvent::Start(call) => (call, Ok(())),
                    GateEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                let waiting = table.waiting.remove(&call);
                let delivered = waiting.is_some_and(|waiting| waiting.send(turn).is_ok());
                if !delivered && turn.is_ok() {
                    table.slots.ended(call, false, now);
                }
            }
        }
    }
}

fn report(table: &GateTable, now: TimeUs) -> GateLoad {
    let known = table.target.known()?;
    let load = table.slots.load();
    Some(TargetReport {
        service: known.service.clone(),
        instance: known.instance.clone(),
        ready: !table.closing && table.target.usable(now).is_some(),
        limit: load.limit,
        running: load.running,
        waiting: load.waiting,
        hold_us: load.hold_us,
        cold: table.target.is_cold(now),
    })
}

fn usable_slots(slots: u32) -> usize {
    ((f64::from(slots) * SLOT_SHARE) as usize).max(1)
}

fn keep_alive_s(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    timeouts.next().and_then(|(_, seconds)| seconds.trim().parse().ok())
}

/// Pause between looks whether a closed gate is idle, in milliseconds.
const IDLE_POLL_MS: u64 = 20;

impl Gate {
    /// Waits until nothing runs or waits.
    pub async fn wait_until_idle(&self) {
        while !self.is_idle() {
            tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        }
    }
}
