//! Pulls missing log records and snapshots from peers.

use std::collections::VecDeque;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use super::timing::PULL_TIMEOUT_MS;
use super::{ConfigMessage, PullId};
use crate::replica::{Snapshot, SnapshotAssembler, SnapshotPart};

/// Maximum number of peers kept as sources for the next pulls.
const MAX_CANDIDATE_PEERS: usize = 4;

/// Consecutive pulls without a response after which a partial snapshot is discarded, because the peers that
/// served it are gone.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct InFlightPull {
    pull: PullId,
    sent_at: TimeUs,
}

/// Sends pulls to peers, at most one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Puller {
    in_flight: Option<InFlightPull>,
    candidates: VecDeque<VmId>,
    assembler: SnapshotAssembler,
    consecutive_timeouts: u32,
    last_pull_id: PullId,
}

impl Puller {
    /// Adds a peer that has records this node lacks. If the list is full, the oldest candidate is dropped.
    pub(super) fn add_candidate(&mut self, peer: VmId) {
        if self.candidates.contains(&peer) {
            return;
        }
        if self.candidates.len() == MAX_CANDIDATE_PEERS {
            self.candidates.pop_front();
        }
        self.candidates.push_back(peer);
    }

    /// Starts the next pull and returns its receiver and message, unless a pull is in flight or no
    /// candidate is left.
    pub(super) fn start_pull(&mut self, now: TimeUs, next_offset: LogOffset) -> Option<(VmId, ConfigMessage)> {
        if self.has_pull_in_flight(now) {
            return None;
        }
        if self.in_flight.take().is_some() {
            self.record_timeout();
        }
        let peer = self.candidates.pop_back()?;
        self.last_pull_id.0 += 1;
        let pull = self.last_pull_id;
        self.in_flight = Some(InFlightPull { pull, sent_at: now });
        let message = match self.assembler.first_missing_part() {
            Some((id, index)) => ConfigMessage::PullSnapshotPart { pull, id, index },
            None => ConfigMessage::PullRecords { pull, next_offset },
        };
        Some((peer, message))
    }

    fn has_pull_in_flight(&self, now: TimeUs) -> bool {
        self.in_flight.is_some_and(|in_flight| now.ms_since(in_flight.sent_at) < PULL_TIMEOUT_MS)
    }

    fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            self.consecutive_timeouts = 0;
            self.assembler = SnapshotAssembler::default();
        }
    }

    /// Completes a pull whose response arrived. Returns when it was sent, or `None` when it had timed out
    /// and was replaced.
    pub(super) fn complete_pull(&mut self, pull: PullId) -> Option<TimeUs> {
        let in_flight = self.in_flight.filter(|in_flight| in_flight.pull == pull)?;
        self.in_flight = None;
        self.consecutive_timeouts = 0;
        Some(in_flight.sent_at)
    }

    /// Adds a part of a snapshot and returns the snapshot when it is complete.
    pub(super) fn add_snapshot_part(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        self.assembler.add_part(part)
    }

    /// Discards a partial snapshot that is not newer than what this node has applied.
    pub(super) fn discard_obsolete_snapshot(&mut self, applied: LogOffset) {
        if self.assembler.next_offset().is_some_and(|next_offset| next_offset <= applied) {
            self.assembler = SnapshotAssembler::default();
        }
    }
}
