//! A call's place at the gate, given back however the call ends.

use std::sync::Arc;

use fulmartrestle_core::CallId;
use fulmartrestle_policy::Completion;

use super::TargetGate;
use crate::body::BodyWatcher;

/// A queued or running call's place. Dropping it cancels the call, so that a caller that goes away
/// frees the place at once.
pub struct AdmissionSlot {
    gate: Arc<TargetGate>,
    call: CallId,
    finished: bool,
}

impl AdmissionSlot {
    /// Holds a place that the gate has given or will give to `call`.
    pub fn new(gate: Arc<TargetGate>, call: CallId) -> Self {
        Self { gate, call, finished: false }
    }

    /// Gives the place back with the call's result.
    pub fn finish(mut self, completion: Completion) {
        self.finish_once(completion);
    }

    fn finish_once(&mut self, completion: Completion) {
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
    fn on_end(&mut self, whole: bool) {
        self.finish_once(if whole { Completion::Answered } else { Completion::Failed });
    }
}
