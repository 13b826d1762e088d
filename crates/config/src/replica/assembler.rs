//! Assembles snapshots from their parts.

use fulmartrestle_core::LogOffset;

use super::{SNAPSHOT_PART_BYTES, Snapshot, SnapshotId, SnapshotPart};

/// Maximum number of parts of a snapshot. A part that states a larger number is corrupt.
const MAX_PARTS: u32 = 256;

/// Collects the parts of the newest snapshot of which it has received any part. Parts may arrive in any order
/// and more than once.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    in_progress: Option<SnapshotInProgress>,
    parts: Vec<Option<Vec<u8>>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SnapshotInProgress {
    id: SnapshotId,
    next_offset: LogOffset,
}

impl SnapshotAssembler {
    /// Returns the offset of the first record that is not in the snapshot being assembled.
    pub fn next_offset(&self) -> Option<LogOffset> {
        self.in_progress.map(|in_progress| in_progress.next_offset)
    }

    /// Returns the id of the snapshot being assembled and the index of its first missing part.
    pub fn first_missing_part(&self) -> Option<(SnapshotId, u32)> {
        let index = self.parts.iter().position(Option::is_none)?;
        Some((self.in_progress?.id, u32::try_from(index).ok()?))
    }

    /// Adds a part and returns the snapshot if it is complete and its bytes match its id. Invalid parts and parts
    /// of older snapshots are ignored.
    pub fn add_part(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        if part.count == 0 || part.count > MAX_PARTS || part.index >= part.count {
            return None;
        }
        if part.bytes.len() > SNAPSHOT_PART_BYTES || !self.select_snapshot(part) {
            return None;
        }
        let stored = self.parts.get_mut(part.index as usize)?;
        *stored = Some(part.bytes.clone());
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let bytes: Vec<u8> = std::mem::take(&mut self.parts).into_iter().flatten().flatten().collect();
        let in_progress = self.in_progress.take()?;
        let snapshot = if SnapshotId::from_content(&bytes) == in_progress.id { Snapshot::decode(&bytes) } else { None };
        snapshot.filter(|snapshot| snapshot.next_offset == in_progress.next_offset)
    }

    /// Switches to the part's snapshot unless a newer one is being assembled. Returns whether the part belongs to
    /// the snapshot being assembled.
    fn select_snapshot(&mut self, part: &SnapshotPart) -> bool {
        let offered = SnapshotInProgress { id: part.id, next_offset: part.next_offset };
        if self.in_progress == Some(offered) {
            return self.parts.len() == part.count as usize;
        }
        if self.in_progress.is_some_and(|in_progress| in_progress.next_offset > offered.next_offset) {
            return false;
        }
        self.in_progress = Some(offered);
        self.parts = vec![None; part.count as usize];
        true
    }
}
