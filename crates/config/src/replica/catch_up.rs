//! Catching up from a snapshot in a log whose first records have been trimmed.

use std::collections::VecDeque;

use fulmartrestle_core::LogOffset;

use super::{LogRecord, Snapshot, SnapshotAssembler};

/// Collects records from the first retained one on until the log has yielded a complete snapshot, and buffers
/// the records that the snapshot does not contain.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    first_retained: LogOffset,
    next_offset: LogOffset,
    buffered: VecDeque<LogRecord>,
    assembler: SnapshotAssembler,
}

/// A snapshot from the log with the records that follow it.
pub(super) struct CaughtUp {
    pub(super) snapshot: Snapshot,
    pub(super) records: VecDeque<LogRecord>,
}

impl CatchUp {
    pub(super) fn new(first_retained: LogOffset) -> Self {
        Self {
            first_retained,
            next_offset: first_retained,
            buffered: VecDeque::new(),
            assembler: SnapshotAssembler::default(),
        }
    }

    pub(super) fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns whether a replica that needs the record at `applied_offset` next still has to catch up, because
    /// that record has been trimmed.
    pub(super) fn is_needed_at(&self, applied_offset: LogOffset) -> bool {
        applied_offset < self.first_retained
    }

    /// Adds the record at `next_offset` and returns the snapshot that it completes, if any.
    pub(super) fn add_record(&mut self, record: &LogRecord) -> Option<CaughtUp> {
        self.next_offset.0 += 1;
        self.buffered.push_back(record.clone());
        let LogRecord::Snapshot(part) = record else { return None };
        if part.next_offset < self.first_buffered() {
            return None;
        }
        let snapshot = self.assembler.add_part(part);
        self.drop_contained_records();
        let snapshot = snapshot?;
        self.drop_before(snapshot.next_offset);
        Some(CaughtUp { snapshot, records: std::mem::take(&mut self.buffered) })
    }

    /// Drops buffered records that the snapshot being assembled contains. If that snapshot is never completed, the
    /// next one contains them too.
    fn drop_contained_records(&mut self) {
        if let Some(next_offset) = self.assembler.next_offset() {
            self.drop_before(next_offset);
        }
    }

    fn drop_before(&mut self, offset: LogOffset) {
        while self.first_buffered() < offset && self.buffered.pop_front().is_some() {}
    }

    fn first_buffered(&self) -> LogOffset {
        LogOffset(self.next_offset.0 - self.buffered.len() as u64)
    }
}
