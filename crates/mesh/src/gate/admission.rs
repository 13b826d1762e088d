//! Who may come in: the slots of the target and the calls that wait for them.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Reason, Refusal, Service, TimeUs, lock};
use fulmartrestle_policy::{Admission, DemandMeter, QueueEvent, RunningParents, SlotQueue, SlotRequest, TargetReport};
use fulmartrestle_transport::{AdmissionResult, AdmissionWaiters};
use tokio::sync::oneshot;

use super::slot_guard::SlotGuard;
use super::{Gate, NO_TARGET_RETRY_AFTER_MS, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::call_messages::{CallRequestHead, GateReport};
use crate::own_target::OwnTarget;

/// Share of a target's slots that is used. Targets slow down when they are nearly full, and a new
/// connection or a health check takes a slot for a moment.
const SLOT_SHARE: f64 = 0.95;

/// Slots before the target has announced any.
const INITIAL_SLOTS: usize = 1;

/// Time before the deadline at which a waiting call is refused, in microseconds, so that the refusal
/// is back before the caller's node gives up.
const REFUSAL_MARGIN_US: u64 = 15_000;

/// What the gate knows of its target and of the calls that it has let in.
pub struct GateState {
    pub target: OwnTarget,
    pub slots: SlotQueue,
    pub parents: RunningParents,
    pub demand: DemandMeter,
    /// Whether other nodes are asked to send their calls elsewhere.
    pub draining: bool,
    /// Whether no call is taken any more.
    pub closed: bool,
    waiters: AdmissionWaiters,
    next_call: u64,
}

/// The target that a call was admitted to.
pub struct AdmittedCall {
    pub slot: SlotGuard,
    pub instance: String,
}

/// How an offer to the slots went.
struct SlotOffer {
    slot: SlotGuard,
    /// Tells what becomes of a call that waits; absent for one that may run now.
    start: Option<oneshot::Receiver<AdmissionResult>>,
}

impl Default for GateState {
    fn default() -> Self {
        Self {
            target: OwnTarget::default(),
            slots: SlotQueue::new(INITIAL_SLOTS),
            parents: RunningParents::default(),
            demand: DemandMeter::default(),
            draining: false,
            closed: false,
            waiters: AdmissionWaiters::default(),
            next_call: 0,
        }
    }
}

impl GateState {
    /// Passes what became of waiting calls on to them.
    pub fn notify_waiters(&mut self, now: TimeUs) {
        loop {
            let events = self.slots.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, start) = match event {
                    QueueEvent::Start(call) => (call, Ok(())),
                    QueueEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                if !self.waiters.notify(call, start) && start.is_ok() {
                    self.slots.release(call, false, now);
                }
            }
        }
    }

    /// Returns the target as other nodes should see it.
    pub fn report(&self, now: TimeUs) -> GateReport {
        let known = self.target.last_announcement()?;
        let load = self.slots.load();
        Some(TargetReport {
            service: known.service.clone(),
            instance: known.instance.clone(),
            ready: !self.draining && self.target.usable(now).is_some(),
            limit: load.limit,
            running: load.running,
            waiting: load.waiting,
            hold_us: load.hold_us,
            cold: self.target.is_cold(now),
        })
    }

    /// Returns the run of the target that takes calls for `service`.
    fn instance_for(&self, service: &Service, now: TimeUs) -> Result<String, Refusal> {
        let target = self.target.usable(now).filter(|target| target.service == *service);
        let no_target = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        target.map(|target| target.instance.clone()).ok_or(no_target)
    }
}

impl Gate {
    /// Frees the slot of a call that ended.
    pub(super) fn release_slot(&self, call: CallId, deadline: TimeUs, answered: bool) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.parents.remove(deadline, call, now);
        state.waiters.remove(call);
        state.slots.release(call, answered, now);
        state.notify_waiters(now);
    }

    /// Waits for a slot. The target may leave meanwhile, so that it is looked up again.
    pub(super) async fn admit(
        self: &Arc<Self>,
        head: &CallRequestHead,
        deadline: TimeUs,
    ) -> Result<AdmittedCall, Refusal> {
        let SlotOffer { slot, start } = self.request_slot(head, deadline)?;
        if let Some(start) = start {
            let latest = TimeUs(deadline.0.saturating_sub(REFUSAL_MARGIN_US));
            let too_late = Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS));
            let closed = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));
            let waited = tokio::time::timeout(self.clock.duration_until(latest), start).await;
            waited.map_err(|_| too_late)?.unwrap_or(Err(closed))?;
        }
        let instance = lock(&self.state).instance_for(&head.service, self.clock.now())?;
        Ok(AdmittedCall { slot, instance })
    }

    fn request_slot(self: &Arc<Self>, head: &CallRequestHead, deadline: TimeUs) -> Result<SlotOffer, Refusal> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.closed {
            return Err(Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS)));
        }
        state.instance_for(&head.service, now)?;
        if let (Some(origin), false) = (&head.origin, head.is_repeat) {
            state.demand.record_arrival(&head.route, origin);
        }
        let call = CallId(state.next_call);
        state.next_call += 1;
        let admission = state.slots.offer(SlotRequest { call, rank: head.rank, deadline }, now);
        let slot = || SlotGuard::new(Arc::clone(self), call, deadline);
        let offer = match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Run => Ok(SlotOffer { slot: slot(), start: None }),
            Admission::Queued => Ok(SlotOffer { slot: slot(), start: Some(state.waiters.register(call)) }),
        };
        // A more urgent call may have taken the place of another.
        state.notify_waiters(now);
        offer
    }
}

/// Returns how many of a target's slots are used.
pub fn usable_slots(slots: u32) -> usize {
    ((f64::from(slots) * SLOT_SHARE) as usize).max(1)
}
