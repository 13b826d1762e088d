//! Admission control for one target. See `docs/ADMISSION.md` and `docs/DRAIN.md`.

mod class_queues;
mod fair_queue;
mod limiter;
mod messages;
mod rate_controller;
mod settings;
mod tenant_demand;
mod tracked_call;

use fulmartrestle_core::{CallId, Class, Reason, Refusal, TimeUs};
use rustc_hash::FxHashMap;

use crate::{AdmissionLevel, TenantHash};

use fair_queue::FairQueue;
use limiter::{Latency, Limiter};
pub use messages::{Admission, Completion, OfferedCall, QueueEvent, TargetHints};
use rate_controller::RateController;
pub use settings::AdmissionGateSettings;
use tracked_call::TrackedCall;

/// Interval between deadline checks of the queued calls. Each check scans the short queue, so that checking
/// on every event would cost more than it saves.
const EXPIRY_CHECK_INTERVAL_US: u64 = 5_000;

/// Admission control for one target: an adaptive concurrency limit, a short queue ordered by class and then
/// fairly by tenant, and an admission level that is published to the callers.
#[derive(Debug)]
pub struct AdmissionGate {
    settings: AdmissionGateSettings,
    limiter: Limiter,
    rate_controller: RateController,
    calls: FxHashMap<CallId, TrackedCall>,
    protected_queue: FairQueue,
    sheddable_queue: FairQueue,
    in_flight: usize,
    queue_events: Vec<QueueEvent>,
    next_expiry_check: TimeUs,
    draining: bool,
    last_protected_shed: Option<TimeUs>,
}

impl AdmissionGate {
    /// Returns an idle gate. The target's warm-up starts with the first hints or the first offered call.
    pub fn new(settings: AdmissionGateSettings) -> Self {
        Self {
            limiter: Limiter::new(&settings),
            rate_controller: RateController::new(),
            settings,
            calls: FxHashMap::default(),
            protected_queue: FairQueue::default(),
            sheddable_queue: FairQueue::default(),
            in_flight: 0,
            queue_events: Vec::new(),
            next_expiry_check: TimeUs::default(),
            draining: false,
            last_protected_shed: None,
        }
    }

    /// Applies the capacity hints that the target sent. Hints only lower the limit; a target that reports
    /// no load is not assumed to be healthy.
    pub fn set_hints(&mut self, hints: TargetHints, now: TimeUs) {
        self.limiter.set_hints(hints, now);
    }

    /// Admits, queues or refuses a new call. The result for a queued call follows as an event of
    /// [`AdmissionGate::take_events`].
    pub fn offer(&mut self, offer: OfferedCall, now: TimeUs) -> Admission {
        self.limiter.start_warm_up(now);
        let tenant = TenantHash::from_tenant(&offer.tenant);
        let queue_fill = self.queued() as f64 / self.max_queue_len(Class::Lookup) as f64;
        self.rate_controller.record_offered(&offer, tenant, queue_fill, now);
        if self.calls.contains_key(&offer.call) {
            return Admission::Refused(Refusal::not_run(Reason::BadRequest, None));
        }
        if self.draining {
            return Admission::Refused(Refusal::not_run(Reason::Draining, None));
        }
        if now.plus_us(self.limiter.min_service_us()) >= offer.deadline {
            return Admission::Refused(Refusal::not_run(Reason::Deadline, None));
        }
        if self.is_reserved_for_protected(offer.class, now) {
            return self.shed_offer(offer.class, tenant, now);
        }
        if self.can_start(now) && self.queued() == 0 {
            self.queue_for(offer.class).charge(&offer.tenant, offer.weight);
            self.insert_running(&offer, now);
            return Admission::Run;
        }
        self.enqueue(offer, tenant, now)
    }

    /// Removes a running call, frees its slot and updates the concurrency limit with its result.
    pub fn complete(&mut self, call: CallId, completion: Completion, now: TimeUs) {
        let Some(tracked) = self.calls.get(&call) else { return };
        let Some(started_at) = tracked.started_at else {
            self.cancel(call, now);
            return;
        };
        let total_us = now.us_since(started_at);
        let latency = Latency { own_us: total_us.saturating_sub(tracked.child_wait_us(now)), total_us };
        self.limiter.record_completion(completion, latency, self.in_flight, now);
        self.calls.remove(&call);
        self.in_flight -= 1;
        self.start_queued(now);
    }

