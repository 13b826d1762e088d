//! The records of one stream.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::LogOffset;

use crate::{KeyedRecord, LatestRecords, LogEntry, LogError, ReadPage};

/// A stream of the in-memory log: the records that are held, and the latest record of each key.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    first_offset: u64,
    entries: VecDeque<StoredEntry>,
    latest_by_key: BTreeMap<String, KeyedRecord>,
}

/// A record with the time at which it was appended, in milliseconds since the Unix epoch.
#[derive(Debug)]
struct StoredEntry {
    entry: LogEntry,
    appended_ms: u64,
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.entries.len() as u64
    }

    /// Appends `records` and returns the offset of the first one.
    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>, appended_ms: u64) -> LogOffset {
        let first_offset = self.end_offset();
        let offsets = first_offset..;
        let entries = offsets.zip(records);
        for (offset, payload) in entries {
            let entry = LogEntry { offset: LogOffset(offset), payload };
            self.update_latest(&entry);
            self.entries.push_back(StoredEntry { entry, appended_ms });
        }
        LogOffset(first_offset)
    }

    /// Returns up to `max_records` records, starting at offset `from`.
    pub(crate) fn read(&self, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        if from.0 < self.first_offset {
            return Err(LogError::Trimmed { first: LogOffset(self.first_offset) });
        }
        if from.0 > self.end_offset() {
            let reason = format!("offset {from} is past the end of the stream, {}", self.end_offset());
            return Err(LogError::BadRequest(reason));
        }
        let skipped = (from.0 - self.first_offset) as usize;
        let records: Vec<_> =
            self.entries.iter().skip(skipped).take(max_records).map(|stored| stored.entry.clone()).collect();
        let next_offset = LogOffset(from.0 + records.len() as u64);
        Ok(ReadPage {
            records,
            next_offset,
            end_offset: LogOffset(self.end_offset()),
            first_offset: LogOffset(self.first_offset),
        })
    }

    /// Returns the latest record of each key, including records that were removed by retention.
    pub(crate) fn read_latest(&self) -> LatestRecords {
        LatestRecords {
            records: self.latest_by_key.values().cloned().collect(),
            end_offset: LogOffset(self.end_offset()),
        }
    }

    /// Applies an appended record to the latest records; one without a value removes its key.
    fn update_latest(&mut self, entry: &LogEntry) {
        let Some(record) = KeyedRecord::decode(entry) else { return };
        if record.value.is_empty() {
            self.latest_by_key.remove(&record.key);
        } else {
            self.latest_by_key.insert(record.key.clone(), record);
        }
    }

    /// Removes the records before the offset `before`.
    pub(crate) fn trim_before(&mut self, before: LogOffset) {
        while self.first_offset < before.0 && self.entries.pop_front().is_some() {
            self.first_offset += 1;
        }
    }

    /// Removes the records that are older than `retention_ms` at `wall_ms`.
    pub(crate) fn remove_expired(&mut self, retention_ms: u64, wall_ms: u64) {
        let expired = |stored: &StoredEntry| stored.appended_ms.saturating_add(retention_ms) < wall_ms;
        while self.entries.front().is_some_and(expired) {
            self.entries.pop_front();
            self.first_offset += 1;
        }
    }
}
