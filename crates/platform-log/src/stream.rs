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
    /// The latest record of each key among the records that are no longer held.
    latest_removed: BTreeMap<String, KeyedRecord>,
    /// Whether the stream was restored from a copy, so that readers may ask for records that are gone.
    restored: bool,
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
            update_latest(&mut self.latest_by_key, &entry);
            self.entries.push_back(StoredEntry { entry, appended_ms });
        }
        LogOffset(first_offset)
    }

    /// Returns up to `max_records` records, starting at offset `from`.
    pub(crate) fn read(&self, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        if from.0 < self.first_offset {
            return Err(LogError::Trimmed { first: LogOffset(self.first_offset) });
        }
        if from.0 > self.end_offset() && self.restored {
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

    /// Removes the records before the offset `before`.
    pub(crate) fn trim_before(&mut self, before: LogOffset) {
        while self.first_offset < before.0 && self.remove_first() {}
    }

    /// Removes the records that are older than `retention_ms` at `wall_ms`.
    pub(crate) fn remove_expired(&mut self, retention_ms: u64, wall_ms: u64) {
        let expired = |stored: &StoredEntry| stored.appended_ms.saturating_add(retention_ms) < wall_ms;
        while self.entries.front().is_some_and(expired) {
            self.remove_first();
        }
    }

    /// Removes the records that were appended after `copied_ms`, as if the stream was restored from a copy of that
    /// time.
    pub(crate) fn remove_newer(&mut self, copied_ms: u64) {
        while self.entries.back().is_some_and(|stored| stored.appended_ms > copied_ms) {
            self.entries.pop_back();
        }
        self.restored = true;
        self.latest_by_key = self.latest_removed.clone();
        for stored in &self.entries {
            update_latest(&mut self.latest_by_key, &stored.entry);
        }
    }

    fn remove_first(&mut self) -> bool {
        let Some(stored) = self.entries.pop_front() else { return false };
        update_latest(&mut self.latest_removed, &stored.entry);
        self.first_offset += 1;
        true
    }
}

/// Applies an appended record to the latest records; one without a value removes its key.
fn update_latest(latest: &mut BTreeMap<String, KeyedRecord>, entry: &LogEntry) {
    let Some(record) = KeyedRecord::decode(entry) else { return };
    if record.value.is_empty() {
        latest.remove(&record.key);
    } else {
        latest.insert(record.key.clone(), record);
    }
}