    /// Removes a queued or running call and frees its slot or queue position at once.
    pub fn cancel(&mut self, call: CallId, now: TimeUs) {
        let Some(tracked) = self.calls.remove(&call) else { return };
        if tracked.started_at.is_some() {
            self.in_flight -= 1;
        } else {
            self.queue_for(tracked.class).remove(&tracked.tenant, call);
        }
        self.start_queued(now);
    }

    /// Records that a running call started a call of its own to another service. The time spent waiting for
    /// it says nothing about this target and is excluded from the latency.
    pub fn record_child_start(&mut self, call: CallId, now: TimeUs) {
        if let Some(tracked) = self.calls.get_mut(&call) {
            tracked.record_child_start(now);
        }
    }

    /// Records the end of a child call whose start was recorded with [`AdmissionGate::record_child_start`].
    pub fn record_child_end(&mut self, call: CallId, now: TimeUs) {
        if let Some(tracked) = self.calls.get_mut(&call) {
            tracked.record_child_end(now);
        }
    }

    /// Returns the starts and drops of queued calls since the previous invocation. Must be called after
    /// each offer, completion and cancellation, and on each timer tick.
    pub fn take_events(&mut self, now: TimeUs) -> Vec<QueueEvent> {
        if now >= self.next_expiry_check {
            self.next_expiry_check = now.plus_us(EXPIRY_CHECK_INTERVAL_US);
            self.drop_expired(now);
        }
        self.start_queued(now);
        std::mem::take(&mut self.queue_events)
    }

    /// Returns the admission level that is attached to responses.
    pub fn admission_level(&mut self, now: TimeUs) -> AdmissionLevel {
        self.rate_controller.admission_level(now)
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.protected_queue.len() + self.sheddable_queue.len()
    }

    /// Returns the present concurrency limit of the warmed-up target.
    pub fn limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Starts a drain: new and queued calls are refused, running calls continue to their end.
    pub fn begin_drain(&mut self, _now: TimeUs) {
        self.draining = true;
        let refusal = Refusal::not_run(Reason::Draining, None);
        for call in self.protected_queue.drain().into_iter().chain(self.sheddable_queue.drain()) {
            self.calls.remove(&call);
            self.queue_events.push(QueueEvent::Drop(call, refusal));
        }
    }

    /// Returns whether a drain has started and no call is running.
    pub fn is_drained(&self) -> bool {
        self.draining && self.in_flight == 0
    }

