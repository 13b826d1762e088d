//! Serves a snapshot to peers that pull it from this node.

use fulmartrestle_core::TimeUs;

use super::timing::SERVED_SNAPSHOT_IDLE_MS;
use crate::replica::{Replica, SnapshotId, SnapshotPart};

/// Holds one snapshot in parts while peers pull it. It is dropped when idle, since it may take megabytes.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotServer {
    parts: Vec<SnapshotPart>,
    last_used_at: TimeUs,
}

impl SnapshotServer {
    /// Returns the first part of the held snapshot, and takes a snapshot of `replica` if none is held.
    pub(super) fn first_part(&mut self, now: TimeUs, replica: &Replica) -> Option<SnapshotPart> {
        if self.parts.is_empty() {
            self.parts = replica.snapshot()?.to_parts(0);
        }
        self.last_used_at = now;
        self.parts.first().cloned()
    }

    /// Returns a part of the snapshot `id`, or the first part of the held snapshot if it is another one, so
    /// that the peer starts over with that.
    pub(super) fn part_or_first(
        &mut self,
        now: TimeUs,
        replica: &Replica,
        id: SnapshotId,
        index: u32,
    ) -> Option<SnapshotPart> {
        let first = self.first_part(now, replica)?;
        if first.id != id {
            return Some(first);
        }
        self.parts.get(index as usize).cloned()
    }

    /// Drops the snapshot once no peer has pulled from it for [`SERVED_SNAPSHOT_IDLE_MS`].
    pub(super) fn drop_if_idle(&mut self, now: TimeUs) {
        if now.ms_since(self.last_used_at) >= SERVED_SNAPSHOT_IDLE_MS {
            self.parts = Vec::new();
        }
    }
}
