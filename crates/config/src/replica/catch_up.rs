//! Finds a snapshot in a log whose first records are gone.

use std::collections::VecDeque;

use fulmartrestle_core::LogOffset;

use super::{LogRecord, Snapshot, SnapshotAssembler};

/// Reads on from the first retained record until a snapshot is whole, and holds back the records
/// that came after that snapshot was taken.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    first: LogOffset,
    next_offset: LogOffset,
    held_back: VecDeque<LogRecord>,
    assembler: SnapshotAssembler,
}

/// A snapshot with the records that follow it.
pub(super) struct Found {
    pub(super) snapshot: Snapshot,
    pub(super) records: VecDeque<LogRecord>,
}

impl CatchUp {
    pub(super) fn from(first: LogOffset) -> Self {
        Self { first, next_offset: first, held_back: VecDeque::new(), assembler: SnapshotAssembler::default() }
    }

    pub(super) fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether a replica that needs `applied` next finds it in the log.
    pub(super) fn is_needed_at(&self, applied: LogOffset) -> bool {
        applied < self.first
    }

    /// Takes the record at `next_offset`.
    pub(super) fn push(&mut self, record: &LogRecord) -> Option<Found> {
        self.next_offset.0 += 1;
        self.held_back.push_back(record.clone());
        let LogRecord::Snapshot(part) = record else { return None };
        if part.next_offset < self.first_held_back() {
            return None;
        }
        let snapshot = self.assembler.add(part);
        self.release();
        let snapshot = snapshot?;
        self.drop_before(snapshot.next_offset);
        Some(Found { snapshot, records: std::mem::take(&mut self.held_back) })
    }

    /// Drops records that the snapshot being put together holds; should it never become whole, the
    /// next one holds them too.
    fn release(&mut self) {
        if let Some(next_offset) = self.assembler.next_offset() {
            self.drop_before(next_offset);
        }
    }

    fn drop_before(&mut self, offset: LogOffset) {
        while self.first_held_back() < offset && self.held_back.pop_front().is_some() {}
    }

    fn first_held_back(&self) -> LogOffset {
        LogOffset(self.next_offset.0 - self.held_back.len() as u64)
    }
}
