//! State of one call of an admission gate.

use fulmartrestle_core::{Class, Tenant, TimeUs};

use super::OfferedCall;

/// A queued or running call, with the time that it spent waiting for its child calls.
#[derive(Debug)]
pub(super) struct TrackedCall {
    pub tenant: Tenant,
    pub class: Class,
    pub deadline: TimeUs,
    /// Time at which the call was sent to the target; `None` while it is queued.
    pub started_at: Option<TimeUs>,
    running_children: u32,
    child_wait_start: TimeUs,
    completed_child_wait_us: u64,
}

impl TrackedCall {
    pub fn new_queued(offer: &OfferedCall, now: TimeUs) -> Self {
        Self {
            tenant: offer.tenant.clone(),
            class: offer.class,
            deadline: offer.deadline,
            started_at: None,
            running_children: 0,
            child_wait_start: now,
            completed_child_wait_us: 0,
        }
    }

    pub fn record_child_start(&mut self, now: TimeUs) {
        if self.running_children == 0 {
            self.child_wait_start = now;
        }
        self.running_children += 1;
    }

    pub fn record_child_end(&mut self, now: TimeUs) {
        if self.running_children == 1 {
            self.completed_child_wait_us += now.us_since(self.child_wait_start);
        }
        self.running_children = self.running_children.saturating_sub(1);
    }

    /// Returns the total time in microseconds during which at least one child call was running.
    pub fn child_wait_us(&self, now: TimeUs) -> u64 {
        let current_wait_us = if self.running_children > 0 { now.us_since(self.child_wait_start) } else { 0 };
        self.completed_child_wait_us + current_wait_us
    }
}
