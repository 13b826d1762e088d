//! Reports how a call that was handed to the target ended.

use std::sync::Arc;

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, lock};
use fulmartrestle_policy::{CallLoss, LossVerdict};

use super::Gate;

/// Lowest status of a response that does not show that the target can run the request.
const FIRST_ERROR_STATUS: u16 = 500;

/// A call that the target may be running. Dropping it means that the response is no longer awaited.
pub struct WatchedCall {
    gate: Arc<Gate>,
    call: CallId,
    fingerprint: Fingerprint,
    is_trial: bool,
    is_over: bool,
    started: TimeUs,
}

impl WatchedCall {
    /// Watches a call that is about to be handed to the target. `is_trial` is whether it is a suspected one.
    pub fn start(gate: Arc<Gate>, call: CallId, fingerprint: Fingerprint, is_trial: bool) -> Self {
        let now = gate.clock.now();
        lock(&gate.state).run_watch.record_start(call, fingerprint, now);
        if is_trial {
            lock(&gate.crashes).record_trial(fingerprint, gate.node_id, call, now);
            gate.status_due.notify_one();
        }
        Self { gate, call, fingerprint, is_trial, is_over: false, started: now }
    }

    /// Returns when the call was handed to the target.
    pub fn started(&self) -> TimeUs {
        self.started
    }

    /// Records a complete response with this status.
    pub fn complete(mut self, status: u16) {
        self.record_answer(status);
    }

    /// Records that the target has not run the call.
    pub fn cancel(mut self) {
        self.is_over = true;
        lock(&self.gate.state).run_watch.record_not_run(self.call);
        if self.is_trial {
            let Self { gate, call, fingerprint, .. } = &self;
            lock(&gate.crashes).withdraw_trial(*fingerprint, gate.node_id, *call, gate.clock.now());
            gate.status_due.notify_one();
        }
    }

    /// Records that the outcome is not known. Returns whether the target is found to have ended within a moment.
    pub async fn lose(mut self, loss: CallLoss) -> bool {
        match self.record_loss(loss) {
            LossVerdict::Crashed => true,
            LossVerdict::Open => loss == CallLoss::Closed && self.gate.wait_for_explanation(self.call).await,
        }
    }

    /// Records the end of a response that was forwarded while it arrived.
    pub fn end_stream(mut self, status: u16, complete: bool) {
        match complete {
            true => self.record_answer(status),
            false => {
                self.record_loss(CallLoss::Unobserved);
            }
        }
    }

    /// Records that the outcome is not known, and probes the target.
    pub fn record_loss(&mut self, loss: CallLoss) -> LossVerdict {
        self.is_over = true;
        let verdict = lock(&self.gate.state).run_watch.record_loss(self.call, loss, self.gate.clock.now());
        self.gate.start_probing();
        verdict
    }

    fn record_answer(&mut self, status: u16) {
        self.is_over = true;
        let is_success = status < FIRST_ERROR_STATUS;
        lock(&self.gate.state).run_watch.record_answer(self.call, is_success);
        if is_success {
            let Self { gate, call, fingerprint, .. } = self;
            lock(&gate.crashes).record_answer(*fingerprint, gate.node_id, *call, gate.clock.now());
        }
    }
}

impl Drop for WatchedCall {
    fn drop(&mut self) {
        if !self.is_over {
            let now = self.gate.clock.now();
            lock(&self.gate.state).run_watch.record_loss(self.call, CallLoss::Unobserved, now);
        }
    }
}
