//! Admission to the target: its slots and the calls that wait for one.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Reason, Refusal, Service, TimeUs, lock};
use fulmartrestle_policy::{
    Admission, ColdLimit, DemandMeter, FailureMeter, PaceEstimate, PauseGuard, QueueEvent, RunWatch, RunningParents,
    SlotQueue, SlotRequest, StopAdmission, TargetNotices, TargetReport,
};
use fulmartrestle_transport::{AdmissionResult, AdmissionWaiters};
use tokio::sync::oneshot;

use super::crashes::{SUSPECT_BUSY, SuspectTurn};
use super::slot_guard::SlotGuard;
use super::{Gate, NO_TARGET_RETRY_AFTER_MS, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::call_messages::{CallRequestHead, GateReport};
use crate::local_target::{Announcement, LocalTarget};
use crate::node_start::NodeStart;

/// Share of the target's slots that is used. Targets slow down when they are nearly full, and a new connection or
/// a health check occupies a slot for a moment.
const SLOT_SHARE: f64 = 0.95;

/// Number of slots before the target has announced any.
const INITIAL_SLOTS: usize = 1;

/// How long before its deadline a waiting call is refused, in microseconds, so that the refusal arrives before
/// the caller's node gives up. Both nodes pause for up to 100 ms under load. A refusal that comes
/// too late is told as an unknown outcome.
pub(super) const REFUSAL_MARGIN_US: u64 = 50_000;

/// Refusal of calls in an evacuated zone, so that their senders choose targets elsewhere.
const EVACUATED: Refusal = Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS));

/// Mutable state of a gate: its target, the slots and the admitted calls.
pub struct GateState {
    pub target: LocalTarget,
    /// Whether this node knows which runs of the target had left before it started. Until then the target is not used.
    pub knows_left_runs: bool,
    pub slots: SlotQueue,
    pub parents: RunningParents,
    pub demand: DemandMeter,
    /// The calls of the target, and whether its run has ended.
    pub run_watch: RunWatch,
    /// When the target was first seen to have stopped announcing itself.
    pub silent_since: Option<TimeUs>,
    /// What the current run of the target said about itself in its last response; `None` before the first one.
    pub notices: Option<TargetNotices>,
    /// Whether other nodes are asked to send their calls elsewhere.
    pub draining: bool,
    /// Whether all further calls are refused.
    pub closed: bool,
    /// Limit that holds while the target is cold.
    pub cold_limit: Option<ColdLimit>,
    /// When the limit was last updated.
    pub cold_limit_updated: TimeUs,
    /// State of the target and limit that were last logged.
    pub logged_cold: Option<(String, Option<ColdLimit>)>,
    waiters: AdmissionWaiters,
    next_call: u64,
    /// Whether the zone of this node is evacuated, so that no call may reach the target.
    evacuated: bool,
    /// Notices that the process was paused.
    pub pause_guard: PauseGuard,
    /// Pace of the target's work.
    pub pace: PaceEstimate,
    /// Attempts that failed at the target.
    pub failures: FailureMeter,
    /// Decides which calls reach the target while this node stops.
    pub stop_admission: StopAdmission,
}

/// A call that was admitted, and the target instance that runs it.
pub struct AdmittedCall {
    pub slot: SlotGuard,
    /// The turn of a suspected request, which ends with the call.
    pub turn: Option<SuspectTurn>,
    pub instance: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_unix_ms: i64,
    /// Pace of the target when the call started, if known.
    pub pace_percent: Option<u32>,
}

/// The slot of a call, or its place in the queue.
struct SlotReservation {
    slot: SlotGuard,
    /// Receives the outcome of a call that waits; `None` if the call may run now.
    admission_result: Option<oneshot::Receiver<AdmissionResult>>,
}

impl GateState {
    /// Returns the state of a node that started at `node_start`, which is `None` at the first start of the deployment.
    pub fn new(node_start: Option<NodeStart>) -> Self {
        Self {
            target: LocalTarget::new(node_start),
            knows_left_runs: false,
            slots: SlotQueue::new(INITIAL_SLOTS),
            parents: RunningParents::default(),
            demand: DemandMeter::default(),
            run_watch: RunWatch::default(),
            silent_since: None,
            notices: None,
            draining: false,
            closed: false,
            cold_limit: None,
            cold_limit_updated: TimeUs::default(),
            logged_cold: None,
            waiters: AdmissionWaiters::default(),
            next_call: 0,
            evacuated: false,
            pause_guard: PauseGuard::default(),
            pace: PaceEstimate::default(),
            failures: FailureMeter::default(),
            stop_admission: StopAdmission::default(),
        }
    }

