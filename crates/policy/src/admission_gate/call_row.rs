//! One row of a gate's table of calls.

use fulmartrestle_core::{Class, Tenant, TimeUs};

use super::OfferedCall;

/// A queued or running call.
#[derive(Debug)]
pub(super) struct CallRow {
    pub tenant: Tenant,
    pub class: Class,
    pub deadline: TimeUs,
    /// When the call was handed to the target; `None` while it is queued.
    pub started: Option<TimeUs>,
    open_children: u32,
    children_since: TimeUs,
    children_us: u64,
}

impl CallRow {
    pub fn queued(offer: &OfferedCall, now: TimeUs) -> Self {
        Self {
            tenant: offer.tenant.clone(),
            class: offer.class,
            deadline: offer.deadline,
            started: None,
            open_children: 0,
            children_since: now,
            children_us: 0,
        }
    }

    pub fn child_started(&mut self, now: TimeUs) {
        if self.open_children == 0 {
            self.children_since = now;
        }
        self.open_children += 1;
    }

    pub fn child_ended(&mut self, now: TimeUs) {
        if self.open_children == 1 {
            self.children_us += now.us_since(self.children_since);
        }
        self.open_children = self.open_children.saturating_sub(1);
    }

    /// Returns how long the call waited for at least one call of its own.
    pub fn child_us(&self, now: TimeUs) -> u64 {
        let open_us = if self.open_children > 0 { now.us_since(self.children_since) } else { 0 };
        self.children_us + open_us
    }
}
