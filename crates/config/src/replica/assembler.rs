//! Puts the parts of a snapshot together.

use fulmartrestle_core::LogOffset;

use super::{SNAPSHOT_PART_BYTES, Snapshot, SnapshotId, SnapshotPart};

/// Most parts of a snapshot; a larger number is a damaged part.
const MAX_PARTS: u32 = 256;

/// Collects the parts of the newest snapshot that it has seen a part of. Parts may come in any
/// order and more than once.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    target: Option<Target>,
    parts: Vec<Option<Vec<u8>>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Target {
    id: SnapshotId,
    next_offset: LogOffset,
}

impl SnapshotAssembler {
    /// Returns the offset of the snapshot that is being put together.
    pub fn next_offset(&self) -> Option<LogOffset> {
        self.target.map(|target| target.next_offset)
    }

    /// Returns the snapshot that is being put together and its first missing part.
    pub fn missing(&self) -> Option<(SnapshotId, u32)> {
        let index = self.parts.iter().position(Option::is_none)?;
        Some((self.target?.id, u32::try_from(index).ok()?))
    }

    /// Adds a part and returns the snapshot when it is whole and its bytes match its id.
    pub fn add(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        if part.count == 0 || part.count > MAX_PARTS || part.index >= part.count {
            return None;
        }
        if part.bytes.len() > SNAPSHOT_PART_BYTES || !self.aim_at(part) {
            return None;
        }
        let slot = self.parts.get_mut(part.index as usize)?;
        *slot = Some(part.bytes.clone());
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let whole: Vec<u8> = std::mem::take(&mut self.parts).into_iter().flatten().flatten().collect();
        let target = self.target.take()?;
        let snapshot = if SnapshotId::from_content(&whole) == target.id { Snapshot::decode(&whole) } else { None };
        snapshot.filter(|snapshot| snapshot.next_offset == target.next_offset)
    }

    /// Turns to the part's snapshot unless a newer one is being put together.
    fn aim_at(&mut self, part: &SnapshotPart) -> bool {
        let wanted = Target { id: part.id, next_offset: part.next_offset };
        if self.target == Some(wanted) {
            return self.parts.len() == part.count as usize;
        }
        if self.target.is_some_and(|target| target.next_offset > wanted.next_offset) {
            return false;
        }
        self.target = Some(wanted);
        self.parts = vec![None; part.count as usize];
        true
    }
}
