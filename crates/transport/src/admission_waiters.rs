//! Calls that wait for their turn at a gate.

use std::collections::HashMap;

use fulmartrestle_core::{CallId, Refusal};
use tokio::sync::oneshot;

/// What becomes of a waiting call: it may run, or it is refused.
pub type AdmissionResult = Result<(), Refusal>;

/// The tasks of waiting calls.
#[derive(Debug, Default)]
pub struct AdmissionWaiters {
    waiting: HashMap<CallId, oneshot::Sender<AdmissionResult>>,
}

impl AdmissionWaiters {
    /// Adds a call. The receiver hears of its turn.
    pub fn register(&mut self, call: CallId) -> oneshot::Receiver<AdmissionResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(call, sender);
        receiver
    }

    /// Forgets a call whose task does not wait any more.
    pub fn remove(&mut self, call: CallId) {
        self.waiting.remove(&call);
    }

    /// Tells a call of its turn. Returns whether its task still waits; a slot that was given to a task that
    /// is gone must be freed.
    pub fn notify(&mut self, call: CallId, turn: AdmissionResult) -> bool {
        self.waiting.remove(&call).is_some_and(|waiting| waiting.send(turn).is_ok())
    }
}
