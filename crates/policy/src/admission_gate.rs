//! Admission in front of one target. See `docs/ADMISSION.md` and `docs/DRAIN.md`.

mod call_row;
mod fair_queue;
mod lanes;
mod level_control;
mod limiter;
mod messages;
mod settings;
mod tenant_demand;

use std::collections::HashMap;

use fulmartrestle_core::{CallId, Class, Reason, Refusal, TimeUs};

use crate::{AdmissionLevel, TenantHash};

use call_row::CallRow;
use fair_queue::FairQueue;
use level_control::LevelControl;
use limiter::{Latency, Limiter};
pub use messages::{Admission, Completion, OfferedCall, QueueEvent, TargetHints};
pub use settings::AdmissionGateSettings;

/// How often queued calls are checked against their deadlines. Each check walks the short queue, so
/// checking on every event would cost more than it saves.
const EXPIRY_INTERVAL_US: u64 = 5_000;

/// Admits calls to one target: an adaptive concurrency limit, a short queue ordered by class and then
/// fairly by tenant, and an admission level for the callers.
#[derive(Debug)]
pub struct AdmissionGate {
    settings: AdmissionGateSettings,
    limiter: Limiter,
    level: LevelControl,
    calls: HashMap<CallId, CallRow>,
    protected: FairQueue,
    sheddable: FairQueue,
    in_flight: usize,
    events: Vec<QueueEvent>,
    next_expiry: TimeUs,
    draining: bool,
    protected_shed: Option<TimeUs>,
}

impl AdmissionGate {
    /// Returns an idle gate. Its clock starts with the first call that passes `now`.
    pub fn new(settings: AdmissionGateSettings) -> Self {
        Self {
            limiter: Limiter::new(&settings),
            level: LevelControl::new(),
            settings,
            calls: HashMap::new(),
            protected: FairQueue::default(),
            sheddable: FairQueue::default(),
            in_flight: 0,
            events: Vec::new(),
            next_expiry: TimeUs::default(),
            draining: false,
            protected_shed: None,
        }
    }

    /// Takes what the target says of itself. Hints only lower the limit; a target that reports no
    /// load is not taken for a healthy one.
    pub fn set_hints(&mut self, hints: TargetHints, now: TimeUs) {
        self.limiter.set_hints(hints, now);
    }

    /// Decides about a new call. A queued call is settled later by an event of
    /// [`AdmissionGate::take_events`].
    pub fn offer(&mut self, offer: OfferedCall, now: TimeUs) -> Admission {
        self.limiter.in_use(now);
        let tenant = TenantHash::from_tenant(&offer.tenant);
        let queue_fill = self.queued() as f64 / self.queue_bound(Class::Lookup) as f64;
        self.level.offered(&offer, tenant, queue_fill, now);
        if self.calls.contains_key(&offer.call) {
            return Admission::Refused(Refusal::not_run(Reason::BadRequest, None));
        }
        if self.draining {
            return Admission::Refused(Refusal::not_run(Reason::Draining, None));
        }
        if now.plus_us(self.limiter.least_service_us()) >= offer.deadline {
            return Admission::Refused(Refusal::not_run(Reason::Deadline, None));
        }
        if self.holds_for_protected(offer.class, now) {
            return self.refuse_offer(offer.class, tenant, now);
        }
        if self.can_start(now) && self.queued() == 0 {
            self.queue(offer.class).charge(&offer.tenant, offer.weight);
            self.insert_running(&offer, now);
            return Admission::Run;
        }
        self.enqueue(offer, tenant, now)
    }

    /// Frees the place of a running call and learns from how it ended.
    pub fn complete(&mut self, call: CallId, completion: Completion, now: TimeUs) {
        let Some(row) = self.calls.get(&call) else { return };
        let Some(started) = row.started else {
            self.cancel(call, now);
            return;
        };
        let total_us = now.us_since(started);
        let latency = Latency { own_us: total_us.saturating_sub(row.child_us(now)), total_us };
        self.limiter.completed(completion, latency, self.in_flight, now);
        self.calls.remove(&call);
        self.in_flight -= 1;
        self.start_queued(now);
    }

