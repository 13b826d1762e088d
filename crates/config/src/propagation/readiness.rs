//! Whether a node that has started may serve its configuration.

use std::collections::BTreeMap;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use super::timing::{MIN_START_PEERS, START_PEER_WAIT_MS};

/// Decides when a started node becomes ready. A node stores nothing on disk, and after a restart it must not
/// serve an older version than before. It therefore waits until it has been at the end of the log since its
/// start or, while the log is unreachable, until it has reached the highest offset of several peers.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    is_ready: bool,
    started_at: TimeUs,
    peer_offsets: BTreeMap<VmId, LogOffset>,
    first_peer_at: Option<TimeUs>,
}

/// The state of a starting node that readiness depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadinessInput {
    pub(super) now: TimeUs,
    /// Whether the replica has a state.
    pub(super) has_state: bool,
    /// Offset of the first record that the replica has not applied.
    pub(super) applied_offset: LogOffset,
    /// When this node was last known to be at the end of the log.
    pub(super) log_end_seen_at: Option<TimeUs>,
    /// Whether any read of the log has failed.
    pub(super) log_failed: bool,
    /// Number of other members of the fleet.
    pub(super) peer_count: usize,
}

impl Readiness {
    pub(super) fn new(started_at: TimeUs) -> Self {
        Self { is_ready: false, started_at, peer_offsets: BTreeMap::new(), first_peer_at: None }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records the log position of a peer that serves requests.
    pub(super) fn record_peer(&mut self, now: TimeUs, peer: VmId, next_offset: LogOffset) {
        if self.is_ready {
            return;
        }
        self.first_peer_at.get_or_insert(now);
        self.peer_offsets.insert(peer, next_offset);
    }

    /// Updates readiness and returns whether the node has just become ready.
    pub(super) fn update(&mut self, input: ReadinessInput) -> bool {
        if self.is_ready || !input.has_state {
            return false;
        }
        let was_at_log_end = input.log_end_seen_at.is_some_and(|at| at >= self.started_at);
        self.is_ready = was_at_log_end || (input.log_failed && self.has_reached_all_peers(input));
        if self.is_ready {
            self.peer_offsets.clear();
        }
        self.is_ready
    }

    fn has_reached_all_peers(&self, input: ReadinessInput) -> bool {
        let required_peers = MIN_START_PEERS.min(input.peer_count).max(1);
        let has_waited = self.first_peer_at.is_some_and(|at| input.now.ms_since(at) >= START_PEER_WAIT_MS);
        let highest = self.peer_offsets.values().max();
        has_waited
            && self.peer_offsets.len() >= required_peers
            && highest.is_some_and(|highest| input.applied_offset >= *highest)
    }
}
