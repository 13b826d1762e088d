//! The gate in front of the own target: its slots, its connections, and who may not come in.

mod admission;
mod answers;
mod place;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_core::{Reason, Refusal, RouteId, Service, TimeUs, lock};
use fulmartrestle_policy::{DemandReport, Origin};
use fulmartrestle_transport::{ByteBody, ReplayBody, headers_from_pairs};
use http::{Method, Request, Uri};

use crate::border::{Handover, WireProtocol};
use crate::clock::BootClock;
use crate::journal::{Journal, Line};
use crate::metrics::Metrics;
use crate::own_target::{Accepted, Announcement};
use crate::running::{GateLoad, RunAnswer, RunHead, RunReply};
use crate::target_pool::{TargetError, TargetPool};

use admission::{GateTable, usable_slots};

/// When to come back after a target went away, in milliseconds: by then others are known.
const NO_TARGET_RETRY_AFTER_MS: u64 = 300;

/// When to come back after a target refused by itself, in milliseconds.
const TARGET_REFUSED_RETRY_AFTER_MS: u64 = 200;

/// Pause between looks whether a closed gate is idle, in milliseconds.
const IDLE_POLL_MS: u64 = 20;

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

impl Gate {
    /// Returns a gate without a target.
    pub fn new(
        clock: BootClock,
        address: SocketAddr,
        wire: Arc<dyn WireProtocol>,
        journal: Journal,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { clock, address, wire, journal, metrics, table: Mutex::default(), pool: TargetPool::default() }
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
            table.settle(now);
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

    /// Asks other nodes to send their calls elsewhere, because this node stops; calls on their way are still taken.
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
        lock(&self.table).report(now)
    }

    /// Returns the service of the target that is known.
    pub fn service(&self) -> Option<Service> {
        lock(&self.table).target.known().map(|known| known.service.clone())
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        lock(&self.table).slots.is_idle()
    }

    /// Waits until nothing runs or waits.
    pub async fn wait_until_idle(&self) {
        while !self.is_idle() {
            tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        }
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
                    lock(&self.table).usage.record_hold_time(&head.route, self.clock.now().us_since(started));
                }
                answer
            }
        }
    }

    /// Returns the request from outside that a call of the target serves. `draw` is a random number from
    /// 0 to 1.
    pub fn origin_of_call(&self, route: &RouteId, deadline: TimeUs, draw: f64) -> Option<Origin> {
        lock(&self.table).parents.infer_origin(route, deadline, draw, self.clock.now())
    }

    /// Returns what is asked of the target.
    pub fn usage(&self) -> Option<DemandReport> {
        let table = lock(&self.table);
        let service = &table.target.known()?.service;
        Some(table.usage.report(service, table.slots.load().limit))
    }

    /// Closes the span in which calls are counted. Returns the load when a span was closed.
    pub fn tick(&self) -> Option<f64> {
        let now = self.clock.now();
        let load = {
            let mut table = lock(&self.table);
            let load = table.slots.load();
            table.usage.close_elapsed_window(load.limit, load.running, load.waiting, now)
        };
        if load { self.usage().map(|usage| usage.load()) } else { None }
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
}
