//! Tasks of calls that wait for admission.

use std::collections::HashMap;

use fulmartrestle_core::{CallId, Refusal};
use tokio::sync::oneshot;

/// Result of admission control for a queued call: the call may run, or it is refused.
pub type AdmissionResult = Result<(), Refusal>;

/// Holds the sender half of a channel for each task that waits for the admission of its call.
#[derive(Debug, Default)]
pub struct AdmissionWaiters {
    senders: HashMap<CallId, oneshot::Sender<AdmissionResult>>,
}

impl AdmissionWaiters {
    /// Registers a call. The receiver yields the result of its admission.
    pub fn register(&mut self, call: CallId) -> oneshot::Receiver<AdmissionResult> {
        let (sender, receiver) = oneshot::channel();
        self.senders.insert(call, sender);
        receiver
    }

    /// Removes a call whose task no longer waits.
    pub fn remove(&mut self, call: CallId) {
        self.senders.remove(&call);
    }

    /// Sends the admission result to the task of a call. Returns whether the task still waits; if it does not, the
    /// slot that was assigned to the call has to be released.
    pub fn notify(&mut self, call: CallId, result: AdmissionResult) -> bool {
        self.senders.remove(&call).is_some_and(|sender| sender.send(result).is_ok())
    }

    /// Refuses all calls whose tasks still wait.
    pub fn refuse_all(&mut self, refusal: Refusal) {
        for (_, sender) in self.senders.drain() {
            // The task may have ended by now.
            let _ = sender.send(Err(refusal));
        }
    }
}
