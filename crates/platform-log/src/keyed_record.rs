//! Records of streams that keep the newest record of each key.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use crate::LogEntry;

/// A record with its key. On the log it is the key's length in one byte, the key, and the value.
#[record]
pub struct KeyedRecord {
    /// The record's place in its stream.
    pub offset: LogOffset,
    /// The key.
    pub key: String,
    /// The value; a record without one drops the key.
    pub value: Vec<u8>,
}

/// The newest record of each key, and where the stream ends.
#[record]
pub struct LatestRecords {
    /// One record for each key.
    pub records: Vec<KeyedRecord>,
    /// Where a reader that knows these records continues.
    pub end_offset: LogOffset,
}

impl KeyedRecord {
    /// Reads the key of a record; `None` for bytes that have none.
    pub fn decode(entry: &LogEntry) -> Option<Self> {
        let (length, rest) = entry.payload.split_first()?;
        let (key, value) = rest.split_at_checked(usize::from(*length))?;
        let key = String::from_utf8(key.to_vec()).ok()?;
        Some(Self { offset: entry.offset, key, value: value.to_vec() })
    }

    /// Returns the bytes of a record. Keys of more than 255 bytes are cut.
    pub fn encode(key: &str, value: &[u8]) -> Vec<u8> {
        let key = &key.as_bytes()[..key.len().min(usize::from(u8::MAX))];
        let mut payload = vec![key.len() as u8];
        payload.extend_from_slice(key);
        payload.extend_from_slice(value);
        payload
    }
}
