//! The records of one stream.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::LogOffset;

use crate::{KeyedRecord, LatestRecords, LogEntry, LogError, ReadPage};

/// One stream of the stand-in: the records that are held and where they begin.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    first: u64,
    entries: VecDeque<StoredEntry>,
    newest: BTreeMap<String, KeyedRecord>,
}

/// A record with the time at which it was taken, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct StoredEntry {
    entry: LogEntry,
    wall_ms: u64,
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
        for (offset, payload) in entries {
            let entry = LogEntry { offset: LogOffset(offset), payload };
            self.note_newest(&entry);
            self.entries.push_back(StoredEntry { entry, wall_ms });
        }
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
        let records: Vec<_> =
            self.entries.iter().skip(skipped).take(max_records).map(|stored| stored.entry.clone()).collect();
        let next_offset = LogOffset(from.0 + records.len() as u64);
        Ok(ReadPage { records, next_offset, end_offset: LogOffset(self.end()), first_offset: LogOffset(self.first) })
    }

    /// Returns the newest record of each key, also of keys whose records were dropped.
    pub(crate) fn read_latest(&self) -> LatestRecords {
        LatestRecords { records: self.newest.values().cloned().collect(), end_offset: LogOffset(self.end()) }
    }

    fn note_newest(&mut self, entry: &LogEntry) {
        let Some(record) = KeyedRecord::decode(entry) else { return };
        if record.value.is_empty() {
            self.newest.remove(&record.key);
        } else {
            self.newest.insert(record.key.clone(), record);
        }
    }

    /// Drops the records before `before`.
    pub(crate) fn trim_before(&mut self, before: LogOffset) {
        while self.first < before.0 && self.entries.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Drops the records that are older than `retention_ms`.
    pub(crate) fn expire(&mut self, retention_ms: u64, wall_ms: u64) {
        let expired = |stored: &StoredEntry| stored.wall_ms.saturating_add(retention_ms) < wall_ms;
        while self.entries.front().is_some_and(expired) {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}
