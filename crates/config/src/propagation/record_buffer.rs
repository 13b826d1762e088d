//! The last records, for peers that lack them.

use std::collections::VecDeque;

use fulmartrestle_core::LogOffset;

use super::timing::MAX_RECORDS_MESSAGE_BYTES;
use crate::replica::LogRecord;

/// Most records that are held for peers: half an hour at 13,000 changes a day. A peer that lacks
/// more gets a snapshot.
const MAX_RECORDS: usize = 256;

/// Most bytes of records that are held.
const MAX_BYTES: usize = 512 << 10;

/// The last applied records in a row.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordBuffer {
    first: LogOffset,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl RecordBuffer {
    /// Adds the record at `offset`; a gap before it empties the buffer first.
    pub(super) fn push(&mut self, offset: LogOffset, bytes: &[u8], record: &LogRecord) {
        if offset != self.next_offset() {
            self.clear_to(offset);
        }
        let held = match record {
            LogRecord::Snapshot(part) => LogRecord::Snapshot(part.without_bytes()).encode(),
            _ => bytes.to_vec(),
        };
        self.bytes += held.len();
        self.records.push_back(held);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(dropped) = self.records.pop_front() else { break };
            self.bytes -= dropped.len();
            self.first.0 += 1;
        }
    }

    pub(super) fn clear_to(&mut self, next_offset: LogOffset) {
        *self = Self { first: next_offset, ..Self::default() };
    }

    /// Returns records from `from` on, as many as one message may carry, or `None` when they are no
    /// longer held.
    pub(super) fn since(&self, from: LogOffset) -> Option<Vec<Vec<u8>>> {
        if from < self.first || from > self.next_offset() {
            return None;
        }
        let mut budget_bytes = MAX_RECORDS_MESSAGE_BYTES;
        let skipped = usize::try_from(from.0 - self.first.0).ok()?;
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
        LogOffset(self.first.0 + self.records.len() as u64)
    }
}