    fn queue_for(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Protected => &mut self.protected_queue,
            Class::Browse | Class::Lookup => &mut self.sheddable_queue,
        }
    }

    fn can_start(&self, now: TimeUs) -> bool {
        self.in_flight < self.limiter.limit_at(now)
    }

    fn is_reserved_for_protected(&self, class: Class, now: TimeUs) -> bool {
        let reservation_ms = self.settings.protected_only_ms;
        class != Class::Protected && self.last_protected_shed.is_some_and(|shed| now < shed.plus_ms(reservation_ms))
    }

    fn insert_running(&mut self, offer: &OfferedCall, now: TimeUs) {
        let mut tracked = TrackedCall::new_queued(offer, now);
        tracked.started_at = Some(now);
        self.calls.insert(offer.call, tracked);
        self.in_flight += 1;
        self.rate_controller.record_served(offer.class, now);
    }

    fn enqueue(&mut self, offer: OfferedCall, tenant: TenantHash, now: TimeUs) -> Admission {
        let calls_ahead = if offer.class == Class::Protected { self.protected_queue.len() } else { self.queued() };
        let expected_start = now.plus_us(self.limiter.expected_wait_us(calls_ahead));
        if expected_start.plus_us(self.limiter.min_service_us()) >= offer.deadline {
            return self.refuse_late_offer(offer.class, now);
        }
        if self.queued() >= self.max_queue_len(offer.class) && !self.evict_for(&offer, now) {
            return self.shed_offer(offer.class, tenant, now);
        }
        self.queue_for(offer.class).push(&offer.tenant, offer.weight, offer.class, offer.call);
        self.calls.insert(offer.call, TrackedCall::new_queued(&offer, now));
        Admission::Queued
    }

    fn max_queue_len(&self, class: Class) -> usize {
        let scaled = (self.limiter.limit() as f64 * self.settings.queue_per_limit).ceil() as usize;
        let max_len = scaled.clamp(self.settings.min_queue, self.settings.max_queue);
        if class == Class::Protected { max_len * self.settings.protected_queue_factor } else { max_len }
    }

    /// Drops a queued call of lower priority to make room. For a protected call this is any other call;
    /// otherwise it is a call of the tenant with the most queued calls for its weight, or a less important
    /// call of the same tenant.
    fn evict_for(&mut self, offer: &OfferedCall, now: TimeUs) -> bool {
        let evicted = match offer.class {
            Class::Protected => {
                let sheddable = self.sheddable_queue.pop_from_longest_tenant();
                sheddable
                    .or_else(|| self.protected_queue.pop_to_make_room_for(&offer.tenant, offer.weight, offer.class))
            }
            Class::Browse | Class::Lookup => {
                self.sheddable_queue.pop_to_make_room_for(&offer.tenant, offer.weight, offer.class)
            }
        };
        let Some(call) = evicted else { return false };
        self.shed_queued_call(call, now);
        true
    }

    fn shed_queued_call(&mut self, call: CallId, now: TimeUs) {
        let Some(tracked) = self.calls.remove(&call) else { return };
        let refusal = self.record_shed(tracked.class, TenantHash::from_tenant(&tracked.tenant), now);
        self.queue_events.push(QueueEvent::Drop(call, refusal));
    }

    fn shed_offer(&mut self, class: Class, tenant: TenantHash, now: TimeUs) -> Admission {
        if class == Class::Protected {
            self.shed_all_sheddable(now);
        }
        Admission::Refused(self.record_shed(class, tenant, now))
    }

    /// Refuses a call that could not start before its deadline. This does not count as shedding protected
    /// calls, even for a protected call: only protected calls are ahead of it.
    fn refuse_late_offer(&mut self, class: Class, now: TimeUs) -> Admission {
        self.rate_controller.record_shed(class, now);
        Admission::Refused(Refusal::not_run(Reason::Deadline, None))
    }

    /// Drops all sheddable calls from the queue, because a protected call is about to be shed and no call
    /// of a lower class may stay queued.
    fn shed_all_sheddable(&mut self, now: TimeUs) {
        for call in self.sheddable_queue.drain() {
            self.shed_queued_call(call, now);
        }
    }

    fn record_shed(&mut self, class: Class, tenant: TenantHash, now: TimeUs) -> Refusal {
        if class == Class::Protected {
            self.last_protected_shed = Some(now);
        }
        self.rate_controller.record_shed(class, now);
        let retry_after_ms = self.rate_controller.retry_after_ms(class, tenant);
        Refusal::not_run(Reason::Shed, Some(retry_after_ms))
    }

    fn drop_expired(&mut self, now: TimeUs) {
        if self.queued() == 0 {
            return;
        }
        let latest_start = now.plus_us(self.limiter.min_service_us());
        let calls = &self.calls;
        let queued = self.protected_queue.calls().chain(self.sheddable_queue.calls());
        let expired: Vec<CallId> =
            queued.filter(|call| calls.get(call).is_none_or(|tracked| tracked.deadline <= latest_start)).collect();
        for call in expired {
            self.drop_expired_call(call, now);
        }
    }

    fn drop_expired_call(&mut self, call: CallId, now: TimeUs) {
        let Some(tracked) = self.calls.remove(&call) else { return };
        self.queue_for(tracked.class).remove(&tracked.tenant, call);
        self.rate_controller.record_shed(tracked.class, now);
        self.queue_events.push(QueueEvent::Drop(call, Refusal::not_run(Reason::Deadline, None)));
    }

    /// Starts queued calls while slots are free, the most important class first. A call that can no longer
    /// meet its deadline is dropped instead.
    fn start_queued(&mut self, now: TimeUs) {
        while self.can_start(now) {
            let Some(call) = self.protected_queue.pop().or_else(|| self.sheddable_queue.pop()) else { return };
            let Some(tracked) = self.calls.get_mut(&call) else { continue };
            if tracked.deadline <= now.plus_us(self.limiter.min_service_us()) {
                self.drop_expired_call(call, now);
                continue;
            }
            tracked.started_at = Some(now);
            let class = tracked.class;
            self.in_flight += 1;
            self.rate_controller.record_served(class, now);
            self.queue_events.push(QueueEvent::Start(call));
        }
    }
}
