//! The snapshot that peers are pulling from this node.

use fulmartrestle_core::TimeUs;

use super::timing::SERVED_SNAPSHOT_IDLE_MS;
use crate::replica::{Replica, SnapshotId, SnapshotPart};

/// Holds one snapshot in parts while peers pull it, and none otherwise: it may be megabytes.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotServer {
    parts: Vec<SnapshotPart>,
    used_at: TimeUs,
}

impl SnapshotServer {
    /// Returns the first part of a snapshot.
    pub(super) fn first_part(&mut self, now: TimeUs, replica: &Replica) -> Option<SnapshotPart> {
        if self.parts.is_empty() {
            self.parts = replica.snapshot()?.parts(0);
        }
        self.used_at = now;
        self.parts.first().cloned()
    }

    /// Returns a part of the snapshot `id`, or the first part of the one at hand when that is gone.
    pub(super) fn part(&mut self, now: TimeUs, replica: &Replica, id: SnapshotId, index: u32) -> Option<SnapshotPart> {
        let first = self.first_part(now, replica)?;
        if first.id != id {
            return Some(first);
        }
        self.parts.get(index as usize).cloned()
    }

    pub(super) fn tick(&mut self, now: TimeUs) {
        if now.ms_since(self.used_at) >= SERVED_SNAPSHOT_IDLE_MS {
            self.parts = Vec::new();
        }
    }
}
