//! The records of one stream.

use std::collections::VecDeque;

use fulmartrestle_core::LogOffset;

use crate::{LogEntry, LogError, ReadPage};

/// One stream of the stand-in: the records that are held and where they begin.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    first: u64,
    entries: VecDeque<LogEntry>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Appends `records` and returns the offset of the first.
    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>, wall_ms: u64) -> LogOffset {
        let begin = self.end();
        let offsets = begin..;
        let entries = offsets.zip(records);
        let entries = entries.map(|(offset, payload)| LogEntry { offset: LogOffset(offset), payload, wall_ms });
        self.entries.extend(entries);
        LogOffset(begin)
    }

    /// Returns up to `max_records` records from `from` on.
    pub(crate) fn read(&self, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        if from.0 < self.first {
            return Err(LogError::Trimmed { first: LogOffset(self.first) });
        }
        if from.0 > self.end() {
            let reason = format!("offset {from} lies beyond the stream's end {}", self.end());
            return Err(LogError::BadRequest(reason));
        }
        let skipped = (from.0 - self.first) as usize;
        let records: Vec<_> = self.entries.iter().skip(skipped).take(max_records).cloned().collect();
        let next = LogOffset(from.0 + records.len() as u64);
        Ok(ReadPage { records, next, end: LogOffset(self.end()), first: LogOffset(self.first) })
    }

    /// Drops the records before `before`.
    pub(crate) fn trim_before(&mut self, before: LogOffset) {
        while self.first < before.0 && self.entries.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Drops the records that are older than `retention_ms`.
    pub(crate) fn expire(&mut self, retention_ms: u64, wall_ms: u64) {
        let expired = |entry: &LogEntry| entry.wall_ms.saturating_add(retention_ms) < wall_ms;
        while self.entries.front().is_some_and(expired) {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}
