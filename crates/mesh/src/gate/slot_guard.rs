//! A call's place at the gate, given back however the call ends.

use std::sync::Arc;

use fulmartrestle_core::{CallId, TimeUs};
use fulmartrestle_transport::BodyWatcher;

use super::Gate;
use crate::target_connection_pool::TargetConnection;

/// A waiting or running call's place. Dropping it frees the place, so that a caller that goes away
/// makes room at once.
pub struct SlotGuard {
    gate: Arc<Gate>,
    call: CallId,
    deadline: TimeUs,
    answered: bool,
}

impl SlotGuard {
    /// Holds a place that the gate has given or will give to `call`.
    pub fn new(gate: Arc<Gate>, call: CallId, deadline: TimeUs) -> Self {
        Self { gate, call, deadline, answered: false }
    }

    /// Returns whose place it is.
    pub fn call(&self) -> CallId {
        self.call
    }

    /// Gives the place back after a whole answer.
    pub fn complete(mut self) {
        self.answered = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.gate.release_slot(self.call, self.deadline, self.answered);
    }
}

/// The place and the connection of a call whose answer is still being passed on. Both are given up when the
/// body ends or is dropped.
pub struct StreamingSlotGuard {
    held: Option<(SlotGuard, TargetConnection)>,
}

impl StreamingSlotGuard {
    /// Holds a place and a connection.
    pub fn new(slot: SlotGuard, connection: TargetConnection) -> Self {
        Self { held: Some((slot, connection)) }
    }
}

impl BodyWatcher for StreamingSlotGuard {
    fn on_end(&mut self, _whole: bool) {
        self.held = None;
    }
}