    /// Withdraws a queued or running call; its place is free at once.
    pub fn cancel(&mut self, call: CallId, now: TimeUs) {
        let Some(row) = self.calls.remove(&call) else { return };
        if row.started.is_some() {
            self.in_flight -= 1;
        } else {
            self.queue(row.class).remove(&row.tenant, call);
        }
        self.start_queued(now);
    }

    /// Notes that a running call now waits for a call of its own to another service. That time
    /// says nothing about this target and is left out of its latency.
    pub fn record_child_start(&mut self, call: CallId, now: TimeUs) {
        if let Some(row) = self.calls.get_mut(&call) {
            row.child_started(now);
        }
    }

    /// Notes that a call announced by [`AdmissionGate::record_child_start`] ended.
    pub fn record_child_end(&mut self, call: CallId, now: TimeUs) {
        if let Some(row) = self.calls.get_mut(&call) {
            row.child_ended(now);
        }
    }

    /// Returns what was decided about queued calls since the last time. Call it after each offer,
    /// completion and cancellation, and each tick.
    pub fn take_events(&mut self, now: TimeUs) -> Vec<QueueEvent> {
        if now >= self.next_expiry {
            self.next_expiry = now.plus_us(EXPIRY_INTERVAL_US);
            self.drop_expired(now);
        }
        self.start_queued(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the level that rides on answers.
    pub fn admission_level(&mut self, now: TimeUs) -> AdmissionLevel {
        self.level.level(now)
    }

    /// Returns the number of running calls.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.protected.len() + self.sheddable.len()
    }

    /// Returns the most calls that may run at once at present.
    pub fn limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Refuses new and queued calls from now on; running calls go on to their end.
    pub fn begin_drain(&mut self, _now: TimeUs) {
        self.draining = true;
        let refusal = Refusal::not_run(Reason::Draining, None);
        for call in self.protected.drain().into_iter().chain(self.sheddable.drain()) {
            self.calls.remove(&call);
            self.events.push(QueueEvent::Drop(call, refusal));
        }
    }

    /// Returns whether a drain was begun and nothing runs any more.
    pub fn is_drained(&self) -> bool {
        self.draining && self.in_flight == 0
    }

    fn queue(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Protected => &mut self.protected,
            Class::Browse | Class::Lookup => &mut self.sheddable,
        }
    }

    fn can_start(&self, now: TimeUs) -> bool {
        self.in_flight < self.limiter.limit_at(now)
    }

    fn holds_for_protected(&self, class: Class, now: TimeUs) -> bool {
        let hold_ms = self.settings.protected_hold_ms;
        class != Class::Protected && self.protected_shed.is_some_and(|shed| now < shed.plus_ms(hold_ms))
    }

    fn insert_running(&mut self, offer: &OfferedCall, now: TimeUs) {
        let mut row = CallRow::queued(offer, now);
        row.started = Some(now);
        self.calls.insert(offer.call, row);
        self.in_flight += 1;
        self.level.served(offer.class, now);
    }

    fn enqueue(&mut self, offer: OfferedCall, tenant: TenantHash, now: TimeUs) -> Admission {
        let ahead = if offer.class == Class::Protected { self.protected.len() } else { self.queued() };
        let start = now.plus_us(self.limiter.wait_us(ahead));
        if start.plus_us(self.limiter.least_service_us()) >= offer.deadline {
            return self.refuse_as_late(offer.class, now);
        }
        if self.queued() >= self.queue_bound(offer.class) && !self.evict_for(&offer, now) {
            return self.refuse_offer(offer.class, tenant, now);
        }
        self.queue(offer.class).push(&offer.tenant, offer.weight, offer.class, offer.call);
        self.calls.insert(offer.call, CallRow::queued(&offer, now));
        Admission::Queued
    }

