//! Whether a started node may serve its configuration.

use std::collections::BTreeMap;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use super::timing::{START_PEERS, START_WAIT_MS};

/// A node keeps nothing, so that after a restart it must not serve an older version than before.
/// It waits until its view was the log's end after its start, or, while the log is out of reach,
/// takes the highest of several peers.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    is_ready: bool,
    started_at: TimeUs,
    peers: BTreeMap<VmId, LogOffset>,
    first_heard_at: Option<TimeUs>,
}

/// What a starting node knows when it asks whether it may serve.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartFacts {
    pub(super) now: TimeUs,
    pub(super) has_state: bool,
    pub(super) applied: LogOffset,
    /// When this node's view was last known to be the log's end.
    pub(super) log_at: Option<TimeUs>,
    /// Whether a read of the log has failed.
    pub(super) log_failed: bool,
    /// The other members of the fleet.
    pub(super) peer_count: usize,
}

impl Readiness {
    pub(super) fn new(started_at: TimeUs) -> Self {
        Self { is_ready: false, started_at, peers: BTreeMap::new(), first_heard_at: None }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Notes the place of a peer that serves.
    pub(super) fn note_peer(&mut self, now: TimeUs, peer: VmId, next_offset: LogOffset) {
        if self.is_ready {
            return;
        }
        self.first_heard_at.get_or_insert(now);
        self.peers.insert(peer, next_offset);
    }

    /// Returns whether the node has just become ready.
    pub(super) fn check(&mut self, facts: StartFacts) -> bool {
        if self.is_ready || !facts.has_state {
            return false;
        }
        let read_to_end = facts.log_at.is_some_and(|at| at >= self.started_at);
        self.is_ready = read_to_end || (facts.log_failed && self.has_highest_of_peers(facts));
        if self.is_ready {
            self.peers.clear();
        }
        self.is_ready
    }

    fn has_highest_of_peers(&self, facts: StartFacts) -> bool {
        let wanted = START_PEERS.min(facts.peer_count).max(1);
        let waited = self.first_heard_at.is_some_and(|at| facts.now.ms_since(at) >= START_WAIT_MS);
        let highest = self.peers.values().max();
        waited && self.peers.len() >= wanted && highest.is_some_and(|highest| facts.applied >= *highest)
    }
}
