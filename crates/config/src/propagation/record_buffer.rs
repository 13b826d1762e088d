//! Buffer of the latest records, for peers that lack them.

use std::collections::VecDeque;

use fulmartrestle_core::LogOffset;

use super::timing::MAX_RECORDS_MESSAGE_BYTES;
use crate::replica::LogRecord;

/// Maximum number of records in the buffer: half an hour at 13,000 changes a day. A peer that lacks more
/// receives a snapshot.
const MAX_BUFFERED_RECORDS: usize = 256;

/// Maximum size of all buffered records, in bytes.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// The latest applied records, without gaps.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordBuffer {
    first_offset: LogOffset,
    records: VecDeque<Vec<u8>>,
    total_bytes: usize,
}

impl RecordBuffer {
    /// Adds the record at `offset`. The buffer is emptied first if records before it are missing.
    pub(super) fn push(&mut self, offset: LogOffset, bytes: &[u8], record: &LogRecord) {
        if offset != self.next_offset() {
            self.reset_to(offset);
        }
        let stored = match record {
            LogRecord::Snapshot(part) => LogRecord::Snapshot(part.without_bytes()).encode(),
            _ => bytes.to_vec(),
        };
        self.total_bytes += stored.len();
        self.records.push_back(stored);
        while self.records.len() > MAX_BUFFERED_RECORDS || self.total_bytes > MAX_BUFFERED_BYTES {
            let Some(dropped) = self.records.pop_front() else { break };
            self.total_bytes -= dropped.len();
            self.first_offset.0 += 1;
        }
    }

    /// Empties the buffer. The next record to be added is the one at `next_offset`.
    pub(super) fn reset_to(&mut self, next_offset: LogOffset) {
        *self = Self { first_offset: next_offset, ..Self::default() };
    }

    /// Returns as many records from `from` on as fit in one message, or `None` if the first of them is not in
    /// the buffer.
    pub(super) fn records_from(&self, from: LogOffset) -> Option<Vec<Vec<u8>>> {
        if from < self.first_offset || from > self.next_offset() {
            return None;
        }
        let mut budget_bytes = MAX_RECORDS_MESSAGE_BYTES;
        let skipped = usize::try_from(from.0 - self.first_offset.0).ok()?;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skipped) {
            if record.len() > budget_bytes && !records.is_empty() {
                break;
            }
            budget_bytes = budget_bytes.saturating_sub(record.len());
            records.push(record.clone());
        }
        Some(records)
    }

    fn next_offset(&self) -> LogOffset {
        LogOffset(self.first_offset.0 + self.records.len() as u64)
    }
}
