//! Withdrawals of rights that are forwarded ahead of the log records that contain them.

use std::collections::VecDeque;

use fulmartrestle_core::{TimeUs, Version};
use fulmartrestle_derive::record;

use super::timing::{MAX_URGENT_CHANGES, URGENT_FORWARD_MS};
use crate::fleet::FleetConfig;
use crate::plan::{Change, Plan};

/// A committed change that withdraws a right. A node that lacks records applies it at once on top of its
/// own version. This is safe because the change is committed: the node will reach that version anyway.
#[record]
pub struct UrgentChange {
    /// The version that the change was committed in.
    pub version: Version,
    /// The change that withdraws the right.
    pub change: Change,
}

/// Withdrawals that this node forwards, and those it has received from peers but not yet read from the
/// log.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentChanges {
    /// Withdrawals to forward, with the time from which they are forwarded.
    forwarded: VecDeque<(TimeUs, UrgentChange)>,
    /// Withdrawals received from peers whose versions this node has not reached.
    unread: Vec<UrgentChange>,
}

impl UrgentChanges {
    /// Queues the withdrawals of a plan that this node has read as committed.
    pub(super) fn record_commit(&mut self, now: TimeUs, version: Version, plan: &Plan) {
        for change in plan.writes.iter().filter(|change| change.is_urgent()) {
            self.queue_for_forwarding(now, UrgentChange { version, change: change.clone() });
        }
    }

    /// Records a withdrawal that a peer has forwarded. Returns whether it was new to this node.
    pub(super) fn record_received(&mut self, now: TimeUs, local_version: Version, urgent: &UrgentChange) -> bool {
        let is_known_or_full = self.unread.contains(urgent) || self.unread.len() >= MAX_URGENT_CHANGES;
        if urgent.version <= local_version || is_known_or_full || !urgent.change.is_urgent() {
            return false;
        }
        self.unread.push(urgent.clone());
        self.queue_for_forwarding(now, urgent.clone());
        true
    }

    fn queue_for_forwarding(&mut self, now: TimeUs, urgent: UrgentChange) {
        self.forwarded.push_back((now, urgent));
        if self.forwarded.len() > MAX_URGENT_CHANGES {
            self.forwarded.pop_front();
        }
    }

    /// Stops forwarding withdrawals after [`URGENT_FORWARD_MS`], and drops those that the local version
    /// contains.
    pub(super) fn expire(&mut self, now: TimeUs, local_version: Version) {
        while self.forwarded.front().is_some_and(|(at, _)| now.ms_since(*at) >= URGENT_FORWARD_MS) {
            self.forwarded.pop_front();
        }
        self.drop_applied(local_version);
    }

    /// Drops received withdrawals that the local version contains.
    pub(super) fn drop_applied(&mut self, local_version: Version) {
        self.unread.retain(|urgent| urgent.version > local_version);
    }

    /// Returns the withdrawals to forward to peers.
    pub(super) fn changes_to_forward(&self) -> Vec<UrgentChange> {
        self.forwarded.iter().map(|(_, urgent)| urgent.clone()).collect()
    }

    /// Returns `config` without the rights that were withdrawn after its version, or `None` if no such
    /// withdrawal is known.
    pub(super) fn overlay(&self, config: &FleetConfig) -> Option<FleetConfig> {
        if self.unread.is_empty() {
            return None;
        }
        let changes: Vec<_> = self.unread.iter().map(|urgent| urgent.change.clone()).collect();
        Some(config.with_changes(config.version(), &changes))
    }
}
