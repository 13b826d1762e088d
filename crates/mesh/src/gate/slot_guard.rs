//! Releases a call's slot when the call ends, in whichever way.

use std::sync::Arc;

use fulmartrestle_core::{CallId, RouteId, Service, TimeUs};
use fulmartrestle_transport::BodyWatcher;

use super::Gate;
use super::admission::AdmittedCall;
use super::watched_call::WatchedCall;
use crate::target_connection_pool::TargetConnection;

/// Slot, or place in the queue, of a waiting or running call. Dropping the guard releases it, so that a caller
/// that disconnects makes room at once.
pub struct SlotGuard {
    gate: Arc<Gate>,
    call: CallId,
    deadline: TimeUs,
    answered: bool,
}

impl SlotGuard {
    /// Guards the slot that the gate has assigned or will assign to `call`.
    pub fn new(gate: Arc<Gate>, call: CallId, deadline: TimeUs) -> Self {
        Self { gate, call, deadline, answered: false }
    }

    /// Returns the ID of the call that holds the slot.
    pub fn call(&self) -> CallId {
        self.call
    }

    /// Releases the slot after a complete response.
    pub fn complete(mut self) {
        self.answered = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.gate.release_slot(self.call, self.deadline, self.answered);
    }
}

/// A call that the target answers, and the connection on which it does.
pub struct AnsweredCall {
    /// Releases the slot when it is dropped.
    pub admitted: AdmittedCall,
    /// Reports how the response ends.
    pub watched: WatchedCall,
    /// Closes when it is dropped.
    pub connection: TargetConnection,
    /// Route and service of the call, which tell how long its response may take.
    pub route: RouteId,
    pub service: Service,
}

/// A call whose response body is still being forwarded. It is dropped when the body ends or is dropped.
pub struct StreamingSlotGuard {
    held: Option<AnsweredCall>,
    status: u16,
}

impl StreamingSlotGuard {
    /// Holds a call until the body of the response with this status ends.
    pub fn new(call: AnsweredCall, status: u16) -> Self {
        Self { held: Some(call), status }
    }
}

impl BodyWatcher for StreamingSlotGuard {
    fn on_end(&mut self, complete: bool) {
        if let Some(AnsweredCall { admitted, watched, route, service, .. }) = self.held.take() {
            admitted.slot.gate.record_streamed(&route, &service, watched.started());
            watched.end_stream(self.status, complete);
        }
    }
}
