//! Who may come in: the slots of the target and the calls that wait for them.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Reason, Refusal, Service, TimeUs, lock};
use fulmartrestle_policy::{Admission, DemandMeter, QueueEvent, RunningParents, SlotQueue, SlotRequest, TargetReport};
use fulmartrestle_transport::{AdmissionResult, AdmissionWaiters};
use tokio::sync::oneshot;

use super::place::Place;
use super::{Gate, NO_TARGET_RETRY_AFTER_MS, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::own_target::OwnTarget;
use crate::running::{GateLoad, RunHead};

/// Share of a target's slots that is used. Targets slow down when they are nearly full, and a new
/// connection or a health check takes a slot for a moment.
const SLOT_SHARE: f64 = 0.95;

/// Slots before the target has announced any.
const UNKNOWN_SLOTS: usize = 1;

/// Time before the deadline at which a waiting call is refused, in microseconds, so that the refusal
/// is back before the caller's node gives up.
const REFUSE_EARLY_US: u64 = 15_000;

/// What the gate knows of its target and of the calls that it has let in.
pub struct GateTable {
    pub target: OwnTarget,
    pub slots: SlotQueue,
    pub parents: RunningParents,
    pub usage: DemandMeter,
    /// Whether other nodes are asked to send their calls elsewhere.
    pub closing: bool,
    /// Whether no call is taken any more.
    pub closed: bool,
    turns: AdmissionWaiters,
    next_call: u64,
}

/// The target that a call was admitted to.
pub struct Admitted {
    pub place: Place,
    pub instance: String,
}

/// How an offer to the slots went.
struct Entered {
    place: Place,
    /// Tells what becomes of a call that waits; absent for one that may run now.
    turn: Option<oneshot::Receiver<AdmissionResult>>,
}

impl Default for GateTable {
    fn default() -> Self {
        Self {
            target: OwnTarget::default(),
            slots: SlotQueue::new(UNKNOWN_SLOTS),
            parents: RunningParents::default(),
            usage: DemandMeter::default(),
            closing: false,
            closed: false,
            turns: AdmissionWaiters::default(),
            next_call: 0,
        }
    }
}

impl GateTable {
    /// Passes what became of waiting calls on to them.
    pub fn settle(&mut self, now: TimeUs) {
        loop {
            let events = self.slots.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, turn) = match event {
                    QueueEvent::Start(call) => (call, Ok(())),
                    QueueEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                if !self.turns.notify(call, turn) && turn.is_ok() {
                    self.slots.release(call, false, now);
                }
            }
        }
    }

    /// Returns the target as other nodes should see it.
    pub fn report(&self, now: TimeUs) -> GateLoad {
        let known = self.target.known()?;
        let load = self.slots.load();
        Some(TargetReport {
            service: known.service.clone(),
            instance: known.instance.clone(),
            ready: !self.closing && self.target.usable(now).is_some(),
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
    pub(super) fn ended(&self, call: CallId, deadline: TimeUs, answered: bool) {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        table.parents.remove(deadline, call, now);
        table.turns.remove(call);
        table.slots.release(call, answered, now);
        table.settle(now);
    }

    /// Waits for a slot. The target may leave meanwhile, so that it is looked up again.
    pub(super) async fn admit(self: &Arc<Self>, head: &RunHead, deadline: TimeUs) -> Result<Admitted, Refusal> {
        let Entered { place, turn } = self.enter(head, deadline)?;
        if let Some(turn) = turn {
            let latest = TimeUs(deadline.0.saturating_sub(REFUSE_EARLY_US));
            let too_late = Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS));
            let closed = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));
            let waited = tokio::time::timeout(self.clock.until(latest), turn).await;
            waited.map_err(|_| too_late)?.unwrap_or(Err(closed))?;
        }
        let instance = lock(&self.table).instance_for(&head.service, self.clock.now())?;
        Ok(Admitted { place, instance })
    }

    fn enter(self: &Arc<Self>, head: &RunHead, deadline: TimeUs) -> Result<Entered, Refusal> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        if table.closed {
            return Err(Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS)));
        }
        table.instance_for(&head.service, now)?;
        if let (Some(origin), false) = (&head.origin, head.is_repeat) {
            table.usage.record_arrival(&head.route, origin);
        }
        let call = CallId(table.next_call);
        table.next_call += 1;
        let admission = table.slots.offer(SlotRequest { call, rank: head.rank, deadline }, now);
        let place = || Place::new(Arc::clone(self), call, deadline);
        let entered = match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Run => Ok(Entered { place: place(), turn: None }),
            Admission::Queued => Ok(Entered { place: place(), turn: Some(table.turns.register(call)) }),
        };
        // A more urgent call may have taken the place of another.
        table.settle(now);
        entered
    }
}

/// Returns how many of a target's slots are used.
pub fn usable_slots(slots: u32) -> usize {
    ((f64::from(slots) * SLOT_SHARE) as usize).max(1)
}
