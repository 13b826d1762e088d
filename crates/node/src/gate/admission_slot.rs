//! A call's slot at the gate, which is released however the call ends.

use std::sync::Arc;

use fulmartrestle_core::CallId;
use fulmartrestle_policy::Completion;

use super::TargetGate;
use crate::body::BodyWatcher;

/// The slot of a queued or running call.
///
/// Dropping it cancels the call, so that the slot is free at once when the caller disconnects.
pub struct AdmissionSlot {
    gate: Arc<TargetGate>,
    call: CallId,
    finished: bool,
}

impl AdmissionSlot {
    /// Creates the guard of a call that the gate has admitted or queued.
    pub fn new(gate: Arc<TargetGate>, call: CallId) -> Self {
        Self { gate, call, finished: false }
    }

    /// Releases the slot and reports the call's result.
    pub fn finish(mut self, completion: Completion) {
        self.complete_call(completion);
    }

    fn complete_call(&mut self, completion: Completion) {
        if !self.finished {
            self.finished = true;
            self.gate.complete(self.call, completion);
        }
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        if !self.finished {
            self.gate.cancel(self.call);
        }
    }
}

impl BodyWatcher for AdmissionSlot {
    fn on_end(&mut self, complete: bool) {
        self.complete_call(if complete { Completion::Answered } else { Completion::Failed });
    }
}