    /// Notifies waiting calls that were started or dropped.
    pub fn notify_waiters(&mut self, now: TimeUs) {
        loop {
            let events = self.slots.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                let (call, result) = match event {
                    QueueEvent::Start(call) => (call, Ok(())),
                    QueueEvent::Drop(call, refusal) => (call, Err(refusal)),
                };
                if !self.waiters.notify(call, result) && result.is_ok() {
                    self.slots.release(call, false, now);
                }
            }
        }
    }

    /// Returns the state of the target as it is reported to other nodes.
    pub fn report(&self, now: TimeUs) -> GateReport {
        let announcement = self.target.last_announcement()?;
        let load = self.slots.load();
        Some(TargetReport {
            service: announcement.service.clone(),
            instance: announcement.instance.clone(),
            started_unix_ms: announcement.started_unix_ms,
            notices: self.reported_notices(announcement),
            ready: !self.draining && !self.evacuated && self.usable_target(now).is_some(),
            limit: load.limit,
            running: load.running,
            waiting: load.waiting,
            hold_us: load.hold_us,
            cold: self.reports_cold(now),
            paced_rate: self.slots.paced_rate(),
            pace_percent: self.pace.relative_percent(now),
            failed_percent: self.failures.failed_percent(now),
        })
    }

    /// Returns what the other nodes should keep about the run of the target. They remember that it leaves, however this node
    /// has learned of it, in case this node starts again and no longer knows.
    fn reported_notices(&self, announcement: &Announcement) -> Option<TargetNotices> {
        match announcement.draining {
            true => Some(TargetNotices { leaving: true, ..self.notices.unwrap_or_default() }),
            false => self.notices,
        }
    }

    /// Returns whether a call was admitted to the run of the target that has last announced itself.
    pub fn is_current_run(&self, admitted: &AdmittedCall) -> bool {
        let target = self.target.last_announcement();
        target.is_some_and(|target| {
            target.instance == admitted.instance && target.started_unix_ms == admitted.started_unix_ms
        })
    }

    /// Replaces what the current run of the target has said about itself.
    pub fn set_notices(&mut self, notices: Option<TargetNotices>, now: TimeUs) {
        self.notices = notices;
        self.slots.set_max_rate(notices.and_then(|notices| notices.max_rate), now);
        self.notify_waiters(now);
    }

    /// Takes over what the sender of a call knows about the run of the target: that it leaves, and the rest if this node has
    /// not heard a response of it.
    fn adopt_notices(&mut self, head: &CallRequestHead, now: TimeUs) {
        let Some(noticed) = &head.noticed else { return };
        let target = self.target.last_announcement().filter(|target| target.instance == head.instance);
        if target.is_none_or(|target| target.started_unix_ms != noticed.started_unix_ms) {
            return;
        }
        if noticed.notices.leaving {
            self.target.apply_left_run(&head.instance, noticed.started_unix_ms);
        }
        if self.notices.is_none() {
            self.set_notices(Some(noticed.notices), now);
        }
    }

    /// Evacuates the target, and refuses the calls that wait. Running calls go on.
    pub fn start_evacuation(&mut self) {
        self.evacuated = true;
        self.waiters.refuse_all(EVACUATED);
    }

    /// Lets calls reach the target again. No call may start before the limit for an unknown state holds.
    pub fn end_evacuation(&mut self) {
        self.target.mark_cold_state_unknown();
        self.evacuated = false;
    }

    /// Refuses a call that has not reached the target while the zone is evacuated.
    pub fn check_evacuation(&self) -> Result<(), Refusal> {
        if self.evacuated { Err(EVACUATED) } else { Ok(()) }
    }

    /// Checks that the run of the target that a call was admitted for still accepts calls.
    pub fn check_target(&self, service: &Service, admitted: &AdmittedCall, now: TimeUs) -> Result<(), Refusal> {
        let target = self.target_for(service, now)?;
        match target.instance == admitted.instance && target.started_unix_ms == admitted.started_unix_ms {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS))),
        }
    }

    fn usable_target(&self, now: TimeUs) -> Option<&Announcement> {
        self.target.usable(now).filter(|_| self.knows_left_runs)
    }

    /// Returns the announcement of the target that accepts calls for `service`.
    fn target_for(&self, service: &Service, now: TimeUs) -> Result<&Announcement, Refusal> {
        self.check_evacuation()?;
        let target = self.usable_target(now).filter(|target| target.service == *service);
        let no_target = Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS));
        target.ok_or(no_target)
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

    /// Waits for a slot. Target and crash marks are checked again afterwards, because they may have changed.
    pub(super) async fn admit(
        self: &Arc<Self>,
        head: &CallRequestHead,
        deadline: TimeUs,
    ) -> Result<AdmittedCall, Refusal> {
        self.wait_for_earlier_try(head.fingerprint, deadline).await?;
        let turn = self.take_suspect_turn(head.fingerprint, deadline).await?;
        let SlotReservation { slot, admission_result } = self.request_slot(head, deadline)?;
        if let Some(admission_result) = admission_result {
            self.wait_for_slot(admission_result, deadline).await?;
            if self.check_crash_marks(head.fingerprint)? && turn.is_none() {
                return Err(SUSPECT_BUSY);
            }
        }
        let state = lock(&self.state);
        let now = self.clock.now();
        let pace_percent = state.pace.present_percent(now);
        let target = state.target_for(&head.service, now)?;
        let (instance, started_unix_ms) = (target.instance.clone(), target.started_unix_ms);
        Ok(AdmittedCall { slot, turn, instance, started_unix_ms, pace_percent })
    }

    async fn wait_for_slot(
        &self,
        mut admission_result: oneshot::Receiver<AdmissionResult>,
        deadline: TimeUs,
    ) -> Result<(), Refusal> {
        let refusal_time = TimeUs(deadline.0.saturating_sub(REFUSAL_MARGIN_US));
        loop {
            let next_start = lock(&self.state).slots.next_start_at().unwrap_or(refusal_time);
            let wake_time = next_start.min(refusal_time);
            let waited = tokio::time::timeout(self.clock.duration_until(wake_time), &mut admission_result).await;
            if let Ok(result) = waited {
                return result.unwrap_or(Err(Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS))));
            }
            if self.clock.now() >= refusal_time {
                return Err(Refusal::not_run(Reason::Shed, Some(TARGET_REFUSED_RETRY_AFTER_MS)));
            }
            self.start_waiting_calls();
        }
    }

    fn request_slot(self: &Arc<Self>, head: &CallRequestHead, deadline: TimeUs) -> Result<SlotReservation, Refusal> {
        let mut state = lock(&self.state);
        // Read after the lock was taken, so that no call starts at an earlier time than one before it.
        let now = self.clock.now();
        if state.closed {
            return Err(Refusal::not_run(Reason::Draining, Some(NO_TARGET_RETRY_AFTER_MS)));
        }
        state.adopt_notices(head, now);
        state.target_for(&head.service, now)?;
        state.update_cold_limit(now);
        if let (Some(origin), false) = (&head.origin, head.is_retry) {
            state.demand.record_arrival(&head.route, origin);
        }
        let call = CallId(state.next_call);
        state.next_call += 1;
        let admission = state.slots.offer(SlotRequest { call, rank: head.rank, deadline }, now);
        let slot = || SlotGuard::new(Arc::clone(self), call, deadline);
        let reservation = match admission {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Run => Ok(SlotReservation { slot: slot(), admission_result: None }),
            Admission::Queued => {
                Ok(SlotReservation { slot: slot(), admission_result: Some(state.waiters.register(call)) })
            }
        };
        // The queue may have dropped a call in favour of a more urgent one.
        state.notify_waiters(now);
        reservation
    }
}

/// Returns how many of a target's announced slots are used; at least one.
pub fn usable_slots(slots: u32) -> usize {
    ((f64::from(slots) * SLOT_SHARE) as usize).max(1)
}
