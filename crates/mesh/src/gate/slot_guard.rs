//! Releases a call's slot when the call ends, in whichever way.

use std::sync::Arc;

use fulmartrestle_core::{CallId, TimeUs};
use fulmartrestle_transport::BodyWatcher;

use super::Gate;
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

/// Slot and connection of a call whose response body is still being forwarded. Both are dropped when the body
/// ends or is dropped.
pub struct StreamingSlotGuard {
    held: Option<(SlotGuard, TargetConnection)>,
}

impl StreamingSlotGuard {
    /// Holds a slot and a connection until the body ends.
    pub fn new(slot: SlotGuard, connection: TargetConnection) -> Self {
        Self { held: Some((slot, connection)) }
    }
}

impl BodyWatcher for StreamingSlotGuard {
    fn on_end(&mut self, _complete: bool) {
        self.held = None;
    }
}
