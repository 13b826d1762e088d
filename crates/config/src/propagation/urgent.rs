//! Withdrawals that travel ahead of the records that hold them.

use std::collections::VecDeque;

use fulmartrestle_core::{TimeUs, Version};
use fulmartrestle_derive::record;

use super::timing::{MAX_URGENT_CHANGES, URGENT_FOR_MS};
use crate::fleet::FleetConfig;
use crate::plan::{Change, Plan};

/// A committed change that takes a right away. A node that lacks records applies it at once on top
/// of its version; it is safe because the change was committed, so that the node will get there.
#[record]
pub struct UrgentChange {
    /// The version that the change is part of.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// The withdrawals that this node passes on, and those that it has heard of but not read.
#[derive(Clone, Debug, Default)]
pub(super) struct Urgent {
    recent: VecDeque<(TimeUs, UrgentChange)>,
    ahead: Vec<UrgentChange>,
}

impl Urgent {
    /// Notes the withdrawals of a plan that committed here.
    pub(super) fn note_commit(&mut self, now: TimeUs, version: Version, plan: &Plan) {
        for change in plan.writes.iter().filter(|change| change.is_urgent()) {
            self.remember(now, UrgentChange { version, change: change.clone() });
        }
    }

    /// Notes a withdrawal that a peer has committed. Returns whether it is news.
    pub(super) fn note_heard(&mut self, now: TimeUs, own: Version, urgent: &UrgentChange) -> bool {
        let known = self.ahead.contains(urgent) || self.ahead.len() >= MAX_URGENT_CHANGES;
        if urgent.version <= own || known || !urgent.change.is_urgent() {
            return false;
        }
        self.ahead.push(urgent.clone());
        self.remember(now, urgent.clone());
        true
    }

    fn remember(&mut self, now: TimeUs, urgent: UrgentChange) {
        self.recent.push_back((now, urgent));
        if self.recent.len() > MAX_URGENT_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Forgets what has travelled long enough and what this node's version holds.
    pub(super) fn tick(&mut self, now: TimeUs, own: Version) {
        while self.recent.front().is_some_and(|(at, _)| now.ms_since(*at) >= URGENT_FOR_MS) {
            self.recent.pop_front();
        }
        self.drop_read(own);
    }

    pub(super) fn drop_read(&mut self, own: Version) {
        self.ahead.retain(|urgent| urgent.version > own);
    }

    pub(super) fn to_pass_on(&self) -> Vec<UrgentChange> {
        self.recent.iter().map(|(_, urgent)| urgent.clone()).collect()
    }

    /// Returns `config` without the rights that were withdrawn after its version, or `None` when
    /// there are none.
    pub(super) fn over(&self, config: &FleetConfig) -> Option<FleetConfig> {
        if self.ahead.is_empty() {
            return None;
        }
        let changes: Vec<_> = self.ahead.iter().map(|urgent| urgent.change.clone()).collect();
        Some(config.with_changes(config.version(), &changes))
    }
}
