//! Recognises ends of the target and the requests that may have caused them. See `docs/CRASH-REQUESTS.md`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmartrestle_core::{CallId, Fingerprint, Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::{CallLoss, CrashMark, CrashVerdict, ProbeResult, RunWatch};

use super::TargetGate;
use super::target_client::probe;

/// How long the reply to a lost call is held back until the loss is explained, and the interval at which it is looked at, in
/// milliseconds.
const EXPLANATION_WAIT_MS: u64 = 40;
const POLL_MS: u64 = 10;

/// `Retry-After` of a suspected request whose turn has not come, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 500;

impl TargetGate {
    /// Refuses a request that has crashed targets, and returns whether it is suspected.
    pub(super) fn check_crash_marks(&self, fingerprint: Fingerprint) -> Result<bool, Refusal> {
        let now = self.clock.now();
        match lock(&self.crashes).check(fingerprint, now) {
            CrashVerdict::Blocked { until } => Err(Refusal::not_run(Reason::Blocked, Some(until.ms_since(now)))),
            CrashVerdict::Clear | CrashVerdict::Marked => Ok(false),
            CrashVerdict::Suspected => Ok(true),
        }
    }

    /// Waits for the outcome of an earlier try of a request that the target may have ended with.
    pub(super) async fn wait_for_earlier_try(&self, fingerprint: Fingerprint, deadline: TimeUs) -> Result<(), Refusal> {
        let waits_until = RunWatch::wait_limit(self.clock.now(), deadline);
        while lock(&self.state).run_watch.must_wait(fingerprint, self.clock.now()) {
            if self.clock.now() >= waits_until {
                return Err(Refusal::not_run(Reason::NoTarget, Some(SUSPECT_RETRY_AFTER_MS)));
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        Ok(())
    }

    /// Watches a call that is about to be handed to the target. A suspected one is refused while another runs.
    pub(super) fn start_watching(&self, call: CallId, fingerprint: Fingerprint) -> Result<(), Refusal> {
        let is_suspected = self.check_crash_marks(fingerprint)?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if is_suspected {
            if state.suspect.is_some() {
                return Err(Refusal::not_run(Reason::Blocked, Some(SUSPECT_RETRY_AFTER_MS)));
            }
            state.suspect = Some(call);
            lock(&self.crashes).record_trial(fingerprint, self.local_vm, call, now);
        }
        state.run_watch.record_start(call, fingerprint, now);
        Ok(())
    }

    /// Records that the target has not run a call.
    pub(super) fn stop_watching(&self, call: CallId) {
        let mut state = lock(&self.state);
        state.suspect.take_if(|suspect| *suspect == call);
        if let Some(fingerprint) = state.run_watch.fingerprint(call) {
            lock(&self.crashes).withdraw_trial(fingerprint, self.local_vm, call, self.clock.now());
        }
        state.run_watch.record_not_run(call);
    }

    /// Records a complete response.
    pub(super) fn record_answer(&self, call: CallId, now: TimeUs) {
        let mut state = lock(&self.state);
        state.suspect.take_if(|suspect| *suspect == call);
        let answered = state.run_watch.fingerprint(call);
        state.run_watch.record_answer(call, true);
        if let Some(fingerprint) = answered {
            lock(&self.crashes).record_answer(fingerprint, self.local_vm, call, now);
        }
    }

    /// Records that the outcome of a call is not known, and probes the target.
    pub(super) fn record_loss(self: &Arc<Self>, call: CallId, loss: CallLoss, now: TimeUs) {
        {
            let mut state = lock(&self.state);
            state.suspect.take_if(|suspect| *suspect == call);
            state.run_watch.record_loss(call, loss, now);
        }
        self.start_probing();
    }

    /// Records that the sender of a call has left.
    pub(super) fn record_abandoned(&self, call: CallId, now: TimeUs) {
        let mut state = lock(&self.state);
        state.suspect.take_if(|suspect| *suspect == call);
        state.run_watch.record_loss(call, CallLoss::Unobserved, now);
    }

    /// Returns the mark of a lost call if the target is found to have ended with it within a moment.
    pub(super) async fn wait_for_crash_mark(&self, call: CallId, fingerprint: Fingerprint) -> Option<CrashMark> {
        let waits_until = self.clock.now().plus_ms(EXPLANATION_WAIT_MS);
        while lock(&self.state).run_watch.is_open(call) && self.clock.now() < waits_until {
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        lock(&self.crashes).mark_of(fingerprint, self.local_vm, call, self.clock.now())
    }

    /// Probes the target until its losses are explained or further probes would not help.
    pub(super) fn start_probing(self: &Arc<Self>) {
        if self.is_probing.swap(true, Ordering::Relaxed) {
            return;
        }
        let gate = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                let next_probe_at = lock(&gate.state).run_watch.next_probe_at();
                let Some(next_probe_at) = next_probe_at else { break };
                tokio::time::sleep_until(gate.clock.runtime_instant(next_probe_at)).await;
                let address = lock(&gate.state).target.as_ref().map(|target| target.announcement.address);
                let Some(address) = address else { break };
                let result = probe(address).await;
                gate.record_probe(result);
            }
            gate.is_probing.store(false, Ordering::Relaxed);
        });
    }

    fn record_probe(&self, result: ProbeResult) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let Some(ended) = state.run_watch.record_probe(result, false, now) else { return };
        log::info!("gate: the target has ended while {} calls ran", ended.len());
        if let Some(target) = &mut state.target {
            target.reachable = false;
        }
        lock(&self.crashes).record_end(&ended, self.local_vm, now);
    }
}