    fn queue_bound(&self, class: Class) -> usize {
        let scaled = (self.limiter.limit() as f64 * self.settings.queue_per_limit).ceil() as usize;
        let bound = scaled.clamp(self.settings.min_queue, self.settings.max_queue);
        if class == Class::Protected { bound * self.settings.protected_queue_factor } else { bound }
    }

    /// Makes room by dropping a queued call that matters less: for a protected call any other; else
    /// one of the tenant that holds the most places for its weight, or a less important one of the
    /// same tenant.
    fn evict_for(&mut self, offer: &OfferedCall, now: TimeUs) -> bool {
        let evicted = match offer.class {
            Class::Protected => {
                let sheddable = self.sheddable.pop_longest();
                sheddable.or_else(|| self.protected.pop_for(&offer.tenant, offer.weight, offer.class))
            }
            Class::Browse | Class::Lookup => self.sheddable.pop_for(&offer.tenant, offer.weight, offer.class),
        };
        let Some(call) = evicted else { return false };
        self.drop_shed(call, now);
        true
    }

    fn drop_shed(&mut self, call: CallId, now: TimeUs) {
        let Some(row) = self.calls.remove(&call) else { return };
        let refusal = self.shed(row.class, TenantHash::from_tenant(&row.tenant), now);
        self.events.push(QueueEvent::Drop(call, refusal));
    }

    fn refuse_offer(&mut self, class: Class, tenant: TenantHash, now: TimeUs) -> Admission {
        if class == Class::Protected {
            self.drop_all_sheddable(now);
        }
        Admission::Refused(self.shed(class, tenant, now))
    }

    /// Refuses a call that would be too late after its wait. For a protected one this is not shedding:
    /// only protected calls are ahead of it.
    fn refuse_as_late(&mut self, class: Class, now: TimeUs) -> Admission {
        self.level.shed(class, now);
        Admission::Refused(Refusal::not_run(Reason::Deadline, None))
    }

    /// A protected call is about to be shed, so nothing that matters less may stay queued.
    fn drop_all_sheddable(&mut self, now: TimeUs) {
        for call in self.sheddable.drain() {
            self.drop_shed(call, now);
        }
    }

    fn shed(&mut self, class: Class, tenant: TenantHash, now: TimeUs) -> Refusal {
        if class == Class::Protected {
            self.protected_shed = Some(now);
        }
        self.level.shed(class, now);
        let retry_after_ms = self.level.retry_after_ms(class, tenant);
        Refusal::not_run(Reason::Shed, Some(retry_after_ms))
    }

    fn drop_expired(&mut self, now: TimeUs) {
        if self.queued() == 0 {
            return;
        }
        let latest_start = now.plus_us(self.limiter.least_service_us());
        let calls = &self.calls;
        let queued = self.protected.calls().chain(self.sheddable.calls());
        let expired: Vec<CallId> =
            queued.filter(|call| calls.get(call).is_none_or(|row| row.deadline <= latest_start)).collect();
        for call in expired {
            self.drop_expired_call(call, now);
        }
    }

    fn drop_expired_call(&mut self, call: CallId, now: TimeUs) {
        let Some(row) = self.calls.remove(&call) else { return };
        self.queue(row.class).remove(&row.tenant, call);
        self.level.shed(row.class, now);
        self.events.push(QueueEvent::Drop(call, Refusal::not_run(Reason::Deadline, None)));
    }

    /// Starts queued calls while places are free, most important class first. A call whose deadline
    /// can't be met any more is dropped instead.
    fn start_queued(&mut self, now: TimeUs) {
        while self.can_start(now) {
            let Some(call) = self.protected.pop().or_else(|| self.sheddable.pop()) else { return };
            let Some(row) = self.calls.get_mut(&call) else { continue };
            if row.deadline <= now.plus_us(self.limiter.least_service_us()) {
                self.drop_expired_call(call, now);
                continue;
            }
            row.started = Some(now);
            let class = row.class;
            self.in_flight += 1;
            self.level.served(class, now);
            self.events.push(QueueEvent::Start(call));
        }
    }
}
